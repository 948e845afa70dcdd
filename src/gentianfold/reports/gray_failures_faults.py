"""Gray failures of one upstream, as the report causes them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from gentianfold.routing.outcome import OutcomeKind

if TYPE_CHECKING:
    import random


@attrs.frozen
class Attempt:
    """What a fault may look at."""

    vm: int
    """Index of the VM."""
    zone: str
    """Zone of the VM."""
    upstream: str
    """Name of the upstream."""
    route: str
    """Name of the route."""
    customer: str
    """Name of the customer."""
    since_s: float
    """Time since the fault began."""


@attrs.frozen
class Effect:
    """What a fault does to one attempt."""

    kind: OutcomeKind = OutcomeKind.OK
    """What comes of it."""
    factor: float = 1.0
    """Factor on its service time."""


UNHARMED = Effect()
"""The fault does not touch the attempt."""


class Fault(Protocol):
    """Decides what happens to each attempt while the fault lasts."""

    def effect(self, attempt: Attempt, rng: random.Random) -> Effect:
        """Return what the fault does to an attempt at any upstream."""
        ...


@attrs.frozen
class Failing:
    """Fails a share of the attempts at one upstream."""

    upstream: str
    """Name of the sick upstream."""
    kind: OutcomeKind
    """What comes of its failing attempts."""
    share: float = 1.0
    """Share that fails."""
    route: str = ""
    """The only route that fails, if any."""
    customer: str = ""
    """The only customer whose requests fail, if any."""
    period_s: float = 0.0
    """Period of flapping: the first half is bad; 0 for always bad."""

    def effect(self, attempt: Attempt, rng: random.Random) -> Effect:
        """Fail the attempt if it matches."""
        if attempt.upstream != self.upstream:
            return UNHARMED
        if self.route and attempt.route != self.route:
            return UNHARMED
        if self.customer and attempt.customer != self.customer:
            return UNHARMED
        if self.period_s and attempt.since_s % self.period_s > self.period_s / 2:
            return UNHARMED
        return Effect(self.kind) if rng.random() < self.share else UNHARMED


@attrs.frozen
class LostPath:
    """Loses the path of one VM or zone to one upstream, or to all."""

    upstream: str = ""
    """Name of the upstream; empty for all."""
    vm: int = -1
    """Index of the VM; negative for the zone."""
    zone: str = ""
    """Name of the zone."""

    def effect(self, attempt: Attempt, rng: random.Random) -> Effect:
        """Let the attempt go silent if it takes the lost path."""
        if self.upstream and attempt.upstream != self.upstream:
            return UNHARMED
        if attempt.vm == self.vm or attempt.zone == self.zone:
            return Effect(OutcomeKind.TIMEOUT)
        return UNHARMED


@attrs.frozen
class Slow:
    """Slows a share of the attempts at one upstream."""

    upstream: str
    """Name of the slow upstream."""
    share: float
    """Share that is slow."""
    factor: float
    """Factor on the service time."""
    warm_s: float = 0.0
    """Time over which the factor falls to one; 0 for never."""

    def effect(self, attempt: Attempt, rng: random.Random) -> Effect:
        """Slow the attempt down."""
        if attempt.upstream != self.upstream or rng.random() >= self.share:
            return UNHARMED
        if not self.warm_s:
            return Effect(factor=self.factor)
        left = 1.0 - attempt.since_s / self.warm_s
        if left <= 0.0:
            return UNHARMED
        return Effect(factor=1.0 + (self.factor - 1.0) * left)


@attrs.frozen
class Mode:
    """A gray mode of the report."""

    name: str
    """Its name in tables."""
    fault: Fault
    """What it does."""
    ejectable: bool = True
    """Whether the fault should eject the upstream for all VMs."""
    joins: bool = False
    """Whether the sick upstream joins when the fault begins."""
    slots: int = 0
    """Slots that are left at the sick upstream; 0 for all."""


def gray_modes(sick: str, zone: str) -> list[Mode]:
    """Return all modes for a sick upstream, seen from one zone where it matters."""
    kind = OutcomeKind
    return [
        Mode("refuses connections", Failing(sick, kind.CONNECT_FAILED)),
        Mode("answers 500 to all", Failing(sick, kind.ERROR)),
        Mode("accepts, goes silent", Failing(sick, kind.TIMEOUT)),
        Mode("30% times out", Failing(sick, kind.TIMEOUT, 0.3)),
        Mode("half truncated", Failing(sick, kind.BROKEN, 0.5)),
        Mode("flaps every 2 s", Failing(sick, kind.TIMEOUT, period_s=2.0)),
        Mode("flaps every 10 s", Failing(sick, kind.TIMEOUT, period_s=10.0)),
        Mode("flaps every 30 s", Failing(sick, kind.TIMEOUT, period_s=30.0)),
        Mode("slow tail (20% x 20)", Slow(sick, 0.2, 20.0), False),
        Mode("one route fails", Failing(sick, kind.ERROR, route="claim"), False),
        Mode("one customer fails", Failing(sick, kind.ERROR, customer="c1"), False),
        Mode("path of one VM lost", LostPath(sick, vm=0), False),
        Mode("one VM reaches nothing", LostPath(vm=0), False),
        Mode("path of one zone lost", LostPath(sick, zone=zone), False),
        Mode("sheds half", Failing(sick, kind.SHED, 0.5), False),
        Mode("cold start (x 8)", Slow(sick, 1.0, 8.0, 20.0), False, joins=True),
        Mode("one slot left, load says 0", Slow(sick, 0.0, 1.0), False, slots=1),
    ]
