"""The platform client over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, Self

import anyio
import attrs
import httpcore

from gentianfold.codes.platform import (
    PLATFORM_REFUSED,
    PLATFORM_UNREACHABLE,
    VALUE_NOT_FOUND,
    VALUE_TOO_LARGE,
)
from gentianfold.configuration.root import MAX_VALUE_BYTES
from gentianfold.errors import Failure
from gentianfold.platform.client import Value

if TYPE_CHECKING:
    from types import TracebackType

READ_TIMEOUT_S = 5.0
"""Longest time for a read."""
WATCH_GRACE_S = 5.0
"""Time that a watch may take beyond its own timeout."""


@attrs.define(eq=False)
class HttpPlatformClient:
    """Calls the service at a base URL; use as an async context manager."""

    base_url: str
    """URL without the path, such as ``http://10.0.0.1:8500``."""
    reader: str = ""
    """Name of this VM, sent with each call."""
    _pool: httpcore.AsyncConnectionPool = attrs.field(
        factory=lambda: httpcore.AsyncConnectionPool(
            max_connections=8, keepalive_expiry=30.0
        ),
        init=False,
    )

    async def __aenter__(self) -> Self:
        """Open the connection pool."""
        await self._pool.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close all connections."""
        await self._pool.__aexit__(kind, error, traceback)

    async def read(self, name: str) -> Value | Failure:
        """Return the value as it is."""
        answer = await self._call(name, f"/v1/values/{name}", READ_TIMEOUT_S)
        if answer is None:
            return Failure(PLATFORM_REFUSED, f"a read of {name} gave no value")
        return answer

    async def watch(
        self, name: str, after: int, timeout_s: float
    ) -> Value | Failure | None:
        """Wait for a version above ``after``; ``None`` if none came in time."""
        path = f"/v1/watch/{name}?after={after}&timeout_s={timeout_s:g}"
        return await self._call(name, path, timeout_s + WATCH_GRACE_S)

    async def _call(
        self, name: str, path: str, timeout_s: float
    ) -> Value | Failure | None:
        try:
            with anyio.fail_after(timeout_s):
                return await self._request(name, path)
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return Failure(PLATFORM_UNREACHABLE, f"{name}: {error!r}")
        except (TimeoutError, httpcore.TimeoutException):
            reason = f"{name}: no answer within {timeout_s:g} s"
            return Failure(PLATFORM_UNREACHABLE, reason)

    async def _request(self, name: str, path: str) -> Value | Failure | None:
        headers = [("X-Reader", self.reader)] if self.reader else []
        async with self._pool.stream(
            "GET", self.base_url + path, headers=headers
        ) as response:
            match response.status:
                case 304:
                    return None
                case 404:
                    return Failure(VALUE_NOT_FOUND, f"no value {name}")
                case 200:
                    return await _read_value(name, response)
            reason = f"{name}: status {response.status}"
            return Failure(PLATFORM_REFUSED, reason)


async def _read_value(name: str, response: httpcore.Response) -> Value | Failure:
    headers = {key.lower(): value for key, value in response.headers}
    version = headers.get(b"x-value-version", b"")
    if not version.isdigit():
        return Failure(PLATFORM_REFUSED, f"{name}: an answer without a version")
    data = bytearray()
    async for chunk in response.aiter_stream():
        data += chunk
        if len(data) > MAX_VALUE_BYTES:
            return Failure(VALUE_TOO_LARGE, f"{name} has over {MAX_VALUE_BYTES} bytes")
    return Value(name, int(version), bytes(data))
