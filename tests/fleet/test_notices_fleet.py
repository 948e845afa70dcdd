"""VMs keep to what upstreams told them, whatever lists, brokers and datagrams say."""

from __future__ import annotations

import itertools
import random

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from loguru import logger
from placement.model import make_request

from gentianfold.fleet.broker import Broker
from gentianfold.fleet.membership import Membership, Role
from gentianfold.fleet.messages import UpstreamEntry, decode, encode
from gentianfold.fleet.node import Node
from gentianfold.fleet.node_view import NodeView
from gentianfold.fleet.pending_request import to_placement
from gentianfold.fleet.store_revision import StoreRevision
from gentianfold.forwarding.upstream_notice import UpstreamNotice
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import Granted
from gentianfold.placement.slot_scheduler import SlotScheduler

VM_COUNT = 4
UPSTREAM_COUNT = 4
STEP_S = 0.05
HEARTBEAT_STEPS = 8
DRAIN_S = 2.0
TOLERANCE_S = 0.5
TOLERATED_REQUESTS = 2


@attrs.define
class Clock:
    now_s: float = 100.0


class SteppedNode(Node):
    """Node whose clock the test advances."""

    clock = Clock()

    def _now_s(self):
        return self.clock.now_s


@attrs.define
class Transport:
    """Delivers datagrams at once, or loses them."""

    vm: str
    machine: NoticedFleet

    def send(self, receiver, message):
        if self.machine.random.random() < self.machine.loss:
            return
        node = self.machine.nodes.get(receiver)
        if node is not None and not self.machine.is_cut & {self.vm, receiver}:
            node.receive(self.vm, decode(encode(message)))


@attrs.define
class Upstream:
    start: int = 1
    is_leaving: bool = False
    pause_s: float = 0.0


@attrs.define
class Pause:
    told_s: float
    until_s: float
    count: int = 0


