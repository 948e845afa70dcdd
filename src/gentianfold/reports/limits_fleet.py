"""Limiters of several VMs in simulated time, for tests and reports."""

from __future__ import annotations

import heapq
import itertools
from random import Random
from typing import TYPE_CHECKING

import attrs

from gentianfold.limits.admission import Admitted, Waiting
from gentianfold.limits.limiter import Limiter
from gentianfold.limits.messages import encode

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from gentianfold.errors import Failure
    from gentianfold.limits.messages import Message
    from gentianfold.model import RateLimit


@attrs.define
class SimulatedVM:
    """One VM: its limiter and its clock."""

    name: str
    """Name of the VM."""
    zone: int
    """Number of its zone."""
    offset_s: float
    """Its clock at true time zero."""
    clock_rate: float
    """Seconds of its clock in each true second."""
    limiter: Limiter
    """The limiter; replaced at a restart."""
    up: bool = True
    """Whether the process exists."""
    paused: bool = False
    """Whether the VM is suspended."""
    inbox: list[tuple[str, Message]] = attrs.field(factory=list)
    """Messages that arrived during a pause."""
    tick_s: float = 0.0
    """True time of the next tick that is planned."""

    def local_s(self, true_s: float) -> float:
        """Return what the clock of the VM shows."""
        return self.offset_s + true_s * self.clock_rate

    def true_s(self, local_s: float) -> float:
        """Return the true time at which the clock shows a time."""
        return (local_s - self.offset_s) / self.clock_rate


@attrs.define
class Outcome:
    """What came of one request."""

    customer: str
    """Who sent it."""
    vm: str
    """The VM that got it."""
    sent_s: float
    """True time of the request."""
    settled_s: float
    """True time of the outcome."""
    failure: Failure | None
    """Why it was refused."""


