"""HTTP requests and responses, and their encoding as HTTP/1.1."""

from __future__ import annotations

import http
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeAlias

import attrs

from gentianfold.forwarding.body import Body

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Sequence

    from gentianfold.forwarding.answer_stream import AnswerStream
    from gentianfold.forwarding.memory_budget import Claim

Headers: TypeAlias = list[tuple[bytes, bytes]]
"""Pairs of lower-case name and value, in the order received."""
JOINED_BYTES = 16 << 10
"""Length up to which a body is sent in one piece with its head (bytes)."""


@attrs.define(eq=False, repr=False)
class CallerRequest:
    """A completely received request of a caller."""

    method: bytes
    """Request method as received."""
    target: bytes
    """Path and query as received."""
    headers: Headers
    """All headers as received, names in lower case."""
    body: Body
    """Complete body; empty if the request has none."""
    received_at_s: float
    """When the request had been read completely (loop time)."""
    keep_alive: bool = True
    """Whether the caller allows further requests on the connection."""
    is_committed: bool = False
    """Whether the request was sent, is not idempotent and must not be cancelled, unless
    the upstream says that it did not run it."""
    is_abandoned: bool = False
    """Whether the caller has disconnected; the request is sent to no further upstream."""
    claims: tuple[Claim, ...] = ()
    """Memory that the request holds, given back when it is dropped."""
    answer_claim: Claim | None = None
    """Memory for the answer; the first exchange takes it."""
    pass_on: Callable[[Response], bool] | None = None
    """Called with an answer that is still being received; returns whether the caller's
    connection takes it now. ``None`` if answers are taken whole only."""
    is_passed_on: bool = False
    """Whether bytes of an answer have left; no other one may follow."""

    def release(self) -> None:
        """Drop the body and give back all memory, as the request is done.

        A cancelled request stays referenced by its exception for a while.
        """
        self.body = Body()
        for claim in self.claims:
            claim.release()
        self.answer_claim = None
        self.pass_on = None

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or ``None``."""
        return next((value for key, value in self.headers if key == name), None)


def _as_body(data: Body | bytes) -> Body:
    return data if isinstance(data, Body) else Body(data)


@attrs.define(eq=False, repr=False)
class Response:
    """A complete response, or one whose body is still being received."""

    status: int
    """HTTP status code."""
    headers: Headers
    """All headers as received, names in lower case."""
    content: Body = attrs.field(converter=_as_body, alias="body", factory=Body)
    """Complete body; empty if the response has none or a stream."""
    ends_connection: bool = False
    """Whether this VM ends the caller's connection behind it. What an upstream wants of
    its own connection has no influence."""
    claim: Claim | None = None
    """Memory that the response holds, given back when it is dropped."""
    stream: AnswerStream | None = None
    """Body that is passed on while it is received; ``None`` for a complete one."""

    @property
    def size_bytes(self) -> int:
        """Length of the body (bytes)."""
        return (
            self.content.size_bytes if self.stream is None else self.stream.size_bytes
        )

    @property
    def body(self) -> bytes:
        """The complete body in one piece."""
        return self.content.joined()

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or ``None``."""
        return next((value for key, value in self.headers if key == name), None)


_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}
_BODYLESS = frozenset({204, 304})


def encode_response(
    response: Response, is_head: bool, close: bool
) -> list[bytes | bytearray]:
    """Encode a complete response.

    Args:
        response: The response, without headers of another connection.
        is_head: Whether the request's method was HEAD.
        close: Whether the connection is closed afterwards.

    Returns:
        Pieces of the message; a long body is not copied.
    """
    head = encode_head(response, is_head, close)
    is_bodyless = is_head or response.status in _BODYLESS
    return [head] if is_bodyless else _join_small(head, response.content)


def encode_head(response: Response, is_head: bool, close: bool) -> bytes:
    """Encode the head of a response; the arguments are those of ``encode_response``."""
    lines = [b"HTTP/1.1 %d %b" % (response.status, _PHRASES.get(response.status, b""))]
    # Only in a response to HEAD a length can't be taken for that of bytes that follow.
    keeps_length = is_head and response.status not in _BODYLESS
    lines += [
        name + b": " + value
        for name, value in response.headers
        if keeps_length or name != b"content-length"
    ]
    if not (is_head or response.status in _BODYLESS):
        lines.append(b"content-length: %d" % response.size_bytes)
    if close:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_request(
    method: bytes, target: bytes, headers: Headers, body: Body
) -> list[bytes | bytearray]:
    """Encode a request; ``headers`` must not contain ``Content-Length``.

    Returns:
        Pieces of the message; a long body is not copied.
    """
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    if body.size_bytes or method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"content-length: %d" % body.size_bytes)
    return _join_small(b"\r\n".join(lines) + b"\r\n\r\n", body)


def write_pieces(
    transport: asyncio.Transport, pieces: Sequence[bytes | bytearray]
) -> int:
    """Write the pieces of a message; return their length (bytes)."""
    if len(pieces) == 1:
        transport.write(pieces[0])
    else:
        transport.writelines(pieces)
    return sum(map(len, pieces))


def _join_small(head: bytes, body: Body) -> list[bytes | bytearray]:
    if body.size_bytes <= JOINED_BYTES:
        return [head + body.joined()]
    return [head, *body.pieces]
