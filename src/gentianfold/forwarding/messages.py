"""Requests and answers, and how they are written on a connection."""

from __future__ import annotations

import http
from typing import TypeAlias

import attrs

from gentianfold.forwarding.header_names import HOP_BY_HOP

Headers: TypeAlias = list[tuple[bytes, bytes]]
"""Names in lower case and values, in the order received."""


@attrs.define(eq=False)
class CallerRequest:
    """A whole request of a caller."""

    method: bytes
    """The method as received."""
    target: bytes
    """Path and query as received."""
    headers: Headers
    """All headers as received."""
    body: bytes
    """The whole body."""
    received_at_s: float
    """When it had been read."""
    keep_alive: bool = True
    """Whether the caller wants to use the connection again."""
    is_committed: bool = False
    """Whether it was sent to an upstream and must not be broken off."""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or ``None``."""
        return next((value for key, value in self.headers if key == name), None)


@attrs.define(eq=False)
class Response:
    """A whole answer."""

    status: int
    """The HTTP status."""
    headers: Headers
    """All headers as received, names in lower case."""
    body: bytes
    """The whole body."""
    keep_alive: bool = True
    """Whether its connection may be used again."""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or ``None``."""
        return next((value for key, value in self.headers if key == name), None)


_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}
_BODYLESS = frozenset({204, 304})


def connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the header names that ``Connection`` lists, in lower case."""
    return frozenset(
        option.strip().lower()
        for name, value in headers
        if name == b"connection"
        for option in value.split(b",")
    )


def encode_response(answer: Response, is_head: bool, close: bool) -> bytes:
    """Write an answer for a caller."""
    dropped = HOP_BY_HOP | connection_options(answer.headers)
    lines = [b"HTTP/1.1 %d %b" % (answer.status, _PHRASES.get(answer.status, b""))]
    has_length = is_head or answer.status in _BODYLESS
    lines += [
        name + b": " + value
        for name, value in answer.headers
        if name not in dropped and (has_length or name != b"content-length")
    ]
    if not has_length:
        lines.append(b"content-length: %d" % len(answer.body))
    if close:
        lines.append(b"connection: close")
    body = b"" if has_length else answer.body
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> bytes:
    """Write a request for an upstream; the headers hold no length."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    if body or method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
