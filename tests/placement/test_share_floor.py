"""Replays urgent routes and customers that alone would fill all slots of a service."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from placement.model import LoadSimulation, make_request, make_scheduler

from gentianfold.placement.share_floor import MAX_NAMES

CAPACITY_PER_S = 12 * 3 / 0.2


def simulate(kinds, seed):
    """Return the served part of each kind, and of all requests.

    Args:
        kinds: Name of the customer or route, load in parts of the capacity, and
            properties of the requests.
        seed: Seed of the arrivals.
    """
    draw = random.Random(seed)
    simulation = LoadSimulation(
        make_scheduler(upstream_count=12), lambda name, now_s: False
    )
    asked = Counter()
    next_s = {name: simulation.now_s for name, _, _ in kinds}
    while simulation.now_s < 30:
        for name, load, properties in kinds:
            while next_s[name] <= simulation.now_s:
                asked[name] += 1
                simulation.send(**properties)
                next_s[name] += draw.expovariate(load * CAPACITY_PER_S)
        simulation.run_until(simulation.now_s + 0.01)
    simulation.run_until(simulation.now_s + 2)
    served = simulation.granted_by
    shares = {name: served[name] / asked[name] for name in asked}
    return {**shares, "all": served.total() / asked.total()}


@pytest.mark.parametrize("seed", [1, 2])
def test_urgent_routes_leave_a_share_to_the_others(seed):
    # Urgent routes of 1.4 times the capacity: the others got nothing.
    shares = simulate(
        [
            ("urgent", 1.4, {"route": "urgent", "route_priority": 0}),
            ("other", 0.4, {"route": "other", "route_priority": 2}),
        ],
        seed,
    )
    assert shares["other"] >= 0.25 * shares["all"]
    assert shares["urgent"] >= shares["other"]


@pytest.mark.parametrize("seed", [1, 2])
def test_customers_of_high_priority_leave_a_share_to_the_others(seed):
    shares = simulate(
        [
            ("first", 1.4, {"customer": "first", "priority": 0}),
            ("second", 0.2, {"customer": "second", "priority": 1}),
            ("third", 0.2, {"customer": "third", "priority": 2}),
        ],
        seed,
    )
    assert min(shares.values()) >= 0.25 * shares["all"]
    assert shares["first"] >= max(shares["second"], shares["third"])


def test_a_hot_customer_pays_with_its_own_share():
    # One customer at ten times the requests of each of four others: the floor of its
    # served part must not take slots from them.
    kinds = [(f"c{number}", 0.1, {"customer": f"c{number}"}) for number in range(4)]
    shares = simulate([*kinds, ("hot", 1.0, {"customer": "hot"})], 1)
    assert min(shares[f"c{number}"] for number in range(4)) >= 0.95
    assert shares["hot"] >= 0.25 * shares["all"]


def test_customers_who_come_no_more_are_forgotten_without_a_queue():
    # Counts decayed only while requests waited: hours of calm kept every name.
    scheduler = make_scheduler(upstream_count=1, slots=1)
    for number in range(3 * MAX_NAMES):
        request = make_request(number, customer=f"c{number}")
        scheduler.count_first_attempt(request, number / 100)
    assert len(scheduler._order._floors["desk"]._counts) <= MAX_NAMES + 2
