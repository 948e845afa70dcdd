"""The fleet machine finds nothing with the real limiter, and faults with others."""

from __future__ import annotations

import attrs
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from gentianfold.limits import Limiter
from gentianfold.limits.home_table import HomeTable
from gentianfold.limits.messages import Pledge
from gentianfold.limits.pledge_giver import PledgeGiver
from gentianfold.limits.share_table import StrictSharePolicy
from gentianfold.limits.view_table import ViewTable
from tests.limits.machine import FleetMachine

SETTINGS = settings(
    derandomize=True,
    max_examples=20,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    # Sequences are costly to run, so that shrinking them would take minutes.
    phases=[Phase.explicit, Phase.generate],
)


def test_no_fault_sequence_admits_too_much():
    run_state_machine_as_test(FleetMachine, settings=SETTINGS)


class ForeverKeeping(StrictSharePolicy):
    def keeps(self, keep_until_s, now_s):
        return keep_until_s > 0.0


class TakingEarly(StrictSharePolicy):
    def lacks_slot(self, row, slot, version):
        return slot not in row.heartbeat.releasing

    def older_lists_closed(self, history):
        return True


@attrs.define
class ImpatientGiver(PledgeGiver):
    def over(self, generation, now_s):
        return True


@attrs.define
class DoubleGiver(PledgeGiver):
    """Pledges its whole share to every VM, as if each were the only home."""

    views: ViewTable = attrs.field(factory=ViewTable)

    def pledge_for(self, home, slot_count, timing, ping_heard_s):
        digest = self.views.of(frozenset([home])).digest
        return Pledge(slot_count, digest, digest, timing.pledge_s)


def double_giver(vm, incarnation, now_s):
    limiter = Limiter(vm, incarnation, now_s, giver=DoubleGiver())
    limiter.views.of(frozenset([vm]))
    return limiter


FAULTY_BUILDS = {
    "keeps slots without acknowledgements": lambda vm, incarnation, now_s: Limiter(
        vm, incarnation, now_s, share_policy=ForeverKeeping()
    ),
    "takes slots of lists still in use": lambda vm, incarnation, now_s: Limiter(
        vm, incarnation, now_s, share_policy=TakingEarly()
    ),
    "doesn't wait for the term of a pledge": lambda vm, incarnation, now_s: Limiter(
        vm, incarnation, now_s, giver=ImpatientGiver()
    ),
    "pledges to two homes": double_giver,
}


@pytest.mark.parametrize("fault", FAULTY_BUILDS)
def test_machine_catches_faulty_policies(fault):
    class FaultyMachine(FleetMachine):
        build = staticmethod(FAULTY_BUILDS[fault])

    expect_fault(FaultyMachine)


def test_machine_catches_lots_not_counted_against_the_burst(monkeypatch):
    def issue(table, row, vm, ask_id, tokens, lifetime_s, now_s):
        row.level -= tokens

    monkeypatch.setattr(HomeTable, "issue", issue)
    expect_fault(FleetMachine)


def expect_fault(machine):
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            machine,
            settings=settings(SETTINGS, max_examples=60, stateful_step_count=15),
        )