@attrs.define
class Fleet:
    """VMs, the messages between them and the requests that they get."""

    seed: int = 0
    """Seed of delays, losses and clocks."""
    delay_s: float = 0.0005
    """One-way delay between VMs."""
    jitter_s: float = 0.0
    """Most that is added to a delay."""
    loss: float = 0.0
    """Part of the messages that is lost."""
    duplication: float = 0.0
    """Part of the messages that arrives twice."""
    build: Callable[[str, int, float], Limiter] = Limiter
    """Makes a limiter from VM name, incarnation and clock time."""
    connected: Callable[[str, str], bool] = lambda sender, receiver: True
    """Tells whether messages pass from one VM to another."""
    now_s: float = 0.0
    """True time."""
    vms: dict[str, SimulatedVM] = attrs.field(factory=dict)
    """The VMs by name."""
    outcomes: list[Outcome] = attrs.field(factory=list)
    """Requests that were settled."""
    messages: int = 0
    """Messages sent between VMs, but for heartbeats."""
    message_bytes: int = 0
    """Their encoded size."""
    heartbeat_bytes: int = 0
    """Encoded size of heartbeats."""
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _numbers: itertools.count[int] = attrs.field(factory=lambda: itertools.count(1))
    _waiting: dict[tuple[str, int], tuple[str, float]] = attrs.field(factory=dict)
    random: Random = attrs.field(init=False)
    """Source of all chance."""

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.seed)

    def start(self, name: str, zone: int = 0, clock_rate: float = 1.0) -> SimulatedVM:
        """Start a process on a VM, a new one or one whose process is gone."""
        old = self.vms.get(name)
        offset_s = old.offset_s if old else self.random.uniform(0.0, 1e6)
        clock_rate = old.clock_rate if old else clock_rate
        incarnation = self.random.getrandbits(62) + 1
        limiter = self.build(name, incarnation, offset_s + self.now_s * clock_rate)
        vm = SimulatedVM(name, zone, offset_s, clock_rate, limiter)
        self.vms[name] = vm
        self._plan_tick(vm)
        return vm

    def crash(self, name: str) -> None:
        """End the process of a VM without notice."""
        self.vms[name].up = False
        for key in [key for key in self._waiting if key[0] == name]:
            del self._waiting[key]

    def pause(self, name: str) -> None:
        """Suspend a VM; its clock goes on."""
        self.vms[name].paused = True

    def resume(self, name: str) -> None:
        """Wake a VM; messages of the meantime arrive now."""
        vm = self.vms[name]
        vm.paused = False
        inbox, vm.inbox = vm.inbox, []
        for sender, message in inbox:
            self._arrive(sender, vm, message)
        self._plan_tick(vm)

    def publish(self, version: int, members: Iterable[str], to: Iterable[str]) -> None:
        """Give some VMs a version of the VM list."""
        for name in to:
            vm = self.vms[name]
            if vm.up and not vm.paused:
                vm.limiter.on_list(version, members, vm.local_s(self.now_s))
                self._flush(vm)

    def request(
        self, name: str, customer: str, limits: list[tuple[str, RateLimit]]
    ) -> None:
        """Let a VM decide on a request now."""
        vm = self.vms[name]
        if not vm.up or vm.paused:
            return
        outcome = vm.limiter.admit(customer, limits, vm.local_s(self.now_s))
        if isinstance(outcome, Waiting):
            self._waiting[name, outcome.ticket] = (customer, self.now_s)
        else:
            self._settle(customer, name, self.now_s, outcome)
        self._flush(vm)

    def at(self, true_s: float, action: Callable[[], None]) -> None:
        """Run an action at a true time."""
        heapq.heappush(self._events, (true_s, next(self._numbers), action))

    def run_until(self, true_s: float) -> None:
        """Run all that happens up to a true time."""
        while self._events and self._events[0][0] <= true_s:
            event_s, _, action = heapq.heappop(self._events)
            self.now_s = max(self.now_s, event_s)
            action()
        self.now_s = max(self.now_s, true_s)

    def _flush(self, vm: SimulatedVM) -> None:
        for receiver, message in vm.limiter.take_outbox():
            self._carry(vm.name, receiver, message)
        for settled in vm.limiter.take_settled():
            customer, sent_s = self._waiting.pop((vm.name, settled.ticket))
            self._settle(customer, vm.name, sent_s, settled.outcome)
        self._plan_tick(vm)

    def _settle(
        self, customer: str, vm: str, sent_s: float, outcome: Admitted | Failure
    ) -> None:
        failure = None if isinstance(outcome, Admitted) else outcome
        self.outcomes.append(Outcome(customer, vm, sent_s, self.now_s, failure))

    def _carry(self, sender: str, receiver: str, message: Message) -> None:
        self._count(message)
        if receiver not in self.vms or not self.connected(sender, receiver):
            return
        if self.loss and self.random.random() < self.loss:
            return
        copies = 1 + (self.duplication > 0 and self.random.random() < self.duplication)
        for _ in range(copies):
            delay_s = self.delay_s + self.random.random() * self.jitter_s
            self.at(
                self.now_s + delay_s,
                lambda: self._deliver(sender, receiver, message),
            )

    def _deliver(self, sender: str, receiver: str, message: Message) -> None:
        vm = self.vms[receiver]
        if not vm.up or not self.connected(sender, receiver):
            return
        if vm.paused:
            vm.inbox.append((sender, message))
            return
        self._arrive(sender, vm, message)

    def _arrive(self, sender: str, vm: SimulatedVM, message: Message) -> None:
        vm.limiter.on_message(sender, message, vm.local_s(self.now_s))
        self._flush(vm)

    def _count(self, message: Message) -> None:
        size = len(encode(message))
        if type(message).__name__ == "Heartbeat":
            self.heartbeat_bytes += size
        else:
            self.messages += 1
            self.message_bytes += size

    def _plan_tick(self, vm: SimulatedVM) -> None:
        due_s = max(vm.true_s(vm.limiter.next_due_s()), self.now_s + 1e-4)
        if self.now_s < vm.tick_s <= due_s + 1e-6:
            return
        vm.tick_s = due_s
        self.at(due_s, lambda: self._tick(vm, due_s))

    def _tick(self, vm: SimulatedVM, planned_s: float) -> None:
        current = self.vms.get(vm.name)
        if current is not vm or not vm.up or vm.paused or vm.tick_s != planned_s:
            return
        vm.limiter.on_tick(vm.local_s(self.now_s))
        vm.tick_s = 0.0
        self._flush(vm)
