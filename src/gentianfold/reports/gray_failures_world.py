"""Seeded event-driven fakes: arrivals, upstreams with slots, attempts, retries."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, deque
from typing import TYPE_CHECKING

import attrs

from gentianfold.errors import Failure
from gentianfold.model import Service, Upstream
from gentianfold.reports.gray_failures_faults import UNHARMED, Attempt, Effect
from gentianfold.routing.choice import Reason
from gentianfold.routing.outcome import Outcome, OutcomeKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianfold.reports.gray_failures_faults import Mode
    from gentianfold.reports.gray_failures_fleet import Exchange, VmPlacer

TIMEOUT_S = 5.0
"""Time after which a VM gives an attempt up."""
CONNECT_S = 0.001
"""Time of a refused connection."""
QUEUE_WAIT_S = 0.02
"""Time before a request without a slot asks again."""
QUEUE_MAX_S = 2.0
"""Time after which it is refused."""
CUSTOMERS = ("c0", "c1", "c2", "c3", "c4", "c5", "c6", "c7")
"""Customers, the largest first."""
CUSTOMER_WEIGHTS = (35, 20, 15, 10, 8, 6, 4, 2)
"""Their shares of the requests."""
ROUTES = ("lookup", "list", "claim")
"""Routes; claims aren't idempotent."""
ROUTE_WEIGHTS = (60, 25, 15)
"""Their shares of the requests."""
MEDIAN_S = {"lookup": 0.03, "list": 0.05, "claim": 0.08}
"""Median service time by route."""
SIGMA = 0.5
"""Spread of the logarithm of service times."""


@attrs.frozen
class Site:
    """Sizes of one service at one of the users."""

    name: str
    """Its name in tables."""
    upstreams: int
    """Number of servers."""
    slots: int
    """Slots of each server."""
    zones: int
    """Availability zones."""
    delay_s: float
    """One-way delay between zones."""
    vms: int = 36
    """Entry VMs."""
    rate_per_s: float = 50.0
    """Requests over the whole fleet."""


@attrs.frozen
class Noise:
    """Faults that healthy upstreams show now and then."""

    error_rate: float = 0.001
    """Share of attempts that end in an error."""
    broken_rate: float = 0.0005
    """Share of attempts that break."""
    stall_rate: float = 0.0005
    """Share of attempts that never end."""
    slow_rate: float = 0.01
    """Share of attempts that take ten times as long."""
    pause_s: float = 0.4
    """Length of a pause of a whole upstream."""
    pause_period_s: float = 600.0
    """Mean time between pauses of one upstream."""
    burst_period_s: float = 0.0
    """Time between bursts of the largest customer; 0 for none."""
    burst_s: float = 10.0
    """Length of a burst."""
    burst_factor: float = 5.0
    """Rate during a burst relative to the ordinary rate."""


@attrs.define(eq=False)
class Server:
    """One upstream: slots with a bounded queue."""

    upstream: Upstream
    """The published upstream."""
    slots: int
    """Slots that work."""
    busy: int = 0
    """Slots in use."""
    queue: deque[Callable[[], None]] = attrs.field(factory=deque)
    """Work that waits for a slot."""
    paused_until_s: float = 0.0
    """End of a pause."""


