"""The floor under faults: routers that lose most of their upstreams."""

from __future__ import annotations

from random import Random

import attrs

from gentianfold.model import Service, Upstream, UpstreamState
from gentianfold.reports._matrix_axes import (
    UPSTREAM_FAULTS,
    Fault,
    Promise,
    Step,
)
from gentianfold.reports._matrix_case import Case, Observation
from gentianfold.routing.choice import Choice
from gentianfold.routing.floor import floor_slots
from gentianfold.routing.outcome import Outcome, OutcomeKind
from gentianfold.routing.router import Router

VM_COUNT = 4
"""VMs of the fleet."""
UPSTREAM_COUNT = 8
"""Upstreams of the service."""
SICK_COUNT = 6
"""Upstreams that turn sick; more than the floor lets go."""
FLOOR = 0.5
"""Floor of the service."""
SLOTS = 6
"""Slots of an upstream."""
STEP_S = 0.5
"""Time between two ticks."""
BREAK_S, DRAIN_S, HEAL_S, END_S = 5.0, 15.0, 25.0, 35.0
"""When faults begin, an upstream starts to leave, faults end, and the run ends."""
REQUESTS = 4
"""Requests on each VM between two ticks."""
KINDS = {
    Fault.TIMES_OUT: OutcomeKind.TIMEOUT,
    Fault.SILENT: OutcomeKind.TIMEOUT,
    Fault.TRUNCATES: OutcomeKind.BROKEN,
    Fault.ERRORS: OutcomeKind.ERROR,
    Fault.FLAPS: OutcomeKind.ERROR,
    Fault.SHEDS: OutcomeKind.SHED,
}
"""What attempts at a sick upstream come to."""


