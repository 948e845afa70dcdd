"""A fleet in which some VMs run another build of the project, from a checkout of it.

By hand: ``PRODUCTION_SRC=CHECKOUT/src python -m pytest tests/fleet/test_replaced_builds.py``
"""

from __future__ import annotations

import importlib
import inspect
import sys

import attrs
from fleet.test_loans_fleet import LendingFleet
from fleet.test_quota_fleet import WINDOW_S, Transport
from placement.model import make_request, make_upstream

from gentianfold.fleet.messages import decode, encode

PACKAGE = "gentianfold"
MODULES = {
    "Broker": "fleet.broker",
    "Membership": "fleet.membership",
    "Role": "fleet.membership",
    "Node": "fleet.node",
    "NodeView": "fleet.node_view",
    "SlotGranted": "fleet.messages",
    "to_acquire_slot": "fleet.messages",
    "to_decision": "fleet.pending_request",
    "encode": "fleet.messages",
    "decode": "fleet.messages",
    "Customer": "model",
    "RateLimit": "model",
    "Upstream": "model",
    "ManualClock": "clock",
    "Outcome": "placement.outcome",
    "QuotaTable": "placement.quota_table",
    "Granted": "placement.slot_request",
    "SlotRequest": "placement.slot_request",
    "SlotScheduler": "placement.slot_scheduler",
}
"""Names that tests use, with their modules in the earliest build in service."""


class OtherBuild:
    """Classes and functions of a build, as attributes."""

    def __init__(self, source):
        own = {name: sys.modules.pop(name) for name in _loaded()}
        sys.path.insert(0, str(source))
        try:
            for name, module in MODULES.items():
                loaded = importlib.import_module(f"{PACKAGE}.{module}")
                setattr(self, name, getattr(loaded, name))
        finally:
            sys.path.remove(str(source))
            for name in _loaded():
                del sys.modules[name]
            sys.modules.update(own)


def _loaded():
    return [name for name in sys.modules if name.split(".")[0] == PACKAGE]


@attrs.define(eq=False)
class MixedFleet(LendingFleet):
    """Messages pass as datagrams, which each VM reads with its own build.

    A VM that is started again runs this build.
    """

    build: object = None
    """Another build, as ``OtherBuild`` returns it."""
    old_count: int = 0
    """VMs that run the other build at first (count)."""
    old: set = attrs.field(factory=set)

    def start(self, vm, is_first_start=False):
        is_old = len(self.nodes) < self.old_count and vm not in self.old
        if is_old and is_first_start:
            self.old.add(vm)
            self.start_old(vm)
            return
        self.old.discard(vm)
        super().start(vm, is_first_start=is_first_start)

    def start_old(self, vm):
        build = self.build
        scheduler = build.SlotScheduler(quota=build.QuotaTable(WINDOW_S))
        upstream = attrs.asdict(make_upstream("u", 100_000), recurse=False)
        fields = attrs.fields_dict(build.Upstream)
        upstream = build.Upstream(
            **{
                name: level
                for name, level in upstream.items()
                if name in fields and name != "state"
            }
        )
        scheduler.replace_upstreams([upstream], self.now_s)
        view, transport = build.NodeView(), Transport(vm, self)
        seeds = tuple(self.seeds)
        node = _stepped(build)(
            vm,
            "z1",
            next(self.ids),
            1.0,
            100.0,
            scheduler,
            build.Membership(vm, seeds),
            build.Broker(vm, 1, seeds, scheduler, transport, view),
            transport,
            view,
            lease_clock=build.ManualClock(self.now_s),
        )
        self.nodes[vm] = node
        self.configure(self.customers)

    def configure(self, customers):
        self.customers = customers
        for vm, node in self.nodes.items():
            shown = customers
            if vm in self.old:
                build = self.build
                shown = {
                    name: build.Customer(
                        name,
                        limit=build.RateLimit(row.limit.rate_per_s, row.limit.burst),
                    )
                    for name, row in customers.items()
                }
            node.scheduler.quota.replace_customers(shown)

    def transmit(self, sender, receiver, message):
        data = self.build.encode(message) if sender in self.old else encode(message)
        read = self.build.decode if receiver in self.old else decode
        message = read(data)
        if message is not None:
            super().transmit(sender, receiver, message)

    def count(self, vm, slot_request_id):
        if vm not in self.old:
            super().count(vm, slot_request_id)
            return
        customer = self.asked.pop((vm, slot_request_id), None)
        if customer is not None:
            self.sent[customer].append(self.now_s)
            key = (vm, slot_request_id)
            outcome = self.build.Outcome.SUCCEEDED
            self.nodes[vm].scheduler.release(key, outcome, 0.01, self.now_s)

    def use_grant(self, vm, broker, message):
        """Send a request of a VM with the other build, as its ``SlotClient`` does."""
        slot_request_id, node = message.slot_request_id, self.nodes[vm]
        customer = self.asked.pop((vm, slot_request_id), None)
        if customer is not None:
            self.sent[customer].append(self.now_s)
            node.slots._granted_by[slot_request_id] = broker
            to_decision = self.build.to_decision
            # Some builds take the time of the grant as well.
            count = len(inspect.signature(to_decision).parameters)
            placement = to_decision(*(message, broker, self.now_s)[:count])
            node.release(placement, self.build.Outcome.SUCCEEDED, 0.01)
            # The client would return a grant that it has not asked for.
            node.slots._granted_by[slot_request_id] = broker

    def request(self, vm, customer):
        if vm not in self.old:
            super().request(vm, customer)
            return
        node = self.nodes.get(vm)
        if node is None or self.is_frozen(vm) or customer not in self.customers:
            return
        build = self.build
        fields = attrs.fields_dict(build.SlotRequest)
        request = attrs.asdict(make_request(next(self.ids), vm=vm, customer=customer))
        request = build.SlotRequest(
            **{name: level for name, level in request.items() if name in fields}
        )
        self.asked[vm, request.slot_request_id] = customer
        membership = node.membership
        if membership.role is build.Role.MEMBER and membership.has_live_broker(
            self.now_s
        ):
            node.transport.send(membership.broker, build.to_acquire_slot(request))
            if not self.is_unanswered(vm, membership.broker):
                return
        if node.slots._may_place_locally(request):
            decision = node.scheduler.request_slot(request, self.now_s)
            if isinstance(decision, build.Granted):
                self.count(vm, request.slot_request_id)

    def brokers(self):
        return [
            vm
            for vm, node in self.nodes.items()
            if node.membership.role.value == "broker"
        ]

    def used_share(self):
        """Return the sum of the parts of each limit that VMs may use now."""
        return sum(
            node.scheduler.quota.share
            for vm, node in self.nodes.items()
            if not self.is_frozen(vm)
        )


def _stepped(build):
    """Return the node of a build on the clock of the test, as ``SteppedNode`` is."""

    class OtherNode(build.Node):
        def _now_s(self):
            return self.lease_clock.now_s()

        def receive(self, vm, message):
            if isinstance(message, build.SlotGranted):
                self.transport.fleet.use_grant(self.vm, vm, message)
            super().receive(vm, message)

        def _deliver_decisions(self, now_s):
            self.shares.refresh()
            for (vm, slot_request_id), decision in list(self.scheduler.advance(now_s)):
                if vm != self.vm:
                    self.broker.send_decision(vm, slot_request_id, decision)
                elif isinstance(decision, build.Granted):
                    self.transport.fleet.count(vm, slot_request_id)

    return OtherNode
