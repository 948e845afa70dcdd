"""The end of a peer is noticed without reading."""

from __future__ import annotations

import socket
import struct

import pytest
from conftest import wait_until

from gentianfold.forwarding.hangup_watcher import HangupWatcher

pytestmark = pytest.mark.anyio


def connect():
    with socket.create_server(("127.0.0.1", 0)) as server:
        peer = socket.create_connection(server.getsockname())
        return peer, server.accept()[0]


@pytest.mark.parametrize("is_reset", [False, True])
async def test_an_end_behind_unread_bytes_is_noticed_once(is_reset):
    watcher = HangupWatcher()
    calls = []
    pairs = [connect() for _ in range(3)]
    for number, (peer, own) in enumerate(pairs):
        peer.sendall(b"a" * 10_000)
        watcher.watch(own.fileno(), lambda number=number: calls.append(number))
    watcher.unwatch(pairs[2][1].fileno())
    for peer, _ in pairs[1:]:
        if is_reset:
            linger = struct.pack("ii", 1, 0)
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        peer.close()
    await wait_until(lambda: calls)
    # A descriptor that is used again is another connection.
    fd = pairs[1][1].fileno()
    pairs[1][1].close()
    watcher.unwatch(fd)
    peer, own = connect()
    watcher.watch(own.fileno(), lambda: calls.append("new"))
    peer.close()
    await wait_until(lambda: len(calls) == 2)
    assert calls == [1, "new"]
    watcher.close()
    for sock in (own, *(side for pair in pairs for side in pair)):
        sock.close()