@attrs.define(eq=False)
class _Run:
    """One case while it runs."""

    case: Case
    seen: Observation = attrs.field(factory=Observation)
    random: Random = attrs.field(init=False)
    service: Service = attrs.field(
        factory=lambda: Service("registry", floor_fraction=FLOOR)
    )
    upstreams: list[Upstream] = attrs.field(init=False)
    routers: dict[str, Router] = attrs.field(factory=dict)
    paused: set[str] = attrs.field(factory=set)
    late: list[tuple[float, str, str, str, bytes]] = attrs.field(factory=list)
    running: list[tuple[Router, Outcome]] = attrs.field(factory=list)
    now_s: float = 100.0
    start_s: float = 100.0
    restarts: int = 0

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.case.seed)
        self.upstreams = [
            Upstream(f"u{i}", "registry", f"10.0.0.{i}", 80, f"z{i % 3}", SLOTS)
            for i in range(UPSTREAM_COUNT)
        ]
        for number in range(VM_COUNT):
            self._start(f"vm{number}")

    @property
    def faults(self) -> set[Fault]:
        """Faults that are present now."""
        begun = BREAK_S <= self.now_s - self.start_s < HEAL_S
        return set(self.case.faults) if begun else set()

    def play(self) -> None:
        """Let the time pass."""
        while self.now_s - self.start_s < END_S:
            self._tick()

    def _start(self, vm: str) -> None:
        self.restarts += 1
        seed = self.case.seed * 1000 + self.restarts
        router = Router(vm, f"z{int(vm[2:]) % 3}", Random(seed))
        router.on_snapshot(
            [self.service], self.upstreams, self.now_s, fleet_vms=VM_COUNT
        )
        self.routers[vm] = router

    def _tick(self) -> None:
        self.now_s += STEP_S
        elapsed_s = self.now_s - self.start_s
        self.paused = {"vm1"} if Fault.PAUSE in self.faults else set()
        if elapsed_s in (BREAK_S, DRAIN_S) and Fault.CRASH in self.faults:
            self._start("vm2")
        if elapsed_s == DRAIN_S:
            self._drain()
        if elapsed_s == HEAL_S:
            self._publish()
        self._deliver()
        self._finish()
        for vm, router in self.routers.items():
            if vm not in self.paused:
                self._step(vm, router)
        self._check()

    def _step(self, vm: str, router: Router) -> None:
        router.on_tick(self.now_s)
        for number in range(REQUESTS):
            self._request(router, str(number % 3))
        if payload := router.urgent_payload(self.now_s):
            self._spread(vm, payload)
        self._spread(vm, router.heartbeat_payload(self.now_s))

    def _request(self, router: Router, mark: str) -> None:
        choice = router.choose(
            "registry", frozenset(), self.now_s, route=mark, customer=mark
        )
        if not isinstance(choice, Choice):
            return
        name = choice.upstream.name
        if self._leaving(name):
            self.seen.violate(Promise.LEAVING, f"{router.vm} chose {name}")
        router.started(name, self.now_s, route=mark, customer=mark)
        kind = self._outcome(int(name[1:]))
        outcome = Outcome(name, kind, STEP_S, mark, mark)
        if self.case.step is Step.PLACE:
            self.running.append((router, outcome))
        else:
            router.finished(outcome, self.now_s)

    def _finish(self) -> None:
        """End the attempts of the last tick; those of a paused VM go on."""
        for router, outcome in self.running:
            if router.vm not in self.paused:
                router.finished(outcome, self.now_s)
        self.running = [pair for pair in self.running if pair[0].vm in self.paused]

    def _outcome(self, number: int) -> OutcomeKind:
        sick = BREAK_S <= self.now_s - self.start_s < HEAL_S
        if not sick or number >= SICK_COUNT:
            return OutcomeKind.OK
        kinds = [fault for fault in self.case.faults if fault in UPSTREAM_FAULTS]
        if not kinds:
            return OutcomeKind.ERROR
        fault = kinds[number % len(kinds)]
        if fault is Fault.FLAPS and int(self.now_s) % 4 < 2:
            return OutcomeKind.OK
        return KINDS[fault]

    def _spread(self, sender: str, payload: bytes) -> None:
        for receiver in self.routers:
            if receiver != sender and self._passes(sender, receiver):
                self._send(sender, receiver, payload)

    def _send(self, sender: str, receiver: str, payload: bytes) -> None:
        zone = self.routers[sender].table.zone
        doubled = Fault.DUPLICATED in self.faults and self.random.random() < 0.5
        for _ in range(2 if doubled else 1):
            reordered = Fault.REORDERED in self.faults
            delay_s = self.random.uniform(0.0, 3.0) if reordered else 0.0
            self.late.append((self.now_s + delay_s, sender, receiver, zone, payload))

    def _passes(self, sender: str, receiver: str) -> bool:
        faults = self.faults
        if Fault.LOST in faults and self.random.random() < 0.5:
            return False
        if Fault.ONE_WAY in faults and sender == "vm0":
            return False
        halves = int(sender[2:]) % 2 == int(receiver[2:]) % 2
        return halves or Fault.SPLIT not in faults

    def _deliver(self) -> None:
        """Deliver what is due; what is for a paused VM stays."""
        due = [m for m in self.late if m[0] <= self.now_s and m[2] not in self.paused]
        self.late = [message for message in self.late if message not in due]
        for _, sender, receiver, zone, payload in due:
            router = self.routers[receiver]
            router.on_heartbeat(sender, zone, payload, self.now_s)

    def _drain(self) -> None:
        """Let a healthy upstream leave."""
        left = attrs.evolve(self.upstreams[-1], state=UpstreamState.DRAINING)
        self.upstreams = [*self.upstreams[:-1], left]
        self._publish()

    def _publish(self) -> None:
        """Give the upstreams to every VM that isn't paused."""
        for vm, router in self.routers.items():
            if vm not in self.paused:
                router.on_snapshot(
                    [self.service], self.upstreams, self.now_s, fleet_vms=VM_COUNT
                )

    def _leaving(self, name: str) -> bool:
        return self.upstreams[-1].name == name and (
            self.upstreams[-1].state is UpstreamState.DRAINING
        )

    def _check(self) -> None:
        if self.now_s - self.start_s > BREAK_S:
            self.seen.reached = True
        # The routers know no isolation, which is what keeps a late VM from old work.
        if self.now_s - self.start_s > DRAIN_S and Fault.PAUSE not in self.case.faults:
            self.seen.checked.add(Promise.LEAVING)
        for vm, router in self.routers.items():
            if vm not in self.paused:
                self._check_floor(vm, router)

    def _check_floor(self, vm: str, router: Router) -> None:
        rows = router.table.services["registry"].active
        used = sum(row.upstream.slots for row in rows)
        live = [u for u in self.upstreams if u.state is UpstreamState.LIVE]
        floor = floor_slots(SLOTS * UPSTREAM_COUNT, FLOOR)
        if used < SLOTS * len(live):
            # Something was ejected, so that the floor was what stopped more.
            self.seen.checked.add(Promise.FLOOR)
        if used < min(floor, SLOTS * len(live)):
            trace = f"{vm} uses {used} slots at {self.now_s - self.start_s:.1f} s"
            self.seen.violate(Promise.FLOOR, trace)


@attrs.frozen
class FloorBench:
    """Makes most upstreams sick and looks at what each router leaves in use."""

    name: str = "floor"
    """Name of the bench."""
    steps: tuple[Step, ...] = (Step.PLACE, Step.SPREAD)
    """Steps at which the bench can strike."""
    faults: tuple[Fault, ...] = (
        *UPSTREAM_FAULTS,
        Fault.ONE_WAY,
        Fault.SPLIT,
        Fault.PAUSE,
        Fault.CRASH,
        Fault.LOST,
        Fault.DUPLICATED,
        Fault.REORDERED,
    )
    """Faults that the bench can make."""

    def run(self, case: Case) -> Observation:
        """Run a case from start to end."""
        run = _Run(case)
        run.play()
        return run.seen
