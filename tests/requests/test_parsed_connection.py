from __future__ import annotations

import httpcore
import pytest

from gentianfold.requests._parsed_connection import ParsedConnection

pytestmark = pytest.mark.anyio

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi"


class ScriptedStream:
    """Returns the parts of an answer and keeps what was written."""

    def __init__(self, *parts: bytes) -> None:
        self.parts = list(parts)
        self.written = b""

    async def read(self, max_bytes: int) -> bytes:
        return self.parts.pop(0) if self.parts else b""

    async def write(self, data: bytes) -> None:
        self.written += data


async def ask(stream, method="GET", headers=(), content=b"", connection=None):
    connection = connection or ParsedConnection(stream)
    request = httpcore.Request(
        method, "http://u/a?b=1", headers=list(headers), content=content
    )
    response = await connection.handle_async_request(request)
    body = b"".join([part async for part in response.stream])
    return connection, response, body


@pytest.mark.parametrize(
    "answer, body",
    [
        (OK, b"hi"),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, b"hi"),
        (b"HTTP/1.1 103 Early\r\nlink: x\r\n\r\n" + OK, b"hi"),
        (b"HTTP/1.1 204 No Content\r\n\r\n", b""),
        (b"HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n", b""),
        (
            (
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                b"2\r\nhi\r\n0\r\nx-trailer: y\r\n\r\n"
            ),
            b"hi",
        ),
    ],
)
@pytest.mark.parametrize("split", [1, 7, 10_000])
async def test_answer_is_parsed_however_it_is_split(answer, body, split):
    parts = [answer[i : i + split] for i in range(0, len(answer), split)]
    connection, response, found = await ask(ScriptedStream(*parts))
    assert found == body
    assert connection.is_idle()
    assert b"x-trailer" not in dict(response.headers)
    assert b"link" not in dict(response.headers)


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        OK[:-1],
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nhi",
        b"HTTP/1.1 101 Switching\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\nhi",
        b"HTTP/1.1 200 OK\r\nbad name: x\r\ncontent-length: 2\r\n\r\nhi",
        b"nonsense",
        b"HTTP/1.1 200 OK\r\nx: " + b"y" * 200_000,
    ],
)
async def test_broken_answer_raises(answer):
    stream = ScriptedStream(
        *(answer[i : i + 4096] for i in range(0, len(answer), 4096))
    )
    with pytest.raises(httpcore.RemoteProtocolError):
        await ask(stream)


@pytest.mark.parametrize("surplus", [b"x", OK, b"HTTP/1.1 200"])
async def test_bytes_after_the_answer_bar_reuse(surplus):
    connection, _, body = await ask(ScriptedStream(OK + surplus))
    assert body == b"hi"
    assert connection.has_stray_bytes and not connection.is_idle()


@pytest.mark.parametrize(
    "method, answer",
    [
        ("HEAD", OK[:-2]),
        ("GET", OK.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n")),
        ("GET", OK.replace(b"1.1", b"1.0")),
    ],
)
async def test_connection_is_not_reused_after(method, answer):
    connection, _, _ = await ask(ScriptedStream(answer), method)
    assert not connection.is_idle()


async def test_requests_are_framed_one_after_the_other():
    stream = ScriptedStream(OK, OK)
    connection, _, _ = await ask(stream, "POST", [(b"content-length", b"2")], b"ab")

    async def parts():
        for part in (b"abc", b"", b"d" * 17):
            yield part

    chunked = [(b"transfer-encoding", b"chunked")]
    await ask(stream, "POST", chunked, parts(), connection)
    first, second = stream.written.split(b"POST ")[1:]
    assert first == b"/a?b=1 HTTP/1.1\r\ncontent-length: 2\r\n\r\nab"
    assert second.endswith(b"\r\n\r\n3\r\nabc\r\n11\r\n" + b"d" * 17 + b"\r\n0\r\n\r\n")


@pytest.mark.parametrize(
    "headers, content",
    [
        ([(b"x", b"1\r\ny: 2")], b""),
        ([(b"x", b"1\ny: 2")], b""),
        ([(b"content-length", b"1")], b"ab"),
        ([(b"content-length", b"3")], b"ab"),
    ],
)
async def test_request_that_would_be_misread_is_not_finished(headers, content):
    stream = ScriptedStream(OK)
    with pytest.raises(httpcore.LocalProtocolError):
        await ask(stream, "POST", headers, content)
    assert b"y: 2" not in stream.written
