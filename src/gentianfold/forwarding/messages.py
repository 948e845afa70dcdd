"""HTTP requests and responses, and their encoding as HTTP/1.1."""

from __future__ import annotations

import http
from typing import TypeAlias

import attrs

Headers: TypeAlias = list[tuple[bytes, bytes]]
"""Pairs of lower-case name and value, in the order received."""


@attrs.define(eq=False)
class CallerRequest:
    """A completely received request of a caller."""

    method: bytes
    """Request method as received."""
    target: bytes
    """Path and query as received."""
    headers: Headers
    """All headers as received, names in lower case."""
    body: bytes
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

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or ``None``."""
        return next((value for key, value in self.headers if key == name), None)


@attrs.define(eq=False)
class Response:
    """A complete response."""

    status: int
    """HTTP status code."""
    headers: Headers
    """All headers as received, names in lower case."""
    body: bytes
    """Complete body; empty if the response has none."""
    ends_connection: bool = False
    """Whether this VM ends the caller's connection behind it. What an upstream wants of
    its own connection has no influence."""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or ``None``."""
        return next((value for key, value in self.headers if key == name), None)


_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}
_BODYLESS = frozenset({204, 304})


def encode_response(response: Response, is_head: bool, close: bool) -> bytes:
    """Encode a response.

    Args:
        response: The response, without headers of another connection.
        is_head: Whether the request's method was HEAD.
        close: Whether the connection is closed afterwards.
    """
    lines = [b"HTTP/1.1 %d %b" % (response.status, _PHRASES.get(response.status, b""))]
    is_bodyless = is_head or response.status in _BODYLESS
    lines += [
        name + b": " + value
        for name, value in response.headers
        if is_bodyless or name != b"content-length"
    ]
    if not is_bodyless:
        lines.append(b"content-length: %d" % len(response.body))
    if close:
        lines.append(b"connection: close")
    body = b"" if is_bodyless else response.body
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> bytes:
    """Encode a request; ``headers`` must not contain ``Content-Length``."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    if body or method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
