"""One request and its answer on one connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

import anyio
import attrs
import httpcore

from gentianfold.errors import RunState
from gentianfold.requests.attempt import Attempt, shed_attempt
from gentianfold.requests.headers import Headers, answer_headers, header_values
from gentianfold.requests.protocol import DEADLINE_HEADER, NOT_RUN_HEADER
from gentianfold.requests.proxy_request import Answer
from gentianfold.routing.outcome import OutcomeKind

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterable, AsyncIterator

    from gentianfold.model import Upstream
    from gentianfold.requests._hangup_watch import HangupWatch
    from gentianfold.requests.connection import Connection
    from gentianfold.requests.proxy_request import CallerStream, ProxyRequest
    from gentianfold.requests.request_body import RequestBody

HELD_ANSWER_BYTES = 64 * 1024
"""Answers up to this size are whole before the caller sees their first byte."""
BODILESS_STATUSES = frozenset({204, 304})
"""Statuses whose answers have no body, whatever their headers say."""


class FramingError(Exception):
    """Raised when the end of an answer can't be told, or the answer overran it."""


@attrs.define
class Exchange:
    """Sends one request and reads its answer."""

    request: ProxyRequest
    """The request."""
    headers: Headers
    """Headers for the upstream, but for the deadline."""
    body: RequestBody
    """Body of the request."""
    caller: CallerStream
    """Where an answer goes that is too large to hold."""
    watch: HangupWatch
    """Cancels the scope when the caller hangs up."""
    scope: anyio.CancelScope
    """Bounds the exchange; its deadline moves on while a large answer flows."""
    stall_limit_s: float
    """Longest time between two parts of a large answer."""
    status: int | None = None
    """The status that came back."""
    delivery_started: bool = False
    """Whether the caller saw the start of the answer."""

    async def run(
        self, upstream: Upstream, connection: Connection, remaining_s: float
    ) -> Attempt:
        """Return the attempt; its answer is delivered already if it was large."""
        response = await connection.http.handle_async_request(
            self._build(upstream, remaining_s)
        )
        self.status = response.status
        check_answer_framing(self.request.method, response.status, response.headers)
        parts = cast(
            "AsyncGenerator[bytes, None]",
            aiter(cast("AsyncIterable[bytes]", response.stream)),
        )
        try:
            held, ended = await self._hold(parts)
            headers = answer_headers(response.headers, self.request.request_id)
            if ended:
                return self._whole(upstream, connection, headers, held)
            await self._relay(parts, headers, held)
        finally:
            await parts.aclose()
            await response.aclose()
        if connection.has_stray_bytes:
            # The caller got the length that was promised; the connection is closed.
            connection.stream.abort()
        return Attempt(
            outcome_of(response.status),
            RunState.RAN,
            status=self.status,
            delivery_started=True,
        )

    def _build(self, upstream: Upstream, remaining_s: float) -> httpcore.Request:
        deadline = b"%d" % max(1, int(remaining_s * 1000))
        url = httpcore.URL(
            scheme=b"http",
            host=upstream.host.encode(),
            port=upstream.port,
            target=self.request.target,
        )
        return httpcore.Request(
            self.request.method,
            url,
            headers=[*self.headers, (DEADLINE_HEADER, deadline)],
            content=self.body.content(),
        )

    async def _hold(self, parts: AsyncIterator[bytes]) -> tuple[bytes, bool]:
        held: list[bytes] = []
        size = 0
        async for part in parts:
            held.append(part)
            size += len(part)
            if size > HELD_ANSWER_BYTES:
                return b"".join(held), False
        return held[0] if len(held) == 1 else b"".join(held), True

    def _whole(
        self, upstream: Upstream, connection: Connection, headers: Headers, body: bytes
    ) -> Attempt:
        if connection.has_stray_bytes:
            raise FramingError("bytes followed the end of the answer")
        assert self.status is not None
        if self.status == 503 and (NOT_RUN_HEADER, b"1") in headers:
            return shed_attempt(upstream.name)
        answer = Answer(self.status, self._with_length(headers, body), body)
        return Attempt(
            outcome_of(self.status), RunState.RAN, answer=answer, status=self.status
        )

    def _with_length(self, headers: Headers, body: bytes) -> Headers:
        if self.request.method == "HEAD":
            return headers
        kept = [pair for pair in headers if pair[0] != b"content-length"]
        if self.status in BODILESS_STATUSES:
            return kept
        return [*kept, (b"content-length", b"%d" % len(body))]

    async def _relay(
        self, parts: AsyncIterator[bytes], headers: Headers, held: bytes
    ) -> None:
        assert self.status is not None
        self.delivery_started = True
        self._extend()
        await self.caller.start(self.status, headers)
        await self.caller.write(held, last=False)
        async for part in parts:
            self._extend()
            await self.caller.write(part, last=False)
        # The end of the answer also ends the caller's connection as the watch sees it.
        self.watch.guard(None)
        await self.caller.write(b"", last=True)

    def _extend(self) -> None:
        self.scope.deadline = anyio.current_time() + self.stall_limit_s


def outcome_of(status: int) -> OutcomeKind:
    """Return what a whole answer says of the upstream."""
    return OutcomeKind.OK if status < 500 else OutcomeKind.ERROR


def check_answer_framing(method: str, status: int, headers: Headers) -> None:
    """Raise unless the end of the answer will be known from its own framing.

    An answer that ends with its connection can't be told from one that was cut short.

    Raises:
        FramingError: If the answer is framed in two ways or in none.
    """
    if status < 200:
        raise FramingError(f"the status is {status}")
    if method == "HEAD" or status in BODILESS_STATUSES:
        return
    lowered = [(name.lower(), value) for name, value in headers]
    lengths = header_values(lowered, b"content-length")
    codings = header_values(lowered, b"transfer-encoding")
    if len(lengths) + len(codings) != 1:
        raise FramingError("the answer does not have just one framing")
