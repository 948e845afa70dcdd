"""A caller behind an ASGI server."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import anyio
import attrs

from gentianfold.requests.proxy_request import CallerGoneError

Message = MutableMapping[str, Any]
"""An ASGI message."""


@attrs.define
class AsgiCaller:
    """Implements ``CallerStream`` over the callables of an ASGI server."""

    receive: Callable[[], Awaitable[Message]]
    """Returns the next message of the caller."""
    send: Callable[[Message], Awaitable[None]]
    """Sends a message to the caller."""
    body_timeout_s: float | None = 30.0
    """Longest wait for the next part of the body; ``None`` if there is no body."""
    headers: list[tuple[bytes, bytes]] = attrs.field(factory=list)
    """Headers that are added to the answer."""
    body_ended: bool = False
    """Whether the whole body was read."""
    started: bool = False
    """Whether the head of the answer was sent."""

    async def read(self) -> bytes:
        """Return the next part of the body, empty at its end.

        Raises:
            CallerGoneError: If the caller hung up, or sends nothing for too long.
        """
        while not self.body_ended:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CallerGoneError
            self.body_ended = not message.get("more_body", False)
            body: bytes = message.get("body", b"")
            if body:
                return body
        return b""

    async def _receive(self) -> Message:
        if self.body_timeout_s is None:
            return await self.receive()
        try:
            with anyio.fail_after(self.body_timeout_s):
                return await self.receive()
        except TimeoutError as error:
            raise CallerGoneError from error

    async def wait_gone(self) -> None:
        """Return when the caller hung up."""
        while (await self.receive())["type"] != "http.disconnect":
            pass

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of the answer."""
        self.started = True
        sent = [*headers, *self.headers]
        await self.send(
            {"type": "http.response.start", "status": status, "headers": sent}
        )

    async def write(self, data: bytes, last: bool) -> None:
        """Send a part of the body."""
        await self.send(
            {"type": "http.response.body", "body": data, "more_body": not last}
        )
