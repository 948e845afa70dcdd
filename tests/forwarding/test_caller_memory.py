"""What a caller's connection and an exchange hold is claimed, bounded and given back."""

from __future__ import annotations

import anyio
import pytest
from conftest import wait_until
from forwarding.fake_transport import FakeTransport
from forwarding.test_caller_connection import Handler as BaseHandler

from gentianfold.codes.requests import HEADERS_TOO_LARGE, MEMORY_FULL, REQUEST_TIMEOUT
from gentianfold.forwarding import caller_connection, upstream_connection
from gentianfold.forwarding.body import BLOCK_BYTES, Body
from gentianfold.forwarding.caller_connection import CallerConnection
from gentianfold.forwarding.error_response import error_response
from gentianfold.forwarding.memory_budget import (
    ANSWER_BYTES,
    CONNECTION_BYTES,
    STALL_S,
    Claim,
    ConnectionLimit,
    MemoryBudget,
    Use,
    claim_answer,
)
from gentianfold.forwarding.messages import CallerRequest, Response
from gentianfold.forwarding.request_fingerprint import RequestFingerprint
from gentianfold.forwarding.upstream_connection import UpstreamConnection

pytestmark = pytest.mark.anyio

CAPACITY_BYTES = 1 << 20
HEAD = b"POST /a HTTP/1.1\r\nhost: a\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"


class Handler(BaseHandler):
    """Keeps the requests and what was rejected."""

    def __init__(self):
        super().__init__()
        self.requests = []
        self.failures = []

    def start(self, request, reply):
        self.requests.append(request)
        return super().start(request, reply)

    def reject(self, failure):
        self.failures.append(failure.code)
        return error_response(failure)


def connect(handler, budget, limit=None):
    connection = CallerConnection(handler, set(), None, budget, limit)
    transport = FakeTransport()
    connection.connection_made(transport)
    return connection, transport


def stated(size):
    return HEAD + b"content-length: %d\r\n\r\n" % size


def chunk(size):
    return b"%x\r\n" % size + bytes(size) + b"\r\n"


async def test_a_body_without_room_is_refused_before_it_comes():
    handler, budget = Handler(), MemoryBudget(CAPACITY_BYTES)
    first, _ = connect(handler, budget)
    second, transport = connect(handler, budget)
    first.data_received(stated(700_000))
    second.data_received(stated(300_000))
    assert handler.failures == [MEMORY_FULL]
    assert b"503 Service Unavailable" in transport.written[0]
    assert b"retry-after: 1.00" in transport.written[0]
    third, _ = connect(handler, budget)
    third.data_received(stated(5) + b"small")
    assert [request.body.joined() for request in handler.requests] == [b"small"]
    first.data_received(bytes(700_000))
    assert handler.requests[1].body.size_bytes == 700_000
    for connection in (first, second, third):
        connection.connection_lost(None)
    handler.replies.clear()
    handler.requests.clear()
    assert budget.used_bytes == 0


async def test_a_body_in_chunks_waits_for_room_and_goes_on():
    handler, budget = Handler(), MemoryBudget(CAPACITY_BYTES)
    other = Claim(budget, Use.BODY)
    connection, transport = connect(handler, budget)
    other.force_to(700_000)
    connection.data_received(CHUNKED + chunk(100_000))
    assert transport.is_paused and not handler.failures
    other.release()
    await wait_until(lambda: not transport.is_paused)
    connection.data_received(chunk(100_000) + b"0\r\n\r\n")
    assert handler.requests[0].body.size_bytes == 200_000


async def test_a_body_in_chunks_is_refused_if_no_room_comes(monkeypatch):
    monkeypatch.setattr(caller_connection, "ROOM_WAIT_S", 0.05)
    handler, budget = Handler(), MemoryBudget(CAPACITY_BYTES)
    other = Claim(budget, Use.BODY)
    connection, transport = connect(handler, budget)
    other.force_to(700_000)
    connection.data_received(CHUNKED + chunk(100_000))
    await wait_until(lambda: transport.is_aborted)
    assert handler.failures == [MEMORY_FULL]
    other.release()
    assert budget.used_bytes == CONNECTION_BYTES


async def test_a_trailer_without_end_is_refused():
    handler, budget = Handler(), MemoryBudget(CAPACITY_BYTES)
    connection, _ = connect(handler, budget)
    connection.data_received(CHUNKED + chunk(10) + b"0\r\nx-a: ")
    for _ in range(10):
        connection.data_received(b"a" * 4096)
    assert handler.failures == [HEADERS_TOO_LARGE]


async def test_short_fields_cost_what_their_objects_cost():
    handler, budget = Handler(), MemoryBudget(CAPACITY_BYTES)
    connection, _ = connect(handler, budget)
    fields = b"ab:\r\n" * 2000
    connection.data_received(HEAD + fields)
    assert budget.used_bytes > 20 * len(fields)
    connection.data_received(b"\r\n")
    assert len(handler.requests[0].headers) == 2001
    second, _ = connect(handler, budget)
    second.data_received(HEAD + fields)
    third, _ = connect(handler, budget)
    third.data_received(HEAD + fields)
    assert handler.failures == [MEMORY_FULL]


