"""Requests stay in their availability zone where that costs little."""

from __future__ import annotations

import random

import pytest
from placement.model import LoadSimulation, make_request, make_upstream

from gentianfold.placement.choice import Chooser
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import Granted
from gentianfold.placement.slot_scheduler import SlotScheduler

ZONES = ("z1", "z2", "z3")


def make_zoned_scheduler(per_zone=5, slots=4, seed=1):
    scheduler = SlotScheduler(chooser=Chooser(random=random.Random(seed)))
    scheduler.replace_upstreams(
        [
            make_upstream(f"{zone}-u{number}", slots, zone=zone)
            for zone in ZONES
            for number in range(per_zone)
        ],
        0.0,
    )
    return scheduler


@pytest.mark.parametrize("seed", range(3))
def test_few_requests_cross_zones_under_a_load_that_each_zone_carries(seed):
    # Two of three requests crossed zones; bytes between zones were the largest price.
    # A twelfth of the upstreams fails nine in ten requests at any time.
    rng = random.Random(seed)

    def fails(name, now_s):
        period = random.Random(f"{name}{seed}{int(now_s / 6)}")
        return period.random() < 1 / 12 and rng.random() < 0.9

    simulation = LoadSimulation(make_zoned_scheduler(8, seed=seed), fails)
    sent_zones, crossing = [], 0
    while simulation.now_s < 40:
        zone = rng.choice(ZONES)
        sent_zones.append(zone)
        grant_count = len(simulation.grants)
        simulation.send(idempotent=rng.random() < 0.35, zone=zone)
        for _, name, _ in simulation.grants[grant_count:]:
            crossing += not name.startswith(zone)
        simulation.run_until(simulation.now_s + 0.04)
    assert crossing <= 0.2 * len(sent_zones)
    assert simulation.failed + simulation.refused <= 0.03 * len(sent_zones)


def test_a_request_crosses_zones_when_its_own_has_no_free_slot():
    scheduler = make_zoned_scheduler(per_zone=1, slots=2)
    names = []
    for number in range(4):
        granted = scheduler.request_slot(make_request(number, zone="z1"), 5.0)
        assert isinstance(granted, Granted)
        names.append(granted.upstream.zone)
        scheduler.observe_running(5.0)
    assert names[:2] == ["z1", "z1"] and "z1" not in names[2:]


def test_the_price_of_a_crossing_follows_the_bytes_of_the_route():
    # A fresher upstream of another zone is worth a small transfer but not a large one.
    for transferred_bytes, zone in ((100, "z2"), (20_000, "z1")):
        scheduler = make_zoned_scheduler(per_zone=1)
        for number in range(200):
            name = f"{ZONES[number % 2]}-u0"
            request = make_request(number, zone="z1")
            scheduler.register_grant(request, name, 1.0)
            scheduler.release(
                ("vm", number), Outcome.SUCCEEDED, 0.1, 1.1, transferred_bytes
            )
        scheduler.tracker("z1-u0").last_accepted_s = 3.0
        scheduler.tracker("z2-u0").last_accepted_s = 4.4
        scheduler.observe_running(4.5)
        granted = scheduler.request_slot(make_request(900, zone="z1"), 4.5)
        assert granted.upstream.zone == zone
