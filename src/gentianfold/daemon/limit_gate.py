"""Admission of requests by the limits that count over the fleet."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from gentianfold.errors import Failure
from gentianfold.limits.admission import Admitted
from gentianfold.limits.messages import decode, encode

if TYPE_CHECKING:
    from gentianfold.clock import Clock
    from gentianfold.daemon.request_context import RequestContext
    from gentianfold.limits.limiter import Limiter
    from gentianfold.model import Customer, RateLimit, Route
    from gentianfold.peers.exchange import PeerRequest
    from gentianfold.peers.node import PeerNode

TOPIC = "limits"
"""Topic of the notices between limiters."""
ALL_ROUTES = "*"
"""Name of the limit that counts over all routes of a customer."""


@attrs.define(eq=False, repr=False)
class LimitGate:
    """Drives the limiter: carries its messages, keeps its timer, wakes requests."""

    limiter: Limiter
    """Decides."""
    node: PeerNode
    """Talks to the peers."""
    clock: Clock
    """Elapsed time."""
    _waiting: dict[int, asyncio.Future[Failure | None]] = attrs.field(factory=dict)
    _timer: asyncio.TimerHandle | None = None
    _timer_due_s: float = math.inf
    _closed: bool = False

    def __attrs_post_init__(self) -> None:
        self.node.handle(TOPIC, self._receive)

    async def admit(self, context: RequestContext) -> Failure | None:
        """Take a token for the request, waiting a few milliseconds if need be."""
        if context.identity is None or context.route is None:
            return None
        customer = context.identity.customer
        limits = limits_of(customer, context.route)
        if not limits:
            return None
        now_s = self.clock.now_s()
        outcome = self.limiter.admit(customer.name, limits, now_s)
        self._after(now_s)
        if isinstance(outcome, Admitted):
            return None
        if isinstance(outcome, Failure):
            return outcome
        return await self._wait(outcome.ticket)

    def tick(self) -> None:
        """Do what is due by now."""
        now_s = self.clock.now_s()
        self.limiter.on_tick(now_s)
        self._after(now_s)

    def close(self) -> None:
        """Set no timer any more; the link is about to close."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()

    async def _wait(self, ticket: int) -> Failure | None:
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = future
        try:
            result: Failure | None = await future
            return result
        finally:
            self._waiting.pop(ticket, None)

    def _receive(self, request: PeerRequest) -> None:
        message = decode(request.payload)
        if isinstance(message, Failure):
            logger.warning("limits: a message of {}: {}", request.peer, message)
            return
        now_s = self.clock.now_s()
        self.limiter.on_message(request.peer, message, now_s)
        self._after(now_s)

    def _after(self, now_s: float) -> None:
        """Send, wake and set the timer after any step of the limiter."""
        for vm, message in self.limiter.take_outbox():
            self.node.tell(vm, TOPIC, encode(message))
        for settled in self.limiter.take_settled():
            self._wake(settled.ticket, settled.outcome)
        due_s = self.limiter.next_due_s()
        if due_s < self._timer_due_s:
            self._set_timer(due_s, now_s)

    def _wake(self, ticket: int, outcome: Admitted | Failure) -> None:
        future = self._waiting.get(ticket)
        if future is not None and not future.done():
            future.set_result(outcome if isinstance(outcome, Failure) else None)

    def _set_timer(self, due_s: float, now_s: float) -> None:
        if self._closed:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_s = due_s
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0.0, due_s - now_s), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._timer_due_s = math.inf
        self.tick()


def limits_of(customer: Customer, route: Route) -> list[tuple[str, RateLimit]]:
    """Return the names and limits that a request of a customer must pass."""
    limits = [] if customer.limit is None else [(ALL_ROUTES, customer.limit)]
    route_limit = customer.route_limits.get(route.name)
    if route_limit is not None:
        limits.append((route.name, route_limit))
    return limits
