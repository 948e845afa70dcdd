"""A small HTTP server for questions of the balancer, of operators and of other VMs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeAlias, cast

import httptools

from gentianfold.forwarding.messages import Response, encode_response

Respond: TypeAlias = Callable[[bytes], Response]
"""Returns the answer to a path."""
IDLE_TIMEOUT_S = 20.0
"""Time after which a connection without a question is closed (seconds): the balancer
asks once a second."""


class SmallHttpConnection(asyncio.Protocol):
    """Answers GET requests at once."""

    def __init__(self, respond: Respond) -> None:
        self._respond = respond
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for a question."""
        self._transport = cast("asyncio.Transport", transport)
        self._timer = self._loop.call_later(IDLE_TIMEOUT_S, self._transport.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse questions."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._transport is not None:
                self._transport.abort()

    def on_message_begin(self) -> None:
        """Start a question."""
        self._target = b""

    def on_url(self, data: bytes) -> None:
        """Keep a piece of the path."""
        self._target += data

    def on_message_complete(self) -> None:
        """Answer a question."""
        if self._transport is None or self._transport.is_closing():
            return
        answer = self._respond(self._target)
        close = not self._parser.should_keep_alive()
        self._transport.write(encode_response(answer, False, close))
        if close:
            self._transport.close()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(IDLE_TIMEOUT_S, self._transport.close)
