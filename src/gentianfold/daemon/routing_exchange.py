"""Carries outcome sketches between the routers of the VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

if TYPE_CHECKING:
    from gentianfold.clock import Clock
    from gentianfold.errors import Failure
    from gentianfold.peers.exchange import PeerRequest
    from gentianfold.peers.node import PeerNode
    from gentianfold.routing.choice import Choice
    from gentianfold.routing.outcome import Outcome
    from gentianfold.routing.router import Router

TOPIC = "routing"
"""Topic of the notices between routers."""
ROUTER_TICK_S = 0.1
"""Time between two runs of the router's systems (seconds)."""
SKETCH_PERIOD_S = 1.0
"""Time between two sketches (seconds)."""


@attrs.define(eq=False)
class RoutingExchange:
    """Places attempts; sends a sketch each second, and urgent news at once."""

    router: Router
    """Makes and merges sketches."""
    node: PeerNode
    """Talks to the peers."""
    clock: Clock
    """Elapsed time."""
    _tick_due_s: float = 0.0
    _sketch_due_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.node.handle(TOPIC, self._receive)

    def tick(self) -> None:
        """Run the router's systems and send what is due."""
        now_s = self.clock.now_s()
        if now_s < self._tick_due_s:
            return
        self._tick_due_s = now_s + ROUTER_TICK_S
        self.router.on_tick(now_s)
        if now_s >= self._sketch_due_s:
            self._sketch_due_s = now_s + SKETCH_PERIOD_S
            self._send(self.router.heartbeat_payload(now_s))
            return
        urgent = self.router.urgent_payload(now_s)
        if urgent is not None:
            self._send(urgent)

    def choose(
        self,
        service: str,
        exclude: frozenset[str],
        now_s: float,
        *,
        route: str = "",
        customer: str = "",
        idempotent: bool = True,
    ) -> Choice | Failure:
        """Choose the upstream for one attempt, none of ``exclude``."""
        return self.router.choose(
            service,
            exclude,
            now_s,
            route=route,
            customer=customer,
            idempotent=idempotent,
        )

    def started(
        self, upstream: str, now_s: float, *, route: str = "", customer: str = ""
    ) -> None:
        """Count an attempt in flight."""
        self.router.started(upstream, now_s, route=route, customer=customer)

    def finished(self, outcome: Outcome, now_s: float) -> None:
        """Learn from an outcome, and tell the peers at once if it can't wait."""
        self.router.finished(outcome, now_s)
        urgent = self.router.urgent_payload(now_s)
        if urgent is not None:
            self._send(urgent)

    def _send(self, payload: bytes) -> None:
        for peer in self.node.table.neighbours:
            self.node.tell(peer, TOPIC, payload)

    def _receive(self, request: PeerRequest) -> None:
        row = self.node.table.rows.get(request.peer)
        if row is None:
            return
        failure = self.router.on_heartbeat(
            request.peer, row.vm.zone, request.payload, self.clock.now_s()
        )
        if failure is not None:
            logger.warning("routing: a sketch of {}: {}", request.peer, failure)
