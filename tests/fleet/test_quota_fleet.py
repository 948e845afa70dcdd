"""A customer gets at most its limit from a fleet of any size, whatever fails in it."""

from __future__ import annotations

import bisect
import heapq
import itertools
import random

import attrs
import pytest
from loguru import logger
from placement.model import make_request, make_upstream

from gentianfold.clock import ManualClock
from gentianfold.fleet.broker import Broker
from gentianfold.fleet.membership import Membership, Role
from gentianfold.fleet.messages import SlotGranted, to_acquire_slot
from gentianfold.fleet.node import Node
from gentianfold.fleet.node_view import NodeView
from gentianfold.fleet.share_lease import LEASE_TERM_S, unknown_part
from gentianfold.model import Customer, RateLimit
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.quota_table import QuotaTable
from gentianfold.placement.slot_request import Granted, Queued
from gentianfold.placement.slot_scheduler import SlotScheduler

WINDOW_S = 5.0
STEP_S = 0.05
RATE_PER_S, BURST = 20.0, 60.0
LIMIT = RATE_PER_S * WINDOW_S + BURST
BOUND = LIMIT * 1.25 + 20
"""Requests of one customer in a window that the users' rules allow."""
MODEST_PER_S = 6.0
MAX_CONNECT_S = 3.0
SEED_COUNT = 3


class SteppedNode(Node):
    """Node on the clock of the test; it ignores decisions on queued requests."""

    def _now_s(self):
        return self.lease_clock.now_s()

    def _deliver_decisions(self, now_s):
        self.shares.refresh()
        for (vm, slot_request_id), decision in list(self.scheduler.advance(now_s)):
            if vm != self.vm:
                self.broker.send_decision(vm, slot_request_id, decision)
            elif isinstance(decision, Granted):
                self.transport.fleet.count(vm, slot_request_id)


@attrs.define
class Transport:
    """Hands messages to the network of the fleet."""

    vm: str
    fleet: Fleet

    def send(self, receiver, message):
        self.fleet.transmit(self.vm, receiver, message)


