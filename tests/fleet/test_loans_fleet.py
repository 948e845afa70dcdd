"""VMs place requests on what the broker lent; limits hold whatever fails meanwhile."""

from __future__ import annotations

import attrs
import pytest
from fleet.test_quota_fleet import (
    BURST,
    LIMIT,
    RATE_PER_S,
    STEP_S,
    Fleet,
)
from fleet.test_quota_machine import EXAMPLES, LimitedFleet, settings_for
from loguru import logger
from placement.model import make_request, make_upstream

from gentianfold.fleet.membership import Role
from gentianfold.fleet.messages import RecallSlots, SlotGranted
from gentianfold.fleet.pending_request import to_decision
from gentianfold.model import Customer, RateLimit
from gentianfold.placement.lending import LendingPolicy
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import Queued

EAGER = LendingPolicy(min_load=-1.0, full_load=0.0)
"""Lends as a broker does that is beyond its load, whatever the rate of the test."""


@attrs.define(eq=False)
class LendingFleet(Fleet):
    """Fleet whose broker lends; VMs use lent slots first, as ``SlotClient`` does."""

    policy: LendingPolicy = EAGER
    grants: dict = attrs.field(factory=dict)
    lent_uses: int = 0
    recalls: int = 0
    left_share: float = 0.0
    """Share of the requests whose callers leave, 0 to 1."""
    used: list = attrs.field(factory=list)
    """Time (seconds) and upstream of each request of a member."""

    def start(self, vm, **kwargs):
        super().start(vm, **kwargs)
        self.nodes[vm].broker.loans.lender.policy = self.policy

    def transmit(self, sender, receiver, message):
        if isinstance(message, SlotGranted):
            self.grants[receiver, message.slot_request_id] = (sender, message)
        self.recalls += isinstance(message, RecallSlots)
        super().transmit(sender, receiver, message)

    def count(self, vm, slot_request_id):
        key = (vm, slot_request_id)
        customer, granted = self.asked.pop(key, None), self.grants.pop(key, None)
        if customer is None:
            return
        self.sent[customer].append(self.now_s)
        outcome, node = self.draw_outcome(), self.nodes[vm]
        if granted is None:
            node.scheduler.release(key, outcome, 0.01, self.now_s)
            return
        placement = to_decision(granted[1], granted[0], self.now_s)
        request = make_request(slot_request_id, vm=vm, customer=customer)
        node.scheduler.register_grant(request, placement.upstream, self.now_s)
        node.loans.borrow(request, placement)
        node.release(placement, outcome, 0.01)
        self.used.append((self.now_s, placement.upstream))
        # The client would return a grant that it has not asked for.
        node.slots._granted_by[slot_request_id] = granted[0]

    def request(self, vm, customer):
        node = self.nodes.get(vm)
        if node is None or self.is_frozen(vm):
            return
        node.lease_clock.time_s = self.now_s
        request = make_request(next(self.ids), vm=vm, customer=customer)
        placement = node.loans.place(request)
        if placement is None:
            super().request(vm, customer)
            return
        self.lent_uses += 1
        self.sent[customer].append(self.now_s)
        self.used.append((self.now_s, placement.upstream))
        node.release(placement, self.draw_outcome(), 0.01)

    def draw_outcome(self):
        has_left = self.left_share and self.random.random() < self.left_share
        return Outcome.CANCELLED if has_left else Outcome.SUCCEEDED


def make_fleet(size, seed=1, policy=EAGER):
    logger.disable("gentianfold")
    limit = RateLimit(RATE_PER_S, BURST)
    names = ("greedy", "modest")
    customers = {name: Customer(name, limit=limit) for name in names}
    return LendingFleet(size, seed, customers, policy=policy)


class LendingLimitedFleet(LimitedFleet):
    """The failures that limits withstand, with tokens lent ahead."""

    fleet_type = LendingFleet


TestLendingLimitedFleet = LendingLimitedFleet.TestCase
TestLendingLimitedFleet.settings = settings_for(EXAMPLES or 12, 10)


def test_most_requests_below_a_limit_need_no_round_trip():
    fleet = make_fleet(4)
    fleet.run(12, per_s=12)
    before, lent_before = len(fleet.sent["greedy"]), fleet.lent_uses
    fleet.run(20, per_s=12)
    served = len(fleet.sent["greedy"]) - before
    assert served >= 0.97 * 12 * 20
    assert fleet.lent_uses - lent_before > 0.5 * served


def test_lending_gives_a_customer_above_its_limit_no_more_and_hardly_less():
    served, most = [], []
    for policy in (EAGER, LendingPolicy()):
        fleet = make_fleet(8, policy=policy)
        fleet.run(12, per_s=40)
        before = len(fleet.sent["greedy"])
        fleet.run(20, per_s=200)
        served.append(len(fleet.sent["greedy"]) - before)
        most.append(fleet.most_in_window("greedy"))
    assert most[0] <= most[1]
    assert served[0] >= 0.9 * RATE_PER_S * 20


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("size", (3, 6, 12))
def test_bursts_after_quiet_times_keep_to_the_limit_with_lots_out(size, seed):
    # Lots that the broker did not count, or VMs that used them late, came on top.
    fleet = make_fleet(size, seed)
    fleet.run(12, per_s=12)
    for _ in range(8):
        fleet.loss = fleet.random.choice((0.0, 0.3))
        frozen = fleet.random.choice(sorted(set(fleet.nodes) - set(fleet.brokers())))
        fleet.frozen[frozen] = fleet.now_s + fleet.random.choice((0.0, 0.9, 1.4))
        fleet.run(fleet.random.choice((1.0, 3.0)), per_s=fleet.random.choice((8, 20)))
        fleet.run(fleet.random.choice((0.6, 2.0)), per_s=400)
    assert fleet.lent_uses > 0
    assert fleet.most_in_window("greedy") <= LIMIT + 1


