"""Server whose answers have no end, as of a faulty upstream."""

from __future__ import annotations

import asyncio
import itertools

import attrs

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"
ANSWERS = {
    "field": (OK + b"x-a: ", b"a" * 65_536),
    "fields": (OK, b"x: a\r\n" * 10_000),
    "reason": (b"HTTP/1.1 200 ", b"a" * 65_536),
    "interim": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2_000),
    "length": (OK + b"content-length: 99999999999\r\n\r\n", b"a" * 65_536),
    "long": (OK + b"{id}\r\ncontent-length: 7000000\r\n\r\n", b"a" * 65_536),
    "no-length": (OK + b"{id}\r\n\r\n", b"a" * 65_536),
    "chunks": (CHUNKED, b"8000\r\n" + b"a" * 0x8000 + b"\r\n"),
    "small-chunks": (CHUNKED, b"1\r\na\r\n" * 10_000),
    "extension": (CHUNKED + b"1;", b"x=" + b"a" * 65_534),
    "trailers": (CHUNKED + b"0\r\n", b"x-a: " + b"a" * 65_529 + b"\r\n"),
    "rubbish": (b"", b"\x00\xff" * 32_768),
}
"""What an answer begins with and what it repeats until its connection ends; ``{id}``
stands for the headers of an answer to the request."""


@attrs.define(eq=False)
class EndlessServer:
    """Answers each connection in the next of some ways, once it got bytes."""

    ways: tuple = tuple(ANSWERS)
    port: int = 0
    sent_bytes: int = 0
    """Bytes sent on all connections."""
    answer_headers: object = lambda _: b""
    """Returns the header lines of an answer, given the bytes of the request."""
    _order: object = attrs.field(init=False)
    _server: asyncio.Server | None = None
    _writers: set = attrs.field(factory=set)

    def __attrs_post_init__(self):
        self._order = itertools.cycle(self.ways)

    async def open(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            request = await reader.read(65_536)
            if not request:
                return
            start, repeated = ANSWERS[next(self._order)]
            head = self.answer_headers(request)
            writer.write(start.replace(b"{id}\r\n", head))
            while True:
                writer.write(repeated)
                self.sent_bytes += len(repeated)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()
