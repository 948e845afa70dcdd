"""One attempt of a request: obtains a slot and a connection, then sends the request."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger

from gentianfold.forwarding.answer_check import check_answer
from gentianfold.forwarding.attempt_result import AttemptResult
from gentianfold.forwarding.connection_pool import MAX_IDLE_S, NON_IDEMPOTENT_MAX_IDLE_S
from gentianfold.forwarding.incoming_request import MEMORY_RETRY_AFTER_S
from gentianfold.forwarding.long_answer import may_pass_on
from gentianfold.forwarding.memory_budget import Claim, claim_answer
from gentianfold.forwarding.messages import (
    Headers,
    Response,
    encode_request,
)
from gentianfold.forwarding.rate_limit_header import parse_limit
from gentianfold.forwarding.upstream_connection import ExchangeFailure
from gentianfold.forwarding.upstream_notice import NO_NOTICE
from gentianfold.placement.crash_table import (
    FIRST_TRIAL_DELAY_S,
    Crash,
    RequestStanding,
)
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.rate_limiter import UNLIMITED
from gentianfold.placement.slot_request import RefusalReason, Refused, SlotRequest

if TYPE_CHECKING:
    from gentianfold.forwarding.answer_stream import AnswerStream
    from gentianfold.forwarding.forward_plan import ForwardPlan
    from gentianfold.forwarding.placer import Placement
    from gentianfold.forwarding.request_forwarder import RequestForwarder
    from gentianfold.forwarding.request_record import RequestRecord
    from gentianfold.forwarding.upstream_connection import (
        ExchangeResult,
        UpstreamConnection,
    )

MAX_PLACEMENTS = 4
"""Upstreams that one attempt tries in turn if the request is not run (count)."""
MIN_TIME_LEFT_S = 0.02
"""Time left before the deadline below which a request is not sent (seconds): no
upstream processes a request faster."""
LOGGED_FINGERPRINT_DIGITS = 8
"""Hexadecimal digits of a fingerprint in the log (count)."""


@attrs.define(eq=False, repr=False)
class Attempt:
    """Sends a request to an upstream.

    A request that an upstream did not run is sent to further upstreams, up to
    ``MAX_PLACEMENTS``.
    """

    forwarder: RequestForwarder
    """Gives access to placement, connections and header names."""
    plan: ForwardPlan
    """The request and its route, customer and deadline."""
    record: RequestRecord
    """Record for the log; gets one entry for each placement or refusal."""
    used_upstreams: tuple[str, ...] = ()
    """Names of the upstreams on which the attempt was placed."""
    on_sent: Callable[[float], None] | None = None
    """Called with the expected duration (seconds) just before the request is sent."""
    on_passed_on: Callable[[], None] | None = None
    """Called when the first bytes of a long answer are about to leave."""
    _stream: AnswerStream | None = None
    _is_trial: bool = False
    _exchanged_bytes: int = 0
    # Of the last exchange: how long the upstream was not read, and whether an answer
    # that is missing at the deadline may be due to that.
    _paused_s: float = 0.0
    _is_delayed_here: bool = False
    _via: str = ""

    async def run(self, number: int, excluded: tuple[str, ...]) -> AttemptResult:
        """Run the attempt.

        Args:
            number: 1 for the first attempt of the request, 2 for the second.
            excluded: Names of upstreams that must not be used.
        """
        request = self.plan.request
        result = AttemptResult(Outcome.TIMED_OUT, detail="no time left")
        for _ in range(MAX_PLACEMENTS):
            started_at_s = self.forwarder.now_s()
            placement = await self._place(number, excluded + self.used_upstreams)
            if isinstance(placement, Refused):
                self._record_refusal(placement, self.forwarder.now_s() - started_at_s)
                if result.outcome is Outcome.TIMED_OUT or result.is_withdrawn:
                    result = AttemptResult(Outcome.CANCELLED, refused=placement)
                break
            self.used_upstreams += (placement.upstream,)
            result = await self._send(placement)
            if result.is_withdrawn:
                continue
            if result.outcome in (Outcome.SHED, Outcome.MISDIRECTED):
                # A server got the request, so the next placement uses the retry budget.
                number = max(number, 2)
            elif result.outcome is not Outcome.CONNECT_FAILED:
                break
            # The request has not run, so it may be cancelled again.
            request.is_committed = False
            if request.is_abandoned:
                break
        return result

    # Steps

    def _record_refusal(self, refused: Refused, waited_s: float) -> None:
        self.record.attempts.append(
            f"refused reason={refused.reason.name.lower()} ahead={refused.ahead}"
            f" retry_after_ms={refused.retry_after_s * 1000:.0f}"
            f" waited_ms={waited_s * 1000:.0f}"
        )

    async def _place(
        self, number: int, excluded: tuple[str, ...]
    ) -> Placement | Refused:
        forwarder, plan = self.forwarder, self.plan
        now_s = forwarder.now_s()
        fingerprint = self._suspect_fingerprint()
        if self._is_trial:
            crashes = forwarder.crashes
            if crashes.trial_due_in_s(fingerprint, now_s) > 0:
                retry_after_s = crashes.retry_after_s(fingerprint, now_s)
                return Refused(RefusalReason.CRASHES_UPSTREAMS, retry_after_s)
        target_at_s = plan.request.received_at_s + plan.route.target_latency_s
        request = SlotRequest(
            vm=forwarder.vm,
            slot_request_id=forwarder.placer.next_slot_request_id(),
            service=plan.service,
            route=plan.route.name,
            customer=plan.customer,
            priority=plan.priority,
            route_priority=plan.route.priority,
            idempotent=plan.route.idempotent,
            attempt=number,
            excluded=excluded,
            time_left_s=plan.deadline_s - now_s,
            target_left_s=target_at_s - now_s,
            zone=forwarder.zone,
            fingerprint=fingerprint,
            zones=plan.zones,
        )
        return await forwarder.placer.place(request)

    def _suspect_fingerprint(self) -> bytes:
        """Return the fingerprint of a request under which upstreams crashed, or b""."""
        crashes = self.forwarder.crashes
        if crashes.is_empty:
            return b""
        fingerprint = self.plan.fingerprint.digest()
        standing = crashes.standing(fingerprint)
        # A grant for a blocked request is a trial.
        self._is_trial = standing.is_blocked
        return b"" if standing is RequestStanding.CLEAR else fingerprint

    def _was_blocked_meanwhile(self) -> bool:
        """Tell whether the request was blocked while it waited for its slot."""
        crashes = self.forwarder.crashes
        if self._is_trial or crashes.is_empty:
            return False
        return crashes.standing(self.plan.fingerprint.digest()).is_blocked

    async def _send(self, placement: Placement) -> AttemptResult:
        forwarder = self.forwarder
        started_at_s = forwarder.now_s()
        result = AttemptResult(Outcome.CANCELLED, detail="cancelled")
        self._exchanged_bytes, self._paused_s, self._is_delayed_here = 0, 0.0, False
        try:
            result = await self._exchange_before_deadline(placement)
        finally:
            elapsed_s = forwarder.now_s() - started_at_s - self._paused_s
            if self._stream is not None:
                forwarder.passed_on.record(self._stream)
            outcome = result.outcome
            if outcome is Outcome.TIMED_OUT and self._is_delayed_here:
                outcome = Outcome.CANCELLED
            forwarder.placer.release(
                placement,
                outcome,
                elapsed_s,
                self._exchanged_bytes,
                result.rate_limit_per_s,
                result.pause_s,
            )
            forwarder.count_exchange(placement.upstream, self._exchanged_bytes)
            self.record.attempts.append(
                f"{placement.upstream} by={placement.granted_by}"
                f" reason={placement.reason.name.lower()}"
                f" outcome={outcome.name.lower()}"
                f" ms={elapsed_s * 1000:.0f}{_format_limit(result)}"
                f"{f' via={self._via}' if self._via else ''}"
                f" {result.detail}".rstrip()
            )
        return result

    async def _exchange_before_deadline(self, placement: Placement) -> AttemptResult:
        connection = await self._connect(placement)
        self._via = connection.vm if connection is not None else ""
        if connection is None:
            return AttemptResult(Outcome.CONNECT_FAILED, detail="no connection")
        address = (placement.host, placement.port)
        time_left_s = self.plan.deadline_s - self.forwarder.now_s()
        if time_left_s < MIN_TIME_LEFT_S:
            self.forwarder.pool.release(address, placement.upstream, connection)
            return AttemptResult(Outcome.CANCELLED, refused=NO_TIME_LEFT)
        if not self.forwarder.is_for_service(
            placement, self.plan.service
        ) or self.forwarder.placer.is_withdrawn(placement):
            connection.close()
            return AttemptResult(
                Outcome.CANCELLED,
                detail="withdrawn",
                refused=WITHDRAWN,
                is_withdrawn=True,
            )
        if self._was_blocked_meanwhile():
            self.forwarder.pool.release(address, placement.upstream, connection)
            return AttemptResult(Outcome.CANCELLED, refused=BLOCKED_MEANWHILE)
        claim = self._claim_answer()
        if claim is None:
            self.forwarder.pool.release(address, placement.upstream, connection)
            return AttemptResult(Outcome.CANCELLED, refused=NO_MEMORY)
        if not self.plan.route.idempotent:
            self.plan.request.is_committed = True
        sent_s = self.forwarder.now_s()
        if self.on_sent is not None:
            self.on_sent(placement.expected_duration_s)
        exchange: ExchangeResult | None = None
        try:
            with anyio.move_on_after(time_left_s):
                exchange = await connection.exchange(
                    self._encode(placement, time_left_s),
                    self._is_for_request,
                    self.plan.request.method == b"HEAD",
                    claim=claim,
                    offer=self._pass_on,
                )
        finally:
            self._exchanged_bytes = connection.exchanged_bytes
            ended_s = self.forwarder.now_s()
            self._paused_s = connection.pauses.total_s(ended_s)
            self._is_delayed_here = connection.pauses.may_be_cause(ended_s)
            if not isinstance(exchange, Response):
                claim.release()
        if self._stream is not None and not isinstance(exchange, Response):
            return self._broken_off(exchange, self._stream)
        if exchange is None:
            return AttemptResult(Outcome.TIMED_OUT, detail="no answer in time")
        if isinstance(exchange, ExchangeFailure):
            detail = exchange.value
            if connection.fault:
                detail += f", {connection.fault}"
            if exchange.is_end_of_connection and await self._record_crash(
                placement, sent_s
            ):
                detail = "upstream crashed"
            return AttemptResult(Outcome.FAILED, detail=detail)
        self.forwarder.pool.release(address, placement.upstream, connection)
        exchange.headers = self.forwarder.hop_filter.response_headers(exchange.headers)
        result = self._check(exchange)
        if result.outcome is not Outcome.MISDIRECTED:
            pause_s = self._record_notice(placement, exchange, connection.vm)
            result = attrs.evolve(result, pause_s=pause_s)
        if result.response is not None:
            self._record_survival(sent_s)
        if result.outcome is Outcome.MISDIRECTED:
            return result
        limit = parse_limit(exchange, self.forwarder.header_names.rate_limit)
        if limit == UNLIMITED and result.outcome is not Outcome.SUCCEEDED:
            # An error response need not come from the part that states the limit.
            limit = None
        return attrs.evolve(result, rate_limit_per_s=limit)

    def _pass_on(self, head: Response) -> bool:
        """Pass on a long answer while it is received, if the caller takes it now."""
        forwarder, request = self.forwarder, self.plan.request
        if (
            request.pass_on is None
            or request.is_passed_on
            or request.is_abandoned
            or not may_pass_on(head, forwarder.header_names)
        ):
            return False
        headers = forwarder.hop_filter.response_headers(head.headers)
        if not request.pass_on(attrs.evolve(head, headers=headers)):
            return False
        request.is_passed_on, self._stream = True, head.stream
        if self.on_passed_on is not None:
            self.on_passed_on()
        return True

    @staticmethod
    def _broken_off(
        exchange: ExchangeFailure | None, stream: AnswerStream
    ) -> AttemptResult:
        """Return the result of an exchange that ended amid an answer passed on."""
        detail = exchange.value if exchange is not None else "no whole answer in time"
        return AttemptResult(
            Outcome.TIMED_OUT if exchange is None else Outcome.FAILED,
            detail=f"{detail}, {stream.received_bytes} of {stream.size_bytes} bytes"
            " passed on",
            is_passed_on=True,
        )

    def _claim_answer(self) -> Claim | None:
        """Return the claim of the answer; ``None`` without room for it."""
        forwarder, request = self.forwarder, self.plan.request
        claim, request.answer_claim = request.answer_claim, None
        return claim or claim_answer(forwarder.memory, forwarder.now_s())

    async def _record_crash(self, placement: Placement, sent_s: float) -> bool:
        """Record a crash if the upstream no longer accepts connections.

        Returns:
            Whether it crashed: a connection may end for other reasons.
        """
        forwarder, plan = self.forwarder, self.plan
        crashed_s = forwarder.now_s()
        if not await forwarder.paths.is_crashed(placement):
            return False
        fingerprint = plan.fingerprint.digest()
        crash = Crash(placement.upstream, sent_s, crashed_s, self._is_trial)
        forwarder.crashes.record_crash(
            fingerprint, plan.customer, crash, forwarder.now_s()
        )
        logger.warning(
            "request: upstream {} crashed under id={} fingerprint={} ms={:.0f}"
            " standing={}",
            placement.upstream,
            self.record.request_id,
            fingerprint.hex()[:LOGGED_FINGERPRINT_DIGITS],
            (crashed_s - sent_s) * 1000,
            forwarder.crashes.standing(fingerprint).value,
        )
        forwarder.placer.share_crashes()
        return True

    def _record_notice(
        self, placement: Placement, response: Response, via: str
    ) -> float | None:
        """Record what the upstream states about itself; return the pause it wants.

        Args:
            placement: The granted slot.
            response: The upstream's response.
            via: VM through which the response came; empty for this one.
        """
        notice = self.forwarder.notice_reader.read(response)
        if notice is NO_NOTICE:
            return None
        self.forwarder.placer.record_notice(placement, notice, via)
        if notice.is_leaving:
            address = (placement.host, placement.port)
            self.forwarder.pool.close_server(address, placement.upstream)
        return notice.pause_s

    def _record_survival(self, sent_s: float) -> None:
        """Clear the request if upstreams crashed under it and one answered now."""
        crashes = self.forwarder.crashes
        if crashes.is_empty:
            return
        fingerprint = self.plan.fingerprint.digest()
        standing = crashes.standing(fingerprint)
        if standing is RequestStanding.CLEAR:
            return
        crashes.record_success(fingerprint, sent_s, self.forwarder.now_s())
        logger.info(
            "request: fingerprint={} succeeded, standing={} before={}",
            fingerprint.hex()[:LOGGED_FINGERPRINT_DIGITS],
            crashes.standing(fingerprint).value,
            standing.value,
        )
        self.forwarder.placer.share_crashes()

    async def _connect(self, placement: Placement) -> UpstreamConnection | None:
        """Return a connection, or ``None`` if none can be opened.

        A non-idempotent request, which may run only once, reuses only a connection
        that was idle so briefly that the server can be assumed to have it open.
        """
        idempotent = self.plan.route.idempotent
        return await self.forwarder.paths.connect(
            placement, MAX_IDLE_S if idempotent else NON_IDEMPOTENT_MAX_IDLE_S
        )

    def _is_for_request(self, response: Response) -> bool:
        """Return whether a response carries the identifier of this request."""
        return (
            response.header(self.forwarder.header_names.request_id)
            == self.plan.request_id
        )

    def _check(self, response: Response) -> AttemptResult:
        """Derive the result from a complete response."""
        check = check_answer(response, self.forwarder.header_names)
        passed_on = response if check.is_passed_on else None
        return AttemptResult(
            check.outcome,
            passed_on,
            detail=check.detail,
            is_passed_on=response.stream is not None,
        )

    def _encode(
        self, placement: Placement, time_left_s: float
    ) -> list[bytes | bytearray]:
        header_names, plan = self.forwarder.header_names, self.plan
        request = plan.request
        replaced = {
            header_names.customer,
            header_names.upstream,
            header_names.time_left_ms,
        }
        if plan.strips_authorization:
            replaced.add(b"authorization")
        headers: Headers = [
            (name, value)
            for name, value in self.forwarder.hop_filter.request_headers(
                request.headers
            )
            if name not in replaced
        ]
        headers.append((header_names.time_left_ms, b"%d" % max(time_left_s * 1000, 1)))
        headers.append((header_names.upstream, placement.upstream.encode()))
        if plan.customer:
            headers.append((header_names.customer, plan.customer.encode()))
        return encode_request(request.method, request.target, headers, request.body)


BLOCKED_MEANWHILE = Refused(RefusalReason.CRASHES_UPSTREAMS, FIRST_TRIAL_DELAY_S)
"""Refusal of an attempt whose request was blocked while it waited for its slot."""
WITHDRAWN = Refused(RefusalReason.NO_UPSTREAM, 0.2)
"""Refusal of an attempt whose upstreams all refused further requests after the grant."""
NO_TIME_LEFT = Refused(RefusalReason.NO_ROOM, 0.2)
"""Refusal of an attempt that got slot and connection too late to send the request."""
NO_MEMORY = Refused(RefusalReason.NO_ROOM, MEMORY_RETRY_AFTER_S)
"""Refusal of a further attempt for whose answer there is no memory."""


def _format_limit(result: AttemptResult) -> str:
    """Return the stated rate limit for the log; empty if there is none."""
    if result.rate_limit_per_s in (None, UNLIMITED):
        return ""
    return f" rate_limit={result.rate_limit_per_s:g}"
