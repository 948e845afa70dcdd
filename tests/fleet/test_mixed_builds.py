"""VMs of two builds in one fleet keep to limits, slots, zones and bounds."""

from __future__ import annotations

import asyncio

import attrs
import msgspec
import pytest
from fleet.test_loans_fleet import EAGER, LendingFleet
from fleet.test_membership import make_member
from fleet.test_messages import RECORDED, fields_of
from fleet.test_quota_fleet import BOUND, BURST, RATE_PER_S, STEP_S
from fleet.test_quota_machine import EXAMPLES, LimitedFleet, settings_for
from hypothesis import seed
from loguru import logger
from placement.model import make_request

from gentianfold.clock import ManualClock
from gentianfold.fleet.broker import Broker
from gentianfold.fleet.membership import Membership, MemberTable, Role
from gentianfold.fleet.messages import (
    Heartbeat,
    HeartbeatReply,
    RecallSlots,
    Redirect,
    SlotGranted,
    SlotUses,
    UpstreamCold,
    UpstreamEntry,
    decode,
    encode,
)
from gentianfold.fleet.node import Node
from gentianfold.fleet.node_view import NodeView
from gentianfold.fleet.pending_request import to_decision
from gentianfold.fleet.store_revision import NO_REVISION, StoreRevision
from gentianfold.model import Configuration, Customer, RateLimit, Route
from gentianfold.model.route import PathKind
from gentianfold.model.service import Warmup
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import Refused
from gentianfold.placement.slot_scheduler import SlotScheduler

REVISION = StoreRevision(1, 1)
LENGTHS = {name: len(fields_of(data)) for name, data in RECORDED.items()}


def as_older(message):
    """Return a message as a VM of the earliest build writes or reads it; or ``None``."""
    length = LENGTHS.get(type(message).__name__)
    if length is None:
        return None
    return decode(msgspec.msgpack.encode(fields_of(encode(message))[:length]))


@attrs.define(eq=False)
class OlderWireFleet(LendingFleet):
    """Fleet in which the messages of some VMs are those of the earliest build."""

    older: set = attrs.field(factory=set)
    unread: list = attrs.field(factory=list)
    terms: list = attrs.field(factory=list)
    """Receiver and term of each grant (milliseconds)."""

    def transmit(self, sender, receiver, message):
        if isinstance(message, SlotGranted):
            self.terms.append((receiver, message.term_ms))
        if self.older & {sender, receiver}:
            passed = as_older(message)
            if receiver in self.older and passed is None:
                self.unread.append(message)
            message = passed
        if message is not None:
            super().transmit(sender, receiver, message)

    def used_share(self):
        """Return the sum of the parts of each limit that VMs may use now."""
        return sum(
            node.scheduler.quota.share
            for vm, node in self.nodes.items()
            if not self.is_frozen(vm)
        )


def make_fleet(size, older=()):
    logger.disable("gentianfold")
    limit = RateLimit(RATE_PER_S, BURST)
    customers = {name: Customer(name, limit=limit) for name in ("greedy", "modest")}
    return OlderWireFleet(size, 1, customers, policy=EAGER, older=set(older))


class OlderWireMachine(LimitedFleet):
    """The failures that limits withstand, with every second VM of an older build."""

    @staticmethod
    def fleet_type(size, number, customers, overshoot):
        older = {f"vm{index}" for index in range(number % 2, size, 2)}
        return OlderWireFleet(
            size,
            number,
            customers,
            overshoot=overshoot,
            policy=EAGER,
            older=older,
        )


if not EXAMPLES:
    OlderWireMachine = seed(5)(OlderWireMachine)
TestOlderWireMachine = OlderWireMachine.TestCase
TestOlderWireMachine.settings = settings_for(EXAMPLES or 8, 8)


@pytest.mark.parametrize("size", (8, 40))
def test_vms_that_are_replaced_in_turn_keep_to_the_limit_and_serve_up_to_it(size):
    fleet = make_fleet(size, {f"vm{number}" for number in range(size)})
    fleet.run(12, per_s=60)
    served = len(fleet.sent["greedy"])
    for vm in sorted(fleet.nodes):
        fleet.nodes[vm].begin_stop()
        fleet.run(0.2, per_s=300)
        fleet.older.discard(vm)
        fleet.start(vm)
        fleet.run(1.0, per_s=300)
        assert fleet.used_share() <= 1 + 1e-9
    assert fleet.most_in_window("greedy") <= BOUND
    assert len(fleet.sent["greedy"]) - served > 0.6 * RATE_PER_S * 1.2 * size


