"""One exchange with a server whose bytes are not the expected response."""

from __future__ import annotations

import asyncio

import anyio
import anyio.lowlevel
import pytest
from forwarding.fake_transport import FakeTransport

from gentianfold.forwarding.memory_budget import ANSWER_BYTES
from gentianfold.forwarding.upstream_connection import (
    MAX_RESPONSE_BYTES,
    MAX_RESPONSE_FIELDS,
    MAX_RESPONSE_HEAD_BYTES,
    ExchangeFailure,
    Response,
    UpstreamConnection,
)
from gentianfold.standins.http_server import HttpServer

pytestmark = pytest.mark.anyio

CHUNK_BYTES = 16_384


def answer(request_id, body=b"done"):
    return b"HTTP/1.1 200 OK\r\nid: %b\r\ncontent-length: %d\r\n\r\n%b" % (
        request_id,
        len(body),
        body,
    )


def open_connection():
    connection = UpstreamConnection()
    connection.connection_made(FakeTransport())
    return connection


async def exchange(connection, chunks, request_id=b"r1"):
    """Return the result of an exchange during which ``chunks`` arrive.

    Chunks are fed until the connection is closed or the result is known.
    """
    results = []

    async def run():
        results.append(
            await connection.exchange(
                b"GET / HTTP/1.1\r\n\r\n", lambda row: row.header(b"id") == request_id
            )
        )

    fed = 0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        await anyio.lowlevel.checkpoint()
        await anyio.lowlevel.checkpoint()
        for chunk in chunks:
            if connection._transport.is_closing():
                break
            connection.data_received(chunk)
            fed += len(chunk)
            await anyio.lowlevel.checkpoint()
            if results:
                break
        else:
            connection.connection_lost(None)
    return results[0], fed


def endless(start, chunk, total_bytes):
    yield start
    for _ in range(total_bytes // len(chunk)):
        yield chunk


@pytest.mark.parametrize(
    ("start", "chunk"),
    [
        (b"HTTP/1.1 200 OK\r\nx-a: ", b"a" * CHUNK_BYTES),
        (b"HTTP/1.1 200 OK\r\n", b"x-a: " + b"a" * (CHUNK_BYTES - 7) + b"\r\n"),
        (b"HTTP/1.1 200 ", b"a" * CHUNK_BYTES),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 600),
    ],
)
async def test_a_head_without_end_fails_within_bounded_memory(start, chunk):
    connection = open_connection()
    result, fed = await exchange(
        connection, endless(start, chunk, 40 * MAX_RESPONSE_HEAD_BYTES)
    )
    assert isinstance(result, ExchangeFailure)
    assert fed <= MAX_RESPONSE_HEAD_BYTES + 2 * len(chunk)
    assert connection._transport.is_aborted and not connection.is_open


@pytest.mark.parametrize("read_bytes", [1_000, 65_536])
async def test_a_head_of_very_many_fields_is_refused_before_they_are_kept(read_bytes):
    # One read brought 10,000 fields of six bytes, which took 2 MB before any claim.
    connection = open_connection()
    data = b"HTTP/1.1 200 OK\r\n" + b"x: a\r\n" * 10_000
    chunks = [data[n : n + read_bytes] for n in range(0, len(data), read_bytes)]
    result, _ = await exchange(connection, chunks)
    assert result is ExchangeFailure.TOO_LARGE
    assert len(connection._headers) <= MAX_RESPONSE_FIELDS
    assert connection._transport.is_aborted and not connection.is_open


async def test_a_head_of_as_many_fields_as_servers_send_is_read():
    connection = open_connection()
    fields = b"".join(b"x-%d: a\r\n" % number for number in range(200))
    head, _, body = answer(b"r1", b"body").partition(b"\r\n\r\n")
    data = head + b"\r\n" + fields + b"\r\n" + body
    result, _ = await exchange(connection, [data])
    assert isinstance(result, Response) and result.body == b"body"
    assert result.header(b"x-199") == b"a"