class NoticedFleet(RuleBasedStateMachine):
    """Requests of several VMs to upstreams that leave or want pauses."""

    @initialize(seed=st.integers(0, 9_999))
    def start(self, seed):
        logger.disable("gentianfold")
        self.random = random.Random(seed)
        self.clock = SteppedNode.clock = Clock()
        self.loss, self.is_cut = 0.0, set()
        self.ids = itertools.count(1)
        self.revision = 1
        self.upstreams = {f"u{number}": Upstream() for number in range(UPSTREAM_COUNT)}
        self.steps = 0
        self.told_leaving = {}
        self.told_pause = {}
        self.late = []
        self.most_in_pause = 0
        self.nodes = {}
        self.broker = "vm0"
        for number in range(VM_COUNT):
            self.start_vm(f"vm{number}")
        self.set_roles()

    def start_vm(self, vm):
        scheduler, view, transport = SlotScheduler(), NodeView(), Transport(vm, self)
        broker = Broker(vm, 1, (), scheduler, transport, view)
        self.nodes[vm] = SteppedNode(
            vm,
            "z1",
            1,
            1.0,
            100.0,
            scheduler,
            Membership(vm, ()),
            broker,
            transport,
            view,
        )
        self.list_upstreams(vm)

    def set_roles(self):
        for vm, node in self.nodes.items():
            node.membership.broker = self.broker
            is_broker = vm == self.broker
            node.membership.role = Role.BROKER if is_broker else Role.MEMBER
            node.membership.last_reply_s = self.clock.now_s

    @rule(vm=st.integers(0, VM_COUNT - 1))
    def list_again(self, vm):
        """Read a list that says that all upstreams are ready."""
        self.list_upstreams(f"vm{vm}")

    def list_upstreams(self, vm):
        self.revision += 1
        node = self.nodes[vm]
        entries = [
            UpstreamEntry(
                name,
                StoreRevision(1, self.revision),
                service="desk",
                host="h",
                port=1,
                zone="z1",
                slots=3,
                start_time_ms=upstream.start,
                sequence=self.revision,
            )
            for name, upstream in self.upstreams.items()
        ]
        node.view.upstreams.replace(entries, StoreRevision(1, self.revision))
        node.upstreams.apply(self.clock.now_s)

    @rule(number=st.integers(0, UPSTREAM_COUNT - 1))
    def leave(self, number):
        self.upstreams[f"u{number}"].is_leaving = True

    @rule(
        number=st.integers(0, UPSTREAM_COUNT - 1),
        pause_s=st.sampled_from([0.0, 1.0, 2.5, 8.0]),
    )
    def want_pause(self, number, pause_s):
        self.upstreams[f"u{number}"].pause_s = pause_s

    @rule(number=st.integers(0, UPSTREAM_COUNT - 1))
    def restart_upstream(self, number):
        name = f"u{number}"
        self.upstreams[name] = Upstream(self.upstreams[name].start + 1)

    @rule(vm=st.integers(0, VM_COUNT - 1))
    def restart_vm(self, vm):
        name = f"vm{vm}"
        for told in (self.told_leaving, self.told_pause):
            for key in [key for key in told if key[0] == name]:
                del told[key]
        self.start_vm(name)
        self.set_roles()

    @rule(vm=st.integers(0, VM_COUNT - 1))
    def change_broker(self, vm):
        self.broker = f"vm{vm}"
        self.set_roles()

    @rule(loss=st.sampled_from([0.0, 0.4, 1.0]), cut=st.integers(0, VM_COUNT))
    def disturb(self, loss, cut):
        self.loss, self.is_cut = loss, {f"vm{cut}"}

    @rule(seconds=st.integers(1, 5))
    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.steps += 1
            self.clock.now_s += STEP_S
            vm = f"vm{self.random.randrange(VM_COUNT)}"
            self.send(vm)
            if self.steps % HEARTBEAT_STEPS == 0:
                self.send_heartbeats()

    def send_heartbeats(self):
        now_s = self.clock.now_s
        for vm, node in self.nodes.items():
            node.scheduler.observe_running(now_s)
            if vm != self.broker:
                node.transport.send(self.broker, node._make_heartbeat(now_s))

    def send(self, vm):
        """Send a request; a VM that can't reach the broker places it alone."""
        node, now_s = self.nodes[vm], self.clock.now_s
        is_alone = bool(self.is_cut & {vm, self.broker}) or self.loss >= 1
        placer = node if is_alone else self.nodes[self.broker]
        request = make_request(next(self.ids), vm=vm)
        decision = placer.scheduler.request_slot(request, now_s)
        key = (vm, request.slot_request_id)
        if not isinstance(decision, Granted):
            placer.scheduler.release(key, Outcome.CANCELLED, 0, now_s)
            return
        placement = to_placement(request, decision, "")
        if placer is not node and not node.is_withdrawn(placement):
            node.scheduler.register_grant(request, placement.upstream, now_s)
        if node.is_withdrawn(placement):
            placer.scheduler.release(key, Outcome.CANCELLED, 0, now_s)
            return
        outcome, pause_s = self.arrive(vm, placement)
        node.release(placement, outcome, 0.0, pause_s=pause_s)
        if placer is not node:
            placer.scheduler.release(key, outcome, 0.0, now_s)

    def arrive(self, vm, placement):
        """Check a request against the rules, and answer it."""
        now_s = self.clock.now_s
        upstream = self.upstreams[placement.upstream]
        key = (vm, placement.upstream, upstream.start)
        if placement.start_time_ms != upstream.start:
            return Outcome.MISDIRECTED, None
        if now_s > self.told_leaving.get(key, now_s) + DRAIN_S:
            self.late.append(key)
        pauses = self.told_pause.setdefault(key, [])
        for pause in pauses:
            pause.count += pause.told_s + TOLERANCE_S < now_s < pause.until_s
            self.most_in_pause = max(self.most_in_pause, pause.count)
        pause_s = upstream.pause_s or None
        if upstream.is_leaving:
            self.told_leaving.setdefault(key, now_s)
        if pause_s:
            for pause in pauses:
                # The latest answer counts.
                pause.until_s = min(pause.until_s, now_s + pause_s)
            pauses.append(Pause(now_s, now_s + pause_s))
        if upstream.is_leaving or pause_s:
            notice = UpstreamNotice(upstream.is_leaving, pause_s)
            self.nodes[vm].record_notice(placement, notice)
        return (Outcome.SHED if pause_s else Outcome.SUCCEEDED), pause_s

    @invariant()
    def leaving_upstreams_get_no_late_requests(self):
        assert not getattr(self, "late", [])

    @invariant()
    def pausing_upstreams_get_few_requests(self):
        assert getattr(self, "most_in_pause", 0) <= TOLERATED_REQUESTS

    def teardown(self):
        logger.enable("gentianfold")


NoticedFleet.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=20, deadline=None
)
TestNoticedFleet = NoticedFleet.TestCase
