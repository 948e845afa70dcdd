"""Sends the requests of a load plan."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio
import attrs
import httpcore

from gentianfold.clock import BootClock
from gentianfold.errors import Failure
from gentianfold.load.result import LoadResult
from gentianfold.model import Upstream
from gentianfold.requests.connections import ConnectionLimits, Connections

if TYPE_CHECKING:
    from gentianfold.load.plan import LoadPlan

MAX_CONNECTIONS = 4096
"""Most connections to one target."""


@attrs.define
class LoadRunner:
    """Runs one plan and gathers its result."""

    plan: LoadPlan
    """What to send."""
    result: LoadResult = attrs.field(factory=LoadResult)
    """What came of it so far."""
    _connections: Connections = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        limits = ConnectionLimits(idle_limit_s=30.0, lifetime_s=600.0)
        self._connections = Connections(BootClock(), limits)

    async def run(self) -> LoadResult:
        """Send every request of the plan and wait for the answers."""
        start_s = time.perf_counter()
        async with anyio.create_task_group() as group:
            for arrival_s, target in self.plan.arrivals():
                due_s = start_s + arrival_s
                delay_s = due_s - time.perf_counter()
                if delay_s > 0:
                    await anyio.sleep(delay_s)
                group.start_soon(self._send, target, due_s)
        self.result.elapsed_s = time.perf_counter() - start_s
        self._connections.close()
        return self.result

    async def _send(self, target: tuple[str, int], due_s: float) -> None:
        outcome = "timeout"
        with anyio.move_on_after(self.plan.timeout_s):
            outcome = await self._exchange(*target)
        self.result.record(outcome, time.perf_counter() - due_s)

    async def _exchange(self, host: str, port: int) -> str:
        target = Upstream(
            f"{host}:{port}", "load", host, port, "", max_connections=MAX_CONNECTIONS
        )
        connection = await self._connections.acquire(target, fresh=False)
        if isinstance(connection, Failure):
            return connection.code.name
        clean = False
        try:
            response = await connection.http.handle_async_request(self._request(target))
            await response.aread()
            await response.aclose()
            clean = True
        except httpcore.NetworkError:
            return "connection broken"
        except httpcore.ProtocolError:
            return "answer cut short or malformed"
        finally:
            if clean:
                self._connections.release(connection)
            else:
                self._connections.discard(connection)
        return _outcome_text(response)

    def _request(self, target: Upstream) -> httpcore.Request:
        plan = self.plan
        headers = [(b"host", f"{target.host}:{target.port}".encode()), *plan.headers]
        if plan.body:
            headers.append((b"content-length", str(len(plan.body)).encode()))
        url = httpcore.URL(
            scheme=b"http",
            host=target.host.encode(),
            port=target.port,
            target=plan.path.encode(),
        )
        return httpcore.Request(plan.method, url, headers=headers, content=plan.body)


def _outcome_text(response: httpcore.Response) -> str:
    numbers = (
        value.decode("ascii", "replace")
        for name, value in response.headers
        if name.lower() == b"x-gentianfold-error"
    )
    number = next(numbers, "")
    return f"{response.status} error {number}" if number else str(response.status)
