"""A request on its way, its answer, and the caller at the other end."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from gentianfold.errors import Failure
    from gentianfold.model import Route


class CallerGoneError(Exception):
    """Raised by a caller stream when the caller hung up."""


class BrokenAnswerError(Exception):
    """Raised when an answer fails after its start reached the caller.

    The server must close the caller's connection without ending the answer, so that
    the caller sees that it isn't whole.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure


@attrs.frozen
class ProxyRequest:
    """A request that was matched with a route and admitted."""

    request_id: bytes
    """Identifies the request in logs; safe as a header value."""
    method: str
    """Method in upper case."""
    target: bytes
    """Path and query as sent."""
    headers: list[tuple[bytes, bytes]]
    """Headers of the caller with names in lower case."""
    route: Route
    """The route that matched."""
    deadline_s: float
    """When the caller stops waiting, by the clock of the forwarder."""
    customer: str = ""
    """Name of the customer; empty on open routes."""
    client_host: str = ""
    """Address of the peer that sent the request."""


@attrs.frozen
class Answer:
    """A whole answer, as it is sent to the caller."""

    status: int
    """HTTP status."""
    headers: list[tuple[bytes, bytes]]
    """Headers with names in lower case."""
    body: bytes
    """The whole body."""


class CallerStream(Protocol):
    """The caller's side of a request."""

    async def read(self) -> bytes:
        """Return the next part of the body, empty at its end.

        Raises:
            CallerGoneError: If the caller hung up.
        """
        ...

    async def wait_gone(self) -> None:
        """Return when the caller hung up; used after the end of the body."""
        ...

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of the answer."""
        ...

    async def write(self, data: bytes, last: bool) -> None:
        """Send a part of the body."""
        ...


@attrs.frozen
class ForwardResult:
    """What came of a request."""

    failure: Failure | None = None
    """Why there is no answer; nothing was sent to the caller then."""
    answer: Answer | None = None
    """The whole answer, if it was small enough to be held back until it was whole."""
    status: int | None = None
    """HTTP status of the answer."""
    upstream: str = ""
    """Name of the upstream that was asked last."""
    attempts: int = 0
    """Upstreams that were asked."""