@pytest.mark.parametrize("read_bytes", [70_000, 1 << 18, 1 << 20])
async def test_a_long_answer_in_one_read_is_whole(read_bytes):
    # It was refused as too large: all bytes of the read counted as its head.
    for body in (b"a" * (read_bytes // 2), b"a" * (1 << 20)):
        data = answer(b"r1", body)
        chunks = [data[n : n + read_bytes] for n in range(0, len(data), read_bytes)]
        connection = open_connection()
        result, _ = await exchange(connection, chunks)
        assert isinstance(result, Response) and result.body == body
        assert connection.is_open


@pytest.mark.parametrize(
    ("start", "chunk"),
    [
        (b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", b"a" * 65_536),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"a" * 65_536),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            b"8000\r\n" + b"a" * 0x8000 + b"\r\n",
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;",
            b"x=" + b"a" * 65_534,
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            b"x-a: " + b"a" * 65_529 + b"\r\n",
        ),
    ],
)
async def test_a_body_without_end_fails_within_bounded_memory(start, chunk):
    connection = open_connection()
    result, fed = await exchange(
        connection, endless(start, chunk, 3 * MAX_RESPONSE_BYTES)
    )
    assert isinstance(result, ExchangeFailure)
    assert fed <= MAX_RESPONSE_BYTES + 2 * len(chunk)
    assert connection._transport.is_aborted


async def test_a_late_second_copy_belongs_to_no_later_request():
    # The copy of the first response arrives while the second request is under way on the
    # same connection, whole or in parts.
    for cut in (0, 1, 20, len(answer(b"r1")) - 1):
        connection = open_connection()
        first, _ = await exchange(connection, [answer(b"r1")], b"r1")
        assert isinstance(first, Response) and connection.is_open
        copy = answer(b"r1")
        second, _ = await exchange(
            connection, [copy[:cut], copy[cut:], answer(b"r2", b"other")], b"r2"
        )
        assert isinstance(second, Response) and second.body == b"other"


async def test_a_late_second_copy_on_an_idle_connection_closes_it():
    connection = open_connection()
    await exchange(connection, [answer(b"r1")], b"r1")
    connection.data_received(answer(b"r1")[:7])
    assert not connection.is_open


@pytest.mark.parametrize("length", [b"content-length: 9\r\n", b"", b"chunked"])
async def test_a_response_that_is_reset_midway_is_no_success(length):
    framing = b"transfer-encoding: chunked\r\n" if length == b"chunked" else length
    body = b"4\r\ndone\r\n" if length == b"chunked" else b"done"
    connection = open_connection()
    result, _ = await exchange(
        connection, [b"HTTP/1.1 200 OK\r\nid: r1\r\n" + framing + b"\r\n" + body]
    )
    assert result is ExchangeFailure.CUT


@pytest.mark.parametrize("has_length", [True, False])
async def test_a_response_that_ends_within_its_head_is_no_response(has_length):
    # Callers got status 200 with an empty or short body, framed as whole.
    whole = answer(b"r1")
    if not has_length:
        whole = whole.replace(b"content-length: 4\r\n", b"")
    head_bytes = whole.index(b"\r\n\r\n") + 4
    for size in range(head_bytes):
        connection = open_connection()
        result = await exchange_until_eof(connection, whole[:size])
        assert result in (ExchangeFailure.CUT, ExchangeFailure.CLOSED)
        assert not connection.is_reusable
    result = await exchange_until_eof(open_connection(), whole)
    assert isinstance(result, Response) and result.body == b"done"


async def exchange_until_eof(connection, data):
    """Return the result of an exchange in which the server sends bytes and closes."""
    results = []

    async def run():
        results.append(await connection.exchange(b"GET / HTTP/1.1\r\n\r\n", bool))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        await anyio.lowlevel.checkpoint()
        await anyio.lowlevel.checkpoint()
        if data:
            connection.data_received(data)
        connection.eof_received()
        connection.connection_lost(None)
    return results[0]


@pytest.mark.parametrize("anyio_backend", [("asyncio", {"use_uvloop": True})])
async def test_one_read_brings_no_more_than_was_claimed_for_it(monkeypatch):
    # 256,000 bytes came at once where 64 KiB were claimed.
    body, sizes = bytes(range(256)) * 4000, []
    parse = UpstreamConnection.data_received

    def record(connection, data):
        sizes.append(len(data))
        parse(connection, data)

    async def serve(_):
        await anyio.lowlevel.checkpoint()
        return answer(b"r1", body)

    monkeypatch.setattr(UpstreamConnection, "data_received", record)
    server = HttpServer(serve)
    await server.open()
    _, connection = await asyncio.get_running_loop().create_connection(
        UpstreamConnection, "127.0.0.1", server.port
    )
    for _ in range(2):
        result = await connection.exchange(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n", bool)
        assert isinstance(result, Response) and result.body == body
    assert max(sizes) <= ANSWER_BYTES
    connection.close()
    server.close()
