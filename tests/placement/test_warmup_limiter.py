"""Bound, ramp and judgement of upstreams that are cold."""

from __future__ import annotations

import math
import random

import pytest
from placement.model import LoadSimulation, make_request, make_scheduler, make_upstream

from gentianfold.model import UpstreamState, Warmup
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import Granted
from gentianfold.placement.warmup_limiter import (
    MAX_SEND_DELAY_S,
    WarmupBudget,
    WarmupLimiter,
    WarmupPolicy,
)

WARMUPS = {"desk": Warmup(3.3, 3.0)}
POLICY = WarmupPolicy(1.5, 8.0)


def make_cold_scheduler(cold=("u1",), upstream_count=2, slots=4, remaining_s=3.0):
    """Return a scheduler whose upstreams named ``cold`` start at second 0."""
    scheduler = make_scheduler(0)
    scheduler.warmups.policy, scheduler.warmups.warmups = POLICY, WARMUPS
    scheduler.replace_upstreams(list_upstreams(cold, upstream_count, slots), 0.0)
    return scheduler


def list_upstreams(cold, upstream_count=2, slots=4, remaining_s=3.0, revision=1):
    return [
        make_upstream(
            f"u{number}",
            slots,
            warmup_remaining_s=remaining_s if f"u{number}" in cold else 0.0,
            entry_revision=(1, revision, 0),
        )
        for number in range(upstream_count)
    ]


def grant_all(scheduler, now_s, count=40):
    """Request slots of u1 and end each request at once; return how many it got."""
    granted = 0
    for number in range(count):
        identifier = int(now_s * 1000) * 100 + number
        request = make_request(identifier, idempotent=True, excluded=("u0",))
        decision = scheduler.request_slot(request, now_s)
        key = (request.vm, request.slot_request_id)
        granted += isinstance(decision, Granted) and decision.upstream.name == "u1"
        scheduler.release(key, Outcome.CANCELLED, 0.0, now_s)
    return granted


def grant_for(scheduler, start_s, seconds, step_s=0.05):
    steps = round(seconds / step_s)
    return [grant_all(scheduler, start_s + step * step_s, 10) for step in range(steps)]


@pytest.mark.parametrize("policy", [POLICY, WarmupPolicy(), WarmupPolicy(1.2, 4)])
@pytest.mark.parametrize("stated_per_s", [0.2, 1.0, 3.3, 40.0])
def test_the_bound_holds_in_any_second_even_if_grants_are_used_late(
    policy, stated_per_s
):
    for progress in (0.0, 0.5, 1.0):
        rate_per_s = policy.rate_per_s(stated_per_s, progress)
        allowed = stated_per_s * policy.overshoot + policy.slack
        most = policy.burst + rate_per_s * (1 + MAX_SEND_DELAY_S)
        # Buckets start empty.
        assert math.floor(most) <= allowed if rate_per_s else allowed < 1


@pytest.mark.parametrize("policy", [WarmupPolicy(), WarmupPolicy(1.2, 4)])
def test_a_cold_upstream_gets_requests_while_a_vm_is_missing(policy):
    # A broker without the share of one VM of eight never had a whole token.
    scheduler = make_cold_scheduler(("u1",))
    scheduler.warmups.policy = policy
    scheduler.set_share(7 / 8, 7 / 8, 0.0)
    assert sum(grant_for(scheduler, 0.0, 2.9)) >= 2


