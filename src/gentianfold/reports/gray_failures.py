"""Measures detection, false ejections and readmission under gray failures."""

from __future__ import annotations

import random
import statistics
from typing import TYPE_CHECKING

import attrs

from gentianfold.reports.gray_failures_baselines import (
    ConsecutiveErrors,
    LeastLoaded,
    RoundRobin,
)
from gentianfold.reports.gray_failures_faults import gray_modes
from gentianfold.reports.gray_failures_fleet import Exchange, RouterPlacer
from gentianfold.reports.gray_failures_world import Noise, Site, World
from gentianfold.routing.choice import Reason
from gentianfold.routing.floor import floor_slots

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianfold.reports.gray_failures_fleet import VmPlacer
    from gentianfold.routing.policy import RoutingPolicy

SITES = {
    "registry": Site("Batbold registry", 15, 6, 4, 0.0005),
    "dispatch": Site("Batbold dispatch", 10, 6, 4, 0.0005),
    "desk": Site("Portaskulma fitting desk", 17, 3, 3, 0.0015),
    "orders": Site("Portaskulma depot orders", 13, 3, 3, 0.0015),
}
"""The services of both users by short name."""
PLACERS: dict[str, Callable[[], VmPlacer] | None] = {
    "router": None,
    "round robin": RoundRobin,
    "least loaded": LeastLoaded,
    "consecutive errors": ConsecutiveErrors,
}
"""The placers that are compared."""
WARM_S = 30.0
"""Time before the fault."""
FAULT_S = 30.0
"""Length of the fault."""
HEAL_S = 60.0
"""Time watched after the fault."""
QUIET_S = 3.0
"""Time without ordinary work after which an upstream counts as detected."""
SICK = "u1"
"""The upstream that turns sick."""


def make_world(
    site: Site,
    placer: str,
    noise: Noise,
    seed: int,
    policy: RoutingPolicy | None = None,
) -> World:
    """Return a world with one placer a VM, ready to run."""
    world = World(site, noise, random.Random(seed))
    factory = PLACERS[placer]
    if factory is not None:
        world.placers = [factory() for _ in range(site.vms)]
    else:
        routers = [
            RouterPlacer(
                f"vm{i}", world.zone(i), seed * 1000 + i, world.service(), policy
            )
            for i in range(site.vms)
        ]
        world.placers = list(routers)
        world.exchange = Exchange(routers, world.at, lambda: world.now_s, site.delay_s)
    world.start()
    return world


@attrs.frozen
class ModeResult:
    """One run of one gray mode."""

    detected_s: float | None
    """Time from the fault to the last ordinary work; ``None`` if not detected."""
    reacted_s: float | None
    """The same, counted from the first attempt that the fault harmed."""
    harmed: int
    """Attempts that the fault harmed."""
    harmed_late: int
    """Those in the last third of the fault."""
    ejecting_vms: int
    """Most VMs that had ejected the sick upstream at once."""
    false_ejections: int
    """Healthy upstreams that any VM ejected."""
    least_capacity: float
    """Least slots in use on a VM relative to the floor."""
    readmitted_s: float | None
    """Time from the end of the fault until no VM ejects; ``None`` if later."""
    failed: int
    """Requests that got no whole answer."""


def run_mode(
    site: Site,
    placer: str,
    mode_index: int,
    seed: int,
    policy: RoutingPolicy | None = None,
    fault_s: float = FAULT_S,
    heal_s: float = HEAL_S,
) -> ModeResult:
    """Run one gray mode with one seed."""
    world = make_world(site, placer, Noise(), seed, policy)
    world.run(WARM_S)
    joins = gray_modes(SICK, "z1")[mode_index].joins
    sick = world.add_upstream().name if joins else SICK
    if joins:
        world.publish()
    mode = gray_modes(sick, world.zone(int(sick[1:])))[mode_index]
    world.mode, world.mode_s = mode, world.now_s
    if mode.slots:
        world.servers[sick].slots = mode.slots
    before = world.results.copy()
    watch = Watch(world, sick)
    watch.run(fault_s)
    failed = world.results - before
    world.mode = None
    world.servers[sick].slots = site.slots
    ejecting_vms = watch.most_ejecting
    watch.run(heal_s)
    stopped_s = detected_s(world, sick, fault_s) if mode.ejectable else None
    first_s = world.harmed[0][0] - WARM_S if world.harmed else 0.0
    return ModeResult(
        stopped_s,
        None if stopped_s is None else max(0.0, stopped_s - first_s),
        len(world.harmed),
        sum(time_s > WARM_S + fault_s * 2 / 3 for time_s, _ in world.harmed),
        ejecting_vms,
        len(watch.falsely_ejected),
        watch.least_capacity,
        watch.last_ejected_s - WARM_S - fault_s
        if not watch.ejecting_now and ejecting_vms
        else None,
        sum(count for result, count in failed.items() if result != "ok"),
    )