@attrs.define(eq=False)
class Fleet:
    """VMs on one simulated clock, with a network that delays, loses and cuts."""

    size: int
    seed: int
    customers: dict
    now_s: float = 1000.0
    random: random.Random = attrs.field(init=False)
    names: list = attrs.field(init=False)
    seeds: list = attrs.field(init=False)
    nodes: dict = attrs.field(factory=dict)
    frozen: dict = attrs.field(factory=dict)
    groups: dict = attrs.field(factory=dict)
    slow: dict = attrs.field(factory=dict)
    loss: float = 0.0
    in_flight: list = attrs.field(factory=list)
    ids: itertools.count = attrs.field(factory=lambda: itertools.count(1))
    asked: dict = attrs.field(factory=dict)
    sent: dict = attrs.field(factory=dict)
    connect_failures: float = 0.0
    connecting: list = attrs.field(factory=list)
    refused: dict = attrs.field(factory=dict)
    start_allowance: int = 0
    overshoot: float = 0.0

    def __attrs_post_init__(self):
        self.random = random.Random(self.seed)
        self.sent = {name: [] for name in self.customers}
        self.refused = {name: 0 for name in self.customers}
        self.names = [f"vm{number}" for number in range(self.size)]
        self.seeds = self.names[:SEED_COUNT]
        for name in self.names:
            self.start(name, is_first_start=True)

    def start(self, vm, is_first_start=False):
        clock = ManualClock(self.now_s)
        scheduler = SlotScheduler(quota=QuotaTable(WINDOW_S))
        scheduler.quota.replace_customers(self.customers)
        scheduler.replace_upstreams([make_upstream("u", 100_000)], self.now_s)
        view, transport = NodeView(), Transport(vm, self)
        seeds = tuple(self.seeds)
        broker = Broker(
            vm,
            1,
            seeds,
            scheduler,
            transport,
            view,
            is_first_start=is_first_start,
            overshoot=self.overshoot,
        )
        incarnation = next(self.ids)
        self.nodes[vm] = SteppedNode(
            vm,
            "z1",
            incarnation,
            1.0,
            100.0,
            scheduler,
            Membership(vm, seeds),
            broker,
            transport,
            view,
            lease_clock=clock,
        )
        self.nodes[vm].shares.start_allowance = self.start_allowance
        self.frozen.pop(vm, None)

    def transmit(self, sender, receiver, message):
        if self.groups.get(sender) != self.groups.get(receiver):
            return
        if self.random.random() < self.loss:
            return
        delay_s = 0.002 + self.slow.get(sender, 0.0) + self.slow.get(receiver, 0.0)
        entry = (self.now_s + delay_s, next(self.ids), sender, receiver, message)
        heapq.heappush(self.in_flight, entry)

    def step(self):
        self.now_s += STEP_S
        while self.connecting and self.connecting[0][0] <= self.now_s:
            *_, vm, slot_request_id = heapq.heappop(self.connecting)
            self.release(vm, slot_request_id, is_sent=False)
        held = []
        while self.in_flight and self.in_flight[0][0] <= self.now_s:
            entry = heapq.heappop(self.in_flight)
            _, _, sender, receiver, message = entry
            node = self.nodes.get(receiver)
            if node is None:
                continue
            if self.is_frozen(receiver):
                held.append((self.now_s + STEP_S, *entry[1:]))
                continue
            node.lease_clock.time_s = self.now_s
            if isinstance(message, SlotGranted):
                self.count(receiver, message.slot_request_id)
            node.receive(sender, message)
        for entry in held:
            heapq.heappush(self.in_flight, entry)
        for vm, node in list(self.nodes.items()):
            if not self.is_frozen(vm):
                node.lease_clock.time_s = self.now_s
                node.advance()

    def is_frozen(self, vm):
        return self.frozen.get(vm, 0.0) > self.now_s

    def count(self, vm, slot_request_id):
        """Count a request that its VM sends to an upstream now."""
        customer = self.asked.pop((vm, slot_request_id), None)
        if customer is None:
            return
        if self.random.random() < self.connect_failures:
            late_s = self.now_s + self.random.random() * MAX_CONNECT_S
            entry = (late_s, next(self.ids), vm, slot_request_id)
            heapq.heappush(self.connecting, entry)
            # As ``SlotClient`` does: heartbeats list the slot until it is released.
            request = make_request(slot_request_id, vm=vm, customer=customer)
            self.nodes[vm].scheduler.register_grant(request, "u", self.now_s)
            self.nodes[vm].slots._granted_by[slot_request_id] = ""
            return
        self.sent[customer].append(self.now_s)
        self.release(vm, slot_request_id)

    def release(self, vm, slot_request_id, is_sent=True):
        """Free a slot at its VM and at the broker that the VM follows.

        A request that was not sent gives its token back. It does not count against the
        upstream, which would be avoided.
        """
        node = self.nodes.get(vm)
        if node is None:
            return
        key = (vm, slot_request_id)
        broker = self.nodes.get(node.membership.broker or "", node)
        for scheduler in {id(row): row.scheduler for row in (node, broker)}.values():
            grant = scheduler._ledger.grants.get(key)
            if grant is not None and grant.has_token and not is_sent:
                customer = grant.request.customer
                scheduler.quota.refund(customer, grant.granted_at_s)
            scheduler.release(key, Outcome.SUCCEEDED, 0.01, self.now_s)

    def configure(self, customers):
        """Give all VMs a configuration with these customers."""
        self.customers = customers
        for node in self.nodes.values():
            node.scheduler.quota.replace_customers(customers)

    def request(self, vm, customer):
        """Ask for a slot as ``SlotClient`` does."""
        node = self.nodes.get(vm)
        if node is None or self.is_frozen(vm) or customer not in self.customers:
            return
        request = make_request(next(self.ids), vm=vm, customer=customer)
        self.asked[vm, request.slot_request_id] = customer
        membership = node.membership
        if membership.role is Role.MEMBER and membership.has_live_broker(self.now_s):
            node.transport.send(membership.broker, to_acquire_slot(request))
            if not self.is_unanswered(vm, membership.broker):
                return
        if node.slots._may_place_locally(request):
            decision = node.scheduler.request_slot(request, self.now_s)
            if isinstance(decision, Granted):
                self.count(vm, request.slot_request_id)

    def is_unanswered(self, vm, broker):
        """Tell whether the tries of ``SlotClient`` end before a reply."""
        slow_s = self.slow.get(broker, 0.0) + self.slow.get(vm, 0.0)
        is_cut = self.groups.get(vm) != self.groups.get(broker)
        return is_cut or slow_s > 0.1 or self.is_frozen(broker)

    def run(self, seconds, per_s=200, modest=False, greedy=("greedy",)):
        """Run the fleet under customers far above their limits."""
        for _ in range(round(seconds / STEP_S)):
            self.step()
            names = list(self.nodes) or [""]
            for _ in range(round(per_s * STEP_S)):
                self.request(self.pick_vm(names), self.random.choice(greedy))
            if modest and self.random.random() < MODEST_PER_S * STEP_S:
                self.request(self.random.choice(names), "modest")

    def pick_vm(self, names):
        """Return the VM that gets a request of a greedy customer."""
        return self.random.choice(names)

    def most_in_window(self, customer, since_s=0.0, window_s=WINDOW_S):
        times, first, most = sorted(self.sent[customer]), 0, 0
        times = times[bisect.bisect_left(times, since_s) :]
        for last, at_s in enumerate(times):
            while at_s - times[first] >= window_s:
                first += 1
            most = max(most, last - first + 1)
        return most

    def brokers(self):
        return [
            vm for vm, node in self.nodes.items() if node.membership.role is Role.BROKER
        ]


