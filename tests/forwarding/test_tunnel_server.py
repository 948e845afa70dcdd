"""A tunnel holds no more than was claimed for it, whatever its upstream sends."""

from __future__ import annotations

import asyncio
import socket

import anyio
import pytest
from crowds.endless_server import EndlessServer

from gentianfold.forwarding.memory_budget import TUNNEL_BYTES
from gentianfold.forwarding.tunnel_server import TunnelConnection, encode_preface

pytestmark = pytest.mark.anyio


async def receive_exactly(sock, size):
    loop, received = asyncio.get_running_loop(), b""
    while len(received) < size:
        part = await loop.sock_recv(sock, size - len(received))
        assert part
        received += part
    return received


@pytest.mark.parametrize("anyio_backend", [("asyncio", {"use_uvloop": False})])
@pytest.mark.parametrize("way", ["length", "chunks", "rubbish"])
async def test_a_tunnel_to_an_upstream_without_end_is_within_its_claim(way):
    # One read brought 256 KiB behind what the opener had not read: 320 KiB, 128 claimed.
    loop, tunnels = asyncio.get_running_loop(), set()
    upstream = EndlessServer((way,))
    await upstream.open()
    server = await loop.create_server(
        lambda: TunnelConnection(
            lambda *_: ("127.0.0.1", upstream.port), tunnels, connect_timeout_s=5.0
        ),
        "127.0.0.1",
        0,
    )
    with socket.socket() as opener:
        opener.setblocking(False)
        await loop.sock_connect(opener, server.sockets[0].getsockname())
        await loop.sock_sendall(opener, encode_preface(b"t", "u", 1))
        assert await receive_exactly(opener, 1) == b"\0"
        await loop.sock_sendall(opener, b"GET / HTTP/1.1\r\n\r\n")
        (tunnel,) = tunnels
        held, sent_bytes = 0, -1
        with anyio.fail_after(20):
            # The opener reads now and then, until nothing moves without it.
            for _ in range(5):
                while sent_bytes != upstream.sent_bytes:
                    sent_bytes = upstream.sent_bytes
                    for _ in range(10):
                        await anyio.sleep(0.01)
                        held = max(held, tunnel._transport.get_write_buffer_size())
                await receive_exactly(opener, 1_000_000)
                sent_bytes = -1
        assert 0 < held <= TUNNEL_BYTES
    server.close()
    upstream.close()
