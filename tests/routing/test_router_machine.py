"""Every interleaving keeps the floor and never leaves callers without a choice."""

from __future__ import annotations

import math
import random

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gentianfold.codes.routing import NO_FREE_SLOT, NO_UPSTREAM
from gentianfold.errors import Failure
from gentianfold.model import Service, Upstream, UpstreamState
from gentianfold.routing.choice import Choice
from gentianfold.routing.outcome import Outcome, OutcomeKind
from gentianfold.routing.router import Router

VMS = st.integers(0, 3)
UPSTREAMS = st.integers(0, 7)
BAD = [OutcomeKind.ERROR, OutcomeKind.TIMEOUT, OutcomeKind.BROKEN]


class RouterMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now_s = 50.0
        self.service = Service("registry", floor_fraction=0.6)
        self.published = {i: self._upstream(i) for i in range(5)}
        self.routers = [
            Router(f"vm{i}", f"z{i % 2}", random.Random(i)) for i in range(4)
        ]
        self.running = []
        self._publish()
        self.exchange()

    @staticmethod
    def _upstream(index):
        slots = 1 + index % 3
        host = f"10.0.0.{index}"
        return Upstream(f"u{index}", "registry", host, 80, f"z{index % 2}", slots)

    def _publish(self):
        for router in self.routers:
            upstreams = list(self.published.values())
            router.on_snapshot([self.service], upstreams, self.now_s)

    def _send(self, sender, payload):
        for router in self.routers:
            if router is not sender:
                zone = sender.table.zone
                assert not router.on_heartbeat(sender.vm, zone, payload, self.now_s)

    @rule(seconds=st.sampled_from([0.05, 0.5, 3.0, 40.0]))
    def tick(self, seconds):
        self.now_s += seconds
        for router in self.routers:
            router.on_tick(self.now_s)

    @rule(vm=VMS)
    def heartbeat(self, vm):
        sender = self.routers[vm]
        self._send(sender, sender.heartbeat_payload(self.now_s))

    @rule()
    def exchange(self):
        for sender in self.routers:
            self._send(sender, sender.heartbeat_payload(self.now_s))

    @rule(vm=VMS)
    def urgent(self, vm):
        if payload := self.routers[vm].urgent_payload(self.now_s):
            self._send(self.routers[vm], payload)

    @rule(vm=VMS, noise=st.binary(max_size=40))
    def malformed_sketch(self, vm, noise):
        self.routers[vm].on_heartbeat("vm9", "z9", noise, self.now_s)

    @rule(vm=VMS, idempotent=st.booleans(), mark=st.sampled_from("ab"))
    def start(self, vm, idempotent, mark):
        choice = self.routers[vm].choose(
            "registry",
            frozenset(),
            self.now_s,
            route=mark,
            customer=mark,
            idempotent=idempotent,
        )
        if isinstance(choice, Choice):
            name = choice.upstream.name
            self.routers[vm].started(name, self.now_s, route=mark, customer=mark)
            self.running.append((vm, name, self.now_s, mark))

    @precondition(lambda self: self.running)
    @rule(kind=st.sampled_from(OutcomeKind), index=st.integers(0, 50))
    def finish(self, kind, index):
        vm, name, start_s, mark = self.running.pop(index % len(self.running))
        outcome = Outcome(name, kind, self.now_s - start_s, mark, mark)
        self.routers[vm].finished(outcome, self.now_s)

    @rule(index=UPSTREAMS, kind=st.sampled_from(BAD), vms=st.sets(VMS, min_size=1))
    def fail_at_once(self, index, kind, vms):
        for vm in vms:
            router = self.routers[vm]
            router.started(f"u{index}", self.now_s, route=str(vm), customer=str(vm))
            outcome = Outcome(f"u{index}", kind, 0.0, str(vm), str(vm))
            router.finished(outcome, self.now_s)
            self.urgent(vm)

    @rule(index=UPSTREAMS, vm=VMS, count=st.integers(1, 15))
    def succeed(self, index, vm, count):
        for _ in range(count):
            outcome = Outcome(f"u{index}", OutcomeKind.OK, 0.02, "a", "a")
            self.routers[vm].finished(outcome, self.now_s)

    @rule(index=UPSTREAMS, healthy=st.booleans())
    def probe(self, index, healthy):
        for router in self.routers:
            router.on_probe(f"u{index}", healthy)

    @rule(vm=VMS, index=UPSTREAMS, count=st.integers(1, 3))
    def work_seen_by_all(self, vm, index, count):
        name, router = f"u{index}", self.routers[vm]
        for _ in range(count if name in router.table.rows else 0):
            router.started(name, self.now_s - 1.0, route="a", customer="a")
            self.running.append((vm, name, self.now_s - 1.0, "a"))
        self.heartbeat(vm)

    @rule(vm=VMS, index=UPSTREAMS)
    def rejoin(self, vm, index):
        if index in self.published:
            self.work_seen_by_all(vm, index, 1)
            self.leave(index)
            self.join(index)

    @rule(index=UPSTREAMS)
    def join(self, index):
        self.published.setdefault(index, self._upstream(index))
        self._publish()

    @rule(index=UPSTREAMS)
    def leave(self, index):
        self.published.pop(index, None)
        self._publish()

    @rule(index=UPSTREAMS, state=st.sampled_from(UpstreamState))
    def drain(self, index, state):
        if index in self.published:
            self.published[index] = attrs.evolve(self.published[index], state=state)
        self._publish()

    @property
    def live(self):
        return {
            upstream.name: upstream.slots
            for upstream in self.published.values()
            if upstream.state is UpstreamState.LIVE
        }

    @invariant()
    def floor_holds(self):
        published = sum(upstream.slots for upstream in self.published.values())
        floor = max(1, math.ceil(published * 0.6 - 1e-9))
        live = self.live
        for router in self.routers:
            active = router.table.services["registry"].active
            assert {row.upstream.name for row in active} <= live.keys()
            slots = sum(row.upstream.slots for row in active)
            assert slots >= min(sum(live.values()), floor)

    @invariant()
    def a_live_upstream_is_chosen(self):
        for router, exclude in zip(self.routers, (set(), {0}, {1, 2}, {0, 3}), strict=True):  # fmt: skip
            names = frozenset(f"u{index}" for index in exclude)
            result = router.choose("registry", names, self.now_s)
            eligible = self.live.keys() - names
            if isinstance(result, Choice):
                assert result.upstream.name in eligible
            elif result.code is NO_UPSTREAM:
                assert not eligible
            else:
                assert isinstance(result, Failure)
                assert result.code is NO_FREE_SLOT
                self._assert_full(router, eligible)

    def _assert_full(self, router, eligible):
        rows = [router.table.rows[name] for name in eligible]
        in_use = [row for row in rows if not row.removed] or rows
        assert all(
            row.load >= row.upstream.slots or row.full_until_s > self.now_s
            for row in in_use
        )

    @invariant()
    def counts_match(self):
        for vm, router in enumerate(self.routers):
            for row in router.table.rows.values():
                assert row.in_flight == len(row.attempts) >= 0
                sources = router.observers.rows.values()
                loads = [source.loads.get(row.key, 0.0) for source in sources]
                assert math.isclose(row.remote_load, sum(loads), abs_tol=1e-6)
                assert 0.0 < row.weight <= 1.0
            assert vm == int(router.vm[2:])


TestRouterMachine = RouterMachine.TestCase
TestRouterMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)
