"""Clients that don't behave: what each sends, and how many there are.

A way of sending is a function of the path that returns the pieces of one client. Its
connection stays open behind them, and nothing is read from it but by slow readers.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Callable, Iterator

import anyio
import attrs
from conftest import request_bytes

from gentianfold.forwarding.tunnel_server import encode_preface

BODY_BYTES = 4 << 20
"""Largest body in the configuration of these tests (bytes)."""
HEAD_BYTES = 16 << 10
"""Largest head in that configuration (bytes)."""
CROWD_S = 2.0
"""Time after which clients that were held back stop to send (seconds)."""
DRIBBLE_S = 0.2
"""Time between two bytes of a slow client (seconds)."""
PIECE_BYTES = 64 << 10


def head(path, *fields):
    """Return the head of a request with a body of which the fields tell the size."""
    return request_bytes("crowd", path, "POST", extra=fields)


def cut(data, size):
    return (data[start : start + size] for start in range(0, len(data), size))


def send_whole(path):
    """A body in one piece that stops just short of its end."""
    yield head(path, f"Content-Length: {BODY_BYTES}") + bytes(BODY_BYTES - 1)


def send_pieces(path):
    """The same in small pieces."""
    yield head(path, f"Content-Length: {BODY_BYTES}")
    yield from cut(bytes(BODY_BYTES - 1), 4 << 10)


def send_chunks(path):
    """The same in chunks."""
    yield head(path, "Transfer-Encoding: chunked")
    chunk = b"4000\r\n" + bytes(0x4000) + b"\r\n"
    yield from itertools.repeat(chunk, BODY_BYTES // 0x4000)


def send_tiny_chunks(path):
    """A body in chunks of two bytes: each of them is an object of the parser."""
    yield head(path, "Transfer-Encoding: chunked")
    yield from cut(b"2\r\nab\r\n" * (128 << 10), PIECE_BYTES)


def send_oversized(path):
    """A body far over the limit, with its length."""
    yield head(path, f"Content-Length: {1 << 40}")
    yield from itertools.repeat(bytes(PIECE_BYTES), 2 * BODY_BYTES // PIECE_BYTES)


def send_oversized_chunks(path):
    """A body far over the limit, in chunks."""
    yield head(path, "Transfer-Encoding: chunked")
    chunk = b"10000\r\n" + bytes(PIECE_BYTES) + b"\r\n"
    yield from itertools.repeat(chunk, 2 * BODY_BYTES // PIECE_BYTES)


def send_trailers(path):
    """A field without end behind the last chunk."""
    yield head(path, "Transfer-Encoding: chunked") + b"0\r\nx-a: "
    yield from itertools.repeat(b"a" * PIECE_BYTES, BODY_BYTES // PIECE_BYTES)


def send_long_target(path):
    """A target without end."""
    yield b"GET " + path.encode()
    yield from itertools.repeat(b"a" * PIECE_BYTES, BODY_BYTES // PIECE_BYTES)


def send_fields(path):
    """Heads of legal size made of very many short fields; the last has no end."""
    start = head(path)[:-2]
    fields = b"ab:\r\n" * ((HEAD_BYTES - len(start)) // 6 - 20)
    whole = start + b"Content-Length: 0\r\n" + fields
    yield (whole + b"\r\n") * 2 + whole


def send_ahead(path):
    """Requests sent ahead; each answer repeats the identifier or is long."""
    request_id = "i" * 8000 if path == "/nowhere/1" else "crowd"
    request = request_bytes(request_id, path)
    yield from itertools.repeat(request, 6000)


def send_ahead_short(path):
    """The shortest requests, sent ahead."""
    requests = f"GET {path} HTTP/1.1\r\n\r\n".encode() * 2000
    yield from itertools.repeat(requests, 250)


def send_ahead_many(path):
    """A few requests sent ahead on each of many connections, with long answers."""
    yield request_bytes("crowd", path) * 40


def send_one(path):
    """One request."""
    yield request_bytes("crowd", path)


def send_slowly(path):
    """A head that comes byte by byte and has no end."""
    start = head(path, "Content-Length: 100", "x-slow: ")[:-4]
    yield start[:-40]
    for byte in start[-40:]:
        yield bytes((byte,))


def send_body_slowly(path):
    """A body that comes byte by byte and has no end."""
    yield head(path, "Content-Length: 100")
    yield from itertools.repeat(b"a", 99)


def send_preface(path):
    """The line with which a tunnel begins, with a token that nobody gave out."""
    yield encode_preface(bytes(8), "u0", 1)


def stop_halfway(path):
    """Half a head."""
    yield head(path)[:10]


@attrs.frozen
class Way:
    """How a crowd sends."""

    pieces: Callable[[str], Iterator[bytes]]
    client_count: int
    pause_s: float = 0.0
    reads: bool = False


WAYS = {
    "whole": Way(send_whole, 30),
    "pieces": Way(send_pieces, 30),
    "chunks": Way(send_chunks, 30),
    "tiny-chunks": Way(send_tiny_chunks, 8),
    "oversized": Way(send_oversized, 30),
    "oversized-chunks": Way(send_oversized_chunks, 30),
    "trailers": Way(send_trailers, 30),
    "long-target": Way(send_long_target, 30),
    "fields": Way(send_fields, 120),
    "ahead": Way(send_ahead, 1),
    "ahead-short": Way(send_ahead_short, 1),
    "ahead-many": Way(send_ahead_many, 100),
    "slow-readers": Way(send_ahead_many, 100, DRIBBLE_S, reads=True),
    "one-each": Way(send_one, 200),
    "one-each-slow": Way(send_one, 200, DRIBBLE_S, reads=True),
    "slow-heads": Way(send_slowly, 380, DRIBBLE_S),
    "slow-bodies": Way(send_body_slowly, 380, DRIBBLE_S),
    "halfway": Way(stop_halfway, 380),
    "prefaces": Way(send_preface, 380),
}


@attrs.define(eq=False)
class Crowd:
    """Open connections of the clients of one way; closed at the end."""

    address: tuple[str, int]
    sockets: list[socket.socket] = attrs.field(factory=list)

    async def run(self, way, path):
        """Send what the clients have; those that are held back stop after a while."""
        with anyio.move_on_after(CROWD_S):
            async with anyio.create_task_group() as tasks:
                for _ in range(way.client_count):
                    tasks.start_soon(self._send, way, path)

    def close(self):
        for sock in self.sockets:
            sock.close()

    async def _send(self, way, path):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        # What is not read then waits in the VM and not in the socket.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        self.sockets.append(sock)
        try:
            await loop.sock_connect(sock, self.address)
            for piece in way.pieces(path):
                await loop.sock_sendall(sock, piece)
                if way.pause_s:
                    await anyio.sleep(way.pause_s)
            while way.reads and await loop.sock_recv(sock, 1):
                await anyio.sleep(way.pause_s)
        except OSError:
            # The VM closed the connection, which it may.
            return
