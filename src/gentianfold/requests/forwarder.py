"""Forwards requests to upstreams, with retries that never run an action twice."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs
import httpcore
from loguru import logger

from gentianfold.codes.requests import CALLER_GONE, DEADLINE_EXCEEDED
from gentianfold.errors import Failure, RunState
from gentianfold.requests._exchange import Exchange, FramingError
from gentianfold.requests._hangup_watch import HangupWatch
from gentianfold.requests.attempt import (
    Attempt,
    costs_budget,
    evidence_of,
    failed_attempt,
    final_failure,
    may_repeat,
    worst,
)
from gentianfold.requests.connection import Connection
from gentianfold.requests.headers import (
    ForwardingPolicy,
    Headers,
    request_headers,
)
from gentianfold.requests.proxy_request import (
    BrokenAnswerError,
    CallerGoneError,
    ForwardResult,
)
from gentianfold.requests.request_body import BodyTooLargeError, RequestBody
from gentianfold.requests.retry_budget import RetryBudget
from gentianfold.routing.outcome import Outcome, OutcomeKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianfold.clock import Clock
    from gentianfold.model import Upstream
    from gentianfold.requests.connections import Connections
    from gentianfold.requests.proxy_request import Answer, CallerStream, ProxyRequest
    from gentianfold.routing.choice import Choice
    from gentianfold.routing.outcome import Placer

UPSTREAM_ERRORS = (
    httpcore.ProtocolError,
    httpcore.NetworkError,
    FramingError,
    BodyTooLargeError,
)
"""What an exchange raises when the connection or the answer is broken."""


@attrs.frozen
class ForwarderOptions:
    """Times and policies of the forwarder."""

    first_answer_fraction: float = 0.5
    """Part of the time left that an attempt may take when another may follow it."""
    stall_limit_s: float = 10.0
    """Longest time between two parts of a large answer."""
    retry_ratio: float = 0.1
    """Retries for each request of a service."""
    policy: ForwardingPolicy = attrs.field(factory=ForwardingPolicy)
    """What upstreams learn of the hops before."""


@attrs.define
class _Run:
    """A request while it is being forwarded."""

    request: ProxyRequest
    caller: CallerStream
    body: RequestBody
    headers: Headers
    watch: HangupWatch
    tried: frozenset[str] = frozenset()
    run_state: RunState = RunState.NOT_RUN
    attempts: int = 0
    last: Attempt | None = None

    def note(self, attempt: Attempt, upstream: str) -> None:
        """Add the evidence of one attempt."""
        self.attempts += 1
        self.last = attempt
        self.tried |= {upstream}
        self.run_state = worst(self.run_state, attempt.run_state)


class Forwarder:
    """Runs each request on an upstream and delivers its whole answer."""

    def __init__(
        self,
        placer: Placer,
        connections: Connections,
        clock: Clock,
        strip: Callable[[Headers], Headers],
        options: ForwarderOptions | None = None,
        on_placed: Callable[[ProxyRequest, Choice, int], None] | None = None,
    ) -> None:
        self._placer = placer
        self._connections = connections
        self._clock = clock
        self._strip = strip
        self._options = options or ForwarderOptions()
        self._on_placed = on_placed
        self._budgets: dict[str, RetryBudget] = {}

    async def run(
        self,
        request: ProxyRequest,
        caller: CallerStream,
        before_delivery: Callable[[Answer], None] | None = None,
        body: RequestBody | None = None,
    ) -> ForwardResult:
        """Forward ``request`` and deliver its answer to ``caller``.

        Args:
            request: A request that was routed, admitted and checked.
            caller: Where the body comes from and the answer goes.
            before_delivery: Called with a small answer before the caller sees it.
            body: The body, if its start was read already.

        Returns:
            The result. If it holds a failure, nothing was sent to the caller.

        Raises:
            BrokenAnswerError: If the answer failed after its start was sent.
        """
        try:
            read = body or await RequestBody.read(request, caller)
        except CallerGoneError:
            return ForwardResult(failure=Failure(CALLER_GONE))
        if isinstance(read, Failure):
            return ForwardResult(failure=read)
        with HangupWatch(caller, enabled=read.complete) as watch:
            run = _Run(request, caller, read, self._headers(request, read), watch)
            result = await self._forward(run)
        if result.answer is not None:
            if before_delivery is not None:
                before_delivery(result.answer)
            await caller.start(result.answer.status, result.answer.headers)
            await caller.write(result.answer.body, last=True)
        return result

    def _headers(self, request: ProxyRequest, body: RequestBody) -> Headers:
        return request_headers(
            self._strip(request.headers),
            body.framing,
            request.client_host,
            request.request_id,
            self._options.policy,
        )

    async def _forward(self, run: _Run) -> ForwardResult:
        route = run.request.route
        budget = self._budgets.setdefault(
            route.service, RetryBudget(self._options.retry_ratio)
        )
        budget.count_request()
        while True:
            now_s = self._clock.now_s()
            if now_s >= run.request.deadline_s:
                return self._result(run, "", Failure(DEADLINE_EXCEEDED))
            choice = self._choose(run, now_s)
            if isinstance(choice, Failure):
                # What the last attempt met says more than that nothing else is left.
                last = run.last.failure if run.last is not None else None
                return self._result(run, "", last or choice)
            upstream = choice.upstream
            attempt = await self._attempt(run, upstream)
            run.note(attempt, upstream.name)
            if attempt.delivery_started and attempt.failure is not None:
                raise BrokenAnswerError(attempt.failure)
            if run.watch.gone or not self._retries(run, attempt, budget):
                return self._result(run, upstream.name, attempt.failure)
            logger.info(
                "requests: request {} is retried after {} at {}.",
                run.request.request_id.decode("latin-1"),
                attempt.kind.value,
                upstream.name,
            )

    def _choose(self, run: _Run, now_s: float) -> Choice | Failure:
        route = run.request.route
        choice = self._placer.choose(
            route.service,
            run.tried,
            now_s,
            route=route.name,
            customer=run.request.customer,
            idempotent=route.idempotent,
        )
        if self._on_placed is not None and not isinstance(choice, Failure):
            self._on_placed(run.request, choice, run.attempts + 1)
        return choice

    def _retries(self, run: _Run, attempt: Attempt, budget: RetryBudget) -> bool:
        return (
            run.attempts <= run.request.route.retries
            and may_repeat(attempt, run.request.route)
            and run.body.replayable
            and (not costs_budget(attempt) or budget.take_retry())
        )

    def _result(
        self, run: _Run, upstream: str, failure: Failure | None
    ) -> ForwardResult:
        last = run.last
        if failure is not None and last is not None and last.answer is not None:
            # The retry found no upstream: the answer of the last attempt is whole.
            failure = None
        if failure is not None:
            return ForwardResult(
                failure=final_failure(failure, run.run_state),
                upstream=upstream,
                attempts=run.attempts,
            )
        assert last is not None
        return ForwardResult(
            answer=last.answer,
            status=last.status,
            upstream=upstream,
            attempts=run.attempts,
        )

    async def _attempt(self, run: _Run, upstream: Upstream) -> Attempt:
        started_s = self._clock.now_s()
        route = run.request.route
        kind = OutcomeKind.CANCELLED
        self._placer.started(
            upstream.name,
            started_s,
            route=route.name,
            customer=run.request.customer,
        )
        try:
            attempt = await self._exchange(run, upstream, started_s)
            kind = evidence_of(attempt)
            return attempt
        finally:
            ended_s = self._clock.now_s()
            outcome = Outcome(
                upstream.name,
                kind,
                ended_s - started_s,
                route.name,
                run.request.customer,
            )
            self._placer.finished(outcome, ended_s)

    def _time_limit_s(self, run: _Run, remaining_s: float) -> float:
        route = run.request.route
        may_follow = route.idempotent and run.attempts < route.retries
        fraction = self._options.first_answer_fraction if may_follow else 1.0
        return remaining_s * fraction

    async def _exchange(self, run: _Run, upstream: Upstream, now_s: float) -> Attempt:
        remaining_s = run.request.deadline_s - now_s
        limit_s = self._time_limit_s(run, remaining_s)
        fresh = not run.request.route.idempotent
        connection = None
        whole = False
        with anyio.CancelScope(deadline=anyio.current_time() + limit_s) as scope:
            exchange = Exchange(
                run.request,
                run.headers,
                run.body,
                run.caller,
                run.watch,
                scope,
                self._options.stall_limit_s,
            )
            run.watch.guard(scope)
            try:
                connection = await self._connections.acquire(upstream, fresh)
                if isinstance(connection, Failure):
                    kind = OutcomeKind.CONNECT_FAILED
                    return Attempt(kind, RunState.NOT_RUN, failure=connection)
                attempt = await exchange.run(upstream, connection, remaining_s)
                whole = True
                return attempt
            except CallerGoneError:
                run.watch.gone = True
            except UPSTREAM_ERRORS as error:
                kind = OutcomeKind.BROKEN
                reason = f"{upstream.name}: {error}"
                return self._failed(exchange, connection, kind, reason)
            finally:
                run.watch.guard(None)
                if connection is not None and not isinstance(connection, Failure):
                    self._settle(connection, whole)
        return self._interrupted(run, exchange, connection, upstream)

    def _settle(self, connection: Connection, whole: bool) -> None:
        if whole:
            self._connections.release(connection)
        else:
            self._connections.discard(connection)

    def _interrupted(
        self,
        run: _Run,
        exchange: Exchange,
        connection: Connection | Failure | None,
        upstream: Upstream,
    ) -> Attempt:
        if run.watch.gone:
            kind = OutcomeKind.CANCELLED
            failure = Failure(CALLER_GONE)
            return Attempt(kind, RunState.UNKNOWN, failure=failure)
        kept = isinstance(connection, Connection) and connection.requests_count > 1
        if kept and exchange.status is None:
            self._connections.distrust(upstream.name)
        reason = f"{upstream.name} did not answer in time"
        return self._failed(exchange, connection, OutcomeKind.TIMEOUT, reason)

    def _failed(
        self,
        exchange: Exchange,
        connection: Connection | Failure | None,
        kind: OutcomeKind,
        reason: str,
    ) -> Attempt:
        written = isinstance(connection, Connection) and connection.was_written
        attempt = failed_attempt(kind, written, exchange.status, reason)
        return attrs.evolve(attempt, delivery_started=exchange.delivery_started)
