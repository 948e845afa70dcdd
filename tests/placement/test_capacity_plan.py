"""Replays a service that is short of slots for some seconds, or for good."""

from __future__ import annotations

import random

import pytest
from placement.model import LoadSimulation, make_request, make_scheduler

from gentianfold.model import Customer, RateLimit
from gentianfold.placement.capacity_plan import ArrivalRates
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import Granted, Queued

CAPACITY_PER_S = 4 * 3 / 0.5


def simulate(loads, seed, urgent_share=0.0):
    """Send requests with a deadline of 8 s and a target of 1 s.

    Args:
        loads: Pairs of a rate, in parts of the capacity, and its duration (seconds).
        seed: Seed of the arrivals.
        urgent_share: Part of the requests with the more urgent route, 0 to 1.
    """
    draw = random.Random(seed)
    simulation = LoadSimulation(make_scheduler(), lambda name, now_s: False, work_s=0.5)
    sent = 0
    for load, duration_s in loads:
        end_s, next_s = simulation.now_s + duration_s, simulation.now_s
        while simulation.now_s < end_s:
            while next_s <= simulation.now_s:
                is_urgent = draw.random() < urgent_share
                simulation.send(
                    time_left_s=8.0,
                    target_left_s=1.0,
                    route_priority=1 - is_urgent,
                    route="urgent" if is_urgent else "r",
                )
                sent += 1
                next_s += draw.expovariate(load * CAPACITY_PER_S)
            simulation.run_until(simulation.now_s + 0.01)
    simulation.run_until(simulation.now_s + 9)
    return simulation, sent


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_what_a_short_crowd_leaves_is_served_late(seed):
    # A crowd of 3 s: requests that could not meet their target were refused at once,
    # although slots were free long before their deadline.
    simulation, sent = simulate([(0.4, 16), (1.8, 3), (0.4, 16)], seed)
    assert simulation.served >= 0.95 * sent
    assert simulation.on_target >= 0.85 * sent
    assert sum(delay_s > 1 / 8 for delay_s in simulation.refusal_delays_s) <= 3


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_under_a_lasting_overload_nothing_is_held_in_vain(seed):
    # A longer queue serves no more. Requests waited for a tenth of their time left, so
    # half of those served were late, and a third of the refusals came late.
    simulation, sent = simulate([(1.3, 40)], seed, urgent_share=0.3)
    held = sum(delay_s > 1 / 8 for delay_s in simulation.refusal_delays_s)
    assert held <= 0.15 * simulation.refused
    assert simulation.served >= 0.95 * sent / 1.3
    assert simulation.on_target >= 0.95 * simulation.served


def test_late_requests_give_way_to_those_that_meet_their_target():
    scheduler = make_scheduler(upstream_count=1, slots=1)
    for number in range(160):
        scheduler.count_first_attempt(make_request(), number / 10)
    scheduler.elapsed.record("desk", "r", 0.05)
    scheduler.elapsed.record("desk", "late", 0.05)
    assert isinstance(scheduler.request_slot(make_request(1), 16.0), Granted)
    late = make_request(2, target_left_s=0.0, time_left_s=6.0, route_priority=0)
    assert isinstance(scheduler.request_slot(late, 16.0), Queued)
    assert isinstance(scheduler.request_slot(make_request(3), 16.1), Queued)
    scheduler.free_slot(("vm", 1))
    assert [key[1] for key, _ in scheduler.advance(16.2)] == [3]
    scheduler.free_slot(("vm", 3))
    assert [key[1] for key, _ in scheduler.advance(21.0)] == [2]


def test_requests_over_a_customers_limit_take_no_place_of_others():
    # A customer at ten times its limit counted as arrivals that need slots.
    scheduler = make_scheduler(upstream_count=1, slots=1)
    hot = Customer("hot", limit=RateLimit(1.0, 1.0))
    scheduler.quota.replace_customers({"hot": hot})
    scheduler.elapsed.record("desk", "r", 0.05)
    for number in range(400):
        request = make_request(1000 + number, customer="hot")
        scheduler.request_slot(request, 10 + number / 100)
        scheduler.release(request.key, Outcome.CANCELLED, 0.05, 10 + number / 100)
    assert isinstance(scheduler.request_slot(make_request(1), 14.0), Granted)
    late = make_request(2, target_left_s=0.0, time_left_s=4.0)
    assert isinstance(scheduler.request_slot(late, 14.0), Queued)
    assert not list(scheduler.advance(15.0))
    scheduler.free_slot(("vm", 1))
    assert [key[1] for key, _ in scheduler.advance(17.0)] == [2]


def test_arrivals_are_averaged_over_the_time_to_look_ahead():
    rates = ArrivalRates()
    assert rates.per_s(1.0, 0.0) == 0.0
    for number in range(3200):
        rates.count(number / 100)
    assert rates.per_s(0.5, 32.0) == pytest.approx(100, rel=0.1)
    assert rates.per_s(8.0, 32.0) == pytest.approx(100, rel=0.1)
    assert rates.per_s(0.5, 34.0) < 20
    assert rates.per_s(8.0, 34.0) > 80


def test_the_log_tells_which_requests_wait_although_they_are_late():
    scheduler = make_scheduler(upstream_count=1, slots=1)
    scheduler.elapsed.record("desk", "r", 0.05)
    scheduler.request_slot(make_request(1), 10.0)
    late = make_request(2, target_left_s=0.3, time_left_s=8.0)
    assert isinstance(scheduler.request_slot(late, 10.0), Queued)
    (load,) = scheduler.queued_services(10.0)
    assert (load.waiting, load.late, load.below_floor) == (1, 0, 0)
    assert not list(scheduler.advance(10.5))
    (load,) = scheduler.queued_services(10.5)
    assert (load.waiting, load.late) == (1, 1)
