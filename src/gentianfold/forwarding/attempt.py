"""One attempt of a request: a slot, a connection, an exchange."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio
import attrs

from gentianfold.forwarding.connection_pool import MAX_IDLE_S, PROVEN_IDLE_S
from gentianfold.forwarding.header_names import HOP_BY_HOP
from gentianfold.forwarding.messages import (
    CallerRequest,
    Headers,
    Response,
    connection_options,
    encode_request,
)
from gentianfold.forwarding.upstream_connection import ExchangeFailure
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import RefusalReason, Refused, SlotRequest

if TYPE_CHECKING:
    from gentianfold.forwarding.placer import Placement
    from gentianfold.forwarding.request_forwarder import RequestForwarder
    from gentianfold.forwarding.request_record import RequestRecord
    from gentianfold.forwarding.upstream_connection import (
        ExchangeResult,
        UpstreamConnection,
    )
    from gentianfold.model import Route

MAX_PLACEMENTS = 4
"""Times that one attempt is placed anew after it was not run (count)."""
MIN_USEFUL_S = 0.02
"""Time left below which nothing is sent (seconds): no work of either site is shorter."""
_BAD = {
    Outcome.SUCCEEDED: 0,
    Outcome.FAILED: 2,
    Outcome.TIMED_OUT: 3,
    Outcome.SHED: 4,
    Outcome.CONNECT_FAILED: 4,
    Outcome.MISDIRECTED: 4,
    Outcome.CANCELLED: 5,
}


@attrs.frozen(eq=False)
class ForwardPlan:
    """What was decided of a request before its first attempt."""

    request: CallerRequest
    """The request."""
    request_id: bytes
    """Its identifier."""
    route: Route
    """Its route."""
    service: str
    """The service that is to run it."""
    customer: str
    """Name of the customer; empty if there is none."""
    priority: int
    """Rank; 0 is the most urgent."""
    deadline_s: float
    """When the answer is due (loop time)."""
    hides_key: bool = True
    """Whether the key that the caller sent is for this product only."""


@attrs.frozen(eq=False)
class AttemptResult:
    """What became of an attempt."""

    outcome: Outcome
    """How it ended."""
    answer: Response | None = None
    """The upstream's whole answer, if there is one."""
    refused: Refused | None = None
    """The refusal, if it got no slot."""
    detail: str = ""
    """What was seen, for the log and the caller."""

    @property
    def badness(self) -> int:
        """Order of results: the best one answers the caller."""
        if self.refused is not None:
            return 6
        # A whole failure of an upstream says more than a failure without an answer.
        return _BAD[self.outcome] - (self.answer is not None and self.outcome != 0)

    @property
    def is_repeatable(self) -> bool:
        """Whether a further attempt may do better."""
        return self.outcome.is_failure