@pytest.mark.parametrize("end", ("killed", "late", "cut"))
def test_vms_go_on_with_what_they_hold_without_the_broker(end):
    fleet = make_fleet(4)
    fleet.run(14, per_s=12)
    (broker,) = fleet.brokers()
    if end == "killed":
        del fleet.nodes[broker]
    elif end == "late":
        fleet.slow[broker] = 0.5
    else:
        fleet.groups[broker] = "cut"
    before = fleet.lent_uses
    fleet.run(0.5, per_s=20)
    assert fleet.lent_uses - before >= 3


def test_a_new_broker_learns_which_slots_are_lent():
    fleet = make_fleet(4)
    fleet.run(14, per_s=12)
    (broker,) = fleet.brokers()
    del fleet.nodes[broker]
    fleet.run(9, per_s=12)
    (successor,) = fleet.brokers()
    scheduler = fleet.nodes[successor].scheduler
    held = {
        (vm, entry[0])
        for vm, node in fleet.nodes.items()
        if node.membership.role is Role.MEMBER
        for entry in node.loans.held_slots(vm)
    }
    assert held
    assert all(scheduler.is_known(key) for key in held)


def test_a_queue_gets_the_idle_slots_within_a_few_ticks():
    fleet = make_fleet(4)
    fleet.run(14, per_s=12)
    (broker,) = fleet.brokers()
    scheduler = fleet.nodes[broker].scheduler
    assert scheduler.lent.idle_count > 0
    scheduler.replace_upstreams(
        [make_upstream("u", scheduler.granted_count)], fleet.now_s
    )
    request = make_request(10**6, vm=broker, customer="modest")
    assert isinstance(scheduler.request_slot(request, fleet.now_s), Queued)
    fleet.run(STEP_S * 4, per_s=0)
    assert fleet.recalls > 0
    assert scheduler.waiting_count == 0


def test_a_broker_that_keeps_up_lends_nothing():
    fleet = make_fleet(4, policy=LendingPolicy())
    fleet.run(14, per_s=12)
    assert fleet.lent_uses == 0
    (broker,) = fleet.brokers()
    assert fleet.nodes[broker].scheduler.lent.idle_count == 0


def test_a_vm_asks_for_tokens_only_while_slots_are_lent():
    # Heartbeats named all customers of a VM, and the bytes of a calm fleet doubled.
    fleet = make_fleet(4, policy=LendingPolicy())
    fleet.run(14, per_s=12)
    member = next(vm for vm in fleet.nodes if vm not in fleet.brokers())
    loans = fleet.nodes[member].loans
    assert loans.tokens._wishes(fleet.now_s)
    assert loans.ask(fleet.brokers()[0]).wishes == ()
    fleet = make_fleet(4)
    fleet.run(14, per_s=12)
    assert any(
        node.loans.ask(fleet.brokers()[0]).wishes
        for vm, node in fleet.nodes.items()
        if vm not in fleet.brokers()
    )


def test_lent_slots_keep_no_healthy_upstream_without_requests():
    # VMs went on with lent slots of a few upstreams while callers of a fifth of the
    # requests left: the others got nothing for two seconds.
    fleet = make_fleet(8)
    fleet.run(14, per_s=0)
    (broker,) = fleet.brokers()
    names = [f"u{number}" for number in range(40)]
    for node in fleet.nodes.values():
        upstreams = [make_upstream(name, 4) for name in names]
        node.scheduler.replace_upstreams(upstreams, fleet.now_s)
    fleet.customers[""], fleet.sent[""] = Customer(""), []
    members = sorted(set(fleet.nodes) - {broker})
    start_s = fleet.now_s
    while fleet.now_s < start_s + 14:
        fleet.left_share = 0.2 if fleet.now_s > start_s + 4 else 0.0
        fleet.step()
        for vm in fleet.random.choices(members, k=10):
            fleet.request(vm, "")
        if fleet.now_s > start_s + 4 + 2:
            used = {name for at_s, name in fleet.used if fleet.now_s - at_s <= 1.2}
            assert len(used) >= 0.9 * len(names), fleet.now_s - start_s
    assert fleet.lent_uses > 0.2 * len(fleet.used)


def test_requests_that_a_vm_refuses_without_its_broker_count_as_unserved():
    # A broker that answered late served all that it decided on, and kept to few
    # upstreams while VMs refused a part of the requests themselves.
    fleet = make_fleet(4)
    fleet.run(14, per_s=0)
    (broker,) = fleet.brokers()
    member = next(vm for vm in fleet.nodes if vm != broker)
    scheduler = fleet.nodes[broker].scheduler
    for number in range(20):
        scheduler.request_slot(make_request(number, vm=broker), fleet.now_s)
    assert not scheduler.room("desk", fleet.now_s).is_underserved
    for number in range(3):
        fleet.nodes[member].loans.record_unserved(make_request(number, vm=member))
    fleet.run(STEP_S * 4, per_s=0)
    assert scheduler.room("desk", fleet.now_s).is_underserved
