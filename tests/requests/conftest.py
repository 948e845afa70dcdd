from __future__ import annotations

import json
from typing import Any

import anyio
import attrs
import pytest

from gentianfold.clock import BootClock
from gentianfold.codes.requests import UPSTREAM_CONNECT_FAILED
from gentianfold.errors import Failure
from gentianfold.model import PathKind, Route, Upstream
from gentianfold.requests.connections import ConnectionLimits, Connections
from gentianfold.requests.forwarder import Forwarder, ForwarderOptions
from gentianfold.requests.proxy_request import (
    CallerGoneError,
    ForwardResult,
    ProxyRequest,
)
from gentianfold.routing.choice import Choice, Reason


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@attrs.define
class RecordedCaller:
    """A caller in memory: sends parts of a body, hangs up on demand."""

    parts: list[bytes] = attrs.field(factory=list)
    hangup: anyio.Event = attrs.field(factory=anyio.Event)
    status: int | None = None
    headers: list[tuple[bytes, bytes]] = attrs.field(factory=list)
    body: bytes = b""
    ended: bool = False

    async def read(self) -> bytes:
        if self.hangup.is_set():
            raise CallerGoneError
        return self.parts.pop(0) if self.parts else b""

    async def wait_gone(self) -> None:
        await self.hangup.wait()

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        assert self.status is None
        self.status, self.headers = status, headers

    async def write(self, data: bytes, last: bool) -> None:
        assert not self.ended
        self.body += data
        self.ended = last

    @property
    def answer(self) -> dict[str, Any]:
        return json.loads(self.body)


@attrs.define
class ListPlacer:
    """Chooses the first upstream that was not tried."""

    upstreams: list[Upstream]
    outcomes: list[tuple[str, str]] = attrs.field(factory=list)
    in_flight: int = 0

    def choose(self, service, exclude, now_s, **_):
        left = [upstream for upstream in self.upstreams if upstream.name not in exclude]
        if not left:
            return Failure(UPSTREAM_CONNECT_FAILED, "none is left")
        return Choice(left[0], Reason.ONLY_ONE)

    def started(self, upstream, now_s, **_):
        self.in_flight += 1

    def finished(self, outcome, now_s):
        self.in_flight -= 1
        self.outcomes.append((outcome.upstream, outcome.kind.value))


LOOKUP = Route(
    "look-up", frozenset(), "/", PathKind.PREFIX, "s", idempotent=True, timeout_s=5.0
)
BOOKING = Route("book", frozenset(), "/", PathKind.PREFIX, "s", timeout_s=5.0)


class Bench:
    """A forwarder over the given upstreams."""

    def __init__(self, *upstreams: Upstream, limits=None, options=None) -> None:
        self.clock = BootClock()
        self.placer = ListPlacer(list(upstreams))
        self.connections = Connections(self.clock, limits or ConnectionLimits())
        self.forwarder = Forwarder(
            self.placer,
            self.connections,
            self.clock,
            lambda headers: [pair for pair in headers if pair[0] != b"authorization"],
            options or ForwarderOptions(),
        )

    async def run(
        self,
        caller: RecordedCaller,
        route: Route = LOOKUP,
        method: str = "GET",
        request_id: str = "r1",
        timeout_s: float = 5.0,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        target: bytes = b"/gloves?q=1",
    ) -> ForwardResult:
        head = [(b"host", b"gateway"), (b"authorization", b"Bearer secret"), *headers]
        deadline_s = self.clock.now_s() + timeout_s
        request = ProxyRequest(
            request_id.encode(), method, target, head, route, deadline_s
        )
        return await self.forwarder.run(request, caller)
