"""HTTP server for requests of the load balancer, operators and other VMs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeAlias, cast

import httptools

from gentianfold.forwarding.messages import Response, encode_response

PathResponder: TypeAlias = Callable[[bytes], Response]
"""Returns the response for a request target."""
IDLE_TIMEOUT_S = 20.0
"""Idle time after which a connection is closed (seconds); the load balancer sends one
readiness check per second."""


class InternalHttpConnection(asyncio.Protocol):
    """Answers each request synchronously by its target.

    The method and the body are ignored.
    """

    def __init__(self, respond: PathResponder) -> None:
        self._respond = respond
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timeout."""
        self._transport = cast("asyncio.Transport", transport)
        self._timer = self._loop.call_later(IDLE_TIMEOUT_S, self._transport.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the idle timeout."""
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse received data; abort the connection if the request is malformed."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._transport is not None:
                self._transport.abort()

    def on_message_begin(self) -> None:
        """Reset the target at the start of a request."""
        self._target = b""

    def on_url(self, data: bytes) -> None:
        """Append a fragment of the target."""
        self._target += data

    def on_message_complete(self) -> None:
        """Send the response and restart the idle timeout."""
        if self._transport is None or self._transport.is_closing():
            return
        response = self._respond(self._target)
        close = not self._parser.should_keep_alive()
        self._transport.write(encode_response(response, False, close))
        if close:
            self._transport.close()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(IDLE_TIMEOUT_S, self._transport.close)
