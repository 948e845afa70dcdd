"""Links over loopback: who is let in, what is bounded, how keys rotate."""

from contextlib import asynccontextmanager

import anyio
import pytest
import zmq

from gentianfold.peers.link_keys import LinkKeys
from gentianfold.peers.messages import MAX_MESSAGE_BYTES
from gentianfold.peers.zmq_link import ZmqLink

pytestmark = pytest.mark.anyio

OLD, NEW, FOREIGN = (zmq.curve_keypair() for _ in range(3))
BOTH = (OLD[0], NEW[0])


@asynccontextmanager
async def listening(pair=OLD, allowed=BOTH):
    received = []
    link = ZmqLink(LinkKeys(*pair, allowed), received.append)
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(link.run, "127.0.0.1")
        yield link, port, received
        tasks.cancel_scope.cancel()


async def deliver(link, received, data=b"hello"):
    """Send until a message arrives; redial now and then."""
    with anyio.move_on_after(10):
        for attempt in range(1000):
            link.send("peer", data)
            await anyio.sleep(0.01)
            if data in received:
                return True
            if attempt % 30 == 29:
                link.redial("peer")
    return False


@pytest.mark.parametrize("sender", [OLD, NEW], ids=["same", "next"])
@pytest.mark.parametrize("receiver", [OLD, NEW], ids=["same", "next"])
async def test_both_generations_of_keys_talk(sender, receiver):
    async with listening(receiver) as (_, port, received), listening(sender) as other:
        link = other[0]
        link.connect("peer", "127.0.0.1", port)
        assert await deliver(link, received)


async def test_foreign_keys_and_plain_connections_are_refused():
    async with listening() as (_, port, received):
        async with listening(FOREIGN) as (foreign, _, _):
            foreign.connect("peer", "127.0.0.1", port)
            with zmq.Context() as context, context.socket(zmq.DEALER) as plain:
                plain.linger = 0
                plain.connect(f"tcp://127.0.0.1:{port}")
                for _ in range(50):
                    foreign.send("peer", b"foreign")
                    plain.send(b"plain")
                    await anyio.sleep(0.01)
        async with listening() as (friend, _, _):
            friend.connect("peer", "127.0.0.1", port)
            assert await deliver(friend, received)
    assert set(received) == {b"hello"}


async def test_raw_garbage_and_large_messages_do_no_harm():
    async with listening() as (_, port, received), listening() as (link, _, _):
        for data in (b"GET / HTTP/1.1\r\n\r\n", bytes(10_000), b"\xff" * 64):
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(data)
        link.connect("peer", "127.0.0.1", port)
        assert await deliver(link, received)
        link.send("peer", bytes(MAX_MESSAGE_BYTES + 1))
        assert await deliver(link, received, b"after")
        assert max(map(len, received)) <= MAX_MESSAGE_BYTES


async def test_what_waits_for_an_absent_peer_is_bounded():
    async with listening() as (link, port, _):
        assert not link.send("peer", b"unknown")
        # Nothing listens on the port of a link that has just ended.
        async with listening() as (_, absent_port, _):
            pass
        assert absent_port != port
        link.connect("peer", "127.0.0.1", absent_port)
        results = [link.send("peer", b"x") for _ in range(5000)]
        assert results[0] and not results[-1] and sum(results) < 2000
        link.disconnect("peer")
        assert not link.send("peer", b"x")
