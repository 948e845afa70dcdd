"""A part of the fault matrix, and proof that its checks can fail."""

from __future__ import annotations

import itertools

import pytest
from loguru import logger

from gentianfold.configuration.root import parse_root
from gentianfold.configuration.store import ConfigurationStore
from gentianfold.limits.limiter import Limiter
from gentianfold.limits.share_table import StrictSharePolicy
from gentianfold.model import RateLimit
from gentianfold.peers.isolation import IsolationDetector
from gentianfold.reports._matrix_axes import Fault, Promise, Step, find_exclusion
from gentianfold.reports._matrix_benches import all_benches
from gentianfold.reports._matrix_case import Case
from gentianfold.reports._matrix_configuration import ConfigurationBench
from gentianfold.reports._matrix_floor import FloorBench
from gentianfold.reports._matrix_forwarding import ForwardingBench
from gentianfold.reports._matrix_limits import LimitsBench, excess_tokens
from gentianfold.reports._matrix_markdown import format_markdown
from gentianfold.reports._matrix_once import OnceBench
from gentianfold.reports.fault_matrix import plan_cases, run_matrix
from gentianfold.requests import forwarder
from gentianfold.requests.once.records import CopyRule
from gentianfold.requests.once.tickets import TicketState, TicketTable
from gentianfold.routing import ejection

BENCHES = {bench.name: bench for bench in all_benches()}
SEED = 1


@pytest.fixture(autouse=True)
def _quiet():
    logger.disable("gentianfold")
    yield
    logger.enable("gentianfold")


@pytest.mark.parametrize("name", BENCHES)
def test_no_single_fault_breaks_a_promise(name):
    matrix = run_matrix([BENCHES[name]], [SEED], 1)
    assert matrix.tried
    assert matrix.violations == []


def test_the_same_seed_gives_the_same_observation():
    case = Case(Step.RECORD, (Fault.LOST, Fault.CRASH), SEED)
    assert OnceBench().run(case) == OnceBench().run(case)
    case = Case(Step.SPREAD, (Fault.LOST, Fault.SPLIT), SEED)
    assert ConfigurationBench().run(case) == ConfigurationBench().run(case)


def test_no_case_is_planned_that_cannot_occur():
    for bench in BENCHES.values():
        for case in plan_cases(bench, [SEED], 2):
            assert find_exclusion(case.step, case.faults) is None


def test_the_page_shows_what_was_tried_and_what_not():
    matrix = run_matrix([ForwardingBench()], [SEED], 1)
    page = format_markdown(matrix)
    rows = [line for line in page.splitlines() if line.startswith("| floor |")]
    assert set(rows[0].split(" | ")[1:]) <= {"-", "- |"}
    assert "None was seen." in page
    assert f"{len(matrix.tried)} cells tried" in page


def violated(bench, steps, faults):
    """Return the promises that a faulty variant breaks in some single fault."""
    cases = [Case(*pair, SEED) for pair in itertools.product(steps, faults)]
    seen = [bench.run(case) for case in cases]
    return {promise for one in seen if one.reached for promise in one.violations}


class ForeverKeeping(StrictSharePolicy):
    def keeps(self, keep_until_s, now_s):
        return keep_until_s > 0.0


class ForeverLimiter(Limiter):
    def __init__(self, vm, incarnation, now_s):
        super().__init__(vm, incarnation, now_s, share_policy=ForeverKeeping())


class GenerousLimiter(Limiter):
    """Admits on its own what the fleet would refuse."""

    def admit(self, customer, limits, now_s):
        doubled = [
            (name, type(limit)(2 * limit.rate_per_s, 2 * limit.burst))
            for name, limit in limits
        ]
        return super().admit(customer, doubled, now_s)


def test_admissions_over_the_limit_are_seen():
    limit = RateLimit(1.0, 2.0)
    assert excess_tokens([1.0, 1.0, 2.0], limit) <= 0.0
    assert excess_tokens([1.0, 1.0, 1.5], limit) == pytest.approx(0.5)
    bench = LimitsBench(limiter=GenerousLimiter)
    assert violated(bench, [Step.LEND], [(Fault.LOST,)]) == {Promise.LIMIT}


def test_shares_kept_through_a_pause_are_seen():
    bench = LimitsBench(limiter=ForeverLimiter)
    cuts = [(Fault.SPLIT, Fault.PLATFORM_STALE), (Fault.ONE_WAY, Fault.PLATFORM_STALE)]
    assert Promise.LIMIT in violated(bench, bench.steps, cuts)


class LossesIgnored(CopyRule):
    def may_be_lost(self, missing):
        return False

    def suffices(self, holders):
        return True


def test_a_second_run_is_seen():
    bench = OnceBench(rule=LossesIgnored())
    seen = violated(bench, [Step.WAIT, Step.ANSWER], [(Fault.CRASH,), (Fault.PAUSE,)])
    assert Promise.AT_MOST_ONCE in seen


def test_a_false_refusal_is_seen(monkeypatch):
    def give_up(table, now_s):
        late = [
            ticket
            for ticket in table._tickets.values()
            if ticket.state is TicketState.RUNNING
        ]
        for ticket in late:
            ticket.state = TicketState.ABANDONED
        return late

    monkeypatch.setattr(TicketTable, "give_up", give_up)
    seen = violated(OnceBench(), [Step.WAIT], [(Fault.PAUSE,), (Fault.LOST,)])
    assert Promise.NOT_RUN in seen


def test_a_reverted_configuration_and_a_late_key_are_seen(monkeypatch):
    def offer_root(store, data, now_s):
        root = parse_root(data)
        store._pending = {root.version: root}
        store._complete(now_s)

    monkeypatch.setattr(ConfigurationStore, "offer_root", offer_root)
    seen = violated(ConfigurationBench(), [Step.SPREAD], [(Fault.PLATFORM_OLDER,)])
    assert Promise.CONFIGURATION in seen
    monkeypatch.undo()
    monkeypatch.setattr(IsolationDetector, "is_isolated", lambda *_: False)
    monkeypatch.setattr(IsolationDetector, "needed_acks", lambda _: 0)
    faults = [(Fault.SPLIT, Fault.PLATFORM_DOWN)]
    seen = violated(ConfigurationBench(), [Step.SPREAD], faults)
    assert Promise.KEY in seen


def test_an_unsafe_retry_is_seen(monkeypatch):
    monkeypatch.setattr(forwarder, "may_repeat", lambda attempt, route: True)
    seen = violated(ForwardingBench(), [Step.RECEIVE], [(Fault.TRUNCATES,)])
    assert Promise.AT_MOST_ONCE in seen


def test_ejection_below_the_floor_is_seen(monkeypatch):
    monkeypatch.setattr(
        ejection,
        "admit_removals",
        lambda wanted, **_: frozenset(removal.upstream for removal in wanted),
    )
    seen = violated(FloorBench(), [Step.SPREAD], [(Fault.TIMES_OUT,)])
    assert Promise.FLOOR in seen
