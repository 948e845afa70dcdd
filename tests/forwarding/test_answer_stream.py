"""A long answer from an upstream's connection to a caller's, with both ends as fakes."""

from __future__ import annotations

from contextlib import asynccontextmanager

import anyio
import anyio.lowlevel
import pytest
from conftest import wait_until
from forwarding.fake_transport import FakeTransport
from forwarding.test_caller_memory import Handler as BaseHandler
from forwarding.test_upstream_connection import open_connection

from gentianfold.forwarding import long_answer, response_writer
from gentianfold.forwarding.caller_connection import CallerConnection
from gentianfold.forwarding.link_schedule import MAX_PIECE_BYTES
from gentianfold.forwarding.long_answer import FIRST_BYTES, HOLD_BYTES
from gentianfold.forwarding.memory_budget import MemoryBudget, claim_answer
from gentianfold.forwarding.messages import Response
from gentianfold.forwarding.upstream_connection import (
    MAX_RESPONSE_BYTES,
    ExchangeFailure,
)

pytestmark = pytest.mark.anyio

READ_BYTES = 32 << 10
BODY = bytes(range(256)) * 2110
HEAD = b"HTTP/1.1 200 OK\r\nid: r1\r\ncontent-length: %d\r\n\r\n" % len(BODY)
REQUEST = b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n"


class Handler(BaseHandler):
    """Counts the answers that broke off."""

    def __init__(self):
        super().__init__()
        self.broken_off_count = 0

    def record_broken_off(self):
        self.broken_off_count += 1


class NarrowTransport(FakeTransport):
    """A transport from which a caller takes bytes only when the test says so."""

    def __init__(self):
        super().__init__()
        self.taken_bytes = 0

    def get_write_buffer_size(self):
        return sum(map(len, self.written)) - self.taken_bytes

    def take_all(self):
        """Take what the transport holds; return how much it was."""
        size = self.get_write_buffer_size()
        self.taken_bytes += size
        return size


class Relay:
    """One exchange whose answer goes to the first request of a caller."""

    def __init__(self, transport, request_count=1):
        self.budget = MemoryBudget(1 << 30)
        self.handler = Handler()
        self.transport = transport
        self.caller = CallerConnection(self.handler, set(), None, self.budget)
        self.caller.connection_made(transport)
        for number in range(request_count):
            self.caller.data_received(REQUEST % number)
        self.base_bytes = self.budget.used_bytes
        self.upstream = open_connection()
        self.result = None

    async def run(self, number=0):
        """Run the exchange for one of the requests."""
        claim = claim_answer(self.budget, 0.0)
        self.result = await self.upstream.exchange(
            b"GET / HTTP/1.1\r\n\r\n",
            lambda row: row.header(b"id") == b"r1",
            claim=claim,
            offer=self.handler.requests[number].pass_on,
        )

    def held_bytes(self):
        """Return what is claimed for the answer."""
        return self.budget.used_bytes - self.base_bytes

    @property
    def is_held_back(self):
        return self.upstream._transport.is_paused

    def caller_bytes(self):
        """Return what was written to the caller."""
        return b"".join(map(bytes, self.transport.written))


@asynccontextmanager
async def open_relay(transport=None, number=0, request_count=1):
    relay = Relay(transport or FakeTransport(), request_count)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(relay.run, number)
        await settle()
        yield relay
        tasks.cancel_scope.cancel()


async def settle():
    for _ in range(4):
        await anyio.lowlevel.checkpoint()


def reads(data):
    """Return bytes in the reads in which they arrive."""
    return [data[at : at + READ_BYTES] for at in range(0, len(data), READ_BYTES)]


