"""VMs keep to evacuations through brokers, restarts, cuts and a store in disruption."""

from __future__ import annotations

import itertools
import random

import attrs
from fleet.test_notices_fleet import Clock, SteppedNode, Transport
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from loguru import logger
from placement.model import make_request

from gentianfold.fleet.broker import Broker
from gentianfold.fleet.evacuation_table import LOST_REQUEST_S, EvacuationTable
from gentianfold.fleet.membership import Membership, Role
from gentianfold.fleet.messages import Evacuations, UpstreamEntry
from gentianfold.fleet.node_view import NodeView
from gentianfold.fleet.pending_request import to_placement
from gentianfold.fleet.store_revision import NO_REVISION, StoreRevision
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import Granted, Refused
from gentianfold.placement.slot_scheduler import SlotScheduler

VM_COUNT = 4
ZONES = ("z1", "z2")
STEP_S = 0.05
HEARTBEAT_STEPS = 8
IN_FORCE_S = 1.5


@attrs.define
class Store:
    """Evacuations with their history; reads may be refused."""

    era: int = 1
    revision: int = 10
    is_down: bool = False
    zones: dict = attrs.field(factory=dict)
    events: list = attrs.field(factory=list)

    def write(self, zone, is_requested):
        self.revision += 1
        revision = StoreRevision(self.era, self.revision)
        if is_requested:
            self.zones[zone] = revision
        else:
            self.zones.pop(zone, None)
        self.events.append((zone, revision, is_requested))

    def make_copy(self):
        return self.revision, dict(self.zones)

    def restore(self, copy):
        self.era += 1
        self.revision, zones = copy
        self.zones = {
            zone: StoreRevision(self.era, revision.number)
            for zone, revision in zones.items()
        }
        self.events.clear()


class EvacuatedFleet(RuleBasedStateMachine):
    """Requests of several VMs while operators evacuate zones and take them back."""

    @initialize(seed=st.integers(0, 9_999))
    def start(self, seed):
        logger.disable("gentianfold")
        self.random = random.Random(seed)
        self.clock = SteppedNode.clock = Clock()
        self.loss, self.is_cut = 0.0, set()
        self.ids = itertools.count(1)
        self.steps = 0
        self.store = Store()
        self.copy = self.store.make_copy()
        # By zone: whether it is evacuated, and since when.
        self.wanted = dict.fromkeys(ZONES, (False, 0.0))
        self.calm_since_s = self.clock.now_s
        self.started_s = {}
        self.late = []
        self.nodes = {}
        self.broker = "vm0"
        for number in range(VM_COUNT):
            self.start_vm(f"vm{number}")
        self.set_roles()

    def start_vm(self, vm):
        scheduler, view, transport = SlotScheduler(), NodeView(), Transport(vm, self)
        broker = Broker(vm, 1, (), scheduler, transport, view)
        membership = Membership(vm, ())
        self.nodes[vm] = node = SteppedNode(
            vm, "z1", 1, 1.0, 100.0, scheduler, membership, broker, transport, view
        )
        self.started_s[vm] = self.clock.now_s
        entries = [
            UpstreamEntry(
                f"u{number}",
                StoreRevision(1, 1),
                service="desk",
                host="h",
                port=1,
                zone=zone,
                slots=9,
                start_time_ms=1,
            )
            for number, zone in enumerate((*ZONES, "z3"))
        ]
        view.upstreams.replace(entries, StoreRevision(1, 1))
        node.upstreams.apply(self.clock.now_s)

    def set_roles(self):
        for vm, node in self.nodes.items():
            node.membership.broker = self.broker
            is_broker = vm == self.broker
            node.membership.role = Role.BROKER if is_broker else Role.MEMBER
            node.membership.last_reply_s = self.clock.now_s

    @rule(zone=st.sampled_from(ZONES), is_requested=st.booleans())
    def write(self, zone, is_requested):
        if self.store.is_down:
            return
        if self.wanted[zone][0] != is_requested:
            self.wanted[zone] = (is_requested, self.clock.now_s)
        self.store.write(zone, is_requested)

    @rule(is_down=st.booleans())
    def disturb_store(self, is_down):
        self.store.is_down = is_down

    @rule()
    def copy_store(self):
        self.copy = self.store.make_copy()

    @rule()
    def restore(self):
        """Return to a copy; operators write again what it has lost."""
        self.store.restore(self.copy)
        for zone, (is_evacuated, _) in self.wanted.items():
            if is_evacuated != (zone in self.store.zones):
                self.store.write(zone, is_evacuated)
        self.copy = self.store.make_copy()

    @rule(vm=st.integers(1, VM_COUNT - 1))
    def restart_vm(self, vm):
        if self.broker != f"vm{vm}":
            self.start_vm(f"vm{vm}")
            self.set_roles()

    @rule(vm=st.integers(0, VM_COUNT - 1))
    def change_broker(self, vm):
        self.broker = f"vm{vm}"
        self.set_roles()

    @rule(loss=st.sampled_from([0.0, 0.4, 1.0]), cut=st.integers(0, VM_COUNT))
    def disturb_links(self, loss, cut):
        self.loss, self.is_cut = loss, {f"vm{cut}"}

    @rule()
    def calm(self):
        self.loss, self.is_cut, self.store.is_down = 0.0, set(), False

    @rule(vm=st.integers(0, VM_COUNT - 1), lists=st.booleans())
    def read(self, vm, lists):
        if self.store.is_down:
            return
        node = self.nodes[f"vm{vm}"]
        node_era = node.view.evacuations.revision.era
        if lists or node_era != self.store.era:
            revision = StoreRevision(self.store.era, self.store.revision)
            node.evacuations.replace(dict(self.store.zones), revision)
        else:
            for event in self.store.events:
                node.evacuations.record_change(*event)

    @rule(seconds=st.integers(1, 4))
    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.steps += 1
            self.clock.now_s += STEP_S
            self.set_roles()
            if self.loss or self.is_cut or self.store.is_down:
                self.calm_since_s = self.clock.now_s
            for node in self.nodes.values():
                node.evacuations.advance()
            if self.steps % HEARTBEAT_STEPS == 0:
                self.read(int(self.broker[2:]), False)
                for vm, node in self.nodes.items():
                    if vm != self.broker:
                        heartbeat = node._make_heartbeat(self.clock.now_s)
                        node.transport.send(self.broker, heartbeat)
            self.send(f"vm{self.steps % VM_COUNT}")

    def send(self, vm):
        node, now_s = self.nodes[vm], self.clock.now_s
        scheduler = self.nodes[self.broker].scheduler
        request = make_request(next(self.ids), vm=vm, idempotent=True)
        decision = scheduler.request_slot(request, now_s)
        if isinstance(decision, Granted):
            placement = to_placement(request, decision, self.broker)
            zone = decision.upstream.zone
            is_evacuated, since_s = self.wanted.get(zone, (False, 0.0))
            calm_s = max(since_s, self.calm_since_s, self.started_s[vm])
            if (
                not node.is_withdrawn(placement)
                and is_evacuated
                and now_s > calm_s + IN_FORCE_S
            ):
                self.late.append((now_s, vm, zone))
        key = (vm, request.slot_request_id)
        scheduler.release(key, Outcome.CANCELLED, 0.0, now_s)
        self.check_taken_back(node)

    def check_taken_back(self, node):
        started_s = max(self.calm_since_s, *self.started_s.values())
        for zone, (is_evacuated, since_s) in self.wanted.items():
            if self.clock.now_s > max(since_s, started_s) + IN_FORCE_S:
                assert (zone in node.view.evacuations.zones) == is_evacuated

    @invariant()
    def nothing_is_sent_late(self):
        assert not getattr(self, "late", ())


