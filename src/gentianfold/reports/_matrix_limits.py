"""Limits under faults: limiters of several VMs and one bucket over them all."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs

from gentianfold.limits.limiter import Limiter
from gentianfold.limits.messages import Ask, Grant, Heartbeat
from gentianfold.model import RateLimit
from gentianfold.reports._matrix_axes import Fault, Promise, Step
from gentianfold.reports._matrix_case import Observation
from gentianfold.reports.limits_fleet import Fleet

if TYPE_CHECKING:
    from gentianfold.limits.messages import Message
    from gentianfold.reports._matrix_case import Case

LIMITS = {"stall": RateLimit(0.5, 6.0), "large": RateLimit(16.0, 12.0)}
"""Limits of the customers, all of which send far above their rate."""
VM_COUNT = 5
"""VMs of the fleet."""
STRIKE_S = 9.0
"""Time from which the first message of the step brings the faults."""
FLOOD_START_S = 8.0
"""Time of the first requests, when the fleet is in possession of its slots."""
HEAL_S = 14.0
"""Time from the faults to their end."""
END_S = 26.0
"""End of a run."""
RESTART_S = 3.0
"""Time from a crash to the start of a new process."""
LOSS = 0.2
"""Part of the messages that is lost or doubled after the first one."""
FLOOD_S = 0.6
"""Time between two floods of requests."""
FLOOD_COUNTS = {"stall": 1, "large": 4}
"""Requests of a customer to each VM in one flood."""
ROUNDING = 1e-6
"""Tokens that may be missing by rounding."""


@attrs.define(eq=False)
class _Strike:
    """The faults of a case, brought by the first message of its step."""

    case: Case
    fleet: Fleet
    armed: bool = False
    struck_s: float | None = None
    cuts: set[tuple[str, str]] = attrs.field(factory=set)
    held: list[tuple[str, Message]] = attrs.field(factory=list)

    def filter(
        self, vm: str, outbox: list[tuple[str, Message]]
    ) -> list[tuple[str, Message]]:
        """Return what is really sent."""
        for index, (receiver, message) in enumerate(outbox):
            if self.armed and _is_step(self.case.step, vm, message):
                self.armed = False
                return self._strike(vm, receiver, index, outbox)
        return outbox

    def _strike(
        self, sender: str, receiver: str, index: int, outbox: list[tuple[str, Message]]
    ) -> list[tuple[str, Message]]:
        fleet, faults = self.fleet, set(self.case.faults)
        self.struck_s = fleet.now_s
        victim = receiver if self.case.seed % 2 else sender
        message = outbox[index]
        copies = [message]
        if Fault.DUPLICATED in faults:
            fleet.duplication = LOSS
            copies.append(message)
        if Fault.LOST in faults:
            fleet.loss = LOSS
            copies.pop()
        if Fault.REORDERED in faults:
            fleet.jitter_s = 1.0
        fleet.at(fleet.now_s, lambda: self._break(victim))
        fleet.at(fleet.now_s + HEAL_S, lambda: self._heal(victim))
        return outbox[:index] + copies + outbox[index + 1 :]

    def _break(self, victim: str) -> None:
        fleet, faults = self.fleet, set(self.case.faults)
        names = sorted(fleet.vms)
        odd = self.case.seed % 2 == 1
        others = [name for name in names if name != victim]
        if Fault.ONE_WAY in faults:
            pairs = ((victim, name) for name in others)
            self.cuts |= {(a, b) if odd else (b, a) for a, b in pairs}
        if Fault.SPLIT in faults:
            side = {victim} if odd else {victim, others[0]}
            self.cuts |= {
                pair
                for pair in itertools.product(names, names)
                if (pair[0] in side) != (pair[1] in side)
            }
        if Fault.PLATFORM_STALE in faults:
            fleet.publish(9, others, others)
        if Fault.PLATFORM_OLDER in faults:
            fleet.publish(1, names[:VM_COUNT], names)
        if Fault.PAUSE in faults:
            fleet.pause(victim)
        if Fault.CRASH in faults:
            # A second victim, so that a pause and a crash don't hide each other.
            gone = victim if Fault.PAUSE not in faults else _next(names, victim)
            fleet.crash(gone)
            fleet.at(fleet.now_s + RESTART_S, lambda: _restart(fleet, gone))

    def _heal(self, victim: str) -> None:
        fleet = self.fleet
        self.cuts.clear()
        fleet.loss = fleet.duplication = fleet.jitter_s = 0.0
        if fleet.vms[victim].paused:
            fleet.resume(victim)
        fleet.publish(10, sorted(fleet.vms), list(fleet.vms))


class _WatchedLimiter(Limiter):
    """A limiter whose messages pass through the faults of a case."""

    strike: _Strike

    def take_outbox(self) -> list[tuple[str, Message]]:
        """Return the messages that are really sent."""
        return self.strike.filter(self.own_vm, super().take_outbox())


@attrs.frozen
class LimitsBench:
    """Floods a fleet of limiters and compares admissions with one bucket."""

    name: str = "limits"
    """Name of the bench."""
    steps: tuple[Step, ...] = (
        Step.ADMIT,
        Step.JOIN,
        Step.HAND_OVER,
        Step.PLEDGE,
        Step.LEND,
        Step.LEAVE,
    )
    """Steps at which the bench can strike."""
    faults: tuple[Fault, ...] = (
        Fault.ONE_WAY,
        Fault.SPLIT,
        Fault.PAUSE,
        Fault.CRASH,
        Fault.PLATFORM_STALE,
        Fault.PLATFORM_OLDER,
        Fault.LOST,
        Fault.DUPLICATED,
        Fault.REORDERED,
    )
    """Faults that the bench can make."""
    limiter: type[Limiter] = Limiter
    """Class of the limiters."""

    def run(self, case: Case) -> Observation:
        """Run a case from start to end."""
        if case.step is Step.ADMIT and len(case.faults) > 1:
            # Pairs cost minutes; here they would differ little from those of LEND.
            return Observation()
        fleet = Fleet(seed=case.seed)
        strike = _Strike(case, fleet)
        fleet.build = _builder(self.limiter, strike)
        fleet.connected = lambda sender, receiver: (sender, receiver) not in strike.cuts
        names = [f"vm{number}" for number in range(VM_COUNT)]
        for name in names:
            fleet.start(name)
        fleet.publish(2, names, names)
        fleet.at(FLOOD_START_S, lambda: _flood(fleet))
        fleet.run_until(STRIKE_S)
        strike.armed = True
        _provoke(case.step, fleet, names)
        fleet.run_until(END_S)
        return _observe(fleet, strike)


def _builder(base: type[Limiter], strike: _Strike) -> type[Limiter]:
    return type("Watched", (_WatchedLimiter, base), {"strike": strike})


def _is_step(step: Step, vm: str, message: Message) -> bool:
    if step is Step.ADMIT:
        return isinstance(message, Ask)
    if step is Step.LEND:
        return isinstance(message, Grant)
    if not isinstance(message, Heartbeat):
        return False
    return {
        Step.JOIN: vm == "joiner",
        Step.HAND_OVER: bool(message.releasing),
        Step.PLEDGE: message.pledge is not None,
        Step.LEAVE: message.stopping,
    }[step]


def _provoke(step: Step, fleet: Fleet, names: list[str]) -> None:
    """Start the exchange that the step belongs to."""
    if step in (Step.JOIN, Step.HAND_OVER):
        fleet.start("joiner")
        members = [*names, "joiner"]
        fleet.publish(3, members, members)
    if step is Step.LEAVE:
        vm = fleet.vms[names[0]]
        vm.limiter.on_stop(vm.local_s(fleet.now_s))


def _flood(fleet: Fleet) -> None:
    for vm, customer in itertools.product(list(fleet.vms), LIMITS):
        for _ in range(FLOOD_COUNTS[customer]):
            fleet.request(vm, customer, [("all", LIMITS[customer])])
    fleet.at(fleet.now_s + FLOOD_S, lambda: _flood(fleet))


def _observe(fleet: Fleet, strike: _Strike) -> Observation:
    seen = Observation(reached=strike.struck_s is not None)
    for customer, limit in LIMITS.items():
        times_s = sorted(
            outcome.settled_s
            for outcome in fleet.outcomes
            if outcome.customer == customer and outcome.failure is None
        )
        if strike.struck_s is not None and times_s and times_s[-1] > strike.struck_s:
            seen.checked.add(Promise.LIMIT)
        excess = excess_tokens(times_s, limit)
        if excess > ROUNDING:
            trace = f"{customer} got {excess:.2f} tokens more than its limit"
            seen.violate(Promise.LIMIT, trace)
    return seen


def excess_tokens(times_s: list[float], limit: RateLimit) -> float:
    """Return by how much admissions exceed a limit in the worst window."""
    level, at_s, excess = limit.burst, 0.0, 0.0
    for time_s in times_s:
        refill = (time_s - at_s) * limit.rate_per_s
        level = min(limit.burst, level + refill) - 1.0
        at_s, excess = time_s, max(excess, -level)
    return excess


def _restart(fleet: Fleet, name: str) -> None:
    fleet.start(name)


def _next(names: list[str], name: str) -> str:
    return names[(names.index(name) + 1) % len(names)]
