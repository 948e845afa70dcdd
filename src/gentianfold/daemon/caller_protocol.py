"""The caller port's HTTP protocol: uvicorn's, with limits on request heads."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

if TYPE_CHECKING:
    import asyncio

HEADER_OVERHEAD_BYTES = 4
"""Colon, space and line end of one header line (bytes)."""


class HeadLimitedProtocol(HttpToolsProtocol):
    """Closes connections whose request head is too large or comes too slowly."""

    max_head_bytes = 32 * 1024
    """Largest request head (bytes)."""
    head_timeout_s = 10.0
    """Time for a whole request head (seconds)."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._in_head = True
        self._unparsed_bytes = 0
        self._parsed_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the clock of the first request head."""
        super().connection_made(transport)
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the clock."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Bound a request head that is still incomplete after this read."""
        if self._in_head and self._head_timer is None:
            self._start_head_timer()
        super().data_received(data)
        if not self._in_head:
            return
        self._unparsed_bytes += len(data)
        if self._unparsed_bytes > self.max_head_bytes:
            self._refuse_head("431 Request Header Fields Too Large")

    def on_message_begin(self) -> None:
        """Reset the counts for a new request head."""
        self._in_head = True
        self._parsed_bytes = 0
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Count the bytes of the request target."""
        self._parsed_bytes += len(url)
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count the bytes of one header line."""
        self._parsed_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Stop the clock and start the request, unless the head is too large."""
        self._in_head = False
        self._unparsed_bytes = 0
        self._stop_head_timer()
        if self._parsed_bytes > self.max_head_bytes:
            self._refuse_head("431 Request Header Fields Too Large")
        if self.transport.is_closing():
            return
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Take body bytes, unless the request was refused by its head."""
        if self.cycle is not None:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Expect the next request head."""
        if self.cycle is not None:
            super().on_message_complete()
        self._in_head = True

    def _start_head_timer(self) -> None:
        self._head_timer = self.loop.call_later(self.head_timeout_s, self._head_late)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _head_late(self) -> None:
        self._head_timer = None
        self._refuse_head("408 Request Timeout")

    def _refuse_head(self, status: str) -> None:
        self._stop_head_timer()
        if self.transport.is_closing():
            return
        head = f"HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
        self.transport.write(head.encode("ascii"))
        self.transport.close()


def head_limited_protocol(
    max_head_bytes: int, head_timeout_s: float
) -> type[HeadLimitedProtocol]:
    """Return a protocol class with these limits, as uvicorn takes classes."""
    limits = {"max_head_bytes": max_head_bytes, "head_timeout_s": head_timeout_s}
    return type("ConfiguredProtocol", (HeadLimitedProtocol,), limits)