EvacuatedFleet.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=25, deadline=None
)
TestEvacuatedFleet = EvacuatedFleet.TestCase


def test_an_evacuation_outlasts_a_store_that_is_down_and_a_change_of_broker():
    fleet = EvacuatedFleet()
    fleet.start(1)
    fleet.run(1)
    fleet.write("z1", True)
    fleet.run(2)
    fleet.disturb_store(True)
    fleet.change_broker(1)
    fleet.restart_vm(2)
    fleet.run(2)
    for node in fleet.nodes.values():
        assert set(node.view.evacuations.zones) == {"z1"}


def test_what_a_restored_store_lacks_is_kept_for_a_while_only():
    table = EvacuationTable()
    table.replace({"z1": StoreRevision(1, 5)}, StoreRevision(1, 5), 0.0)
    assert not table.replace({}, StoreRevision(2, 3), 10.0)
    assert not table.expire(10.0 + LOST_REQUEST_S)
    assert table.expire(10.1 + LOST_REQUEST_S)
    # Another VM that learned of the restoration later adopts the end.
    other = EvacuationTable()
    other.replace({"z1": StoreRevision(1, 5)}, StoreRevision(1, 5), 0.0)
    other.replace({}, StoreRevision(2, 3), 10.0)
    other.merge(table.report(), 80.0)
    assert not other.is_evacuated("z1")


def test_an_older_set_does_not_replace_a_newer_one():
    table = EvacuationTable()
    table.record_change("z1", StoreRevision(1, 5), True, 0.0)
    table.record_change("z1", StoreRevision(1, 6), False, 0.0)
    assert not table.record_change("z1", StoreRevision(1, 5), True, 0.0)
    old = Evacuations(StoreRevision(1, 5), (("z1", StoreRevision(1, 5)),))
    assert not table.merge(old, 0.0)
    assert not table.merge(Evacuations(NO_REVISION), 0.0)
    assert not table.is_evacuated("z1")


def test_an_upstream_of_an_unknown_zone_is_unusable_while_any_zone_is_evacuated():
    view = NodeView()
    assert view.is_usable("u1", 1)
    view.evacuations.record_change("z1", StoreRevision(1, 5), True, 0.0)
    assert not view.is_usable("u1", 1)


def test_capacity_and_waits_leave_the_zone_out_at_once():
    fleet = EvacuatedFleet()
    fleet.start(1)
    node = fleet.nodes["vm0"]
    for zone in (*ZONES, "z3"):
        fleet.store.write(zone, True)
    fleet.read(0, True)
    assert not node.scheduler._trackers.pool("desk").trackers
    decision = node.scheduler.request_slot(make_request(1), fleet.clock.now_s)
    assert isinstance(decision, Refused)
