"""Callers on narrow links: the kernel takes few bytes of an answer unless they are read."""

from __future__ import annotations

import socket

import anyio


async def connect_on_narrow_link(host, port):
    """Return a stream of a caller."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    # Segments as on Ethernet; those of loopback let the kernel take megabytes.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
    try:
        sock.connect((host, port))
    except OSError:
        sock.close()
        raise
    return await anyio.abc.SocketStream.from_socket(sock)
