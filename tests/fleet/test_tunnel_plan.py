"""Tunnels go through VMs with room on their links."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from gentianfold.fleet.membership import Member
from gentianfold.fleet.messages import NO_REVISION
from gentianfold.fleet.tunnel_plan import TunnelPlan

TRIES = 2000


def make_members(rows):
    return {
        name: Member(
            1, 0.0, zone, 0.5, mbps, 0, 1, NO_REVISION, is_cut_off, None, used_mbps
        )
        for name, zone, mbps, used_mbps, is_cut_off in rows
    }


def count_choices(members, vm="cut"):
    plan = TunnelPlan(random.Random(1))
    choices = [plan.choose(vm, members, number) for number in range(TRIES)]
    assert all(vm not in choice for choice in choices)
    return Counter(choice[0] for choice in choices if choice), choices


@pytest.mark.parametrize("used_mbps", [0.0, 95.0, 120.0])
def test_tunnels_are_spread_by_the_room_on_the_links(used_mbps):
    members = make_members(
        [
            ("cut", "z1", 100, 0, True),
            ("wide", "z1", 100, used_mbps, False),
            ("narrow", "z1", 5, 0, False),
        ]
    )
    counts, _ = count_choices(members)
    expected = 100 / 105 if not used_mbps else 0.5
    assert abs(counts["wide"] / TRIES - expected) < 0.05


def test_a_member_is_told_of_several_vms_also_if_one_has_nearly_all_room():
    members = make_members(
        [
            ("cut", "z1", 5, 0, True),
            ("large", "z1", 1000, 0, False),
            *((f"s{number}", "z1", 5, 0, False) for number in range(3)),
            *((f"t{number}", "z2", 5, 0, False) for number in range(3)),
        ]
    )
    _, choices = count_choices(members)
    assert {len(choice) for choice in choices} == {4}
    assert all({name[0] for name in choice[:2]} <= {"l", "s"} for choice in choices)
    assert sum("large" in choice for choice in choices) > 0.95 * TRIES


def test_without_vms_that_have_paths_there_is_none():
    assert count_choices(make_members([("cut", "z1", 5, 0, True)]))[0] == Counter({})
