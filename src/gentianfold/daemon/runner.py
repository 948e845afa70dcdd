"""Runs admitted requests: placement, forwarding, and the log of both."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from gentianfold.daemon.decision import Decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianfold.clock import Clock
    from gentianfold.daemon.decision_log import DecisionLog
    from gentianfold.daemon.request_context import RequestContext
    from gentianfold.requests.asgi_caller import AsgiCaller
    from gentianfold.requests.forwarder import Forwarder
    from gentianfold.requests.proxy_request import Answer, ForwardResult, ProxyRequest
    from gentianfold.requests.request_body import RequestBody
    from gentianfold.routing.choice import Choice


class Runner(Protocol):
    """Runs an admitted request and delivers its answer."""

    async def run(
        self,
        context: RequestContext,
        request: ProxyRequest,
        caller: AsgiCaller,
        body: RequestBody | None = None,
        before_delivery: Callable[[Answer], None] | None = None,
    ) -> ForwardResult:
        """Run the request; a failure in the result was not sent yet.

        Args:
            context: What is known of the request.
            request: The request to forward.
            caller: Where its body comes from and its answer goes.
            body: Its body, if it was read already.
            before_delivery: Takes a small answer before the caller sees it.
        """
        ...


@attrs.define
class PlacementLog:
    """Logs each placement decision."""

    decisions: DecisionLog
    """Where decisions are logged."""
    clock: Clock
    """Elapsed time."""

    def placed(self, request: ProxyRequest, choice: Choice, attempt: int) -> None:
        """Log that an attempt was placed."""
        route = request.route
        accepted_s = request.deadline_s - route.timeout_s
        self.decisions.add(
            Decision(
                request.request_id.decode("ascii"),
                "place",
                choice.reason.value,
                route.name,
                request.customer or "-",
                choice.upstream.name,
                attempt,
                elapsed_ms=(self.clock.now_s() - accepted_s) * 1e3,
            )
        )


@attrs.define
class ForwardRunner:
    """Runs requests straight on an upstream."""

    forwarder: Forwarder
    """Places, sends and retries."""

    async def run(
        self,
        context: RequestContext,
        request: ProxyRequest,
        caller: AsgiCaller,
        body: RequestBody | None = None,
        before_delivery: Callable[[Answer], None] | None = None,
    ) -> ForwardResult:
        """Run the request; a failure in the result was not sent yet."""
        return await self.forwarder.run(request, caller, before_delivery, body)
