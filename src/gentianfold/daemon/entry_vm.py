"""The composition root: wires the parts of one VM and runs them."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import anyio
from loguru import logger

from gentianfold.clock import BootClock
from gentianfold.configuration.store import ConfigurationStore
from gentianfold.daemon.caller_app import CallerApp
from gentianfold.daemon.caller_protocol import head_limited_protocol
from gentianfold.daemon.decision_log import DecisionLog
from gentianfold.daemon.http_server import HttpServer
from gentianfold.daemon.limit_gate import LimitGate
from gentianfold.daemon.link_key_setup import link_keys_of
from gentianfold.daemon.metrics import Metrics
from gentianfold.daemon.once_fleet import FleetRoster, ShareAuthority
from gentianfold.daemon.once_gate import OnceGate
from gentianfold.daemon.operator_app import OperatorApp
from gentianfold.daemon.planned_stop import PlannedStop
from gentianfold.daemon.published_view import PublishedView
from gentianfold.daemon.queue_runner import QueueRunner
from gentianfold.daemon.routing_exchange import RoutingExchange
from gentianfold.daemon.runner import ForwardRunner, PlacementLog
from gentianfold.daemon.status import VmReport
from gentianfold.daemon.tls import caller_tls, upstream_tls
from gentianfold.daemon.vm_state import VmState
from gentianfold.keys import strip_key_headers
from gentianfold.limits.limiter import Limiter
from gentianfold.peers.configuration_spread import ConfigurationSpread
from gentianfold.peers.incarnation import Incarnation
from gentianfold.peers.isolation import IsolationDetector
from gentianfold.peers.membership import MembershipTable
from gentianfold.peers.node import PeerNode
from gentianfold.peers.runner import PeerRunner
from gentianfold.peers.zmq_link import ZmqLink
from gentianfold.platform.follower import PlatformFollower
from gentianfold.platform.rotating_client import RotatingPlatformClient
from gentianfold.requests.connections import Connections
from gentianfold.requests.forwarder import Forwarder
from gentianfold.requests.once.interfaces import LedgerOptions
from gentianfold.requests.once.ledger import OnceLedger
from gentianfold.requests.once.records import Member
from gentianfold.routing.router import Router
from gentianfold.rules import parse_rules

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

    from gentianfold.configuration.snapshot import Snapshot
    from gentianfold.configuration.vm_list import VmList
    from gentianfold.daemon.runner import Runner
    from gentianfold.settings import Settings

TICK_S = 0.05
"""Time between two runs of the systems over their tables (seconds)."""
QUEUE_TICK_S = 0.005
"""Time between two looks for free slots while requests wait (seconds)."""
SHARE_WAIT_S = 10.0
"""Longest time that a starting VM waits for its share slots (seconds)."""
SWEEP_S = 1.0
"""Time between two sweeps of idle connections (seconds)."""


class EntryVm:
    """One VM of the fleet."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = BootClock()
        self.state = VmState()
        self._start_s: float | None = None
        self.decisions = DecisionLog(settings.logging.decisions)
        self.metrics = Metrics()
        self._wire_configuration()
        self._wire_decisions()
        self._wire_requests()
        self._wire_ports()
        self.report = VmReport(self)
        self.planned_stop = PlannedStop(self)
        self.store.subscribe(self._adopt)
        self.store.subscribe_vm_list(self._adopt_vm_list)

    def _wire_configuration(self) -> None:
        """Wire the published configuration, the platform and the peers."""
        rng = random.Random()
        settings = self.settings
        self.view = PublishedView()
        self.store = ConfigurationStore(parse_rules)
        self.client = RotatingPlatformClient.for_urls(
            settings.platform_urls, settings.vm
        )
        self.follower = PlatformFollower(self.client, self.store, self.clock, rng)
        self.members = MembershipTable(settings.vm, Incarnation.create())
        self.node = PeerNode(self.members, self.store, self.clock, rng)
        self.link = ZmqLink(link_keys_of(settings.peer_keys), self.node.receive)
        self.spread = ConfigurationSpread(self.node, self.store, self.clock, rng)
        self.isolation = IsolationDetector(self.members, self.store)
        self.peers = PeerRunner(
            self.node, self.spread, self.isolation, self.follower, self.clock
        )

    def _wire_decisions(self) -> None:
        """Wire the decision layers: limits and routing."""
        settings = self.settings
        self.limiter = Limiter(
            settings.vm, random.getrandbits(62) + 1, self.clock.now_s()
        )
        self.limit_gate = LimitGate(self.limiter, self.node, self.clock)
        self.router = Router(settings.vm, settings.zone, random.Random())
        self.routing = RoutingExchange(self.router, self.node, self.clock)

    def _wire_requests(self) -> None:
        """Wire what carries a request to an upstream and back."""
        tls = self.settings.upstream_tls
        self.connections = Connections(
            self.clock,
            ssl_context=upstream_tls(tls) if tls else None,
            budget=self.router.connection_budget,
        )
        self.forwarder = Forwarder(
            self.routing,
            self.connections,
            self.clock,
            strip_key_headers,
            on_placed=PlacementLog(self.decisions, self.clock).placed,
        )
        self.queue = QueueRunner(
            ForwardRunner(self.forwarder), self.router, self.view, self.clock
        )
        self._wire_once(self.queue)
        self.caller_app = CallerApp(
            self.settings.vm,
            self.view,
            self.state,
            self.isolation,
            self.limit_gate,
            self.once_gate,
            self.decisions,
            self.metrics,
            self.clock,
            self.settings.limits.body_timeout_s,
        )

    def _wire_once(self, inner: Runner) -> None:
        """Wire the ledger of idempotency keys before the runner of requests."""
        settings = self.settings
        options = LedgerOptions()
        me = Member(settings.vm, self.members.incarnation.nonce, settings.zone)
        self.roster = FleetRoster(
            me, self.members, self.store, options.retention_s, self.clock.now_s()
        )
        self.ledger = OnceLedger(
            me, ShareAuthority(self.limiter), self.roster, options=options
        )
        self.once_gate = OnceGate(self.ledger, inner, self.node, self.clock)

    def _wire_ports(self) -> None:
        """Wire the caller port and the operator port."""
        settings = self.settings
        limits = settings.limits
        self.caller_server = HttpServer(
            self.caller_app,
            settings.caller_host,
            settings.caller_port,
            head_limited_protocol(limits.max_header_bytes, limits.header_timeout_s),
            caller_tls(settings.caller_tls) if settings.caller_tls else None,
        )
        self.operator_server = HttpServer(
            OperatorApp(self, self.decisions),
            settings.operator_host,
            settings.operator_port,
        )
        self.peer_port = settings.peer_port

    def bind(self) -> None:
        """Bind the caller port and the operator port.

        Raises:
            OSError: An address can't be bound.
        """
        self.caller_server.bind()
        self.operator_server.bind()

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until a planned stop is finished or the task is cancelled."""
        self.bind()
        async with self.client, anyio.create_task_group() as tasks:
            self.peer_port = await tasks.start(
                self.link.run, self.settings.peer_host, self.peer_port
            )
            self.node.attach(self.link)
            tasks.start_soon(self.follower.run)
            tasks.start_soon(self._tick)
            tasks.start_soon(self._tick_queue)
            tasks.start_soon(self.caller_server.serve)
            tasks.start_soon(self.operator_server.serve)
            self._log_start()
            task_status.started()
            try:
                await self.planned_stop.run()
            finally:
                self.limit_gate.close()
            tasks.cancel_scope.cancel()

    def drain(self) -> None:
        """Start a planned stop."""
        self.planned_stop.ask()

    def not_ready_reason(self) -> str:
        """Return why callers should go elsewhere; empty when ready."""
        return self.state.not_ready_reason()

    def exposition(self) -> str:
        """Return the metrics as text."""
        return self.report.exposition()

    def status(self) -> dict[str, Any]:
        """Return the state of all parts."""
        return self.report.status()

    def _log_start(self) -> None:
        logger.info(
            "daemon: VM {} in zone {}: callers on port {}, operators {}, peers {}",
            self.settings.vm,
            self.settings.zone,
            self.caller_server.port,
            self.operator_server.port,
            self.peer_port,
        )

    def _adopt(self, snapshot: Snapshot) -> None:
        """Put a new configuration in force in every part."""
        now_s = self.clock.now_s()
        self.view.adopt(snapshot)
        self.queue.drop_withdrawn()
        self.limiter.limits_version = snapshot.version
        self.limiter.on_off(snapshot.fleet.retired, now_s)
        self._place_over(snapshot, now_s)

    def _adopt_vm_list(self, vm_list: VmList) -> None:
        """Tell every part which VMs make up the fleet."""
        now_s = self.clock.now_s()
        staying = [vm.name for vm in vm_list.vms if vm.state.value == "live"]
        self.limiter.on_list(vm_list.version, staying, now_s)
        if self.store.snapshot is not None:
            self._place_over(self.store.snapshot, now_s)

    def _place_over(self, snapshot: Snapshot, now_s: float) -> None:
        vm_list = self.store.vm_list
        self.router.on_snapshot(
            snapshot.services.values(),
            snapshot.upstreams.values(),
            now_s,
            fleet_vms=len(vm_list.vms) if vm_list else 1,
        )

    async def _tick(self) -> None:
        """Run the systems over their tables."""
        sweep_due_s = 0.0
        while True:
            now_s = self.clock.now_s()
            self.peers.tick()
            self._update_state(now_s)
            self.limit_gate.tick()
            self.routing.tick()
            self.roster.tick(now_s)
            self.once_gate.tick()
            self.decisions.flush()
            if now_s >= sweep_due_s:
                sweep_due_s = now_s + SWEEP_S
                self.connections.sweep(frozenset(self.router.table.rows))
            await anyio.sleep(TICK_S)

    async def _tick_queue(self) -> None:
        """Hand out slots that other VMs freed, which happens without notice."""
        while True:
            self.queue.tick()
            waits = any(self.queue.waiting_counts().values())
            await anyio.sleep(QUEUE_TICK_S if waits else TICK_S)

    def _may_admit(self, now_s: float) -> bool:
        """Tell whether the limits work, or were waited for long enough."""
        if self._start_s is None:
            self._start_s = now_s
        waited = now_s - self._start_s >= SHARE_WAIT_S
        shares = self.limiter.shares
        holds = len(shares.held) >= len(shares.owned)
        return waited or (shares.usable(now_s) and holds)

    def _update_state(self, now_s: float) -> None:
        ready = self.isolation.is_ready(now_s) and self._may_admit(now_s)
        if ready and not self.state.configured:
            self.state.configured = True
            logger.info(
                "daemon: VM {} is ready with configuration {}",
                self.settings.vm,
                self.store.version,
            )
        self.state.isolated = self.isolation.is_isolated(now_s)
