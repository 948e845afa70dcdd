"""The HTTP/1.1 protocol towards upstreams, parsed by httptools.

Speaks in the requests, responses and exceptions of httpcore. The connection class of
httpcore parses in Python, which took about a third of the processor time of a forwarded
request. The parser here is the one that uvicorn uses towards callers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

import httpcore
import httptools

if TYPE_CHECKING:
    from collections.abc import AsyncIterable, AsyncIterator

    from gentianfold.requests._transport_stream import TransportStream

READ_BYTES = 64 * 1024
"""Most bytes parsed at once."""
MAX_HEAD_BYTES = 100 * 1024
"""Largest head of an answer."""


class AnswerStream:
    """The body of one answer, read as it comes."""

    def __init__(self, connection: ParsedConnection) -> None:
        self._connection = connection

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body until the answer is whole."""
        connection = self._connection
        while True:
            for part in connection.take_body():
                yield part
            if connection.answer_ended:
                return
            await connection.receive()


class ParsedConnection:
    """Sends a request and parses its answer, one after the other."""

    def __init__(self, stream: TransportStream) -> None:
        self._stream = stream
        self._parser = httptools.HttpResponseParser(self)
        self._method = b""
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._head_ended = False
        self._sent = True
        self._reusable = True
        self.answer_ended = True
        """Whether the answer is whole."""
        self.has_stray_bytes = False
        """Whether the upstream sent more than the answer."""

    def is_idle(self) -> bool:
        """Return whether the connection is ready for another request."""
        ready = self.answer_ended and self._sent and self._reusable
        return ready and not self.has_stray_bytes

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        """Send ``request`` and return its answer, whose body is read as it comes.

        Raises:
            httpcore.ProtocolError: If one side does not speak HTTP/1.1.
            httpcore.NetworkError: If the connection broke.
        """
        self._method = request.method
        self._reset()
        self._sent = False
        try:
            await self._send(request)
            self._sent = True
        except httpcore.WriteError:
            # An upstream may answer before it has read everything, and close.
            self._reusable = False
        while not self._head_ended:
            await self.receive()
        return httpcore.Response(
            self._status, headers=self._headers, content=AnswerStream(self)
        )

    def take_body(self) -> list[bytes]:
        """Return the parts of the body that were parsed and not taken yet."""
        body, self._body = self._body, []
        return body

    async def receive(self) -> None:
        """Parse what comes next."""
        data = await self._stream.read(READ_BYTES)
        if not data:
            raise httpcore.RemoteProtocolError("the connection ended before the answer")
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.answer_ended:
                raise httpcore.RemoteProtocolError(str(error)) from error
            self.has_stray_bytes = True
        if not self._head_ended:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                raise httpcore.RemoteProtocolError(
                    "the head of the answer is too large"
                )

    # Sending

    async def _send(self, request: httpcore.Request) -> None:
        lines = [b"%b %b HTTP/1.1\r\n" % (request.method, request.url.target)]
        lines += [b"%b: %b\r\n" % header for header in request.headers]
        head = b"".join([*lines, b"\r\n"])
        if head.count(b"\n") != len(lines) + 1 or head.count(b"\r") != len(lines) + 1:
            raise httpcore.LocalProtocolError("a header holds a line end")
        framing = {name.lower(): value for name, value in request.headers}
        chunked = b"transfer-encoding" in framing
        length = int(framing.get(b"content-length", b"0"))
        sent = 0
        async for part in cast("AsyncIterable[bytes]", request.stream):
            sent += len(part)
            if not chunked and sent > length:
                raise httpcore.LocalProtocolError("the body is longer than its length")
            await self._stream.write(head + frame_part(part, chunked))
            head = b""
        if not chunked and sent < length:
            raise httpcore.LocalProtocolError("the body is shorter than its length")
        await self._stream.write(head + (b"0\r\n\r\n" if chunked else b""))

    # Callbacks of the parser

    def _reset(self) -> None:
        self._headers = []
        self._body = []
        self._head_bytes = 0
        self._head_ended = False
        self.answer_ended = False

    def on_message_begin(self) -> None:
        """Note an answer that nobody asked for."""
        if self.answer_ended:
            self.has_stray_bytes = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; the fields of a trailer are left out."""
        if not self._head_ended:
            self._headers.append((name, value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Note the status; answers to HEAD end here."""
        if self.answer_ended:
            return
        self._status = self._parser.get_status_code()
        if self._status < 200:
            return
        self._head_ended = True
        self._reusable = self._reusable and self._parser.should_keep_alive()
        if self._method == b"HEAD":
            # The parser can't be told that no body follows, so it is not used again.
            self._reusable = False
            self.answer_ended = True

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body until it is taken."""
        if self.answer_ended:
            self.has_stray_bytes = True
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Note the end of the answer, or go on after an informational one."""
        if self._head_ended:
            self.answer_ended = True
        else:
            self._reset()


def frame_part(part: bytes, chunked: bool) -> bytes:
    """Return a part of a body as it goes over the wire."""
    return b"%x\r\n%b\r\n" % (len(part), part) if chunked and part else part