@pytest.mark.parametrize("policy", [POLICY, WarmupPolicy(), WarmupPolicy(1.2, 4)])
@pytest.mark.parametrize("stated_per_s", [1.0, 1.4, 3.3, 6.9, 40.0])
@pytest.mark.parametrize("shares", [(1.0,), (0.5, 0.5), (0.8, 0.1, 0.1)])
def test_holders_of_all_shares_that_press_grant_no_more_than_the_bound(
    policy, stated_per_s, shares
):
    warmups = {"desk": Warmup(stated_per_s, 60.0)}
    limiters = []
    for share in shares:
        budget = WarmupBudget(policy, warmups)
        budget.set_share(share, 0.0)
        limiter = WarmupLimiter("desk", budget)
        limiter.start(60.0, 0.0)
        limiters.append(limiter)
    granted_s = []
    for step in range(1200):
        now_s = step / 20
        for limiter in limiters:
            # Holders that waited until their buckets were full.
            while step >= 300 and limiter.allows_request(now_s):
                limiter.count_request(now_s)
                granted_s.append(now_s)
    assert granted_s or max(shares) * policy.burst < 1
    allowed = stated_per_s * policy.overshoot + policy.slack
    window_s = 1 + MAX_SEND_DELAY_S
    for first_s in granted_s:
        used = [at_s for at_s in granted_s if 0 <= at_s - first_s < window_s]
        assert len(used) <= allowed


def test_a_cold_upstream_gets_its_rate_until_it_is_warm():
    # A cold upstream only cost a little more in the choice.
    scheduler = make_cold_scheduler(("u1",))
    counts = grant_for(scheduler, 0.0, 2.9)
    assert 7 <= sum(counts) <= 2.9 * 3.3 * 1.25 + POLICY.burst
    assert sum(grant_for(scheduler, 3.1, 1.0)) > 40


def test_the_rate_rises_towards_the_end_of_the_warm_up():
    limiter = WarmupLimiter("desk", WarmupBudget(POLICY, WARMUPS))
    limiter.start(13.0, 10.0)
    rates = [limiter.rate_per_s(now_s) for now_s in (10.0, 11.5, 12.9)]
    assert rates == sorted(rates) and rates[0] == 3.3 < rates[-1] <= 3.3 * 1.25
    assert limiter.rate_per_s(13.0) == float("inf")


def test_an_upstream_that_becomes_cold_again_is_bounded_from_the_next_entry():
    # Its tracker kept the warm-up of its first entry.
    scheduler = make_cold_scheduler(("u1",))
    scheduler.replace_upstreams(list_upstreams((), revision=2), 4.0)
    assert sum(grant_for(scheduler, 4.0, 1.0)) > 40
    scheduler.replace_upstreams(list_upstreams(("u1",), revision=3), 5.0)
    assert scheduler.tracker("u1").is_cold(5.0)
    assert sum(grant_for(scheduler, 5.0, 1.0)) <= 3.3 * 1.25 + POLICY.burst
    # The same entry, applied again as others changed, does not prolong it.
    scheduler.replace_upstreams(list_upstreams(("u1",), revision=3), 7.0)
    assert not scheduler.tracker("u1").is_cold(8.1)


def test_a_zone_that_is_taken_back_counts_as_cold_before_any_entry_says_so():
    # Its upstreams got a burst, as they had been without requests longest.
    scheduler = make_cold_scheduler(())
    evacuated = [
        make_upstream(f"u{number}", 4, state=UpstreamState.EVACUATED)
        for number in range(2)
    ]
    scheduler.replace_upstreams(evacuated, 10.0)
    assert sum(grant_for(scheduler, 10.0, 0.5)) == 0
    scheduler.replace_upstreams(list_upstreams(()), 11.0)
    assert 0 < sum(grant_for(scheduler, 11.0, 1.0)) <= 3.3 * 1.25 + POLICY.burst
    assert not scheduler.tracker("u1").is_cold(14.1)


def test_a_cold_upstream_is_not_judged_slow_or_failing():
    scheduler = make_cold_scheduler(("u1",), remaining_s=3.0)
    for number in range(3):
        request = make_request(number, excluded=("u0",), time_left_s=9.0)
        now_s = 0.4 + number * 0.4
        assert isinstance(scheduler.request_slot(request, now_s), Granted)
        outcome = Outcome.SUCCEEDED if number else Outcome.TIMED_OUT
        scheduler.observe_running(now_s + 0.39)
        scheduler.release(("vm", number), outcome, 4.0, now_s + 0.39)
    tracker = scheduler.tracker("u1")
    assert tracker.slowness(2.0) == 1.0 and tracker.suspect_since_s is None
    assert not tracker.is_slow
    assert scheduler.elapsed.slot_time_s("desk") < 1.0