async def test_a_long_answer_leaves_while_it_comes_and_is_the_same_byte_for_byte():
    async with open_relay() as relay:
        for number, read in enumerate(reads(HEAD + BODY)):
            relay.upstream.data_received(read)
            written = relay.caller_bytes()
            # Until then another upstream could be tried.
            assert bool(written) == (number * READ_BYTES >= FIRST_BYTES)
            if written:
                size = min((number + 1) * READ_BYTES - len(HEAD), len(BODY))
                assert len(written.partition(b"\r\n\r\n")[2]) == size
        await settle()
        assert isinstance(relay.result, Response) and relay.upstream.is_open
        head, _, body = relay.caller_bytes().partition(b"\r\n\r\n")
        assert body == BODY and b"content-length: %d" % len(BODY) in head
        assert relay.held_bytes() == 0 and not relay.caller.is_awaiting
        # The connection serves the next request.
        relay.caller.data_received(REQUEST % 1)
        relay.handler.replies[1](Response(200, [], b"next"))
        assert relay.caller_bytes().endswith(b"next")


async def test_the_memory_for_a_slow_caller_stays_under_a_bound():
    # 540 KB were held until the caller had taken the last byte.
    async with open_relay(NarrowTransport()) as relay:
        peak, pauses, rest = 0, 0, reads(HEAD + BODY)
        while rest or relay.transport.get_write_buffer_size():
            if rest and not relay.is_held_back:
                relay.upstream.data_received(rest.pop(0))
            else:
                pauses += relay.is_held_back
                assert 0 < relay.transport.take_all() <= MAX_PIECE_BYTES + len(HEAD)
                relay.caller.resume_writing()
            peak = max(peak, relay.held_bytes())
            await settle()
        assert pauses and peak <= HOLD_BYTES + READ_BYTES
        assert relay.caller_bytes().partition(b"\r\n\r\n")[2] == BODY
        relay.result = None
        assert relay.held_bytes() == 0 and relay.handler.broken_off_count == 0


async def test_an_answer_in_tiny_reads_is_kept_in_blocks():
    # Each read was an object of its own: forty times the bytes that were claimed.
    async with open_relay(NarrowTransport()) as relay:
        relay.upstream.data_received(HEAD + BODY[:FIRST_BYTES])
        stream = relay.upstream._pending.stream
        start, step = FIRST_BYTES, 8
        while not relay.is_held_back:
            relay.upstream.data_received(BODY[start : start + step])
            start += step
            if start % 4096 == 0 and start < HOLD_BYTES:
                relay.transport.take_all()
                relay.caller.resume_writing()
        assert len(stream._pieces) < 20
        while relay.transport.take_all():
            relay.caller.resume_writing()
        for read in reads(BODY[start:]):
            relay.upstream.data_received(read)
        while relay.transport.take_all():
            relay.caller.resume_writing()
        assert relay.caller_bytes().partition(b"\r\n\r\n")[2] == BODY
        await settle()
        assert isinstance(relay.result, Response)


async def test_a_caller_that_takes_nothing_gives_the_upstream_free(monkeypatch):
    monkeypatch.setattr(long_answer, "MAX_PAUSE_S", 0.02)
    async with open_relay(NarrowTransport()) as relay:
        rest = reads(HEAD + BODY)
        while rest and not relay.is_held_back:
            relay.upstream.data_received(rest.pop(0))
        assert rest and relay.result is None
        await wait_until(lambda: not relay.is_held_back)
        for read in rest:
            relay.upstream.data_received(read)
            assert not relay.is_held_back
        await settle()
        assert isinstance(relay.result, Response) and relay.caller.unsent_count == 1
        while relay.transport.take_all():
            relay.caller.resume_writing()
        assert relay.caller_bytes().partition(b"\r\n\r\n")[2] == BODY
        relay.result = None
        relay.result = None
        assert relay.held_bytes() == 0


