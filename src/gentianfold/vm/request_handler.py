"""Handles caller requests: runs, logs and counts each one."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger

from gentianfold.codes.internal import INTERNAL_ERROR
from gentianfold.codes.requests import MEMORY_FULL, OUTCOME_UNKNOWN, STOPPING
from gentianfold.errors import Failure
from gentianfold.forwarding.error_response import error_response
from gentianfold.forwarding.incoming_request import memory_failure
from gentianfold.forwarding.memory_budget import claim_answer
from gentianfold.forwarding.request_record import RequestRecord
from gentianfold.model import CallerLimits

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from gentianfold.forwarding.caller_connection import CallerConnection
    from gentianfold.forwarding.messages import CallerRequest, Response
    from gentianfold.forwarding.request_forwarder import RequestForwarder
    from gentianfold.vm.metrics import Metrics

STOPPING_RETRY_AFTER_S = 0.05
"""Value of ``retry-after`` in rejections by a stopping VM (seconds); short because
another VM can accept the request at once."""
_DEFAULT_LIMITS = CallerLimits()


@attrs.define(eq=False, repr=False)
class CallerRequestHandler:
    """Runs each request in its own task, then logs and counts it.

    Implements ``RequestHandler``.
    """

    forwarder: RequestForwarder
    """Routes requests and sends the attempts to upstreams."""
    metrics: Metrics
    """Receives request counts and latencies."""
    task_group: TaskGroup
    """Runs the request tasks."""
    log_decisions: bool = True
    """Whether to log one line for each request."""
    stopping: bool = False
    """Whether a planned stop has begun; connections close after their responses."""
    rejects_requests: bool = False
    """Whether to reject new requests, since they might not complete before the exit."""
    running_count: int = 0
    """Number of requests whose response is not known."""
    connections: set[CallerConnection] = attrs.field(factory=set)
    """Open connections of callers."""

    @property
    def unsent_count(self) -> int:
        """Number of answers that have not left the process."""
        return sum(connection.unsent_count for connection in self.connections)

    @property
    def under_way_count(self) -> int:
        """Number of requests whose answer has not left the process."""
        return self.running_count + self.unsent_count

    def limits(self) -> CallerLimits:
        """Return the current size and time limits for callers."""
        configuration = self.forwarder.routing.configuration
        if configuration is None:
            return _DEFAULT_LIMITS
        return configuration.caller_limits

    def is_stopping(self) -> bool:
        """Return whether connections must close after their current response."""
        return self.stopping

    def reject(self, failure: Failure) -> Response:
        """Count and log input that is not an acceptable request; return the response.

        The connection closes after the response.
        """
        self.metrics.count("rejected", code=str(failure.code.number))
        logger.info("request: rejected, {}", failure)
        return error_response(failure)

    def record_cut(self, count: int, cause: str) -> None:
        """Count and log answers that had not left when their connection ended.

        Args:
            count: Number of answers.
            cause: ``caller``, ``stalled`` if the caller did not receive for too long,
                ``room`` if its memory or descriptor was needed, or ``grace`` if the grace
                period of a planned stop ended.
        """
        self.metrics.count("answers_cut", count, cause=cause)
        level = "INFO" if cause == "caller" else "WARNING"
        logger.log(level, "caller: {} answers cut, cause={}", count, cause)

    def record_broken_off(self) -> None:
        """Count an answer whose rest is missing, as its upstream sends no more."""
        self.metrics.count("answers_broken_off")

    def start(
        self, request: CallerRequest, reply: Callable[[Response], None]
    ) -> Callable[[], None]:
        """Start a request.

        Args:
            request: The complete request.
            reply: Called with the response, unless the caller has disconnected.

        Returns:
            A function to call when the caller disconnects. It cancels the request
            unless the request is committed to an upstream that has not answered yet.
        """
        scope = anyio.CancelScope()
        request_id = request.header(self.forwarder.header_names.request_id) or b""
        record = RequestRecord(request_id.decode("latin-1"))
        self.running_count += 1
        self.task_group.start_soon(self._run, request, record, reply, scope)

        def handle_disconnect() -> None:
            record.caller_disconnected = request.is_abandoned = True
            if not request.is_committed or request.is_passed_on:
                scope.cancel()

        return handle_disconnect

    async def _run(
        self,
        request: CallerRequest,
        record: RequestRecord,
        reply: Callable[[Response], None],
        scope: anyio.CancelScope,
    ) -> None:
        try:
            with scope:
                response = await self._respond(request, record)
                record.status = response.status
                if record.request_id and record.code:
                    names = self.forwarder.header_names
                    value = record.request_id.encode("latin-1")
                    response.headers.append((names.request_id, value))
                if not (record.caller_disconnected or request.is_passed_on):
                    reply(response)
        finally:
            self.running_count -= 1
            request.release()
            self._record_completion(request, record)

    async def _respond(self, request: CallerRequest, record: RequestRecord) -> Response:
        if self.rejects_requests:
            record.code = STOPPING.number
            response = error_response(Failure(STOPPING, "", STOPPING_RETRY_AFTER_S))
            # Requests behind this one are refused too; the caller sends them elsewhere.
            response.ends_connection = True
            return response
        request.answer_claim = claim_answer(
            self.forwarder.memory, self.forwarder.now_s()
        )
        if request.answer_claim is None:
            record.code = MEMORY_FULL.number
            return error_response(memory_failure())
        try:
            return await self.forwarder.forward(request, record)
        except Exception:  # noqa: BLE001
            # An error in one request must not end the process. If the request is
            # committed, an upstream may have run it.
            logger.exception("request: id={} internal error", record.request_id)
            code = OUTCOME_UNKNOWN if request.is_committed else INTERNAL_ERROR
            record.code = code.number
            return error_response(Failure(code))

    def _record_completion(self, request: CallerRequest, record: RequestRecord) -> None:
        """Count a completed or cancelled request and log its decisions."""
        now_s = asyncio.get_running_loop().time()
        record.elapsed_s = now_s - request.received_at_s
        outcome = "left" if record.caller_disconnected else f"{record.status // 100}xx"
        self.metrics.count("requests", outcome=outcome, code=str(record.code))
        self.metrics.observe(f"request_{outcome}", record.elapsed_s)
        if not self.log_decisions:
            return
        level = "INFO" if 200 <= record.status < 300 else "WARNING"
        attempts = "".join(
            f" attempt{number}=[{text}]"
            for number, text in zip(itertools.count(1), record.attempts)
        )
        logger.log(
            level,
            "request: id={} route={} service={} customer={} configuration={}"
            " upstreams_age_ms={:.0f} status={} code={} ms={:.1f} left={}{}",
            record.request_id,
            record.route,
            record.service,
            record.customer,
            record.configuration_version,
            min(record.upstreams_age_s, 1e6) * 1000,
            record.status,
            record.code,
            record.elapsed_s * 1000,
            int(record.caller_disconnected),
            attempts,
        )
