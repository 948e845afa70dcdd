"""Reads and watches values of the configuration service."""

from __future__ import annotations

from typing import Protocol

import attrs

from gentianfold.errors import Failure


@attrs.frozen
class Value:
    """A value as the service holds it."""

    name: str
    """Name of the value."""
    version: int
    """The service's own version of it; grows with each publication."""
    data: bytes
    """Its bytes."""


class PlatformClient(Protocol):
    """Reads and watches values; each call counts against the service's rate."""

    async def read(self, name: str) -> Value | Failure:
        """Return the value as it is."""
        ...

    async def watch(
        self, name: str, after: int, timeout_s: float
    ) -> Value | Failure | None:
        """Wait for a version above ``after``; ``None`` if none came in time."""
        ...
