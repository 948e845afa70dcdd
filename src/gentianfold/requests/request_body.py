"""The body of a request, replayable as long as it is small."""

from __future__ import annotations

from typing import TYPE_CHECKING, Self

import attrs

from gentianfold.codes.requests import BODY_TOO_LARGE
from gentianfold.errors import Failure
from gentianfold.requests.headers import Headers, header_values

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from gentianfold.requests.proxy_request import CallerStream, ProxyRequest

HELD_BODY_BYTES = 64 * 1024
"""Bytes that are read before an upstream is chosen, and kept for a retry."""


class BodyTooLargeError(Exception):
    """Raised when a body without a stated length outgrows the limit of its route."""


@attrs.define
class RequestBody:
    """The first bytes of a body, and the way to the rest."""

    caller: CallerStream
    """Where the rest comes from."""
    limit_bytes: int
    """Largest body that the route allows."""
    declared: int | None
    """The Content-Length of the caller."""
    framed: bool
    """Whether the request has a body at all, if only an empty one."""
    held: bytes = b""
    """What was read so far and is kept."""
    complete: bool = False
    """Whether ``held`` is the whole body."""
    consumed: bool = False
    """Whether more than ``held`` was read, so that it can't be sent again."""

    @classmethod
    async def read(cls, request: ProxyRequest, caller: CallerStream) -> Self | Failure:
        """Read a small body whole, and the start of a large one."""
        lengths = header_values(request.headers, b"content-length")
        framed = bool(lengths) or any(
            name == b"transfer-encoding" for name, _ in request.headers
        )
        declared = int(lengths[0]) if lengths else None
        limit = request.route.body_limit_bytes
        if declared is not None and declared > limit:
            return Failure(BODY_TOO_LARGE, f"{declared} bytes, the limit is {limit}")
        body = cls(caller, limit, declared, framed)
        await body._hold()
        if len(body.held) > limit:
            return Failure(BODY_TOO_LARGE, f"the limit is {limit} bytes")
        return body

    async def _hold(self) -> None:
        parts: list[bytes] = []
        size = 0
        while size < HELD_BODY_BYTES:
            part = await self.caller.read()
            if not part:
                self.complete = True
                break
            parts.append(part)
            size += len(part)
        self.held = parts[0] if len(parts) == 1 else b"".join(parts)

    @property
    def replayable(self) -> bool:
        """Whether the body can be sent once more."""
        return not self.consumed

    @property
    def framing(self) -> Headers:
        """The headers that frame the body towards an upstream."""
        if not self.framed:
            return []
        if self.complete:
            return [(b"content-length", b"%d" % len(self.held))]
        if self.declared is not None:
            return [(b"content-length", b"%d" % self.declared)]
        return [(b"transfer-encoding", b"chunked")]

    def content(self) -> bytes | AsyncIterator[bytes]:
        """Return the body for one attempt."""
        return self.held if self.complete else self._stream()

    async def _stream(self) -> AsyncIterator[bytes]:
        size = len(self.held)
        yield self.held
        self.consumed = True
        while part := await self.caller.read():
            size += len(part)
            if size > self.limit_bytes:
                raise BodyTooLargeError
            yield part