async def test_a_stalled_body_ends_for_the_room_of_another():
    handler, budget = Handler(), MemoryBudget(CAPACITY_BYTES)
    stalled, stalled_transport = connect(handler, budget)
    stalled.data_received(stated(700_000) + bytes(699_999))
    assert stalled.stalled_since_s(anyio.current_time()) is None
    stalled._incoming.progress.last_s -= STALL_S
    connection, _ = connect(handler, budget)
    connection.data_received(stated(700_000))
    assert handler.failures == [REQUEST_TIMEOUT] and stalled_transport.is_half_closed
    connection.data_received(bytes(700_000))
    assert len(handler.requests) == 1 and budget.ended_count == 1


async def test_a_head_that_comes_byte_by_byte_ends_at_the_header_timeout():
    handler = Handler()
    handler.header_timeout_s = 0.1
    connection, transport = connect(handler, MemoryBudget(CAPACITY_BYTES))
    connection.data_received(b"POST /")
    with anyio.fail_after(30):
        while not transport.is_aborted:
            connection.data_received(b"a")
            await anyio.sleep(0.01)
    assert handler.failures == [REQUEST_TIMEOUT]


async def test_one_connection_too_many_is_refused_and_an_idle_one_makes_room():
    handler, budget, limit = Handler(), MemoryBudget(CAPACITY_BYTES), ConnectionLimit(2)
    busy, busy_transport = connect(handler, budget, limit)
    busy.data_received(HEAD)
    _, idle_transport = connect(handler, budget, limit)
    newest, newest_transport = connect(handler, budget, limit)
    assert idle_transport.is_aborted and not newest_transport.is_aborted
    newest.data_received(HEAD)
    _, refused_transport = connect(handler, budget, limit)
    assert refused_transport.is_aborted and not busy_transport.is_aborted
    assert (limit.ended_count, limit.refused_count) == (1, 1)


async def test_unread_answers_stay_claimed_until_they_left():
    handler, budget = Handler(), MemoryBudget(CAPACITY_BYTES)
    connection, transport = connect(handler, budget)
    connection.data_received(b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n")
    claim = claim_answer(budget, 0.0)
    transport.is_stuck = True
    handler.replies.pop()(Response(200, [], bytes(50_000), claim=claim))
    handler.requests.clear()
    del claim
    assert budget.used_bytes == CONNECTION_BYTES + ANSWER_BYTES
    assert connection.idle_since_s() is None
    transport.is_stuck = False
    connection.resume_writing()
    assert budget.used_bytes == CONNECTION_BYTES
    connection.connection_lost(None)
    assert budget.used_bytes == 0


async def test_reading_an_answer_pauses_until_there_is_room():
    budget = MemoryBudget(CAPACITY_BYTES)
    other, claim = Claim(budget, Use.ANSWER), claim_answer(budget, 0.0)
    other.force_to(900_000)
    connection = UpstreamConnection()
    transport = FakeTransport()
    connection.connection_made(transport)
    results = []

    async def exchange(claim):
        request = b"GET / HTTP/1.1\r\n\r\n"
        results.append(await connection.exchange(request, bool, claim=claim))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(exchange, claim)
        await wait_until(lambda: transport.written)
        connection.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n")
        assert not transport.is_paused
        connection.data_received(bytes(100_000))
        assert transport.is_paused
        await anyio.sleep(3 * upstream_connection.ROOM_RETRY_S)
        assert transport.is_paused
        other.release()
        await wait_until(lambda: not transport.is_paused)
        connection.data_received(bytes(100_000))
    assert len(results[0].body) == 200_000 and connection.is_open
    assert 200_000 <= budget.used_bytes < 201_000
    results.clear()
    del claim
    connection.connection_lost(None)
    assert budget.used_bytes == 0


def test_tiny_pieces_are_kept_in_blocks_and_long_ones_as_they_are():
    body, long = Body(), bytes(BLOCK_BYTES)
    for _ in range(BLOCK_BYTES + 10):
        body.append(b"ab")
    body.append(long)
    body.append(b"c")
    assert len(body.pieces) == 6 and body.pieces[4] is long
    assert body.joined() == b"ab" * (BLOCK_BYTES + 10) + long + b"c"
    assert body.size_bytes == len(body.joined())


def test_the_fingerprint_does_not_depend_on_the_pieces():
    whole, pieces = Body(b"abc" * 5000), Body()
    for start in range(0, 15_000, 1000):
        pieces.append((b"abc" * 5000)[start : start + 1000])
    digests = {
        RequestFingerprint(CallerRequest(b"POST", b"/", [], body, 0.0), "x").digest()
        for body in (whole, pieces)
    }
    assert len(digests) == 1 and len(pieces.pieces) > 1