def make_fleet(size, seed=1):
    logger.disable("gentianfold")
    limit = RateLimit(RATE_PER_S, BURST)
    names = ("greedy", "modest")
    return Fleet(size, seed, {name: Customer(name, limit=limit) for name in names})


SIZES = (2, 8, 32, 96, 292, 550)


@pytest.mark.parametrize("size", SIZES)
def test_a_fleet_that_loses_its_broker_grants_no_more_than_the_limit(size):
    # Each VM granted one request whatever its share: 287 of 160 from 292 VMs.
    fleet = make_fleet(size)
    fleet.run(12, per_s=60)
    groups = {vm: vm for vm in fleet.nodes}
    fleet.groups = groups
    fleet.run(8, per_s=1000)
    fleet.groups = {}
    fleet.run(4, per_s=60)
    assert fleet.most_in_window("greedy") <= BOUND


@pytest.mark.parametrize("size", SIZES)
def test_a_broker_that_answers_late_has_no_second_table_beside_it(size):
    fleet = make_fleet(size)
    fleet.run(12, per_s=60)
    (broker,) = fleet.brokers()
    fleet.slow[broker] = 0.3
    fleet.run(8, per_s=600)
    assert fleet.most_in_window("greedy") <= BOUND
    assert len(fleet.sent["greedy"]) > 0.8 * RATE_PER_S * 20


@pytest.mark.parametrize("size", (3, 8, 40))
def test_brokers_that_fail_in_turn_do_not_grant_the_burst_again(size):
    fleet = make_fleet(size)
    fleet.run(16, per_s=0)
    for _ in range(3):
        fleet.run(0.6, per_s=600)
        for broker in fleet.brokers():
            fleet.start(broker)
            fleet.groups[broker] = broker
        fleet.run(1.2, per_s=600)
        fleet.groups.clear()
    fleet.run(3, per_s=600)
    assert fleet.most_in_window("greedy") <= BOUND


@pytest.mark.parametrize("size", (3, 8, 40))
def test_a_seed_that_is_cut_off_and_restarted_takes_no_second_part(size):
    # After 5 s it took the VMs that it saw for the whole fleet: 250 of 3 VMs.
    fleet = make_fleet(size)
    fleet.run(12, per_s=200)
    fleet.groups["vm0"] = "cut"
    fleet.run(0.5, per_s=200)
    fleet.start("vm0")
    fleet.run(12, per_s=400)
    fleet.groups.clear()
    fleet.run(4, per_s=200)
    assert fleet.most_in_window("greedy") <= LIMIT * 1.25


