"""HTTP server for requests of the load balancer, operators and other VMs.

Its clients send one short request at a time and read the answer. One that does not is
closed: nothing here is held for it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeAlias, cast

import httptools

from gentianfold.forwarding.memory_budget import ConnectionLimit, Progress
from gentianfold.forwarding.messages import Response, encode_response, write_pieces

PathResponder: TypeAlias = Callable[[bytes], Response]
"""Returns the response for a request target."""
IDLE_TIMEOUT_S = 20.0
"""Idle time after which a connection is closed (seconds); the load balancer sends one
readiness check per second."""
REQUEST_TIMEOUT_S = 5.0
"""Time in which a request that has begun must end, and in which a response must be read
(seconds)."""
MAX_REQUEST_BYTES = 16 << 10
"""Longest request with its body (bytes): requests here have no body."""
MAX_AHEAD = 16
"""Requests that one read may hold (count): clients here send one at a time."""


class InternalHttpConnection(asyncio.Protocol):
    """Answers each request synchronously by its target.

    Any method but HEAD is answered as GET, and the body is ignored. Implements ``Holder``.
    """

    def __init__(
        self, respond: PathResponder, limit: ConnectionLimit | None = None
    ) -> None:
        """Handle a connection that is about to be made.

        Args:
            respond: Returns the responses.
            limit: Limit on the connections of the listener; ``None`` for none.
        """
        self._respond = respond
        self._limit = limit
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._request_bytes = 0
        self._ahead_count = 0
        self._is_unread = False
        self._unread_bytes = 0
        self._progress: Progress | None = None
        self._idle_since_s = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None

    # Holder

    def idle_since_s(self) -> float | None:
        """Return when the last request was answered; ``None`` during a request."""
        return self._idle_since_s if self._progress is None else None

    def stalled_since_s(self, now_s: float) -> float | None:
        """Return when a request began that has stalled; ``None`` if none has."""
        if self._progress is None:
            return None
        if self._is_unread and self._transport is not None:
            unread_bytes = self._transport.get_write_buffer_size()
            if unread_bytes != self._unread_bytes:
                self._progress.record(self._unread_bytes - unread_bytes, now_s)
                self._unread_bytes = unread_bytes
        return self._progress.started_s if self._progress.has_stalled(now_s) else None

    def end_for_room(self, at_once: bool = True) -> None:
        """Reset the connection."""
        self._abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timeout, or refuse the connection if there are too many."""
        self._transport = cast("asyncio.Transport", transport)
        if self._limit is not None and not self._limit.try_open(
            self, self._loop.time()
        ):
            self._transport.abort()
            return
        # The protocol is told when a client does not read.
        self._transport.set_write_buffer_limits(high=0)
        self._restart_timer(IDLE_TIMEOUT_S)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the idle timeout."""
        if self._limit is not None:
            self._limit.close(self)
        if self._timer is not None:
            self._timer.cancel()
        # The parser and this object refer to each other.
        del self._parser

    def pause_writing(self) -> None:
        """Await that the client reads before it sends another request."""
        self._is_unread = True
        if self._transport is not None:
            self._unread_bytes = self._transport.get_write_buffer_size()
        self._begin_wait()

    def resume_writing(self) -> None:
        """Wait for the next request."""
        self._is_unread = False
        self._end_wait()

    def data_received(self, data: bytes) -> None:
        """Parse received data; abort the connection if the request is malformed."""
        if self._transport is None or self._transport.is_closing():
            return
        self._begin_wait()
        self._ahead_count = 0
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._abort()
            return
        if self._progress is not None:
            self._request_bytes += len(data)
            if self._request_bytes > MAX_REQUEST_BYTES:
                self._abort()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Reset the target at the start of a request."""
        self._target = b""
        self._begin_wait()

    def on_url(self, data: bytes) -> None:
        """Append a fragment of the target."""
        if len(self._target) <= MAX_REQUEST_BYTES:
            self._target += data

    def on_message_complete(self) -> None:
        """Send the response and restart the idle timeout."""
        if self._transport is None or self._transport.is_closing():
            return
        self._ahead_count += 1
        if self._is_unread or self._ahead_count > MAX_AHEAD:
            # A client that reads no answers, or sends without waiting for them.
            self._abort()
            return
        response = self._respond(self._target)
        close = not self._parser.should_keep_alive()
        self._request_bytes = 0
        is_head = self._parser.get_method() == b"HEAD"
        write_pieces(self._transport, encode_response(response, is_head, close))
        if close:
            self._transport.close()
        if not self._is_unread:
            self._end_wait()

    # Steps

    def _begin_wait(self) -> None:
        """Give the client time to complete its request, or to read the response."""
        if self._progress is None:
            self._progress = Progress.begin(self._loop.time())
            self._restart_timer(REQUEST_TIMEOUT_S)

    def _end_wait(self) -> None:
        self._progress = None
        self._idle_since_s = self._loop.time()
        self._restart_timer(IDLE_TIMEOUT_S)

    def _restart_timer(self, timeout_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(timeout_s, self._handle_timeout)

    def _handle_timeout(self) -> None:
        if self._progress is not None:
            self._abort()
        elif self._transport is not None:
            self._transport.close()

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()
