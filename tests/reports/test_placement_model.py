"""Reproducibility of the placement model and benefit of the shared scheduler."""

from __future__ import annotations

import attrs
import pytest

from gentianfold.reports.load_patterns import LOAD_PATTERNS
from gentianfold.reports.placement_model import PlacementModel


def run_model(name, strategy, seed=1, **changes):
    (pattern,) = [pattern for pattern in LOAD_PATTERNS if pattern.name == name]
    return PlacementModel(attrs.evolve(pattern, **changes), strategy, seed).run(30.0)


def test_equal_seeds_give_equal_totals():
    assert run_model("calm", "broker") == run_model("calm", "broker")


@pytest.mark.parametrize("name", ["calm", "ordinary"])
def test_the_broker_gains_four_fifths_of_the_value_that_the_oracle_gains(name):
    alone, broker, oracle = (
        sum(run_model(name, strategy, seed).earned_share for seed in (1, 2))
        for strategy in ("alone", "broker", "oracle")
    )
    assert broker - alone >= 0.8 * (oracle - alone)


def test_many_servers_under_a_small_load_cost_nothing():
    # The goal for all loads: the broker gains four fifths of what the oracle gains over
    # independent schedulers. With many servers, few requests reach each of them.
    alone, broker, oracle = (
        sum(
            run_model("ordinary", strategy, seed, server_count=160).earned_share
            for seed in (1, 2)
        )
        for strategy in ("alone", "broker", "oracle")
    )
    assert broker - alone >= 0.8 * (oracle - alone)


def test_very_slow_servers_time_out_few_non_idempotent_requests():
    # Guards against an upstream with a twelvefold processing time that keeps receiving
    # requests until they time out: two of them took 34 requests, since short responses
    # and requests in progress confirmed their recovery. No timeout is detected before
    # each of the three slow servers has filled its six slots; after that, a trial every
    # two seconds may cost one request.
    timed_out = [
        run_model("very slow servers", "broker", seed).timed_out for seed in (1, 2, 3)
    ]
    assert sum(timed_out) <= 3 * (3 * 6 + 30 / 2)


def test_short_urgent_requests_are_served_beside_long_tolerant_ones():
    # Guards against a queue that ignores the priority of routes: with equal customer
    # priorities, 554 of 672 orders (0.1 s of processing) were refused behind surveys
    # (0.6 s), of which 493 in 577 were served. The required tolerance is five percentage
    # points.
    for seed in (1, 2, 3):
        totals = run_model("long work", "broker", seed)
        order, survey = (
            totals.served_by_kind[kind] / totals.offered_by_kind[kind]
            for kind in ("order", "survey")
        )
        assert order >= survey - 0.05


@pytest.mark.parametrize("name", ["long work", "half failing"])
def test_most_refusals_are_early(name):
    # Guards against requests that are overtaken in the queue and refused only after their
    # target latency has passed. At least half of the refusals must come early, within an
    # eighth of the target latency.
    all_totals = [run_model(name, "broker", seed) for seed in (1, 2, 3)]
    refused = sum(totals.refused for totals in all_totals)
    assert sum(totals.refused_late for totals in all_totals) <= refused / 2


@pytest.mark.parametrize("seed", [1, 2])
def test_few_requests_fail_before_more_servers_than_the_load_needs(seed):
    # With 160 servers under the load that 14 carry, 4 to 7% of the requests failed: each
    # exploring request met a server about which nothing was known, and trials used up
    # the retry budget. Fewer than half of 4% may fail.
    totals = run_model("ordinary", "broker", seed, server_count=160)
    assert totals.failed < 0.02 * sum(totals.offered_by_kind.values())
