"""Requests wait for the limits while the shares of a new broker are on their way."""

from __future__ import annotations

from placement.model import make_request, make_scheduler

from gentianfold.model import Customer, RateLimit
from gentianfold.placement.slot_request import Granted, Queued, RefusalReason, Refused

SHARES_S = 1.2
"""Time after the start at which the shares arrive (seconds)."""


def make_starting_scheduler(rate_per_s=20.0):
    """Return the scheduler of a broker to which no share was lent yet."""
    scheduler = make_scheduler()
    limit = RateLimit(rate_per_s, 10.0)
    scheduler.quota.replace_customers({"a": Customer("a", limit=limit)})
    scheduler.quota.reset_usage(0.0)
    scheduler.quota.is_growing = True
    return scheduler


def decide(scheduler, until_s, from_s=0.0):
    """Return the decisions on waiting requests, with the times."""
    decisions, now_s = {}, from_s
    while now_s < until_s:
        now_s += 0.05
        if now_s >= SHARES_S:
            scheduler.set_share(1.0, 0.0, now_s)
        for (_, number), decision in scheduler.advance(now_s):
            decisions[number] = (decision, now_s)
    return decisions


def test_requests_wait_past_their_target_for_shares_that_are_on_their_way():
    # After all VMs had lost their power, every request of a customer with a limit was
    # refused until the leases of the processes before had ended.
    scheduler = make_starting_scheduler()
    for number in range(4):
        request = make_request(number, customer="a", time_left_s=2.5)
        assert isinstance(scheduler.request_slot(request, 0.0), Queued)
    decisions = decide(scheduler, 2.4)
    assert len(decisions) == 4
    assert all(isinstance(row, Granted) for row, _ in decisions.values())
    assert min(at_s for _, at_s in decisions.values()) >= SHARES_S


def test_a_request_that_gets_no_token_by_its_deadline_is_refused_at_once():
    scheduler = make_starting_scheduler(rate_per_s=2.0)
    decisions = [
        scheduler.request_slot(make_request(number, customer="a"), 0.0)
        for number in range(6)
    ]
    assert isinstance(decisions[0], Queued)
    assert isinstance(decisions[-1], Refused)
    assert decisions[-1].reason is RefusalReason.LIMIT_ELSEWHERE


def test_requests_that_meet_their_target_go_before_those_that_waited():
    scheduler = make_starting_scheduler()
    for number in range(8):
        scheduler.request_slot(make_request(number, customer="a", time_left_s=2.5), 0.0)
    decisions = decide(scheduler, SHARES_S - 0.1)
    request = make_request(100, customer="a", time_left_s=2.5)
    scheduler.request_slot(request, SHARES_S - 0.1)
    decisions |= decide(scheduler, 2.4, SHARES_S - 0.1)
    assert min(decisions, key=lambda number: decisions[number][1]) == 100


def test_without_shares_on_their_way_a_customer_over_its_rate_does_not_wait():
    scheduler = make_starting_scheduler()
    scheduler.quota.is_growing = False
    decision = scheduler.request_slot(make_request(customer="a"), 0.0)
    assert isinstance(decision, Refused)
