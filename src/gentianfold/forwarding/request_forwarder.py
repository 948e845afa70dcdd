"""Forwards one request: finds its route, runs its attempts, returns a response."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger

from gentianfold.codes.limits import LIMIT_ELSEWHERE, OVER_RATE
from gentianfold.codes.peers import BROKER_BEHIND
from gentianfold.codes.requests import (
    ANSWER_BROKEN_OFF,
    ANSWER_TIMEOUT,
    CRASHED_UPSTREAMS,
    CRASHES_UPSTREAMS,
    KEY_MISSING,
    KEY_UNKNOWN,
    NO_ROUTE,
    NOT_READY,
    OUTCOME_UNKNOWN,
    REQUEST_MALFORMED,
    RETRY_BUDGET_SPENT,
    STOPPING,
    UPSTREAM_CONNECT_FAILED,
    UPSTREAM_SHED,
)
from gentianfold.codes.routing import NO_FREE_SLOT, NO_UPSTREAM
from gentianfold.errors import Failure
from gentianfold.forwarding.attempt import Attempt
from gentianfold.forwarding.error_response import error_response
from gentianfold.forwarding.forward_plan import ForwardPlan
from gentianfold.forwarding.hop_by_hop import HopFilter
from gentianfold.forwarding.memory_budget import MemoryBudget
from gentianfold.forwarding.passed_on_counts import PassedOnCounts
from gentianfold.forwarding.request_fingerprint import RequestFingerprint
from gentianfold.forwarding.upstream_notice import NoticeReader
from gentianfold.forwarding.upstream_paths import UpstreamPaths
from gentianfold.placement.homes import allowed_zones
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import FINAL_RETRY_S, RefusalReason, Refused

if TYPE_CHECKING:
    from gentianfold.forwarding.attempt_result import AttemptResult
    from gentianfold.forwarding.connection_pool import ConnectionPool
    from gentianfold.forwarding.header_names import HeaderNames
    from gentianfold.forwarding.messages import CallerRequest, Response
    from gentianfold.forwarding.placer import Placement, Placer
    from gentianfold.forwarding.request_record import RequestRecord
    from gentianfold.forwarding.routing_state import RoutingState
    from gentianfold.forwarding.service_selector import ServiceSelector
    from gentianfold.model import Configuration, Route
    from gentianfold.placement.crash_table import CrashTable

CALLER_DEADLINE_MARGIN_S = 0.03
"""Time by which the deadline precedes the caller's own (seconds): ten times the
network latency to the caller."""
HEDGE_FACTOR = 3.0
"""Delay before an idempotent request is also sent to a second upstream, as a multiple
of the expected duration."""
HEDGE_SLACK_S = 0.1
"""Constant part of the delay before the second attempt (seconds)."""
HOMES_RETRY_AFTER_S = 5.0
"""``Retry-After`` of a response if no zone is in the homes of route and customer
(seconds): only another configuration changes that."""
NOT_READY_RETRY_AFTER_S = 0.5
"""``Retry-After`` of a response from a VM without a configuration (seconds)."""
START_WAIT_S = 2.0
"""Time after the start of a VM for which requests wait for its first configuration
(seconds): several times what a VM takes to obtain it."""
START_POLL_S = 0.02
"""Interval at which they look for it (seconds)."""

_REFUSAL_CODES = {
    RefusalReason.NO_ROOM: NO_FREE_SLOT,
    RefusalReason.NO_UPSTREAM: NO_UPSTREAM,
    RefusalReason.OVER_RATE: OVER_RATE,
    RefusalReason.RETRY_BUDGET: RETRY_BUDGET_SPENT,
    RefusalReason.STOPPING: STOPPING,
    RefusalReason.LIMIT_ELSEWHERE: LIMIT_ELSEWHERE,
    RefusalReason.BROKER_BEHIND: BROKER_BEHIND,
}


@attrs.define(eq=False, repr=False)
class RequestForwarder:
    """Forwards requests and returns their responses."""

    header_names: HeaderNames
    """Header names that the deployment uses."""
    routing: RoutingState
    """Configuration and upstream list in force."""
    placer: Placer
    """Assigns upstream slots to attempts."""
    pool: ConnectionPool
    """Reusable connections to upstreams."""
    selector: ServiceSelector
    """Selects one of the services of a route."""
    crashes: CrashTable
    """Requests under which upstreams crashed."""
    vm: str
    """Address of this VM."""
    zone: str
    """Availability zone of this VM."""
    hop_filter: HopFilter = attrs.field(init=False)
    """Removes headers that concern one connection."""
    paths: UpstreamPaths = attrs.field(init=False)
    """Connects to upstreams."""
    notice_reader: NoticeReader = attrs.field(init=False)
    """Reads what upstreams state about themselves."""
    memory: MemoryBudget = attrs.field(factory=MemoryBudget.unlimited)
    """Memory that answers are counted against."""
    exchanged_bytes: Counter[str] = attrs.field(factory=Counter)
    """Bytes of requests and responses, by whether the upstream is in the ``own`` or in
    an ``other`` availability zone."""
    passed_on: PassedOnCounts = attrs.field(factory=PassedOnCounts)
    """Answers that were passed on while they were received."""
    misplaced_count: int = 0
    """Placements on upstreams of other services, which were not used (count)."""
    waits_until_s: float = -math.inf
    """Event loop time until which requests wait for the first configuration (seconds)."""

    def __attrs_post_init__(self) -> None:
        self.hop_filter = HopFilter(self.header_names)
        self.notice_reader = NoticeReader(self.header_names)
        self.paths = UpstreamPaths(self.pool)

    async def forward(self, request: CallerRequest, record: RequestRecord) -> Response:
        """Forward a request.

        Args:
            request: The complete request.
            record: Record for the log; filled in while the request is handled.

        Returns:
            The response of an upstream, or an error response.
        """
        configuration = await self._first_configuration(request)
        if configuration is None:
            return self._fail(Failure(NOT_READY, "", NOT_READY_RETRY_AFTER_S), record)
        record.configuration_version = configuration.version
        record.upstreams_age_s = self.routing.upstreams_age_s()
        plan = self._make_plan(request, configuration)
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

    # Route, customer and deadline

    async def _first_configuration(
        self, request: CallerRequest
    ) -> Configuration | None:
        """Return the configuration; wait for it if this VM has just started.

        When all VMs start at once, the balancer has no other one to send requests to.
        """
        while self.routing.configuration is None and (
            self.now_s() < self.waits_until_s and not request.is_abandoned
        ):
            await asyncio.sleep(START_POLL_S)
        return self.routing.configuration

    def _make_plan(
        self, request: CallerRequest, configuration: Configuration
    ) -> ForwardPlan | Failure:
        host = (request.header(b"host") or b"").decode("latin-1")
        route = self.routing.routes.find(host, request.target.decode("latin-1"))
        if route is None:
            return Failure(NO_ROUTE)
        customer = self._identify_customer(request, route, configuration)
        if isinstance(customer, Failure):
            return customer
        request_id = request.header(self.header_names.request_id)
        if not request_id:
            return Failure(REQUEST_MALFORMED, "the request has no identifier")
        deadline_s = self._deadline_s(request, route)
        if isinstance(deadline_s, Failure):
            return deadline_s
        customer_record = configuration.customers.get(customer)
        customer_homes = customer_record.homes if customer_record is not None else ()
        zones = allowed_zones(route.homes, customer_homes, self.routing.regions)
        if zones is not None and not zones:
            return Failure(NO_UPSTREAM, "no zone is in all homes", HOMES_RETRY_AFTER_S)
        priority = route.priority
        if customer_record is not None and customer_record.priority is not None:
            priority = customer_record.priority
        return ForwardPlan(
            request,
            request_id,
            route,
            self.selector.select(route),
            customer,
            priority,
            deadline_s,
            RequestFingerprint(request, customer),
            bool(configuration.customers),
            zones,
        )

    def _identify_customer(
        self, request: CallerRequest, route: Route, configuration: Configuration
    ) -> str | Failure:
        """Return the customer's name; empty if none is known and none is required."""
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
                caller_time_left_s = float(value) / 1000
            except ValueError:
                return Failure(REQUEST_MALFORMED, "the time left is not a number")
            if not math.isfinite(caller_time_left_s):
                return Failure(REQUEST_MALFORMED, "the time left is not finite")
            limit_s = min(
                limit_s, max(caller_time_left_s - CALLER_DEADLINE_MARGIN_S, 0.0)
            )
        return request.received_at_s + limit_s

    # Attempts

    async def _run_plan(
        self, plan: ForwardPlan, record: RequestRecord
    ) -> Response | Failure:
        first = Attempt(self, plan, record)
        can_retry = plan.route.idempotent and plan.route.max_attempts > 1
        if not can_retry:
            return self._final_response(await first.run(1, ()))
        return self._final_response(await self._run_hedged(first, plan, record))

    async def _run_hedged(
        self, first: Attempt, plan: ForwardPlan, record: RequestRecord
    ) -> AttemptResult:
        """Run an attempt; start a second one if the first fails or is late.

        A late first attempt keeps running beside the second. The first success, or the
        first byte that is passed on, cancels the other attempt; without a success, the
        least severe result is returned.
        """
        second = Attempt(self, plan, record)
        results: list[AttemptResult] = []
        result_added = anyio.Event()
        scopes = (anyio.CancelScope(), anyio.CancelScope())

        async def run(attempt: Attempt, number: int, excluded: tuple[str, ...]) -> None:
            nonlocal result_added
            with scopes[number - 1]:
                results.append(await attempt.run(number, excluded))
                result_added.set()

        second.on_passed_on = scopes[0].cancel
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run, first, 1, ())
            await self._wait_for_hedge(first, result_added, scopes[1])
            if not (results and not results[0].is_retryable):
                result_added = anyio.Event()
                tasks.start_soon(run, second, 2, first.used_upstreams)
                while len(results) < 2 and not any(map(_is_final, results)):
                    await result_added.wait()
                    result_added = anyio.Event()
            tasks.cancel_scope.cancel()
        return min(results, key=lambda result: result.severity)

    async def _wait_for_hedge(
        self,
        first: Attempt,
        result_added: anyio.Event,
        second_scope: anyio.CancelScope,
    ) -> None:
        """Wait until the first attempt ends or the hedging delay has passed.

        There is no second attempt beside a first one whose answer is passed on.
        """
        with anyio.move_on_after(None) as scope:

            def start_timer(expected_duration_s: float) -> None:
                delay_s = HEDGE_FACTOR * expected_duration_s + HEDGE_SLACK_S
                scope.deadline = anyio.current_time() + delay_s

            def keep_waiting() -> None:
                scope.deadline = math.inf
                second_scope.cancel()

            first.on_sent, first.on_passed_on = start_timer, keep_waiting
            await result_added.wait()

    def _final_response(self, result: AttemptResult) -> Response | Failure:
        """Convert the best result of the attempts to a response or a failure."""
        if result.is_passed_on and result.response is None:
            return Failure(ANSWER_BROKEN_OFF, result.detail)
        if result.response is not None and result.outcome is not Outcome.SHED:
            return result.response
        if result.refused is not None:
            return self._refusal_failure(result.refused)
        if result.outcome is Outcome.CONNECT_FAILED:
            return Failure(UPSTREAM_CONNECT_FAILED, "", NOT_RUN_RETRY_AFTER_S)
        if result.outcome in (Outcome.SHED, Outcome.MISDIRECTED):
            return Failure(UPSTREAM_SHED, "", NOT_RUN_RETRY_AFTER_S)
        if result.outcome is Outcome.TIMED_OUT:
            return Failure(ANSWER_TIMEOUT, result.detail)
        return Failure(OUTCOME_UNKNOWN, result.detail)

    def _refusal_failure(self, refused: Refused) -> Failure:
        if refused.reason is RefusalReason.CRASHES_UPSTREAMS:
            return _crash_failure(refused)
        return Failure(_REFUSAL_CODES[refused.reason], "", refused.retry_after_s)

    def is_for_service(self, placement: Placement, service: str) -> bool:
        """Tell whether the upstream of a placement is listed for a service.

        This VM's own list decides, whichever VM chose the upstream.
        """
        upstream = self.routing.upstreams.get(placement.upstream)
        if upstream is not None and upstream.service == service:
            return True
        self.misplaced_count += 1
        logger.warning(
            "request: upstream {} of {} is not listed for service {}",
            placement.upstream,
            placement.granted_by,
            service,
        )
        return False

    def count_exchange(self, upstream_name: str, exchanged_bytes: int) -> None:
        """Count the bytes of an attempt by the zone of its upstream."""
        upstream = self.routing.upstreams.get(upstream_name)
        is_own = upstream is None or upstream.zone == self.zone
        self.exchanged_bytes["own" if is_own else "other"] += exchanged_bytes

    def now_s(self) -> float:
        """Return the event loop's time (seconds)."""
        return asyncio.get_running_loop().time()


NOT_RUN_RETRY_AFTER_S = 0.2
"""``Retry-After`` of a response when no upstream ran the request (seconds)."""


def _crash_failure(refused: Refused) -> Failure:
    """Return a final failure unless the request may turn out to be harmless."""
    if refused.retry_after_s >= FINAL_RETRY_S:
        return Failure(CRASHES_UPSTREAMS)
    return Failure(CRASHED_UPSTREAMS, "", refused.retry_after_s)


def _is_final(result: AttemptResult) -> bool:
    return result.severity <= 0