@attrs.define(eq=False)
class Attempt:
    """Places and sends a request once; more often only while it has not run."""

    forwarder: RequestForwarder
    """Parts that it uses."""
    plan: ForwardPlan
    """The request."""
    record: RequestRecord
    """Facts for the log."""
    used: tuple[str, ...] = ()
    """Upstreams that it was placed on."""
    on_sent: Callable[[float], None] | None = None
    """Called with the expected time when the request is sent."""

    async def run(self, number: int, excluded: tuple[str, ...]) -> AttemptResult:
        """Run attempt ``number`` on an upstream that is not excluded."""
        result = AttemptResult(Outcome.TIMED_OUT, detail="no time left")
        for _ in range(MAX_PLACEMENTS):
            asked_s = self.forwarder.now_s()
            placement = await self._place(number, excluded + self.used)
            if isinstance(placement, Refused):
                self._record_refusal(placement, self.forwarder.now_s() - asked_s)
                if result.outcome is Outcome.TIMED_OUT:
                    result = AttemptResult(Outcome.CANCELLED, refused=placement)
                break
            self.used += (placement.upstream,)
            result = await self._send(placement)
            if result.outcome in (Outcome.SHED, Outcome.MISDIRECTED):
                # It reached a server: the next one draws on the retry budget.
                number = max(number, 2)
            elif result.outcome is not Outcome.CONNECT_FAILED:
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
        target_s = plan.request.received_at_s + plan.route.target_latency_s
        request = SlotRequest(
            vm=forwarder.vm,
            number=forwarder.placer.next_number(),
            service=plan.service,
            route=plan.route.name,
            customer=plan.customer,
            priority=plan.priority,
            route_priority=plan.route.priority,
            idempotent=plan.route.idempotent,
            attempt=number,
            excluded=excluded,
            time_left_s=plan.deadline_s - now_s,
            target_left_s=target_s - now_s,
            zone=forwarder.zone,
        )
        return await forwarder.placer.place(request)

    async def _send(self, placement: Placement) -> AttemptResult:
        forwarder = self.forwarder
        started_s = forwarder.now_s()
        result = AttemptResult(Outcome.CANCELLED, detail="cancelled")
        try:
            result = await self._exchange_in_time(placement)
        finally:
            elapsed_s = forwarder.now_s() - started_s
            forwarder.placer.release(placement, result.outcome, elapsed_s)
            self.record.attempts.append(
                f"{placement.upstream} by={placement.granted_by}"
                f" reason={placement.reason.name.lower()}"
                f" outcome={result.outcome.name.lower()}"
                f" ms={elapsed_s * 1000:.0f} {result.detail}".rstrip()
            )
        return result

    async def _exchange_in_time(self, placement: Placement) -> AttemptResult:
        connection = await self._connect(placement)
        if connection is None:
            return AttemptResult(Outcome.CONNECT_FAILED, detail="no connection")
        address = (placement.host, placement.port)
        left_s = self.plan.deadline_s - self.forwarder.now_s()
        if left_s < MIN_USEFUL_S:
            self.forwarder.pool.release(address, placement.upstream, connection)
            return AttemptResult(Outcome.CANCELLED, refused=TOO_LATE)
        if not self.plan.route.idempotent:
            self.plan.request.is_committed = True
        if self.on_sent is not None:
            self.on_sent(placement.expected_s)
        exchange: ExchangeResult | None = None
        with anyio.move_on_after(left_s):
            exchange = await connection.exchange(
                self._encode(placement, left_s),
                self._is_own,
                self.plan.request.method == b"HEAD",
            )
        if exchange is None:
            return AttemptResult(Outcome.TIMED_OUT, detail="no answer in time")
        if isinstance(exchange, ExchangeFailure):
            return AttemptResult(Outcome.FAILED, detail=exchange.value)
        self.forwarder.pool.release(address, placement.upstream, connection)
        return self._judge(exchange)

    async def _connect(self, placement: Placement) -> UpstreamConnection | None:
        """Return a connection; one that runs a request once at most is proven open."""
        idempotent = self.plan.route.idempotent
        return await self.forwarder.pool.acquire(
            (placement.host, placement.port),
            placement.upstream,
            MAX_IDLE_S if idempotent else PROVEN_IDLE_S,
        )

    def _is_own(self, answer: Response) -> bool:
        """Tell whether an answer carries the identifier of this request."""
        return (
            answer.header(self.forwarder.header_names.request_id)
            == self.plan.request_id
        )

    def _judge(self, answer: Response) -> AttemptResult:
        """Tell what a whole answer says."""
        names = self.forwarder.header_names
        if answer.header(names.not_run) is not None:
            if answer.status == 421:
                return AttemptResult(Outcome.MISDIRECTED, detail="another upstream")
            return AttemptResult(Outcome.SHED, detail=f"status {answer.status}")
        if answer.status == 421:
            return AttemptResult(Outcome.MISDIRECTED, detail="another upstream")
        if 200 <= answer.status < 300 and (
            answer.header(names.seal) is None
            or answer.header(b"content-encoding") is not None
        ):
            return AttemptResult(Outcome.FAILED, detail="not the upstream's answer")
        if answer.status == 504:
            # The upstream ran out of the time that it was given.
            return AttemptResult(Outcome.TIMED_OUT, answer, detail="status 504")
        if answer.status >= 500:
            detail = f"status {answer.status}"
            return AttemptResult(Outcome.FAILED, answer, detail=detail)
        return AttemptResult(Outcome.SUCCEEDED, answer)

    def _encode(self, placement: Placement, left_s: float) -> bytes:
        names, plan = self.forwarder.header_names, self.plan
        request = plan.request
        replaced = {
            names.customer,
            names.upstream,
            names.time_left_ms,
            b"content-length",
            b"expect",
        }
        if plan.hides_key:
            replaced.add(b"authorization")
        dropped = replaced | HOP_BY_HOP | connection_options(request.headers)
        dropped -= {names.request_id, b"host"}
        headers: Headers = [
            (name, value) for name, value in request.headers if name not in dropped
        ]
        headers.append((names.time_left_ms, b"%d" % max(left_s * 1000, 1)))
        headers.append((names.upstream, placement.upstream.encode()))
        if plan.customer:
            headers.append((names.customer, plan.customer.encode()))
        return encode_request(request.method, request.target, headers, request.body)


TOO_LATE = Refused(RefusalReason.NO_ROOM, 0.2)
"""The slot came when no time was left."""
