"""The protocol of httpcore for a connection that only one request uses at a time."""

from __future__ import annotations

import httpcore


class _NoLock:
    """Stands in for the lock of a connection that is never shared."""

    async def __aenter__(self) -> None:
        pass

    async def __aexit__(self, *_: object) -> None:
        pass


class ExclusiveHTTP11Connection(httpcore.AsyncHTTP11Connection):
    """Skips the state lock.

    The connection table lends a connection to one request, so that the lock guards
    nothing, and each of its uses gives way to every other task of the loop.
    """

    def __init__(
        self, origin: httpcore.Origin, stream: httpcore.AsyncNetworkStream
    ) -> None:
        super().__init__(origin, stream)
        self._state_lock = _NoLock()  # type: ignore[assignment]
