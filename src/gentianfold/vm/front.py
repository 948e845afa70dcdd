"""Answers the requests of callers: runs them, records them and counts them."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger

from gentianfold.codes.daemon import INTERNAL_ERROR
from gentianfold.codes.requests import OUTCOME_UNKNOWN, STOPPING
from gentianfold.errors import Failure
from gentianfold.forwarding.error_response import error_response
from gentianfold.forwarding.request_record import RequestRecord
from gentianfold.model import CallerLimits

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from gentianfold.forwarding.messages import CallerRequest, Response
    from gentianfold.forwarding.request_forwarder import RequestForwarder
    from gentianfold.vm.metrics import Metrics

STOPPING_RETRY_S = 0.05
"""When a caller that met a stopping VM should come back (seconds): another one takes
it at once."""
_DEFAULT_LIMITS = CallerLimits()


@attrs.define(eq=False)
class Front:
    """Implements ``RequestHandler``."""

    runner: RequestForwarder
    """Runs requests."""
    metrics: Metrics
    """Counts them."""
    tasks: TaskGroup
    """Holds the running requests."""
    log_decisions: bool = True
    """Whether each request is logged."""
    stopping: bool = False
    """Whether a planned stop has begun."""
    refuses: bool = False
    """Whether requests are refused, since they might not end before the process."""
    running: int = 0
    """Requests under way."""

    def limits(self) -> CallerLimits:
        """Return the bounds in force."""
        configuration = self.runner.routing.configuration
        if configuration is None:
            return _DEFAULT_LIMITS
        return configuration.caller_limits

    def is_stopping(self) -> bool:
        """Tell whether connections are to be closed after their answers."""
        return self.stopping

    def reject(self, failure: Failure) -> Response:
        """Return the answer to bytes that are no acceptable request."""
        self.metrics.count("rejected", code=str(failure.code.number))
        logger.info("request: rejected, {}", failure)
        answer = error_response(failure)
        answer.keep_alive = False
        return answer

    def start(
        self, request: CallerRequest, reply: Callable[[Response], None]
    ) -> Callable[[], None]:
        """Start a request; return what ends it when its caller leaves."""
        scope = anyio.CancelScope()
        request_id = request.header(self.runner.header_names.request_id) or b""
        record = RequestRecord(request_id.decode("latin-1"))
        self.running += 1
        self.tasks.start_soon(self._run, request, record, reply, scope)

        def leave() -> None:
            record.caller_disconnected = True
            if not request.is_committed:
                scope.cancel()

        return leave

    async def _run(
        self,
        request: CallerRequest,
        record: RequestRecord,
        reply: Callable[[Response], None],
        scope: anyio.CancelScope,
    ) -> None:
        try:
            with scope:
                answer = await self._answer(request, record)
                record.status = answer.status
                if record.request_id and record.code:
                    names = self.runner.header_names
                    value = record.request_id.encode("latin-1")
                    answer.headers.append((names.request_id, value))
                if not record.caller_disconnected:
                    reply(answer)
        finally:
            self.running -= 1
            self._finish(request, record)

    async def _answer(self, request: CallerRequest, record: RequestRecord) -> Response:
        if self.refuses:
            record.code = STOPPING.number
            return error_response(Failure(STOPPING, "", STOPPING_RETRY_S))
        try:
            return await self.runner.forward(request, record)
        except Exception:  # noqa: BLE001
            # One request must not end the process; what it did is not known.
            logger.exception("request: id={} internal error", record.request_id)
            code = OUTCOME_UNKNOWN if request.is_committed else INTERNAL_ERROR
            record.code = code.number
            return error_response(Failure(code))

    def _finish(self, request: CallerRequest, record: RequestRecord) -> None:
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