def detected_s(world: World, sick: str, fault_s: float) -> float | None:
    """Return when ordinary work stopped, counted from the fault."""
    times_s = [
        time_s - WARM_S
        for time_s, upstream, reason in world.placed
        if upstream == sick
        and reason is not Reason.TRIAL
        and WARM_S <= time_s <= WARM_S + fault_s
    ]
    ends_s = [*times_s[1:], fault_s]
    for time_s, next_s in zip(times_s, ends_s, strict=True):
        if next_s - time_s >= QUIET_S:
            return time_s
    return None


@attrs.define(eq=False)
class Watch:
    """Looks at the ejections of all VMs every tenth of a second."""

    world: World
    """The world to look at."""
    sick: str
    """The upstream that may be ejected."""
    most_ejecting: int = 0
    """Most VMs that ejected it at once."""
    ejecting_now: int = 0
    """VMs that eject it now."""
    last_ejected_s: float = 0.0
    """Last time at which a VM ejected it."""
    falsely_ejected: set[tuple[str, int]] = attrs.field(factory=set)
    """Other upstreams that were ejected, with the minute."""
    held: set[tuple[str, int]] = attrs.field(factory=set)
    """Upstreams that any VM held back, with the second."""
    least_capacity: float = float("inf")
    """Least slots in use on a VM relative to the floor."""

    def run(self, duration_s: float) -> None:
        """Run the world and look at it."""
        world = self.world
        end_s = world.now_s + duration_s
        while world.now_s < end_s - 1e-9:
            world.run(min(world.now_s + 0.1, end_s))
            self._look()

    def _look(self) -> None:
        world = self.world
        ejected = [placer.ejected(world.now_s) for placer in world.placers]
        self.ejecting_now = sum(self.sick in names for names in ejected)
        self.most_ejecting = max(self.most_ejecting, self.ejecting_now)
        if self.ejecting_now:
            self.last_ejected_s = world.now_s
        minute = int(world.now_s // 60)
        self.falsely_ejected |= {
            (name, minute) for names in ejected for name in names - {self.sick}
        }
        if world.exchange is None:
            return
        self.held |= {
            (name, int(world.now_s))
            for router in world.exchange.routers
            for name in router.ejection.held
        }
        published = sum(s.upstream.slots for s in world.servers.values())
        floor = floor_slots(published, world.service().floor_fraction)
        for router in world.exchange.routers:
            slots = router.table.services["svc"].active_slots
            self.least_capacity = min(self.least_capacity, slots / floor)


def run_noise(
    site: Site,
    placer: str,
    noise: Noise,
    seed: int,
    duration_s: float = 3600.0,
    policy: RoutingPolicy | None = None,
) -> tuple[int, int, World]:
    """Run without a fault; return false ejections, seconds held, and the world."""
    world = make_world(site, placer, noise, seed, policy)
    watch = Watch(world, "")
    watch.run(duration_s)
    return len(watch.falsely_ejected), len(watch.held), world


def summarise(values: list[float | None]) -> str:
    """Return median and worst, or how many are missing."""
    known = [value for value in values if value is not None]
    if not known:
        return "-"
    text = f"{statistics.median(known):.2f} / {max(known):.2f}"
    missing = len(values) - len(known)
    return f"{text} ({missing} of {len(values)} not)" if missing else text
