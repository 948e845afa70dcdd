"""An in-memory configuration service with the faults of the real one."""

from __future__ import annotations

import enum
from collections import Counter
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import anyio
import attrs

from gentianfold.configuration.root import MAX_VALUE_BYTES
from gentianfold.platform.watch_schedule import CallKind

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, MutableMapping

    Message = MutableMapping[str, Any]

MAX_WATCH_S = 60.0
"""Longest time that a watch may wait."""
VERSION_HEADER = b"x-value-version"
"""Response header with the version of the value."""
READER_HEADER = b"x-reader"
"""Request header with the name of the reading VM."""


class PlatformMode(enum.Enum):
    """How the service answers."""

    UP = "up"
    """Answers."""
    DOWN = "down"
    """Answers every call with status 503."""
    SILENT = "silent"
    """Accepts calls and never answers."""


@attrs.frozen
class _Answer:
    """The answer to one call."""

    status: int
    version: int = 0
    data: bytes = b""


@attrs.define(eq=False)
class StandinPlatform:
    """Serves published values over HTTP; nothing can be written through it."""

    mode: PlatformMode = PlatformMode.UP
    """How it answers; set with ``set_mode``."""
    calls: Counter[CallKind] = attrs.field(factory=Counter)
    """Calls by kind; a waiting watch is one call."""
    _values: dict[str, list[bytes]] = attrs.field(factory=dict, init=False)
    _pins: dict[str | None, dict[str, int]] = attrs.field(factory=dict, init=False)
    _changed: anyio.Event = attrs.field(factory=anyio.Event, init=False)

    def publish(self, name: str, data: bytes) -> int:
        """Add the next version of a value and return its number."""
        if len(data) > MAX_VALUE_BYTES:
            raise ValueError(f"{name} has {len(data)} bytes, over {MAX_VALUE_BYTES}")
        versions = self._values.setdefault(name, [])
        versions.append(data)
        self._wake()
        return len(versions)

    def set_mode(self, mode: PlatformMode) -> None:
        """Change how calls are answered, waiting ones included."""
        self.mode = mode
        self._wake()

    def pin(self, reader: str | None = None) -> None:
        """Serve the present versions to one reader, or to all, from now on."""
        self._pins[reader] = {name: len(v) for name, v in self._values.items()}

    def unpin(self, reader: str | None = None) -> None:
        """Serve new versions again."""
        self._pins.pop(reader, None)
        self._wake()

    async def __call__(
        self,
        scope: Message,
        receive: Callable[[], Awaitable[Message]],
        send: Callable[[Message], Awaitable[None]],
    ) -> None:
        """Answer one HTTP call."""
        answer = await self._answer(scope)
        headers = [(VERSION_HEADER, b"%d" % answer.version)]
        if answer.status != 304:
            headers.append((b"content-length", b"%d" % len(answer.data)))
        await send(
            {
                "type": "http.response.start",
                "status": answer.status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": answer.data})

    async def _answer(self, scope: Message) -> _Answer:
        if scope["method"] != "GET":
            return _Answer(405)
        reader = dict(scope["headers"]).get(READER_HEADER, b"").decode("latin-1")
        match scope["path"].split("/"):
            case ["", "v1", "values", name]:
                self.calls[CallKind.READ] += 1
                return await self._read(name, reader)
            case ["", "v1", "watch", name]:
                self.calls[CallKind.WATCH] += 1
                query = parse_qs(scope["query_string"].decode("latin-1"))
                return await self._watch(name, reader, query)
        return _Answer(404)

    async def _read(self, name: str, reader: str) -> _Answer:
        while self.mode is PlatformMode.SILENT:
            await self._changed.wait()
        if self.mode is PlatformMode.DOWN:
            return _Answer(503)
        version = self._visible_version(name, reader)
        if version == 0:
            return _Answer(404)
        return _Answer(200, version, self._values[name][version - 1])

    async def _watch(
        self, name: str, reader: str, query: dict[str, list[str]]
    ) -> _Answer:
        try:
            after = int(query.get("after", ["0"])[0])
            timeout_s = float(query.get("timeout_s", ["20"])[0])
        except ValueError:
            return _Answer(400)
        with anyio.move_on_after(min(max(timeout_s, 0.0), MAX_WATCH_S)):
            while self.mode is not PlatformMode.DOWN:
                silent = self.mode is PlatformMode.SILENT
                if not silent and self._visible_version(name, reader) > after:
                    return await self._read(name, reader)
                await self._changed.wait()
        if self.mode is PlatformMode.UP:
            return _Answer(304, after)
        return await self._read(name, reader)

    def _visible_version(self, name: str, reader: str) -> int:
        latest = len(self._values.get(name, ()))
        pins = (self._pins.get(key, {}).get(name, latest) for key in (None, reader))
        return min(latest, *pins)

    def _wake(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()
