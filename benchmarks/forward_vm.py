"""The VM process of ``forward_latency``: uvicorn and the forwarder, no decisions."""

from __future__ import annotations

import asyncio
import cProfile
import pstats
import sys
import time
from typing import TYPE_CHECKING, Any

import uvicorn

from gentianfold.clock import BootClock
from gentianfold.model import PathKind, Route, Upstream
from gentianfold.requests.asgi_caller import AsgiCaller
from gentianfold.requests.connections import Connections
from gentianfold.requests.forwarder import Forwarder
from gentianfold.requests.proxy_request import ProxyRequest
from gentianfold.requests.request_head import check_request_head
from gentianfold.routing.choice import Choice, Reason

if TYPE_CHECKING:
    from gentianfold.routing.outcome import Outcome


class OnlyPlacer:
    """Chooses the only upstream."""

    def __init__(self, upstream: Upstream) -> None:
        self._choice = Choice(upstream, Reason.ONLY_ONE)

    def choose(
        self, service: str, exclude: frozenset[str], now_s: float, **scope: Any
    ) -> Choice:
        """Return the upstream."""
        return self._choice

    def started(self, upstream: str, now_s: float, **scope: str) -> None:
        """Do nothing."""

    def finished(self, outcome: Outcome, now_s: float) -> None:
        """Do nothing."""


def run(upstream_port: int, loop: str, profile: str) -> None:
    """Serve until the standard input is closed."""
    if loop == "uvloop":
        import uvloop

        run_loop = uvloop.run
    else:
        run_loop = asyncio.run
    profiler = cProfile.Profile() if profile else None
    if profiler is not None:
        profiler.enable()
    run_loop(serve(upstream_port))
    if profiler is not None:
        profiler.disable()
        with open(profile, "w") as report:
            pstats.Stats(profiler, stream=report).sort_stats("tottime").print_stats(45)


async def serve(upstream_port: int) -> None:
    """Serve one upstream on a port that the kernel chooses."""
    upstream = Upstream("u", "registry", "127.0.0.1", upstream_port, "zone-1", 6)
    clock = BootClock()
    forwarder = Forwarder(
        OnlyPlacer(upstream),
        Connections(clock),
        clock,
        lambda headers: [pair for pair in headers if pair[0] != b"authorization"],
    )
    methods = frozenset({"GET"})
    route = Route("gloves", methods, "/", PathKind.PREFIX, "registry", idempotent=True)

    count = 0

    async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        nonlocal count
        count += 1
        query = scope["query_string"]
        target = scope["raw_path"] + (b"?" + query if query else b"")
        failure = check_request_head(
            scope["method"], target, scope["http_version"], scope["headers"]
        )
        assert failure is None
        request = ProxyRequest(
            b"request-1",
            scope["method"],
            target,
            scope["headers"],
            route,
            clock.now_s() + route.timeout_s,
            client_host=scope["client"][0],
        )
        await forwarder.run(request, AsgiCaller(receive, send))

    config = uvicorn.Config(
        app,
        "127.0.0.1",
        0,
        http="httptools",
        ws="none",
        lifespan="off",
        access_log=False,
        log_level="error",
    )
    server = uvicorn.Server(config)
    server.install_signal_handlers = lambda: None  # type: ignore[attr-defined]
    task = asyncio.create_task(server.serve())
    while not server.started:
        await asyncio.sleep(0.01)
    print(server.servers[0].sockets[0].getsockname()[1], flush=True)
    started_s = time.process_time()
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    cpu_ms = (time.process_time() - started_s) * 1000 / max(1, count)
    print(f"processor time of the VM: {cpu_ms:.3f} ms a request", flush=True)
    server.should_exit = True
    await task