@pytest.mark.parametrize("size", (8, 40))
@pytest.mark.parametrize("new", (0, 4))
def test_seeds_that_all_restart_take_no_part_of_those_that_are_cut_off(size, new):
    fleet = make_fleet(size)
    fleet.run(12, per_s=200)
    for number in range(SEED_COUNT):
        fleet.groups[f"vm{number}"] = "seeds"
        fleet.start(f"vm{number}")
    for number in range(new):
        fleet.groups[f"new{number}"] = "seeds"
        fleet.start(f"new{number}")
    fleet.run(25, per_s=400)
    assert fleet.most_in_window("greedy") <= LIMIT * 1.25


def test_new_vms_take_no_part_of_those_that_are_cut_off():
    fleet = make_fleet(8)
    fleet.run(12, per_s=200)
    fleet.groups = {f"vm{number}": "cut" for number in range(4, 8)}
    for number in range(24):
        fleet.start(f"new{number}")
    fleet.run(25, per_s=1200)
    assert fleet.most_in_window("greedy") <= LIMIT * 1.25


def count_unserved(fleet, seconds):
    """Return the part of a modest customer's requests that got no slot."""
    fleet.asked.clear()
    before = len(fleet.sent["modest"])
    fleet.run(seconds, per_s=0, modest=True)
    fleet.run(0.5, per_s=0)
    served = len(fleet.sent["modest"]) - before
    return len(fleet.asked) / (served + len(fleet.asked))


@pytest.mark.parametrize("size", (3, 12))
@pytest.mark.parametrize("dead", ("vm0", "vm1", "vm2"))
def test_a_fleet_of_which_a_seed_never_starts_serves_a_modest_customer(size, dead):
    fleet = make_fleet(size)
    del fleet.nodes[dead]
    fleet.run(4, per_s=0)
    assert count_unserved(fleet, 20) == 0.0


@pytest.mark.parametrize("size", (3, 12))
def test_a_fleet_that_restarts_as_a_whole_serves_a_modest_customer_at_once(size):
    # It was refused until the leases of the processes before had ended.
    fleet = make_fleet(size)
    fleet.run(10, per_s=0)
    fleet.start_allowance = 4
    for vm in fleet.nodes:
        fleet.start(vm)
    fleet.run(0.5, per_s=0)
    for _ in range(2):
        fleet.request(fleet.names[-1], "modest")
        fleet.run(0.1, per_s=0)
    assert len(fleet.sent["modest"]) == 2
    for _ in range(60):
        fleet.request(fleet.names[-1], "greedy")
    fleet.run(0.1, per_s=0)
    assert len(fleet.sent["greedy"]) == 4


@pytest.mark.parametrize("size", (3, 12))
def test_a_fleet_that_restarts_as_a_whole_serves_once_earlier_leases_have_ended(size):
    # Seeds lent their shares with their next heartbeat only, up to 0.4 s later.
    fleet = make_fleet(size)
    fleet.run(10, per_s=0)
    for vm in fleet.nodes:
        fleet.start(vm)
    restarted_s = fleet.now_s
    while not fleet.sent["greedy"]:
        fleet.run(STEP_S, per_s=400)
    assert fleet.now_s - restarted_s <= LEASE_TERM_S + 6 * STEP_S


@pytest.mark.parametrize("size", (3, 12))
@pytest.mark.parametrize("dead", (None, "vm1"))
def test_a_fleet_that_restarts_as_a_whole_serves_a_modest_customer(size, dead):
    # All seeds back: most of the limits for 12.4 s, then all; one missing: a part.
    fleet = make_fleet(size)
    fleet.run(10, per_s=0)
    for vm in fleet.nodes:
        fleet.start(vm)
    if dead:
        del fleet.nodes[dead]
    fleet.run(4, per_s=0)
    assert count_unserved(fleet, 30) == 0.0
    sent = len(fleet.sent["greedy"])
    fleet.run(10, per_s=400)
    share = 1.0 if dead is None else unknown_part(2, 3)
    assert len(fleet.sent["greedy"]) - sent >= 0.9 * share * RATE_PER_S * 10