def test_a_broker_that_states_no_seeds_proves_none():
    # Its replies counted as contact with a seed: what was left of its fleet used an
    # eighth of the limits beside the restarted seeds, which used all.
    fleet = make_fleet(8, {"vm7"})
    fleet.run(12, per_s=60)
    fleet.nodes["vm0"]._hand_over("vm7")
    fleet.run(6, per_s=60)
    assert fleet.brokers() == ["vm7"]
    for vm in fleet.seeds:
        fleet.groups[vm] = "seeds"
        fleet.start(vm)
    fleet.run(16, per_s=60)
    fleet.nodes.pop("vm7")
    for _ in range(round(8 / STEP_S)):
        fleet.run(STEP_S, per_s=60)
        assert fleet.used_share() <= 1 + 1e-9


def test_a_broker_with_a_smaller_fleet_gets_no_share_of_the_larger_one():
    # It would use the share as a quarter of the limits, the VM owns a fortieth.
    fleet = make_fleet(2)
    fleet.run(12, per_s=0)
    node = fleet.nodes["vm1"]
    node.shares.own.fleet_size = 40
    reply = HeartbeatReply(
        1, (), 3, 0, "", -1, NO_REVISION, NO_REVISION, lease_stamp_ms=1, fleet_size=4
    )
    node.shares.own.end_lease("vm0", 10**9)
    node._handle_heartbeat_reply("vm0", reply, fleet.now_s)
    assert node.shares.own.fleet_size == 40
    assert node.shares.own.stamp_ms("vm0") == 0
    node._handle_redirect("vm0", Redirect("vm0", 1, 4), fleet.now_s)
    assert node.shares.own.fleet_size == 40


def test_an_older_broker_is_sent_only_what_it_reads():
    fleet = make_fleet(4, {"vm3"})
    fleet.run(12, per_s=12)
    assert any(True for node in fleet.nodes.values() for _ in node.loans.slots.idle())
    fleet.nodes["vm0"]._hand_over("vm3")
    fleet.run(6, per_s=12)
    assert fleet.brokers() == ["vm3"]
    assert fleet.unread == []
    for node in fleet.nodes.values():
        assert list(node.loans.slots.idle()) == []


def test_a_member_with_an_older_build_is_lent_nothing():
    fleet = make_fleet(4, {"vm1", "vm2"})
    fleet.run(12, per_s=24)
    assert {vm for vm, term_ms in fleet.terms if term_ms} == {"vm3"}
    assert {vm for vm, _ in fleet.terms} == {"vm1", "vm2", "vm3"}
    assert not [row for row in fleet.unread if isinstance(row, RecallSlots)]


class Sent(list):
    """Transport that keeps what is sent."""

    def send(self, vm, message):
        self.append((vm, message))


class StillNode(Node):
    """Node on the clock of the test."""

    def _now_s(self):
        return self.lease_clock.now_s()


WARMUPS = {"desk": Warmup(3.0, 2.0)}
ROUTE = Route(
    "r", frozenset(), "/", PathKind.PREFIX, "desk", homes=frozenset({"north"})
)
CONFIGURATION = Configuration(
    1,
    (ROUTE,),
    frozenset({"desk"}),
    {"c": Customer("c")},
    {},
    warmups=WARMUPS,
)


def make_node(role, now_s=1000.0):
    """Return a node, with an upstream in each zone, and what it sends."""
    logger.disable("gentianfold")
    sent, view, scheduler = Sent(), NodeView(), SlotScheduler()
    regions = {"z1": "north", "z2": "south", "z3": "south"}
    broker = Broker("a", 1, (), scheduler, sent, view)
    view.routing.regions = regions
    membership = Membership("a", ())
    node = StillNode(
        "a",
        "z1",
        1,
        1.0,
        100.0,
        scheduler,
        membership,
        broker,
        sent,
        view,
        lease_clock=ManualClock(now_s),
    )
    entries = [
        UpstreamEntry(f"u-{zone}", REVISION, False, "desk", "h", 1, zone, 2, False, 1)
        for zone in ("z1", "z2", "z3")
    ]
    view.upstreams.replace(entries, REVISION)
    view.routing.configuration = CONFIGURATION
    scheduler.warmups.warmups = WARMUPS
    node.upstreams.apply(now_s)
    if role is Role.BROKER:
        membership.become_broker()
    else:
        membership.follow("b")
        reply = HeartbeatReply(1, (), 1, 0, "", 0, REVISION, REVISION)
        node._handle_heartbeat_reply("b", reply, now_s)
        assert membership.role is Role.MEMBER
    sent.clear()
    return node, sent