@pytest.mark.parametrize("size", [FIRST_BYTES + 1, len(HEAD + BODY) - 1])
async def test_an_answer_that_breaks_off_looks_incomplete(size):
    async with open_relay() as relay:
        for read in reads((HEAD + BODY)[:size] + b""):
            relay.upstream.data_received(read)
        has_begun = bool(relay.caller_bytes())
        relay.caller.data_received(REQUEST % 1)
        relay.upstream.connection_lost(None)
        await settle()
        assert relay.result is ExchangeFailure.CUT
        assert relay.handler.broken_off_count == has_begun
        assert relay.transport.is_half_closed == has_begun
        head, _, body = relay.caller_bytes().partition(b"\r\n\r\n")
        if has_begun:
            assert b"content-length: %d" % len(BODY) in head
            assert len(body) < len(BODY) and BODY.startswith(body)
        # Nothing follows the part, as its rest would be taken for it.
        assert relay.handler.started == [b"/0", b"/1"][: 1 + (not has_begun)]
        if not has_begun:
            relay.handler.replies[1](Response(200, [], b"next"))
        assert not relay.caller_bytes().endswith(b"next")


@pytest.mark.parametrize("head_bytes_over", [0, 1])
async def test_nothing_leaves_of_an_answer_that_will_be_too_large(head_bytes_over):
    # Its last bytes were missing: the head counts too.
    size = MAX_RESPONSE_BYTES - len(HEAD) - 1 + head_bytes_over
    head = b"HTTP/1.1 200 OK\r\nid: r1\r\ncontent-length: %d\r\n\r\n" % size
    async with open_relay() as relay:
        read = bytes(READ_BYTES)
        relay.upstream.data_received(head)
        for _ in range(size // READ_BYTES):
            relay.upstream.data_received(read)
        relay.upstream.data_received(read[: size % READ_BYTES])
        await settle()
        is_small = isinstance(relay.result, Response)
        assert is_small == (len(head) + size <= MAX_RESPONSE_BYTES)
        assert bool(relay.caller_bytes()) == is_small


async def test_an_answer_whose_turn_has_not_come_is_received_whole():
    async with open_relay(number=1, request_count=2) as relay:
        for read in reads(HEAD + BODY):
            relay.upstream.data_received(read)
        await settle()
        assert relay.result.stream is None and relay.result.body == BODY
        assert not relay.caller_bytes()
        relay.handler.replies[1](relay.result)
        relay.handler.replies[0](Response(200, [], b"first"))
        await settle()
        first, _, rest = relay.caller_bytes().partition(b"first")
        assert first.startswith(b"HTTP/1.1 200") and rest.endswith(BODY)


async def test_requests_behind_a_long_answer_start_when_it_cannot_break_off():
    # They were passed on to upstreams, and lost when another one broke off.
    async with open_relay(NarrowTransport()) as relay:
        *some, last = reads(HEAD + BODY)
        for read in some:
            relay.upstream.data_received(read)
            relay.transport.take_all()
            relay.caller.resume_writing()
        relay.caller.data_received(REQUEST % 1)
        assert relay.handler.started == [b"/0"] and relay.caller.is_awaiting
        relay.upstream.data_received(last)
        assert relay.transport.take_all()
        relay.caller.resume_writing()
        assert relay.handler.started == [b"/0", b"/1"]
        relay.handler.replies[1](Response(200, [], b"next"))
        while relay.transport.take_all():
            relay.caller.resume_writing()
        assert relay.caller_bytes().partition(b"\r\n\r\n")[2].startswith(BODY + b"HTTP")
        assert relay.caller_bytes().endswith(b"next")


async def test_an_answer_before_others_that_have_started_is_received_whole():
    async with open_relay(request_count=2) as relay:
        *some, last = reads(HEAD + BODY)
        for read in some:
            relay.upstream.data_received(read)
        relay.handler.replies[1](Response(200, [], b"next"))
        assert not relay.caller_bytes() and relay.caller.is_awaiting
        relay.upstream.data_received(last)
        await settle()
        relay.handler.replies[0](relay.result)
        await settle()
        assert relay.caller_bytes().partition(b"\r\n\r\n")[2].startswith(BODY + b"HTTP")
        assert relay.caller_bytes().endswith(b"next")


async def test_a_caller_that_leaves_ends_the_request():
    async with open_relay() as relay:
        for read in reads(HEAD + BODY)[:-1]:
            relay.upstream.data_received(read)
        relay.caller.connection_lost(None)
        assert relay.handler.cancelled == [b"/0"]
        assert relay.handler.cuts == [(1, "caller")] and not relay.is_held_back


async def test_a_complete_answer_is_sent_to_a_caller_that_has_ended_its_side():
    async with open_relay(NarrowTransport()) as relay:
        relay.handler.replies[0](Response(200, [], BODY))
        await settle()
        assert relay.caller.eof_received() and not relay.transport.is_half_closed
        while relay.transport.take_all():
            relay.caller.resume_writing()
        assert relay.transport.is_half_closed
        assert relay.caller_bytes().endswith(BODY)
        relay.caller.connection_lost(None)
        assert not relay.handler.cuts


async def test_a_caller_is_not_stalled_while_its_upstream_is_silent(monkeypatch):
    monkeypatch.setattr(response_writer.ResponseWriter, "_received_bytes", _sent_bytes)
    async with open_relay() as relay:
        relay.handler.idle_timeout_s = 0.0
        monkeypatch.setattr(relay.caller, "stall_timeout_s", lambda: 0.01)
        for read in reads(HEAD + BODY)[:-1]:
            relay.upstream.data_received(read)
        await anyio.sleep(0.1)
        assert relay.caller.stalled_since_s(1e9) is None
        assert not relay.transport.is_aborted and not relay.handler.cuts


def _sent_bytes(writer):
    return writer._sent_bytes()


async def test_nothing_is_written_into_a_long_answer():
    # "100 Continue" lay amid the body of the answer before.
    post = (
        b"POST /1 HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 4\r\n"
    )
    async with open_relay() as relay:
        *some, last = reads(HEAD + BODY)
        for read in some:
            relay.upstream.data_received(read)
        relay.caller.data_received(post + b"\r\n")
        relay.upstream.data_received(last)
        _, _, rest = relay.caller_bytes().partition(b"\r\n\r\n")
        assert rest == BODY + b"HTTP/1.1 100 Continue\r\n\r\n"
        relay.caller.data_received(b"body")
        relay.handler.replies[1](Response(200, [], b"next"))
        assert relay.caller_bytes().endswith(b"next")


@pytest.mark.parametrize("is_whole", [False, True])
async def test_no_request_starts_behind_an_answer_that_ends_the_connection(is_whole):
    # The caller takes it as not read and sends it again.
    async with open_relay(NarrowTransport()) as relay:
        relay.handler.is_stopping = lambda: True
        if is_whole:
            relay.handler.replies[0](Response(200, [], BODY))
        else:
            for read in reads(HEAD + BODY)[:4]:
                relay.upstream.data_received(read)
        assert b"connection: close" in relay.caller_bytes()
        relay.caller.data_received(REQUEST % 1)
        assert relay.handler.started == [b"/0"]
        if not is_whole:
            for read in reads(HEAD + BODY)[4:]:
                relay.upstream.data_received(read)
        while relay.transport.take_all():
            relay.caller.resume_writing()
            await settle()
        assert relay.caller_bytes().endswith(BODY) and relay.transport.is_half_closed
        assert not relay.handler.cancelled


async def test_a_stalled_caller_that_is_ended_for_room_gives_back_all():
    # Its claim stayed until the upstream had sent everything, and others were ended.
    async with open_relay(NarrowTransport()) as relay:
        for read in reads(HEAD + BODY)[:4]:
            relay.upstream.data_received(read)
        assert relay.held_bytes() >= HOLD_BYTES - READ_BYTES
        relay.caller.end_for_room(at_once=False)
        assert relay.held_bytes() == 0
        assert relay.handler.cancelled == [b"/0"] and relay.handler.cuts == [
            (1, "room")
        ]
        relay.caller.connection_lost(None)
        assert relay.handler.cancelled == [b"/0"] and relay.handler.cuts == [
            (1, "room")
        ]
