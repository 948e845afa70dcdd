"""Runs admitted requests: placement, forwarding, and the log of both."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.daemon.decision import Decision

if TYPE_CHECKING:
    from gentianfold.clock import Clock
    from gentianfold.daemon.decision_log import DecisionLog
    from gentianfold.daemon.request_context import RequestContext
    from gentianfold.requests.asgi_caller import AsgiCaller
    from gentianfold.requests.forwarder import Forwarder
    from gentianfold.requests.proxy_request import ForwardResult, ProxyRequest
    from gentianfold.routing.choice import Choice


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
        self, context: RequestContext, request: ProxyRequest, caller: AsgiCaller
    ) -> ForwardResult:
        """Run the request; a failure in the result was not sent yet."""
        return await self.forwarder.run(request, caller)