async def ask(node, sent, **changes):
    """Return what a request is answered, and the excluded upstreams that it named."""
    placing = asyncio.create_task(node.slots.place(make_request(**changes)))
    await asyncio.sleep(0.01)
    asked = [message for _, message in sent if type(message).__name__ == "AcquireSlot"]
    if placing.done():
        return placing.result(), asked
    placing.cancel()
    return None, asked


@pytest.mark.anyio
async def test_requests_to_an_older_broker_exclude_what_the_vm_would_not_use():
    # It granted upstreams of evacuated zones, outside of homes, and cold ones, one
    # after the other, while the request waited.
    now_s = asyncio.get_running_loop().time()
    node, sent = make_node(Role.MEMBER, now_s)
    node.evacuations.replace({"z2": REVISION}, REVISION)
    _, (asked,) = await ask(node, sent)
    assert asked.excluded == ("u-z2",)
    sent.clear()
    _, (asked,) = await ask(node, sent, slot_request_id=2, zones=("z2", "z3"))
    assert asked.excluded == ("u-z1", "u-z2")
    sent.clear()
    node.scheduler.record_cold("u-z1", 1, now_s + 3, now_s)
    _, (asked,) = await ask(node, sent, slot_request_id=3)
    assert asked.excluded == ("u-z1", "u-z2")
    sent.clear()
    answer, asked = await ask(node, sent, slot_request_id=4, zones=("z1", "z2"))
    assert isinstance(answer, Refused)
    assert not asked


@pytest.mark.anyio
async def test_grants_of_cold_upstreams_by_an_older_broker_are_returned():
    # It keeps no bound: with those of the others, they crashed the upstream.
    now_s = asyncio.get_running_loop().time()
    node, sent = make_node(Role.MEMBER, now_s)
    placing = asyncio.create_task(node.slots.place(make_request()))
    await asyncio.sleep(0.01)
    node.scheduler.record_cold("u-z1", 1, now_s + 3, now_s)
    granted = decode(RECORDED["SlotGranted"])
    granted = msgspec.structs.replace(
        granted, slot_request_id=1, upstream="u-z1", start_time_ms=1
    )
    node.receive("b", granted)
    await asyncio.sleep(0.01)
    placed = await placing
    assert placed.upstream != "u-z1"
    released = [
        message.slot_request_id
        for _, message in sent
        if type(message).__name__ == "ReleaseSlot"
    ]
    assert released[0] == 1


def test_an_older_broker_is_not_told_of_cold_upstreams():
    node, sent = make_node(Role.MEMBER)
    node.notices.record_cold("answer", "u-z1", 1, 2.0, 1000.0)
    assert not [message for _, message in sent if isinstance(message, UpstreamCold)]


def test_requests_of_older_vms_stay_within_the_homes_that_the_broker_knows():
    node, sent = make_node(Role.BROKER)
    heartbeat = Heartbeat(1, "z3", 1.0, 100.0, 0, -1, REVISION, ())
    node._handle_heartbeat("old", heartbeat, 1000.0)
    for number in range(1, 4):
        message = msgspec.structs.replace(
            decode(RECORDED["AcquireSlot"]),
            slot_request_id=number,
            route="r",
            customer="c",
            zone="z3",
            excluded=(),
            fingerprint=b"",
            attempt=1,
        )
        node.receive("old", message)
    granted = [
        message.upstream
        for _, message in sent
        if type(message).__name__ == "SlotGranted"
    ]
    assert granted == ["u-z1", "u-z1"]


def test_a_slot_that_was_lent_ends_at_an_older_broker_with_its_request():
    # Only the message that it doesn't read told it: the slot stayed in use, and what
    # had happened was lost.
    node, sent = make_node(Role.MEMBER)
    granted = SlotGranted(900, "u-z1", "h", 1, 100, 0, 1, 5000)
    request, placement = make_request(900), to_decision(granted, "a", 1000.0)
    node.scheduler.register_grant(request, "u-z1", 1000.0)
    node.loans.borrow(request, placement)
    assert node.loans.release(placement, Outcome.FAILED, 0.25, 0, None, None)
    ((vm, message),) = sent
    assert not isinstance(message, SlotUses)
    assert (vm, message.slot_request_id, message.elapsed_ms) == ("b", 900, 250)


def test_of_equal_vms_one_with_this_build_follows_as_broker():
    table = MemberTable()
    for vm, cpu_share, protocol in (("a", 1.0, 0), ("b", 0.9, 1), ("c", 2.1, 0)):
        member = make_member(cpu_share=cpu_share, protocol=protocol)
        table.record_heartbeat(vm, member)
    assert table.deputies() == ("c", "b", "a")
    table.record_heartbeat("a", make_member(protocol=1))
    assert table.deputies() == ("c", "a", "b")
