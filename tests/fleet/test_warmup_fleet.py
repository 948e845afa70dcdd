"""A cold upstream gets no more than it bears from a fleet of any size, whatever fails."""

from __future__ import annotations

import itertools

import pytest
from fleet.test_quota_fleet import Fleet
from fleet.test_quota_machine import EXAMPLES, LimitedFleet, settings_for
from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant
from loguru import logger
from placement.model import make_upstream

from gentianfold.model import Customer, Warmup
from gentianfold.placement.warmup_limiter import WarmupPolicy

RATE_PER_S, OVERSHOOT, SLACK = 3.3, 1.5, 8.0
BOUND = RATE_PER_S * OVERSHOOT + SLACK
"""Requests to one cold upstream in one second that the users' rules allow."""
STRICT = WarmupPolicy()
STRICT_BOUND = RATE_PER_S
"""The same for the default settings, which allow neither overshoot nor slack."""
SLOTS = 4
PRESS_PER_S = 100
"""Requests that press the fleet (per second)."""


class ColdFleet(Fleet):
    """A fleet with one upstream, which is cold and near the end of a long warm-up."""

    policy = WarmupPolicy(OVERSHOOT, SLACK)

    def start(self, vm, is_first_start=False):
        super().start(vm, is_first_start)
        scheduler = self.nodes[vm].scheduler
        scheduler.warmups.policy = self.policy
        scheduler.warmups.warmups = {"desk": Warmup(RATE_PER_S, 60_000)}
        cold = make_upstream(
            "u", SLOTS, warmup_remaining_s=6000, entry_revision=(1, 1, 0)
        )
        scheduler.replace_upstreams([cold], self.now_s)

    def most_in_second(self):
        times, first, most = sorted(self.sent["greedy"]), 0, 0
        for last, at_s in enumerate(times):
            while at_s - times[first] >= 1:
                first += 1
            most = max(most, last - first + 1)
        return most


class StrictFleet(ColdFleet):
    """The same with neither overshoot nor slack."""

    policy = STRICT


def make_cold_fleet(size, seed=1, fleet_type=ColdFleet):
    logger.disable("gentianfold")
    return fleet_type(
        size, seed, {name: Customer(name) for name in ("greedy", "modest")}
    )


SIZES = (2, 8, 96, 550)


@pytest.mark.parametrize("size", SIZES)
def test_a_fleet_that_loses_its_broker_keeps_the_bound(size):
    # Nothing bounded requests to cold upstreams.
    fleet = make_cold_fleet(size)
    fleet.run(12, per_s=60)
    assert len(fleet.sent["greedy"]) > 0.5 * RATE_PER_S * 12
    fleet.groups = {vm: vm for vm in fleet.nodes}
    fleet.run(6, per_s=600)
    fleet.groups = {}
    fleet.run(4, per_s=60)
    assert fleet.most_in_second() <= BOUND / 1.5


@pytest.mark.parametrize("size", (2, 8, 96))
def test_brokers_that_fail_in_turn_keep_the_bound(size):
    fleet = make_cold_fleet(size)
    fleet.run(14, per_s=20)
    for _ in range(3):
        fleet.run(0.6, per_s=200)
        for broker in fleet.brokers():
            fleet.start(broker)
            fleet.groups[broker] = broker
        fleet.run(1.2, per_s=200)
        fleet.groups.clear()
    fleet.run(3, per_s=200)
    assert fleet.most_in_second() <= BOUND / 1.5


@pytest.mark.parametrize("size", (8, 96))
def test_a_fleet_without_one_of_its_vms_serves_cold_upstreams_without_slack(size):
    # The broker's part of a burst of one was under one request: none was granted.
    fleet = make_cold_fleet(size, fleet_type=StrictFleet)
    fleet.run(12, per_s=60)
    lost = max(set(fleet.nodes) - set(fleet.brokers()))
    fleet.groups[lost] = lost
    fleet.sent["greedy"].clear()
    fleet.run(10, per_s=60)
    assert 5 <= len(fleet.sent["greedy"])
    assert fleet.most_in_second() <= STRICT_BOUND


@pytest.mark.parametrize("size", SIZES)
def test_a_fleet_that_loses_its_broker_keeps_a_bound_without_slack(size):
    fleet = make_cold_fleet(size, fleet_type=StrictFleet)
    fleet.run(12, per_s=60)
    fleet.groups = {vm: vm for vm in fleet.nodes}
    fleet.run(6, per_s=600)
    fleet.groups = {}
    fleet.run(4, per_s=60)
    assert 0 < fleet.most_in_second() <= STRICT_BOUND


class ColdFleetMachine(LimitedFleet):
    """Failures of all kinds under requests far above what a cold upstream bears."""

    @initialize(
        size=st.sampled_from([2, 3, 5, 12, 32]),
        seed=st.integers(0, 999),
        formed=st.booleans(),
    )
    def start(self, size, seed, formed):
        self.fleet = make_cold_fleet(size, seed)
        self.customers = self.fleet.customers
        self.group_ids = itertools.count(1)
        self.disturbed_s = self.fleet.now_s
        if formed:
            self.run(11, 40)

    def run(self, seconds, per_s=PRESS_PER_S):
        self.fleet.run(seconds, per_s)

    @invariant()
    def keeps_the_limits(self):
        if hasattr(self, "fleet"):
            assert self.fleet.most_in_second() <= BOUND


TestColdFleet = ColdFleetMachine.TestCase
TestColdFleet.settings = settings_for(EXAMPLES or 10, 10)