@pytest.mark.parametrize("size", (8, 40, 96))
@pytest.mark.parametrize("end", ("killed", "stopped", "frozen", "cut"))
def test_a_modest_customer_is_served_while_the_broker_changes(size, end):
    fleet = make_fleet(size)
    fleet.run(14, per_s=0, modest=True)
    (broker,) = fleet.brokers()
    asked, before = fleet.asked, len(fleet.sent["modest"])
    asked.clear()
    if end == "killed":
        del fleet.nodes[broker]
    elif end == "stopped":
        fleet.nodes[broker].begin_stop()
        fleet.run(0.1, per_s=0)
        del fleet.nodes[broker]
    elif end == "frozen":
        fleet.frozen[broker] = fleet.now_s + 60
    else:
        fleet.groups[broker] = "cut"
    fleet.run(2.5, per_s=0)
    assert len(fleet.brokers()) - (end in ("frozen", "cut")) == 1
    fleet.run(10, per_s=0, modest=True)
    fleet.run(0.5, per_s=0)
    served = len(fleet.sent["modest"]) - before
    lost_beside_it = sum(vm == broker or vm not in fleet.nodes for vm, _ in fleet.asked)
    unserved = len(fleet.asked) - lost_beside_it
    assert unserved <= 0.02 * (served + unserved)


def test_a_broker_that_hands_over_frees_the_slots_of_others():
    # Their releases go to the new broker, so they stayed in use for good.
    fleet = make_fleet(3)
    fleet.run(8, per_s=0)
    (former,) = fleet.brokers()
    scheduler = fleet.nodes[former].scheduler
    scheduler.replace_upstreams([make_upstream("u", 2)], fleet.now_s)
    others = sorted(set(fleet.nodes) - {former})
    requests = [
        make_request(number, vm=vm, customer="unlimited")
        for number, vm in enumerate((former, others[0], others[1]))
    ]
    decisions = [scheduler.request_slot(row, fleet.now_s) for row in requests]
    assert [type(row) for row in decisions] == [Granted, Granted, Queued]
    fleet.nodes[former].begin_stop()
    assert scheduler.granted_count == 1
    assert scheduler.waiting_count == 0
    assert isinstance(
        scheduler.request_slot(attrs.evolve(requests[0], slot_request_id=9), 1010.0),
        Granted,
    )


def test_a_new_fleet_gets_a_broker_with_the_capacity_for_it():
    # The seeds had the least processor time of all VMs, and the broker fell silent.
    fleet = make_fleet(12)
    for vm, node in fleet.nodes.items():
        node.cpu_share = 0.4 if vm in ("vm0", "vm1", "vm2") else 0.9
    fleet.nodes["vm7"].cpu_share = 2.0
    fleet.run(8, per_s=0)
    assert fleet.brokers() == ["vm7"]
    assert len(fleet.nodes["vm7"].broker.member_table.members) == 11


@pytest.mark.parametrize("cut_s", (10, 25))
def test_brokers_without_seeds_find_each_other_after_a_long_cut(cut_s):
    # A deployment leaves the role with any VM. Seeds told a broker of another one, by
    # which it did not go, and both kept their members.
    fleet = make_fleet(14)
    fleet.run(12, per_s=20)
    fleet.nodes["vm0"]._hand_over("vm13")
    fleet.run(3, per_s=20)
    fleet.groups = dict.fromkeys(fleet.names[8:13], "cut")
    fleet.run(cut_s, per_s=20)
    assert set(fleet.brokers()) == {"vm10", "vm13"}
    fleet.groups = {}
    fleet.run(5, per_s=20)
    assert fleet.brokers() == ["vm13"]
