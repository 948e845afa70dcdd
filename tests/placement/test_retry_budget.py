"""Tests that all holders of a retry budget together keep to its bound."""

from __future__ import annotations

import random
from bisect import bisect_left

import pytest
from placement.model import make_request, make_scheduler

from gentianfold.placement.retry_budget import RetryBudget, RetryBudgetPolicy
from gentianfold.placement.slot_request import Granted

POLICY = RetryBudgetPolicy(ratio=0.2, slack=30.0, window_s=10.0)


def count(times_s, start_s, end_s):
    return bisect_left(times_s, end_s) - bisect_left(times_s, start_s)


def worst_excess(requests_s, retries_s):
    """Return by how much retries exceed the bound in the worst window (count)."""
    return max(
        (
            count(retries_s, end_s - 10, end_s)
            - POLICY.slack
            - POLICY.ratio
            * max(
                count(requests_s, end_s - back_s - 10, end_s - back_s)
                for back_s in (0, 5, 10)
            )
            for end_s in retries_s
        ),
        default=0.0,
    )


@pytest.mark.parametrize("seed", range(8))
def test_holders_in_turn_keep_to_the_bound(seed):
    # Upstreams fail for tens of seconds, so each request wants retries, while brokers
    # are replaced and parts of the fleet are cut off.
    draw = random.Random(seed)
    holders = [make_scheduler() for _ in range(4)]
    for holder in holders:
        holder.budget.policy = POLICY
        holder.set_share(0.0, 0.0, 0.0)
    requests_s, retries_s, now_s, next_change_s = [], [], 0.0, 0.0
    while now_s < 60:
        if now_s >= next_change_s:
            next_change_s = now_s + draw.choice((0.3, 1.5, 4.0, 9.0))
            parts = [draw.random() ** 6 for _ in holders]
            for holder, part in zip(holders, parts, strict=True):
                holder.set_share(part / sum(parts), 0.0, now_s)
            users = draw.sample(holders, draw.randint(1, len(holders)))
        now_s += draw.expovariate(80.0 if int(now_s / 7) % 2 else 30.0)
        holder = draw.choice(users)
        holder.budget.count_request("desk", now_s)
        requests_s.append(now_s)
        while holder.budget.try_acquire("desk", now_s):
            retries_s.append(now_s)
    assert worst_excess(requests_s, retries_s) <= 0
    assert len(retries_s) > 0.5 * POLICY.ratio * len(requests_s)


def test_brokers_replaced_again_and_again_keep_to_the_bound():
    # Each new broker began with the whole slack, and with requests that the one before
    # had used for retries.
    holders = [make_scheduler() for _ in range(5)]
    for holder in holders:
        holder.budget.policy = POLICY
        holder.set_share(0.0, 0.0, 0.0)
    requests_s, retries_s, current = [], [], 0
    holders[0].set_share(1.0, 1.0, 0.0)
    for tick in range(2500):
        now_s = tick / 100
        if now_s in (12.5, 15.0, 17.5, 20.0):
            holders[current].set_share(0.0, 0.0, now_s)
            current += 1
            holders[current].set_share(1.0, 0.0, now_s)
        budget = holders[current].budget
        budget.count_request("desk", now_s)
        requests_s.append(now_s)
        if now_s >= 10 and budget.try_acquire("desk", now_s):
            retries_s.append(now_s)
    assert worst_excess(requests_s, retries_s) <= 0


def test_a_failure_of_a_window_gets_most_of_the_bound():
    # 0.47 of the requests were served while upstreams rejected half of them: the budget
    # granted 0.6 of its ratio.
    budget = RetryBudget(POLICY)
    requests_s = [number / 100 for number in range(2000)]
    retries = 0
    for at_s in requests_s:
        budget.count_request("desk", at_s)
        if at_s >= 10:
            retries += budget.try_acquire("desk", at_s)
    assert retries >= 0.9 * (POLICY.ratio * 1000 + POLICY.slack)


def test_a_retry_that_no_upstream_got_is_not_counted():
    # Retries that waited for a slot in vain used up the budget.
    scheduler = make_scheduler(upstream_count=1, slots=1)
    scheduler.budget.policy = RetryBudgetPolicy(0.0, 10.0)
    assert isinstance(scheduler.request_slot(make_request(1), 0.0), Granted)
    for number in range(2, 5):
        request = make_request(number, attempt=2, time_left_s=0.1, target_left_s=0.1)
        scheduler.request_slot(request, 0.0)
    list(scheduler.advance(0.2))
    assert scheduler.waiting_count == 0
    assert all(scheduler.budget.try_acquire("desk", 0.2) for _ in range(3))
