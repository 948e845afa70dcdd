"""One connection of a caller: parses requests and writes responses in order."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol, cast

import attrs
import httptools

from gentianfold.codes.requests import (
    BODY_TOO_LARGE,
    HEADERS_TOO_LARGE,
    REQUEST_MALFORMED,
    REQUEST_TIMEOUT,
)
from gentianfold.errors import Failure
from gentianfold.forwarding.messages import (
    CallerRequest,
    Headers,
    Response,
    encode_response,
)

if TYPE_CHECKING:
    from gentianfold.model import CallerLimits

MAX_PIPELINED = 16
"""Concurrent requests of one connection (count); at this number reading pauses, and
further requests stay in the socket buffer."""


class RequestHandler(Protocol):
    """Answers requests and malformed input; independent of the connections."""

    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        ...

    def is_stopping(self) -> bool:
        """Return whether connections are closed once their requests are answered."""
        ...

    def start(
        self, request: CallerRequest, reply: Callable[[Response], None]
    ) -> Callable[[], None]:
        """Start to handle a request.

        Args:
            request: The complete request.
            reply: Called at most once, with the response.

        Returns:
            A function to call when the caller disconnects before the response.
        """
        ...

    def reject(self, failure: Failure) -> Response:
        """Return the response to input that is not an acceptable request."""
        ...


@attrs.define(eq=False)
class _PendingRequest:
    """A request whose response has not been written."""

    is_head: bool
    keep_alive: bool
    response: Response | None = None
    cancel: Callable[[], None] | None = None


class CallerConnection(asyncio.Protocol):
    """Parses requests, writes responses in order, cancels on disconnection."""

    def __init__(
        self, handler: RequestHandler, open_connections: set[CallerConnection]
    ) -> None:
        self._handler = handler
        self._open_connections = open_connections
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._pending: deque[_PendingRequest] = deque()
        self._backlog: deque[tuple[CallerRequest, _PendingRequest]] = deque()
        self._is_closing = False
        self._is_paused = False
        self._timer: asyncio.TimerHandle | None = None
        self._reset_request()
        self._parser = httptools.HttpRequestParser(self)

    def _reset_request(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._is_reading = False
        self._has_head = False

    # State of the connection

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered."""
        return self._is_reading or bool(self._pending)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or answered."""
        if not self.is_busy and self._transport is not None:
            self._transport.close()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the idle timeout."""
        self._transport = cast("asyncio.Transport", transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open_connections.add(self)
        self._restart_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the pending requests."""
        self._open_connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        for pending in self._pending:
            if pending.cancel is not None:
                pending.cancel()
        self._pending.clear()
        self._backlog.clear()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._is_closing:
            return
        if not self._has_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is handled, the protocol upgrade is ignored.
            self._is_closing = True
        except httptools.HttpParserError:
            self._reject(Failure(REQUEST_MALFORMED))
        if not self._has_head and not self._is_closing:
            self._check_head_size()
        self._restart_timer()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Reset the state of the previous request."""
        head_bytes = self._head_bytes
        self._reset_request()
        self._head_bytes = head_bytes
        self._is_reading = True

    def on_url(self, data: bytes) -> None:
        """Append a chunk of the request target."""
        self._target += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are dropped."""
        if not self._has_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Validate the head before the body is read."""
        self._has_head = True
        size = len(self._target) + sum(
            len(name) + len(value) + 4 for name, value in self._headers
        )
        self._head_bytes = 0
        if size > self._handler.limits().max_header_bytes:
            self._reject(Failure(HEADERS_TOO_LARGE))
            return
        failure = _check_head(self._parser.get_http_version(), self._headers)
        if failure is None and not self._target.startswith(b"/"):
            failure = Failure(REQUEST_MALFORMED, "the target is not a path")
        if failure is None:
            failure = self._check_length()
        if failure is not None:
            self._reject(failure)
        elif _expects_continue(self._headers) and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append a chunk of the body."""
        if self._is_closing:
            return
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > self._handler.limits().max_body_bytes:
            self._reject(Failure(BODY_TOO_LARGE))

    def on_message_complete(self) -> None:
        """Start to handle the complete request."""
        if self._is_closing:
            return
        request = CallerRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            b"".join(self._body),
            self._loop.time(),
            self._parser.should_keep_alive(),
        )
        self._reset_request()
        pending = _PendingRequest(request.method == b"HEAD", request.keep_alive)
        self._pending.append(pending)
        if len(self._pending) > MAX_PIPELINED:
            # The rest of a chunk that was read before reading paused.
            self._backlog.append((request, pending))
            return
        self._start(request, pending)
        if len(self._pending) >= MAX_PIPELINED and self._transport is not None:
            self._is_paused = True
            self._transport.pause_reading()

    # Steps

    def _start(self, request: CallerRequest, pending: _PendingRequest) -> None:
        def reply(response: Response) -> None:
            pending.response = response
            pending.cancel = None
            self._write_responses()

        pending.cancel = self._handler.start(request, reply)

    def _start_backlog(self) -> None:
        """Start delayed requests for which there is room again."""
        while self._backlog and (
            len(self._pending) - len(self._backlog) < MAX_PIPELINED
        ):
            self._start(*self._backlog.popleft())

    def _check_head_size(self) -> None:
        if self._head_bytes > 2 * self._handler.limits().max_header_bytes:
            self._reject(Failure(HEADERS_TOO_LARGE))

    def _check_length(self) -> Failure | None:
        for name, value in self._headers:
            if name == b"content-length":
                if not value.isdigit():
                    return Failure(REQUEST_MALFORMED, "the length is not a number")
                if int(value) > self._handler.limits().max_body_bytes:
                    return Failure(BODY_TOO_LARGE)
        return None

    def _reject(self, failure: Failure) -> None:
        """Queue an error response behind the pending ones and stop reading requests."""
        if self._is_closing:
            return
        self._is_closing = True
        pending = _PendingRequest(False, False, self._handler.reject(failure))
        self._pending.append(pending)
        self._write_responses()

    def _write_responses(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        while self._pending and self._pending[0].response is not None:
            pending = self._pending.popleft()
            response = cast("Response", pending.response)
            close = (
                not pending.keep_alive
                or not response.keep_alive
                or (self._handler.is_stopping() and not self._pending)
                or (self._is_closing and not self._pending)
            )
            transport.write(encode_response(response, pending.is_head, close))
            if close:
                self._is_closing = True
                transport.close()
                return
        self._start_backlog()
        if self._is_paused and len(self._pending) < MAX_PIPELINED:
            self._is_paused = False
            transport.resume_reading()
        self._restart_timer()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._pending or self._transport is None:
            return
        limits = self._handler.limits()
        in_head = self._is_reading and not self._has_head
        delay_s = limits.header_timeout_s if in_head else limits.idle_timeout_s
        self._timer = self._loop.call_later(delay_s, self._handle_timeout)

    def _handle_timeout(self) -> None:
        if self._transport is None or self._pending:
            return
        if self._is_reading:
            self._reject(Failure(REQUEST_TIMEOUT))
        else:
            self._transport.close()


def _check_head(version: str, headers: Headers) -> Failure | None:
    """Return a failure if the message framing or host is ambiguous, else ``None``."""
    names = [name for name, _ in headers]
    if names.count(b"host") != 1 and (version != "1.0" or b"host" in names):
        return Failure(REQUEST_MALFORMED, "a request has one host header")
    if names.count(b"content-length") > 1:
        return Failure(REQUEST_MALFORMED, "the length is given twice")
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if codings and (len(codings) > 1 or codings[0].strip().lower() != b"chunked"):
        return Failure(REQUEST_MALFORMED, "the transfer coding is not chunked")
    if codings and b"content-length" in names:
        return Failure(REQUEST_MALFORMED, "both a length and a transfer coding")
    return None


def _expects_continue(headers: Headers) -> bool:
    return any(
        name == b"expect" and value.lower() == b"100-continue"
        for name, value in headers
    )
