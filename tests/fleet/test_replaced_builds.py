"""VMs of an earlier build are replaced in turn, while links are cut and VMs freeze.

Runs by hand only, as it needs a checkout of that build: ``fleet/mixed_fleet.py``.
"""

from __future__ import annotations

import os

import pytest
from fleet.mixed_fleet import MixedFleet, OtherBuild
from fleet.test_loans_fleet import EAGER
from fleet.test_quota_fleet import BOUND, BURST, RATE_PER_S, STEP_S
from loguru import logger

from gentianfold.model import Customer, RateLimit
from gentianfold.placement.lending import LendingPolicy

SOURCE = os.environ.get("PRODUCTION_SRC", "")


def replace_in_turn(build, size, seed, policy):
    """Return a fleet whose VMs were all replaced, and the largest sum of shares."""
    logger.disable("gentianfold")
    limit = RateLimit(RATE_PER_S, BURST)
    customers = {name: Customer(name, limit=limit) for name in ("greedy", "modest")}
    fleet = MixedFleet(
        size, seed, customers, policy=policy, build=build, old_count=size
    )
    fleet.run(12, per_s=60)
    names, draw, most = list(fleet.names), fleet.random, 0.0
    draw.shuffle(names)
    for vm in names:
        if draw.random() < 0.7 and not fleet.is_frozen(vm):
            fleet.nodes[vm].begin_stop()
        fleet.run(0.1, per_s=300)
        del fleet.nodes[vm]
        fleet.run(draw.choice((0.2, 0.6)), per_s=300)
        fleet.start(vm)
        event = draw.random()
        if event < 0.15:
            fleet.groups = {name: draw.random() < 0.5 for name in names}
        elif event < 0.25:
            fleet.groups = {name: name for name in names}
        elif event < 0.3:
            fleet.frozen[draw.choice(names)] = fleet.now_s + 2
        elif event < 0.7:
            fleet.groups = {}
        for _ in range(round(1.5 / STEP_S)):
            fleet.run(STEP_S, per_s=300)
            most = max(most, fleet.used_share())
    fleet.groups = {}
    fleet.run(15, per_s=300)
    return fleet, most


if SOURCE:
    BUILD = OtherBuild(SOURCE)

    @pytest.mark.parametrize("policy", (EAGER, LendingPolicy()), ids=("lends", "usual"))
    @pytest.mark.parametrize("seed", range(6))
    @pytest.mark.parametrize("size", (3, 8, 12, 40))
    def test_a_fleet_keeps_to_the_limit_while_it_is_replaced(size, seed, policy):
        fleet, most = replace_in_turn(BUILD, size, seed, policy)
        assert not fleet.old
        assert most <= 1 + 1e-9
        assert fleet.most_in_window("greedy") <= BOUND
