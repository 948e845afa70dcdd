"""VMs know their share of the slots when they lose the broker."""

from __future__ import annotations

from collections import Counter

import msgspec
from fleet.test_quota_fleet import Fleet
from loguru import logger
from placement.model import make_upstream

from gentianfold.fleet.membership import Member, MemberTable, Role
from gentianfold.fleet.messages import HeartbeatReply
from gentianfold.fleet.store_revision import NO_REVISION

SLOTS = 4
UPSTREAMS = 10


def make_fleet(size, seed=1):
    logger.disable("gentianfold")
    fleet = Fleet(size, seed, {})
    for node in fleet.nodes.values():
        names = [f"u{number}" for number in range(UPSTREAMS)]
        upstreams = [make_upstream(name, SLOTS) for name in names]
        node.scheduler.replace_upstreams(upstreams, fleet.now_s)
    return fleet


def run(fleet, duration_s):
    end_s = fleet.now_s + duration_s
    while fleet.now_s < end_s:
        fleet.step()


def shares(node):
    return {
        tracker.upstream.name: tracker.share_slots
        for tracker in node.scheduler.trackers()
    }


def find_broker(fleet):
    (broker,) = fleet.brokers()
    return broker


def test_members_hold_each_slot_once_when_they_lose_the_broker():
    fleet = make_fleet(6)
    run(fleet, 6)
    broker = find_broker(fleet)
    assert set(shares(fleet.nodes[broker]).values()) == {None}
    for vm in fleet.names:
        fleet.groups[vm] = vm
    run(fleet, 2)
    held = Counter()
    for vm in set(fleet.names) - {broker}:
        if fleet.nodes[vm].membership.role is not Role.BROKER:
            held.update(shares(fleet.nodes[vm]))
        else:
            assert set(shares(fleet.nodes[vm]).values()) == {None}
    assert held
    assert max(held.values()) <= SLOTS


def test_a_member_that_becomes_broker_uses_all_slots():
    fleet = make_fleet(5)
    run(fleet, 6)
    old = find_broker(fleet)
    fleet.groups[old] = "cut"
    run(fleet, 6)
    (new,) = set(fleet.brokers()) - {old}
    assert set(shares(fleet.nodes[new]).values()) == {None}
    held = Counter()
    for vm in set(fleet.names) - {old, new}:
        held.update(shares(fleet.nodes[vm]))
    assert held == {f"u{number}": SLOTS for number in range(UPSTREAMS)}


def test_ranks_follow_members_that_come_go_and_change_zones():
    table = MemberTable()

    def join(vm, zone):
        table.record_heartbeat(vm, Member(1, 0.0, zone, 1.0, 20.0, 0, 0, NO_REVISION))

    for vm, zone in (("b", "z1"), ("a", "z1"), ("c", "z2"), ("d", "z1")):
        join(vm, zone)
    assert [table.rank_in_zone(vm) for vm in "abcd"] == [(0, 3), (1, 3), (0, 1), (2, 3)]
    table.remove("a")
    assert table.rank_in_zone("d") == (1, 2)
    join("c", "z1")
    assert [table.rank_in_zone(vm) for vm in "bcd"] == [(0, 3), (1, 3), (2, 3)]


def test_replies_are_read_across_builds():
    # Older builds end the message at the tokens, newer ones add fields.
    revision = msgspec.to_builtins(NO_REVISION)
    fields = [7, 1, [], 4, 0, "", 0, revision, revision]
    old = msgspec.convert(fields, HeartbeatReply)
    assert (old.zone_rank, old.zone_vm_count) == (0, 0)
    sent = msgspec.json.decode(msgspec.json.encode(old))
    new = msgspec.convert([*sent[:-3], 2, 5, 9, "later"], HeartbeatReply)
    assert (new.zone_rank, new.zone_vm_count, new.process) == (2, 5, 9)
