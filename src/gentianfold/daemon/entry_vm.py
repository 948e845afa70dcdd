"""The composition root: wires the parts of one VM and runs them."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Any

import anyio
from loguru import logger

from gentianfold import __version__
from gentianfold.clock import BootClock
from gentianfold.configuration.store import ConfigurationStore
from gentianfold.daemon.admit_all import AdmitAll
from gentianfold.daemon.caller_app import CallerApp
from gentianfold.daemon.caller_protocol import head_limited_protocol
from gentianfold.daemon.decision_log import DecisionLog
from gentianfold.daemon.http_server import HttpServer
from gentianfold.daemon.metrics import Metrics
from gentianfold.daemon.operator_app import OperatorApp
from gentianfold.daemon.published_view import PublishedView
from gentianfold.daemon.runner import ForwardRunner, PlacementLog
from gentianfold.daemon.vm_state import VmState
from gentianfold.keys import strip_key_headers
from gentianfold.platform.follower import PlatformFollower
from gentianfold.platform.http_client import HttpPlatformClient
from gentianfold.requests.connections import Connections
from gentianfold.requests.forwarder import Forwarder
from gentianfold.routing.router import Router
from gentianfold.rules import parse_rules

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

    from gentianfold.configuration.snapshot import Snapshot
    from gentianfold.daemon.vm_options import VmOptions

TICK_S = 0.05
"""Time between two runs of the systems over their tables (seconds)."""
SWEEP_S = 1.0
"""Time between two sweeps of idle connections (seconds)."""


class EntryVm:
    """One VM of the fleet."""

    def __init__(self, options: VmOptions) -> None:
        self.options = options
        self.clock = BootClock()
        self.started_s = self.clock.now_s()
        self.state = VmState()
        self.decisions = DecisionLog(options.log_decisions)
        self.metrics = Metrics()
        self.view = PublishedView()
        self.store = ConfigurationStore(parse_rules)
        self.router = Router(options.name, options.zone, random.Random())
        self.connections = Connections(self.clock)
        self.forwarder = Forwarder(
            self.router,
            self.connections,
            self.clock,
            strip_key_headers,
            on_placed=PlacementLog(self.decisions, self.clock).placed,
        )
        self.caller_server = HttpServer(
            CallerApp(
                options.name,
                self.view,
                self.state,
                AdmitAll(),
                ForwardRunner(self.forwarder),
                self.decisions,
                self.metrics,
                self.clock,
            ),
            options.caller_host,
            options.caller_port,
            head_limited_protocol(options.max_head_bytes, options.head_timeout_s),
        )
        self.operator_server = HttpServer(
            OperatorApp(self, self.decisions),
            options.operator_host,
            options.operator_port,
        )
        self._stop_asked = anyio.Event()
        self.store.subscribe(self._adopt)

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until a planned stop is finished or the task is cancelled."""
        self.caller_server.bind()
        self.operator_server.bind()
        options = self.options
        client = HttpPlatformClient(options.platform_url, options.name)
        follower = PlatformFollower(client, self.store, self.clock, random.Random())
        logger.info(
            "daemon: VM {} in zone {} serves callers on port {}, operators on port {}",
            options.name,
            options.zone,
            self.caller_server.port,
            self.operator_server.port,
        )
        async with client, anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            tasks.start_soon(self._tick)
            tasks.start_soon(self.caller_server.serve)
            tasks.start_soon(self.operator_server.serve)
            task_status.started()
            await self._stop_asked.wait()
            await self._stop()
            tasks.cancel_scope.cancel()

    def drain(self) -> None:
        """Start a planned stop."""
        if not self.state.draining:
            logger.info("daemon: VM {} starts a planned stop", self.options.name)
        self.state.draining = True
        self._stop_asked.set()

    def not_ready_reason(self) -> str:
        """Return why callers should go elsewhere; empty when ready."""
        return self.state.not_ready_reason()

    def exposition(self) -> str:
        """Return the metrics as text."""
        self.metrics.set_gauge("configuration_version", self.store.version)
        self.metrics.set_gauge("open_requests", self._caller_app.open_requests)
        return self.metrics.exposition()

    def status(self) -> dict[str, Any]:
        """Return the state of all parts."""
        now_s = self.clock.now_s()
        return {
            "vm": self.options.name,
            "zone": self.options.zone,
            "version": __version__,
            "state": self.state.not_ready_reason() or "ready",
            "configuration_version": self.store.version,
            "uptime_s": round(now_s - self.started_s, 1),
            "time_unix_s": round(time.time(), 3),
            "open_requests": self._caller_app.open_requests,
            "peers": [],
            "upstreams": [
                {
                    "name": row.upstream,
                    "service": row.service,
                    "state": row.state.value,
                    "weight": row.weight,
                    "in_flight": row.in_flight,
                    "reason": row.reason,
                }
                for row in self.router.rows(now_s)
            ],
            "customers": [],
            "shares": {},
        }

    @property
    def _caller_app(self) -> CallerApp:
        app = self.caller_server.app
        assert isinstance(app, CallerApp)
        return app

    def _adopt(self, snapshot: Snapshot) -> None:
        """Put a new configuration in force in every part."""
        self.view.adopt(snapshot)
        self.router.on_snapshot(
            snapshot.services.values(),
            snapshot.upstreams.values(),
            self.clock.now_s(),
            fleet_vms=self._fleet_vms(),
        )
        self.state.configured = True

    def _fleet_vms(self) -> int:
        return len(self.store.vm_list.vms) if self.store.vm_list else 1

    async def _tick(self) -> None:
        """Run the systems over their tables."""
        sweep_due_s = 0.0
        while True:
            await anyio.sleep(TICK_S)
            now_s = self.clock.now_s()
            self.router.on_tick(now_s)
            self.decisions.flush()
            if now_s >= sweep_due_s:
                sweep_due_s = now_s + SWEEP_S
                self.connections.sweep(frozenset(self.router.table.rows))

    async def _stop(self) -> None:
        """Finish open requests after the balancer had time to move callers."""
        with anyio.move_on_after(self.options.stop_timeout_s) as scope:
            await anyio.sleep(self.options.settle_s)
            self.caller_server.stop()
            while self.caller_server.connection_count() or self._open_requests():
                await anyio.sleep(TICK_S)
        if scope.cancelled_caught:
            logger.warning(
                "daemon: VM {} stops with {} requests open",
                self.options.name,
                self._open_requests(),
            )
        self.decisions.flush()
        self.connections.close()
        logger.info("daemon: VM {} has stopped", self.options.name)

    def _open_requests(self) -> int:
        return self._caller_app.open_requests
