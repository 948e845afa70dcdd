"""Placers of all VMs, with the messages that routers exchange."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Protocol

import attrs

from gentianfold.routing.outcome import Placer
from gentianfold.routing.router import Router

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from gentianfold.model import Service, Upstream
    from gentianfold.routing.policy import RoutingPolicy

TICK_S = 0.1
"""Time between ticks of a router."""
HEARTBEAT_S = 1.0
"""Time between heartbeats."""


class VmPlacer(Placer, Protocol):
    """A placer of one VM, as the report drives it."""

    def publish(self, upstreams: Iterable[Upstream], now_s: float) -> None:
        """Take the published upstreams over."""
        ...

    def ejected(self, now_s: float) -> set[str]:
        """Return the upstreams that this VM has ejected."""
        ...


class RouterPlacer(Router):
    """A router that is published to like the baselines."""

    def __init__(
        self,
        vm: str,
        zone: str,
        seed: int,
        service: Service,
        policy: RoutingPolicy | None,
    ) -> None:
        super().__init__(vm, zone, random.Random(seed), policy)
        self.service = service

    def publish(self, upstreams: Iterable[Upstream], now_s: float) -> None:
        """Take the published upstreams over."""
        self.on_snapshot([self.service], upstreams, now_s)

    def ejected(self, now_s: float) -> set[str]:
        """Return the upstreams that this VM has ejected."""
        return {name for name, row in self.table.rows.items() if row.ejected}


@attrs.define(eq=False)
class Exchange:
    """Ticks routers and carries their messages with a delay."""

    routers: list[RouterPlacer]
    """The routers of all VMs."""
    at: Callable[[float, Callable[[], None]], None]
    """Schedules a call at a time."""
    now_s: Callable[[], float]
    """Tells the current time."""
    delay_s: float
    """One-way delay between VMs."""
    sent_bytes: int = 0
    """Bytes of all payloads, each counted once."""
    sent_payloads: int = 0
    """Number of payloads."""
    urgent_payloads: int = 0
    """Number of payloads outside heartbeats."""

    def start(self) -> None:
        """Schedule the first tick and heartbeat of every router."""
        count = len(self.routers)
        for index, router in enumerate(self.routers):
            self.at(index / count * TICK_S, lambda r=router: self._tick(r))  # type: ignore[misc]
            self.at(index / count, lambda r=router: self._beat(r))  # type: ignore[misc]

    def _tick(self, router: RouterPlacer) -> None:
        router.on_tick(self.now_s())
        self.flush(router)
        self.at(self.now_s() + TICK_S, lambda: self._tick(router))

    def _beat(self, router: RouterPlacer) -> None:
        self._send(router, router.heartbeat_payload(self.now_s()))
        self.at(self.now_s() + HEARTBEAT_S, lambda: self._beat(router))

    def flush(self, router: RouterPlacer) -> None:
        """Send what can't wait."""
        payload = router.urgent_payload(self.now_s())
        if payload is not None:
            self.urgent_payloads += 1
            self._send(router, payload)

    def _send(self, sender: RouterPlacer, payload: bytes) -> None:
        self.sent_bytes += len(payload)
        self.sent_payloads += 1

        def deliver() -> None:
            now_s = self.now_s()
            for router in self.routers:
                if router is not sender:
                    router.on_heartbeat(sender.vm, sender.table.zone, payload, now_s)

        self.at(self.now_s() + self.delay_s, deliver)
