"""Runs one request: finds its route, places its attempts and answers it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import anyio
import attrs

from gentianfold.codes.limits import OVER_RATE
from gentianfold.codes.requests import (
    ANSWER_TIMEOUT,
    KEY_MISSING,
    KEY_UNKNOWN,
    NO_ROUTE,
    NOT_READY,
    OUTCOME_UNKNOWN,
    REQUEST_MALFORMED,
    RETRY_BUDGET_SPENT,
    UPSTREAM_CONNECT_FAILED,
    UPSTREAM_SHED,
)
from gentianfold.codes.routing import NO_FREE_SLOT, NO_UPSTREAM
from gentianfold.errors import Failure
from gentianfold.forwarding.attempt import Attempt, AttemptResult, ForwardPlan
from gentianfold.forwarding.error_response import error_response
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import RefusalReason, Refused

if TYPE_CHECKING:
    from gentianfold.forwarding.connection_pool import ConnectionPool
    from gentianfold.forwarding.header_names import HeaderNames
    from gentianfold.forwarding.messages import CallerRequest, Response
    from gentianfold.forwarding.placer import Placer
    from gentianfold.forwarding.request_record import RequestRecord
    from gentianfold.forwarding.routing_state import RoutingState
    from gentianfold.forwarding.service_selector import ServiceSelector
    from gentianfold.model import Configuration, Route

CALLER_MARGIN_S = 0.03
"""How much sooner than the caller gives up its answer is sent (seconds): ten times
the way to the caller."""
HEDGE_FACTOR = 3.0
"""Multiple of the expected time after which an idempotent request is also sent to a
second upstream."""
HEDGE_SLACK_S = 0.1
"""Time on top of that (seconds)."""
NOT_READY_RETRY_S = 0.5
"""When a caller should come back to a VM without a configuration (seconds)."""

_REFUSALS = {
    RefusalReason.NO_ROOM: NO_FREE_SLOT,
    RefusalReason.NO_UPSTREAM: NO_UPSTREAM,
    RefusalReason.OVER_RATE: OVER_RATE,
    RefusalReason.RETRY_BUDGET: RETRY_BUDGET_SPENT,
}


@attrs.define(eq=False)
class RequestForwarder:
    """Turns requests into answers."""

    header_names: HeaderNames
    """Header names of the deployment."""
    routing: RoutingState
    """Configuration and upstream list in force."""
    placer: Placer
    """Places attempts."""
    pool: ConnectionPool
    """Connections to upstreams."""
    selector: ServiceSelector
    """Chooses among the services of a route."""
    vm: str
    """Address of this VM."""
    zone: str
    """Availability zone of this VM."""

    async def forward(self, request: CallerRequest, record: RequestRecord) -> Response:
        """Return the answer to a request."""
        configuration = self.routing.configuration
        if configuration is None:
            return self._fail(Failure(NOT_READY, "", NOT_READY_RETRY_S), record)
        record.configuration_version = configuration.version
        record.upstreams_age_s = self.routing.upstreams_age_s()
        plan = self._plan(request, configuration)
        if isinstance(plan, Failure):
            return self._fail(plan, record)
        record.route, record.service = plan.route.name, plan.service
        record.customer = plan.customer
        result = await self._run_plan(plan, record)
        if isinstance(result, Failure):
            return self._fail(result, record)
        return result

    def _fail(self, failure: Failure, record: RequestRecord) -> Response:
        record.code = failure.code.number
        return error_response(failure)

    # Route and customer

    def _plan(
        self, request: CallerRequest, configuration: Configuration
    ) -> ForwardPlan | Failure:
        host = (request.header(b"host") or b"").decode("latin-1")
        route = self.routing.routes.find(host, request.target.decode("latin-1"))
        if route is None:
            return Failure(NO_ROUTE)
        customer = self._customer(request, route, configuration)
        if isinstance(customer, Failure):
            return customer
        request_id = request.header(self.header_names.request_id)
        if not request_id:
            return Failure(REQUEST_MALFORMED, "the request has no identifier")
        deadline_s = self._deadline_s(request, route)
        if isinstance(deadline_s, Failure):
            return deadline_s
        published = configuration.customers.get(customer)
        priority = route.priority
        if published is not None and published.priority is not None:
            priority = published.priority
        return ForwardPlan(
            request,
            request_id,
            route,
            self.selector.select(route),
            customer,
            priority,
            deadline_s,
            bool(configuration.customers),
        )

    def _customer(
        self, request: CallerRequest, route: Route, configuration: Configuration
    ) -> str | Failure:
        """Return whose request it is; empty if the route is open to all."""
        if not configuration.customers:
            return ""
        value = request.header(b"authorization") or b""
        scheme, _, key = value.partition(b" ")
        customer = None
        if scheme.lower() == self.header_names.key_scheme:
            text = key.strip().decode("latin-1")
            customer = configuration.customer_by_key.get(text)
        if customer is not None:
            return customer
        if route.open_to_all:
            return ""
        return Failure(KEY_UNKNOWN if value else KEY_MISSING)

    def _deadline_s(self, request: CallerRequest, route: Route) -> float | Failure:
        limit_s = route.timeout_s
        value = request.header(self.header_names.time_left_ms)
        if value is not None:
            try:
                patience_s = float(value) / 1000
            except ValueError:
                return Failure(REQUEST_MALFORMED, "the time left is not a number")
            limit_s = min(limit_s, max(patience_s - CALLER_MARGIN_S, 0.0))
        return request.received_at_s + limit_s

    # Attempts

    async def _run_plan(
        self, plan: ForwardPlan, record: RequestRecord
    ) -> Response | Failure:
        first = Attempt(self, plan, record)
        can_repeat = plan.route.idempotent and plan.route.max_attempts > 1
        if not can_repeat:
            return self._conclude(await first.run(1, ()))
        return self._conclude(await self._run_repeatable(first, plan, record))

    async def _run_repeatable(
        self, first: Attempt, plan: ForwardPlan, record: RequestRecord
    ) -> AttemptResult:
        """Run a first attempt and, if it fails or is late, a second one beside it."""
        second = Attempt(self, plan, record)
        results: list[AttemptResult] = []
        changed = anyio.Event()

        async def run(attempt: Attempt, number: int, excluded: tuple[str, ...]) -> None:
            nonlocal changed
            results.append(await attempt.run(number, excluded))
            changed.set()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run, first, 1, ())
            await self._wait_for_hedge(first, changed)
            if not (results and not results[0].is_repeatable):
                changed = anyio.Event()
                tasks.start_soon(run, second, 2, first.used)
                while len(results) < 2 and not any(map(_is_good, results)):
                    await changed.wait()
                    changed = anyio.Event()
            tasks.cancel_scope.cancel()
        return min(results, key=lambda result: result.badness)

    async def _wait_for_hedge(self, first: Attempt, changed: anyio.Event) -> None:
        """Wait until the first attempt ends or takes far longer than expected."""
        with anyio.move_on_after(None) as scope:

            def start_timer(expected_s: float) -> None:
                delay_s = HEDGE_FACTOR * expected_s + HEDGE_SLACK_S
                scope.deadline = anyio.current_time() + delay_s

            first.on_sent = start_timer
            await changed.wait()

    def _conclude(self, result: AttemptResult) -> Response | Failure:
        """Turn what became of the attempts into an answer."""
        if result.answer is not None and result.outcome is not Outcome.SHED:
            return result.answer
        if result.refused is not None:
            return self._refusal(result.refused)
        if result.outcome is Outcome.CONNECT_FAILED:
            return Failure(UPSTREAM_CONNECT_FAILED, "", RETRY_UNSENT_S)
        if result.outcome in (Outcome.SHED, Outcome.MISDIRECTED):
            return Failure(UPSTREAM_SHED, "", RETRY_UNSENT_S)
        if result.outcome is Outcome.TIMED_OUT:
            return Failure(ANSWER_TIMEOUT, result.detail)
        return Failure(OUTCOME_UNKNOWN, result.detail)

    def _refusal(self, refused: Refused) -> Failure:
        return Failure(_REFUSALS[refused.reason], "", refused.retry_after_s)

    def now_s(self) -> float:
        """Return the time of the loop (seconds)."""
        return asyncio.get_running_loop().time()


RETRY_UNSENT_S = 0.2
"""When a caller should come back after no upstream took the request (seconds)."""


def _is_good(result: AttemptResult) -> bool:
    return result.badness == 0