@attrs.define(eq=False)
class World:
    """One service, its upstreams and the VMs that send requests there."""

    site: Site
    """Sizes."""
    noise: Noise
    """Ordinary faults."""
    rng: random.Random
    """Source of all random draws."""
    placers: list[VmPlacer] = attrs.field(factory=list)
    """The placer of each VM."""
    exchange: Exchange | None = None
    """Carries messages, if the placers exchange any."""
    mode: Mode | None = None
    """The gray mode in force."""
    mode_s: float = 0.0
    """Time since which it is."""
    now_s: float = 0.0
    """Current time."""
    events: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    """Heap of calls by time."""
    order: itertools.count[int] = attrs.field(factory=itertools.count)
    """Breaks ties in the heap."""
    servers: dict[str, Server] = attrs.field(factory=dict)
    """Servers by name."""
    placed: list[tuple[float, str, Reason]] = attrs.field(factory=list)
    """Time, upstream and reason of each placement."""
    harmed: list[tuple[float, str]] = attrs.field(factory=list)
    """Time and upstream of each attempt that a fault harmed."""
    results: Counter[str] = attrs.field(factory=Counter)
    """Requests by result."""
    latencies_s: list[float] = attrs.field(factory=list)
    """Times from arrival to a whole answer."""

    def at(self, time_s: float, call: Callable[[], None]) -> None:
        """Schedule a call."""
        heapq.heappush(self.events, (time_s, next(self.order), call))

    def zone(self, index: int) -> str:
        """Return the zone of a VM or upstream."""
        return f"z{index % self.site.zones}"

    def service(self) -> Service:
        """Return the published service."""
        return Service("svc")

    def add_upstream(self) -> Upstream:
        """Add a server; publish it with ``publish``."""
        index = len(self.servers)
        upstream = Upstream(
            f"u{index}", "svc", f"10.0.0.{index}", 80, self.zone(index), self.site.slots
        )
        self.servers[upstream.name] = Server(upstream, self.site.slots)
        return upstream

    def publish(self) -> None:
        """Tell all placers the list of upstreams."""
        upstreams = [server.upstream for server in self.servers.values()]
        for placer in self.placers:
            placer.publish(upstreams, self.now_s)

    def start(self) -> None:
        """Publish the upstreams; schedule arrivals and pauses."""
        for _ in range(self.site.upstreams):
            self.add_upstream()
        self.publish()
        if self.exchange is not None:
            self.exchange.start()
        self.at(0.0, self._arrive)
        for server in self.servers.values():
            self._schedule_pause(server)

    def run(self, until_s: float) -> None:
        """Run all events up to a time."""
        while self.events and self.events[0][0] <= until_s:
            self.now_s, _, call = heapq.heappop(self.events)
            call()
        self.now_s = until_s

    def _schedule_pause(self, server: Server) -> None:
        def pause() -> None:
            server.paused_until_s = self.now_s + self.noise.pause_s
            self._schedule_pause(server)

        delay_s = self.rng.expovariate(1.0 / self.noise.pause_period_s)
        self.at(self.now_s + delay_s, pause)

    def _bursting(self) -> bool:
        period_s = self.noise.burst_period_s
        return period_s > 0.0 and self.now_s % period_s > period_s - self.noise.burst_s

    def _arrive(self) -> None:
        factor = self.noise.burst_factor if self._bursting() else 1.0
        rate_per_s = self.site.rate_per_s * factor
        self.at(self.now_s + self.rng.expovariate(rate_per_s), self._arrive)
        customer = CUSTOMERS[0]
        if factor == 1.0 or self.rng.random() < 1.0 / factor:
            customer = self.rng.choices(CUSTOMERS, CUSTOMER_WEIGHTS)[0]
        route = self.rng.choices(ROUTES, ROUTE_WEIGHTS)[0]
        vm = self.rng.randrange(self.site.vms)
        Request(self, vm, route, customer, self.now_s).place()

    def effect(self, attempt: Attempt) -> Effect:
        """Return what the fault and the noise do to an attempt."""
        if self.mode is not None:
            effect = self.mode.fault.effect(attempt, self.rng)
            if effect is not UNHARMED:
                self.harmed.append((self.now_s, attempt.upstream))
                return effect
        draw, noise = self.rng.random(), self.noise
        kinds = (OutcomeKind.ERROR, OutcomeKind.BROKEN, OutcomeKind.TIMEOUT)
        rates = (noise.error_rate, noise.broken_rate, noise.stall_rate)
        for kind, limit in zip(kinds, itertools.accumulate(rates), strict=True):
            if draw < limit:
                return Effect(kind)
        slow = self.rng.random() < noise.slow_rate
        return Effect(factor=10.0) if slow else UNHARMED

    def serve(self, server: Server, service_s: float, done: Callable[[], None]) -> bool:
        """Run work on a slot or queue it; return false if the queue is full."""

        def run() -> None:
            server.busy += 1
            begin_s = max(self.now_s, server.paused_until_s)
            self.at(begin_s + service_s, end)

        def end() -> None:
            server.busy -= 1
            if server.queue:
                server.queue.popleft()()
            done()

        if server.busy < server.slots:
            run()
        elif len(server.queue) < 4 * server.slots:
            server.queue.append(run)
        else:
            return False
        return True


