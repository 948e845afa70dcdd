"""One connection of a caller: parses requests and writes responses in order."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol, cast

import httptools

from gentianfold.codes.requests import (
    BODY_TOO_LARGE,
    HEADERS_TOO_LARGE,
    REQUEST_MALFORMED,
    REQUEST_TIMEOUT,
)
from gentianfold.errors import Failure
from gentianfold.forwarding.messages import CallerRequest, Headers, Response
from gentianfold.forwarding.request_head import expects_continue, find_head_failure
from gentianfold.forwarding.response_writer import PendingResponse, ResponseWriter

if TYPE_CHECKING:
    from gentianfold.forwarding.hangup_watcher import HangupWatcher
    from gentianfold.model import CallerLimits

MAX_PIPELINED = 16
"""Requests of one connection whose answers have not left the process (count); at this
number reading pauses, and further requests stay in the socket buffer."""
MIN_STALL_TIMEOUT_S = 15.0
"""Shortest time without a byte received after which a caller is cut (seconds): a link may
be cut for some seconds while the operators allow short idle times only."""


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

    def record_cut(self, count: int, cause: str) -> None:
        """Count and log answers that had not left when their connection ended."""
        ...


class CallerConnection(asyncio.Protocol):
    """Parses requests, writes responses in order, cancels on disconnection."""

    def __init__(
        self,
        handler: RequestHandler,
        open_connections: set[CallerConnection],
        hangups: HangupWatcher | None = None,
    ) -> None:
        """Handle a connection that is about to be made.

        Args:
            handler: Answers the requests.
            open_connections: Holds the connection while it is open.
            hangups: Notices the end of the caller while it is not read; without it, the
                end is noticed when reading goes on.
        """
        self._handler = handler
        self._open_connections = open_connections
        self._hangups = hangups
        self._fd = -1
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._writer: ResponseWriter | None = None
        self._backlog: deque[tuple[CallerRequest, PendingResponse]] = deque()
        self._is_closing = False
        self._cut_cause = "caller"
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
    def is_awaiting(self) -> bool:
        """Whether a request is being read or its response is not known."""
        waiting_count = self._writer.waiting_count if self._writer is not None else 0
        return (self._is_reading and not self._is_closing) or waiting_count > 0

    @property
    def unsent_count(self) -> int:
        """Number of answers that were written and have not left the process."""
        return self._writer.unsent_count if self._writer is not None else 0

    def close_if_idle(self) -> None:
        """End the connection unless a request is being read or awaits its response."""
        if not self.is_awaiting:
            self.finish(lingers=False)

    def finish(self, lingers: bool = True) -> None:
        """End the connection behind what was written; discard what is received.

        Args:
            lingers: Whether an answer has been written just now.
        """
        self._is_closing = True
        if self._timer is not None:
            self._timer.cancel()
        self._cancel_pending()
        if self._writer is not None:
            self._writer.finish(lingers)
            self._resume_reading()

    def cut(self, cause: str) -> None:
        """Reset the connection; answers that have not left are lost."""
        if self._transport is not None:
            self._cut_cause = cause
            self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the idle timeout."""
        self._transport = cast("asyncio.Transport", transport)
        self._writer = ResponseWriter(self._transport, self)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            self._fd = sock.fileno()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open_connections.add(self)
        self._restart_timer()

    def eof_received(self) -> bool:
        """Cancel the pending requests; answers that were written are still sent."""
        self._cancel_pending()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the pending requests."""
        self._open_connections.discard(self)
        self._unwatch()
        if self._timer is not None:
            self._timer.cancel()
        self._cancel_pending()
        if self._writer is not None:
            cut_count = self._writer.handle_lost()
            if cut_count:
                self._handler.record_cut(cut_count, self._cut_cause)

    def resume_writing(self) -> None:
        """Go on, as all written answers have left."""
        if self._writer is not None:
            self._writer.handle_drained()

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
        self._head_bytes = 0
        failure = find_head_failure(
            self._parser.get_http_version(),
            self._target,
            self._headers,
            self._handler.limits(),
        )
        if failure is not None:
            self._reject(failure)
        elif (
            expects_continue(self._headers)
            and self._writer is not None
            and self._writer.can_write
        ):
            self._writer.write_bytes(b"HTTP/1.1 100 Continue\r\n\r\n")

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
        if self._is_closing or self._writer is None:
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
        pending = PendingResponse(request.method == b"HEAD", request.keep_alive)
        self._writer.add(pending)
        if self._writer.under_way_count > MAX_PIPELINED:
            # The rest of a chunk that was read before reading paused.
            self._backlog.append((request, pending))
            return
        self._start(request, pending)
        if self._writer.under_way_count >= MAX_PIPELINED:
            self._pause_reading()

    # WriterOwner

    def stall_timeout_s(self) -> float:
        """Return the time after which a caller that receives nothing has stalled."""
        return max(self._handler.limits().idle_timeout_s, MIN_STALL_TIMEOUT_S)

    def handle_sent(self) -> None:
        """Start delayed requests, read on or begin the idle timeout."""
        self._continue()

    def handle_stalled(self) -> None:
        """Reset the connection of a caller that does not receive."""
        self.cut("stalled")

    # Steps

    def _start(self, request: CallerRequest, pending: PendingResponse) -> None:
        def reply(response: Response) -> None:
            pending.response = response
            pending.cancel = None
            self._write_responses()

        pending.cancel = self._handler.start(request, reply)

    def _continue(self) -> None:
        """Start delayed requests and read on if there is room again."""
        writer = self._writer
        if writer is None or not writer.can_write:
            return
        while self._backlog and (
            writer.under_way_count - len(self._backlog) < MAX_PIPELINED
        ):
            self._start(*self._backlog.popleft())
        if self._is_paused and writer.under_way_count < MAX_PIPELINED:
            self._resume_reading()
        self._restart_timer()

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()
            if self._hangups is not None and self._fd >= 0:
                self._hangups.watch(self._fd, self._handle_hangup)

    def _resume_reading(self) -> None:
        if self._transport is not None and self._is_paused:
            self._is_paused = False
            self._unwatch()
            self._transport.resume_reading()

    def _unwatch(self) -> None:
        if self._hangups is not None:
            self._hangups.unwatch(self._fd)

    def _handle_hangup(self) -> None:
        """Do what the transport does at the end of a connection that is read."""
        self._cancel_pending()
        if self._transport is not None:
            self._transport.close()

    def _cancel_pending(self) -> None:
        if self._writer is not None:
            self._writer.cancel_waiting()
        self._backlog.clear()

    def _check_head_size(self) -> None:
        if self._head_bytes > 2 * self._handler.limits().max_header_bytes:
            self._reject(Failure(HEADERS_TOO_LARGE))

    def _reject(self, failure: Failure) -> None:
        """Queue an error response behind the pending ones and stop reading requests."""
        if self._is_closing or self._writer is None:
            return
        self._is_closing = True
        self._writer.add(PendingResponse(False, False, self._handler.reject(failure)))
        self._write_responses()

    def _write_responses(self) -> None:
        writer = self._writer
        if writer is None or not writer.can_write:
            return
        while (pending := writer.take_ready()) is not None:
            response = cast("Response", pending.response)
            close = (
                not pending.keep_alive
                or response.ends_connection
                or (self._handler.is_stopping() and not writer.waiting_count)
                or (self._is_closing and not writer.waiting_count)
            )
            writer.write(pending, close)
            if close:
                self.finish()
                return
        self._continue()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._writer is None or self._writer.under_way_count or self._is_closing:
            return
        limits = self._handler.limits()
        in_head = self._is_reading and not self._has_head
        delay_s = limits.header_timeout_s if in_head else limits.idle_timeout_s
        self._timer = self._loop.call_later(delay_s, self._handle_timeout)

    def _handle_timeout(self) -> None:
        if self._writer is None or self._writer.under_way_count:
            return
        if self._is_reading:
            self._reject(Failure(REQUEST_TIMEOUT))
        else:
            self.finish(lingers=False)
