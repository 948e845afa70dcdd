"""Rate limits that upstreams state hold over all VMs, and in every four seconds."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from placement.model import (
    LoadSimulation,
    make_request,
    make_scheduler,
    make_upstream,
)

from gentianfold.placement.outcome import Outcome
from gentianfold.placement.rate_limiter import RateLimiter
from gentianfold.placement.slot_request import Granted, Refused

WINDOW_S = 4.0
"""Span in which the requests are counted (seconds)."""
CONVERGENCE_S = 3.0
"""Time after the first statement from which the limit must hold (seconds)."""


def allowed_in_window(rate_per_s):
    return 1.5 * rate_per_s * WINDOW_S + 5


def most_in_window(times_s):
    return max(
        (sum(start <= at < start + WINDOW_S for at in times_s) for start in times_s),
        default=0,
    )


def make_limiter(rate_per_s, share=1.0, seed=1):
    limiter = RateLimiter(share=share, draw=random.Random(seed).random)
    limiter.record_limit(rate_per_s, 0.0, 0.0)
    return limiter


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.floats(0, 60), st.lists(st.floats(0.001, 3), min_size=1, max_size=200))
def test_any_schedule_of_requests_stays_within_the_limit(rate_per_s, gaps_s):
    limiter = make_limiter(rate_per_s)
    now_s, sent = 0.0, []
    for gap_s in gaps_s:
        now_s += gap_s
        while limiter.allows_request(now_s):
            limiter.count_request(now_s)
            sent.append(now_s)
    assert most_in_window(sent) <= allowed_in_window(rate_per_s)


@pytest.mark.parametrize("rate_per_s", [0.5, 2, 12])
def test_a_limited_upstream_gets_what_it_takes(rate_per_s):
    limiter = make_limiter(rate_per_s)
    sent = 0
    for step in range(2000):
        if limiter.allows_request(step / 100):
            limiter.count_request(step / 100)
            sent += 1
    assert sent >= 0.9 * 20 * rate_per_s - 1


@pytest.mark.parametrize("rate_per_s", [0.2, 1, 6])
def test_vms_without_a_broker_keep_the_limit_together(rate_per_s):
    # Guards against tokens that each VM has saved while the broker placed its requests.
    count = 96
    limiters = [make_limiter(rate_per_s, 1 / count, seed) for seed in range(count)]
    sent = []
    for step in range(1000):
        now_s = 60 + step * 0.02
        for limiter in limiters:
            if limiter.allows_request(now_s):
                limiter.count_request(now_s)
                sent.append(now_s)
    assert sent
    assert most_in_window(sent) <= allowed_in_window(rate_per_s)


def test_an_answer_to_an_earlier_request_does_not_end_a_limit():
    limiter = make_limiter(2.0)
    limiter.record_limit(3.0, 5.0, 5.0)
    limiter.record_no_limit(sent_s=4.9)
    assert limiter.rate_per_s == 3.0
    limiter.record_no_limit(sent_s=5.1)
    assert not limiter.is_limited
    limiter.record_limit(3.0, 5.05, 6.0)
    assert not limiter.is_limited


def test_a_raised_or_lowered_limit_applies_at_once():
    limiter = make_limiter(40.0)
    assert limiter.allows_request(10.0)
    limiter.record_limit(1.0, 10.0, 10.0)
    for _ in range(3):
        limiter.count_request(10.0)
    assert not limiter.allows_request(10.5)
    limiter.record_limit(40.0, 10.5, 10.5)
    assert limiter.allows_request(10.7)


@pytest.mark.parametrize("seed", range(3))
def test_an_upstream_that_states_a_limit_gets_no_more_requests(seed):
    # Guards against requests beyond a stated limit: it was ignored.
    scheduler = make_scheduler(upstream_count=4, slots=6, seed=seed)
    limits = {"u0": 2.0, "u1": 6.1}
    simulation = LoadSimulation(
        scheduler, fails=lambda *_: False, rate_limits_per_s=limits
    )
    simulation.send_at_random(70, 30.0, 0.5, random.Random(seed))
    for name, rate_per_s in limits.items():
        sent = [at_s for at_s, upstream, _ in simulation.grants if upstream == name]
        counted = [at_s for at_s in sent if at_s > sent[0] + CONVERGENCE_S]
        assert most_in_window(counted) <= allowed_in_window(rate_per_s)
        assert len(counted) >= 0.7 * rate_per_s * (30 - counted[0])
        assert scheduler.tracker(name).suspect_since_s is None


def test_requests_beyond_all_limits_are_refused_until_a_token_is_free():
    scheduler = make_scheduler(upstream_count=2, slots=6)
    for name in ("u0", "u1"):
        scheduler.record_rate_limit(name, 0.5, 1.0, 1.0)
    decisions = [
        scheduler.request_slot(
            make_request(number, target_left_s=0.2, time_left_s=0.5), 4.0
        )
        for number in range(1, 6)
    ]
    assert sum(isinstance(decision, Granted) for decision in decisions) == 2
    refused = [decision for decision in decisions if isinstance(decision, Refused)]
    assert len(refused) == 3
    assert all(decision.retry_after_s >= 0.9 for decision in refused)


def test_the_limit_of_an_earlier_start_is_ignored():
    scheduler = make_scheduler(upstream_count=1)
    scheduler.record_rate_limit("u0", 1.0, 5.0, 5.0)
    assert scheduler.tracker("u0").rate_limiter.is_limited
    scheduler.replace_upstreams([make_upstream("u0", start_time_ms=2)], 6.0)
    scheduler.record_rate_limit("u0", 1.0, 5.0, 6.5)
    assert not scheduler.tracker("u0").rate_limiter.is_limited


def test_a_request_that_could_not_be_sent_does_not_count():
    scheduler = make_scheduler(upstream_count=1)
    scheduler.record_rate_limit("u0", 0.25, 1.0, 1.0)
    assert isinstance(scheduler.request_slot(make_request(1), 5.0), Granted)
    scheduler.release(("vm", 1), Outcome.CONNECT_FAILED, 0.1, 5.1)
    again = make_request(2, vm="other")
    assert isinstance(scheduler.request_slot(again, 5.2), Granted)


def test_an_upstream_without_a_limit_is_not_limited():
    limiter = RateLimiter()
    assert limiter.rate_per_s == math.inf
    for _ in range(1000):
        assert limiter.allows_request(1.0)
        limiter.count_request(1.0)