@attrs.define(eq=False)
class Request:
    """One request of a caller, with its attempts."""

    world: World
    """Where it runs."""
    vm: int
    """Index of the VM that accepted it."""
    route: str
    """Its route."""
    customer: str
    """Its customer."""
    arrived_s: float
    """When it arrived."""
    tried: frozenset[str] = frozenset()
    """Upstreams that failed it."""

    def place(self) -> None:
        """Place an attempt, or wait for a slot."""
        world = self.world
        choice = world.placers[self.vm].choose(
            "svc",
            self.tried,
            world.now_s,
            route=self.route,
            customer=self.customer,
            idempotent=self.route != "claim",
        )
        if isinstance(choice, Failure):
            if world.now_s - self.arrived_s > QUEUE_MAX_S:
                world.results["refused"] += 1
            else:
                world.at(world.now_s + QUEUE_WAIT_S, self.place)
            return
        world.placed.append((world.now_s, choice.upstream.name, choice.reason))
        self._send(choice.upstream)

    def _send(self, upstream: Upstream) -> None:
        world = self.world
        start_s = world.now_s
        world.placers[self.vm].started(
            upstream.name, start_s, route=self.route, customer=self.customer
        )
        zone = world.zone(self.vm)
        since_s = start_s - world.mode_s
        effect = world.effect(
            Attempt(self.vm, zone, upstream.name, self.route, self.customer, since_s)
        )
        open_attempts = [True]

        def finish(kind: OutcomeKind) -> None:
            if open_attempts:
                open_attempts.clear()
                self._finish(upstream, kind, start_s)

        service_s = MEDIAN_S[self.route] * world.rng.lognormvariate(0.0, SIGMA)
        away_s = world.site.delay_s if zone != upstream.zone else 0.0
        if effect.kind is OutcomeKind.CONNECT_FAILED:
            world.at(start_s + CONNECT_S, lambda: finish(effect.kind))
            return
        world.at(start_s + TIMEOUT_S, lambda: finish(OutcomeKind.TIMEOUT))
        if effect.kind is OutcomeKind.TIMEOUT:
            return
        if effect.kind is OutcomeKind.SHED:
            world.at(start_s + 2 * away_s, lambda: finish(effect.kind))
            return
        server = world.servers[upstream.name]
        work_s = service_s * effect.factor + 2 * away_s
        if not world.serve(server, work_s, lambda: finish(effect.kind)):
            world.at(start_s + 2 * away_s, lambda: finish(OutcomeKind.SHED))

    def _finish(self, upstream: Upstream, kind: OutcomeKind, start_s: float) -> None:
        world = self.world
        latency_s = world.now_s - start_s
        outcome = Outcome(upstream.name, kind, latency_s, self.route, self.customer)
        placer = world.placers[self.vm]
        placer.finished(outcome, world.now_s)
        if world.exchange is not None:
            world.exchange.flush(world.exchange.routers[self.vm])
        not_run = kind in (OutcomeKind.SHED, OutcomeKind.CONNECT_FAILED)
        may_retry = not_run or (self.route != "claim" and kind in RETRIED)
        if kind is OutcomeKind.OK:
            world.results["ok"] += 1
            world.latencies_s.append(world.now_s - self.arrived_s)
        elif may_retry and len(self.tried) < 2:
            self.tried |= {upstream.name}
            self.place()
        else:
            world.results[kind.value] += 1


RETRIED = frozenset({OutcomeKind.ERROR, OutcomeKind.BROKEN})
"""Outcomes after which an idempotent request is tried again."""
