"""One connection to a server: sends a request and reads its whole answer."""

from __future__ import annotations

import asyncio
import enum
import socket
from collections.abc import Callable
from typing import TypeAlias, cast

import attrs
import httptools

from gentianfold.forwarding.messages import Headers, Response

MAX_ANSWER_BYTES = 32 << 20
"""Largest answer that is held before it is passed on (bytes): a ninth of the smallest
VM's memory."""
MAX_STRAY_ANSWERS = 3
"""Answers to earlier requests that are skipped before a connection is given up."""

AcceptAnswer: TypeAlias = Callable[[Response], bool]
"""Tells whether an answer belongs to the request."""


class ExchangeFailure(enum.Enum):
    """Why no whole answer came."""

    CLOSED = "closed before the answer"
    """The server closed or reset the connection without a byte of the answer."""
    CUT = "answer cut"
    """The connection ended inside the answer."""
    INVALID = "not an answer"
    """The bytes are no valid answer, or belong to no request."""
    TOO_LARGE = "answer too large"
    """The answer is larger than is held in memory."""


ExchangeResult: TypeAlias = Response | ExchangeFailure
"""A whole answer, or why there is none."""


@attrs.define(eq=False)
class _Reading:
    """The answer that is being read."""

    accept: AcceptAnswer
    is_head: bool
    done: asyncio.Future[ExchangeResult]
    strays: int = 0


class UpstreamConnection(asyncio.Protocol):
    """A connection that carries one exchange at a time."""

    def __init__(self) -> None:
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None
        self.is_reusable = True
        self._transport: asyncio.Transport | None = None
        self._reading: _Reading | None = None
        self._reset_parser()

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._start_answer()

    def _start_answer(self) -> None:
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._has_begun = False
        self._has_headers = False
        self._until_close = False

    # Use

    @property
    def is_open(self) -> bool:
        """Whether the connection can carry another request."""
        return (
            self.is_reusable
            and self._transport is not None
            and not self._transport.is_closing()
        )

    async def exchange(
        self, request: bytes, accept: AcceptAnswer, is_head: bool = False
    ) -> ExchangeResult:
        """Send a request and wait for its answer; closes itself when cancelled."""
        if self._transport is None or self._transport.is_closing():
            return ExchangeFailure.CLOSED
        done: asyncio.Future[ExchangeResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._reading = _Reading(accept, is_head, done)
        self._transport.write(request)
        try:
            return await done
        finally:
            self._reading = None
            # Unsent bytes would reach the server in front of the next request.
            is_sent = self._transport.get_write_buffer_size() == 0
            if not done.done() or done.cancelled() or not is_sent:
                self.close()

    def close(self) -> None:
        """Reset the connection, so that the server stops its work."""
        self.is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and send small writes at once."""
        self._transport = cast("asyncio.Transport", transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of an answer; bytes that nobody waits for end the connection."""
        if self._reading is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail(ExchangeFailure.INVALID)

    def eof_received(self) -> bool:
        """Complete an answer that ends with its connection."""
        self.is_reusable = False
        if self._until_close and self._has_headers:
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that was under way."""
        self.is_reusable = False
        if self._reading is not None:
            fault = ExchangeFailure.CUT if self._has_begun else ExchangeFailure.CLOSED
            self._fail(fault)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start an answer."""
        if self._reading is None or self._reading.done.done():
            # A second answer behind the first belongs to no request.
            self.is_reusable = False
        self._start_answer()
        self._has_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; trailers are dropped."""
        if not self._has_headers:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Find out how the answer ends."""
        self._has_headers = True
        names = {name for name, _ in self._headers}
        has_end = b"content-length" in names or b"transfer-encoding" in names
        status = self._parser.get_status_code()
        self._until_close = not has_end and status >= 200 and status not in (204, 304)
        reading = self._reading
        if reading is not None and reading.is_head and status >= 200:
            # The parser would wait for a body that an answer to HEAD lacks.
            self.is_reusable = False
            self._complete()

    def on_body(self, data: bytes) -> None:
        """Keep a piece of the body."""
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > MAX_ANSWER_BYTES:
            self._fail(ExchangeFailure.TOO_LARGE)

    def on_message_complete(self) -> None:
        """Hand over a whole answer."""
        if self._until_close:
            # The parser can't tell a clean end from a reset; eof_received does.
            return
        self._complete()

    # Steps

    def _complete(self) -> None:
        reading = self._reading
        status = self._parser.get_status_code()
        if reading is None or reading.done.done():
            self.is_reusable = False
            return
        if status < 200:
            return
        keep_alive = self._parser.should_keep_alive() and not self._until_close
        answer = Response(status, self._headers, b"".join(self._body), keep_alive)
        if not reading.accept(answer):
            self.is_reusable = False
            reading.strays += 1
            if reading.strays >= MAX_STRAY_ANSWERS or not keep_alive:
                self._fail(ExchangeFailure.INVALID)
            self._has_begun = False
            return
        self.is_reusable = self.is_reusable and keep_alive
        self.keep_alive_s = keep_alive_timeout_s(answer)
        reading.done.set_result(answer)

    def _fail(self, fault: ExchangeFailure) -> None:
        self.is_reusable = False
        if self._reading is not None and not self._reading.done.done():
            self._reading.done.set_result(fault)
        if self._transport is not None:
            self._transport.abort()


def keep_alive_timeout_s(answer: Response) -> float | None:
    """Return how long the server keeps an idle connection, if it says so (seconds)."""
    value = answer.header(b"keep-alive")
    if value is None:
        return None
    for part in value.split(b","):
        name, _, number = part.partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
