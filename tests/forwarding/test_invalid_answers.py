"""Bytes that are no valid answer in the protocol are none for a caller either."""

from __future__ import annotations

import anyio
import anyio.lowlevel
import pytest
from forwarding.test_upstream_connection import open_connection

from gentianfold.forwarding.messages import Response, encode_response
from gentianfold.forwarding.upstream_connection import ExchangeFailure

pytestmark = pytest.mark.anyio

ID = b"id: r1\r\n"
LENGTH = b"content-length: 4\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n"
CHUNKS = b"4\r\ndone\r\n0\r\n\r\n"


def answer(status_line=b"HTTP/1.1 200 OK", headers=LENGTH, body=b"done"):
    return status_line + b"\r\n" + ID + headers + b"\r\n" + body


async def exchange(data, is_head=False):
    """Return the connection and the result of an exchange, ``None`` while it waits."""
    connection = open_connection()
    results = []

    async def run():
        results.append(
            await connection.exchange(
                b"GET / HTTP/1.1\r\n\r\n",
                lambda row: row.header(b"id") == b"r1",
                is_head,
            )
        )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        await anyio.lowlevel.checkpoint()
        await anyio.lowlevel.checkpoint()
        connection.data_received(data)
        await anyio.lowlevel.checkpoint()
        await anyio.lowlevel.checkpoint()
        tasks.cancel_scope.cancel()
    return connection, results[0] if results else None


STATUSES = [
    *[
        "000",
        "099",
        "600",
        "999",
        "1000",
        "2e2",
        "20O",
        "0x200",
        "+200",
        "-200",
        "20",
        "2",
        "101",
    ],
    *("2 00", " 200", "", "X", "２００", "٢٠٠", "200X"),
]
INVALID = {
    **{f"status {text!r}": b"HTTP/1.1 " + text.encode() + b" X" for text in STATUSES},
    "no status": b"HTTP/1.1",
    "HTTP/0.9": b"HTTP/0.9 200 OK",
    "HTTP/2.0": b"HTTP/2.0 200 OK",
    "lower case": b"http/1.1 200 OK",
}
INVALID = {name: answer(line) for name, line in INVALID.items()} | {
    "status 000, then an answer": b"HTTP/1.1 000 X\r\n\r\n" + answer(),
    "status 099, then an answer": b"HTTP/1.1 099 X\r\n\r\n" + answer(),
    "101": b"HTTP/1.1 101 X\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n" + answer(),
    "1xx with a length": answer(b"HTTP/1.1 199 X") + answer(),
    "1xx with chunks": answer(b"HTTP/1.1 199 X", CHUNKED, CHUNKS) + answer(),
    "204 with a body": answer(b"HTTP/1.1 204 X"),
    "204 with a length": answer(b"HTTP/1.1 204 X", body=b""),
    "204 with chunks": answer(b"HTTP/1.1 204 X", CHUNKED, CHUNKS),
    "two lengths": answer(headers=LENGTH * 2),
    "two other lengths": answer(headers=LENGTH + b"content-length: 3\r\n"),
    "a list of lengths": answer(headers=b"content-length: 4, 4\r\n"),
    "a signed length": answer(headers=b"content-length: +4\r\n"),
    "a length beside chunks": answer(headers=LENGTH + CHUNKED, body=CHUNKS),
    "chunks beside a length": answer(headers=CHUNKED + LENGTH, body=CHUNKS),
    "two codings": answer(headers=CHUNKED * 2, body=CHUNKS),
    "coded chunks": answer(
        headers=b"transfer-encoding: gzip, chunked\r\n", body=CHUNKS
    ),
    "another coding": answer(headers=b"transfer-encoding: gzip\r\n"),
    "chunks in HTTP/1.0": answer(b"HTTP/1.0 200 OK", CHUNKED, CHUNKS),
}


@pytest.mark.parametrize("is_head", [False, True])
@pytest.mark.parametrize("data", INVALID.values(), ids=INVALID)
async def test_what_is_no_answer_fails_at_once(data, is_head):
    connection, result = await exchange(data, is_head)
    assert result is ExchangeFailure.INVALID
    assert connection.fault and connection.fault.isascii()
    assert connection._transport.is_aborted and not connection.is_open


@pytest.mark.parametrize(
    ("data", "status", "body"),
    [
        *((answer(b"HTTP/1.1 %d" % code), code, b"done") for code in (200, 299, 599)),
        (answer(b"HTTP/1.0 200 OK"), 200, b"done"),
        (b"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\n\r\n" + answer(), 200, b"done"),
        (answer(headers=CHUNKED, body=CHUNKS), 200, b"done"),
        (answer(headers=b"upgrade: h2c\r\n" + LENGTH), 200, b"done"),
        (answer(b"HTTP/1.1 204 X", b"content-length: 0\r\n", b""), 204, b""),
        (answer(b"HTTP/1.1 204 X", b"", b""), 204, b""),
        # The length is that of the answer without the condition.
        (answer(b"HTTP/1.1 304 X", LENGTH, b""), 304, b""),
        # Bytes behind the answer belong to no request.
        (answer(b"HTTP/1.1 304 X", LENGTH, b"done"), 304, b""),
        (answer(b"HTTP/1.1 204 X", b"", b"done"), 204, b""),
    ],
)
async def test_a_valid_answer_is_passed_on_whole(data, status, body):
    _, result = await exchange(data)
    assert isinstance(result, Response)
    assert (result.status, result.body) == (status, body)


def test_an_answer_without_a_body_has_no_length_that_a_caller_would_wait_for():
    headers = [(b"content-length", b"4")]
    for status, is_head, has_length in (
        (204, False, False),
        (304, False, False),
        (304, True, False),
        (200, True, True),
    ):
        pieces = encode_response(Response(status, headers, b""), is_head, False)
        data = b"".join(pieces)
        assert (b"content-length: 4" in data) == has_length
