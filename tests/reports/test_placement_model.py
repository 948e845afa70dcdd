"""The model repeats, and the shared scheduler earns what it is there for."""

from __future__ import annotations

import pytest

from gentianfold.reports.load_patterns import PATTERNS
from gentianfold.reports.placement_model import PlacementModel


def play(name, way, seed=1):
    (pattern,) = [pattern for pattern in PATTERNS if pattern.name == name]
    return PlacementModel(pattern, way, seed).run(30.0)


def test_a_seed_repeats():
    assert play("calm", "broker") == play("calm", "broker")


@pytest.mark.parametrize("name", ["calm", "ordinary"])
def test_the_broker_gets_four_fifths_of_the_way_to_perfect_knowledge(name):
    alone, broker, oracle = (
        sum(play(name, way, seed).earned_share for seed in (1, 2))
        for way in ("alone", "broker", "oracle")
    )
    assert broker - alone >= 0.8 * (oracle - alone)


def test_very_slow_servers_cost_few_requests_that_run_once():
    # porta-nosing inc-3e99 and trouble-2: two servers twelve times slower took about
    # fifty bookings until their timeout, since each short answer and each request that
    # was still under way spoke for them. Nothing can be seen before each of the three
    # servers holds its six slots; after that, one look in two seconds may cost one.
    timed_out = [
        play("very slow servers", "broker", seed).timed_out for seed in (1, 2, 3)
    ]
    assert sum(timed_out) <= 3 * (3 * 6 + 30 / 2)