def test_a_cold_upstream_without_a_bound_is_judged_slow():
    scheduler = make_cold_scheduler(("u1",))
    scheduler.warmups.warmups = {}
    request = make_request(1, excluded=("u0",), time_left_s=9.0)
    assert isinstance(scheduler.request_slot(request, 0.4), Granted)
    scheduler.release(("vm", 1), Outcome.TIMED_OUT, 4.0, 0.8)
    assert scheduler.tracker("u1").slowness(0.8) > 3.0


def test_a_failing_upstream_is_judged_though_it_is_cold():
    scheduler = make_cold_scheduler(("u1",))
    request = make_request(1, excluded=("u0",))
    assert isinstance(scheduler.request_slot(request, 1.0), Granted)
    scheduler.release(("vm", 1), Outcome.FAILED, 0.01, 1.1)
    assert scheduler.tracker("u1").suspect_since_s is not None


@pytest.mark.parametrize("share", [0.0, 0.01, 0.3])
def test_a_vm_without_most_of_the_share_sends_nothing(share):
    scheduler = make_cold_scheduler(("u1",))
    scheduler.set_share(share, share, 0.0)
    assert sum(grant_for(scheduler, 0.0, 2.5)) == 0


def test_a_share_brings_no_tokens_of_its_last_holder():
    budget = WarmupBudget(POLICY, WARMUPS)
    budget.set_share(0.0, 0.0)
    limiter = WarmupLimiter("desk", budget)
    limiter.start(100.0, 0.0)
    budget.set_share(1.0, 50.0)
    assert not limiter.allows_request(50.0)
    assert limiter.allows_request(50.4)
    # What was saved is lost with the share, also if it returns at once.
    budget.set_share(0.2, 52.0)
    budget.set_share(1.0, 52.0)
    assert not limiter.allows_request(52.01)
    budget.set_share(1.0, 60.0, valid_s=0.1)
    assert limiter.allows_request(60.05) and not limiter.allows_request(60.2)


def test_an_empty_bucket_is_not_computed_at_each_choice():
    # A broker with a long queue asked each cold upstream for each waiting request.
    class CountedLimiter(WarmupLimiter):
        refill_count = 0

        def refill(self, now_s):
            CountedLimiter.refill_count += 1
            super().refill(now_s)

    limiter = CountedLimiter("desk", WarmupBudget(POLICY, WARMUPS))
    limiter.start(3.0, 0.0)
    allowed_s = [n / 1000 for n in range(400) if limiter.allows_request(n / 1000)]
    assert 0.29 < allowed_s[0] < 0.31
    assert CountedLimiter.refill_count - len(allowed_s) < 20


def test_a_service_that_states_no_rate_is_not_bounded():
    scheduler = make_cold_scheduler(("u1",))
    scheduler.warmups.warmups = {}
    assert sum(grant_for(scheduler, 0.0, 1.0)) > 40


def test_cold_upstreams_take_load_by_their_bound_only():
    scheduler = make_cold_scheduler((), upstream_count=8)
    simulation = LoadSimulation(scheduler, fails=lambda *_: False)
    rng = random.Random(1)
    simulation.send_at_random(60, 14.0, 0.7, rng)
    cold = tuple(f"u{number}" for number in range(4))
    scheduler.replace_upstreams(list_upstreams(cold, 8, revision=2), 14.0)
    simulation.send_at_random(60, 17.0, 0.7, rng)
    for name in cold:
        times = [at_s for at_s, granted, _ in simulation.grants if granted == name]
        times = [at_s for at_s in times if at_s > 14.0]
        assert len(times) <= 3.0 * 3.3 * 1.25 + POLICY.burst
    assert simulation.refused == 0
