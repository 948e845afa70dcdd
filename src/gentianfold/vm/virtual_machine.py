"""Composition root: builds the components of one VM and runs them."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger

from gentianfold import __version__
from gentianfold.clock import BootClock
from gentianfold.fleet.broker import Broker
from gentianfold.fleet.fleet_tunnels import FleetTunnels
from gentianfold.fleet.membership import Membership, Role
from gentianfold.fleet.node import TICK_INTERVAL_S, Node
from gentianfold.fleet.node_view import NodeView
from gentianfold.fleet.transport import UdpTransport
from gentianfold.forwarding.caller_connection import CallerConnection
from gentianfold.forwarding.connection_pool import CONNECT_TIMEOUT_S, ConnectionPool
from gentianfold.forwarding.hangup_watcher import HangupWatcher
from gentianfold.forwarding.messages import Response
from gentianfold.forwarding.request_forwarder import START_WAIT_S, RequestForwarder
from gentianfold.forwarding.service_selector import ServiceSelector
from gentianfold.forwarding.tunnel_server import TunnelConnection
from gentianfold.forwarding.upstream_paths import UpstreamPaths
from gentianfold.placement.choice import Chooser
from gentianfold.placement.quota_table import QuotaTable
from gentianfold.placement.retry_budget import RetryBudget
from gentianfold.placement.slot_scheduler import SlotScheduler
from gentianfold.placement.warmup_limiter import WarmupBudget
from gentianfold.platform.deployment import is_first_start
from gentianfold.platform.headers import HEADERS
from gentianfold.platform.store_client import StoreClient
from gentianfold.platform.store_synchronizer import StoreSynchronizer
from gentianfold.vm.configuration_fetcher import (
    CONFIGURATION_PATH,
    ConfigurationFetcher,
)
from gentianfold.vm.early_signals import SIGNALS, ignore_signals, take_held_signals
from gentianfold.vm.internal_http import InternalHttpConnection, PathResponder
from gentianfold.vm.metrics import Metrics
from gentianfold.vm.policies import (
    choice_policy,
    retry_policy,
    start_allowance,
    warmup_policy,
    zone_regions,
)
from gentianfold.vm.request_handler import CallerRequestHandler
from gentianfold.vm.resource_limits import ResourceLimits
from gentianfold.vm.status import (
    build_configuration_response,
    build_readiness_response,
    build_status_response,
    update_gauges,
)
from gentianfold.vm.store_poller import StateSink, StorePoller

if TYPE_CHECKING:
    from anyio.abc import TaskGroup, TaskStatus

    from gentianfold.forwarding.memory_budget import ConnectionLimit
    from gentianfold.settings import Endpoint, Settings
    from gentianfold.vm.log_writer import LogWriter
    from gentianfold.vm.settings_file import SettingsFile

MAINTENANCE_TICKS = 10
"""Ticks between two checks for expired connections and changed settings (count)."""
MIN_SUSPENSION_S = 0.5
"""Shortest suspension of the VM that increases the age of its state (seconds): about
one heartbeat interval."""
STOP_MARGIN_S = 0.4
"""Time before the forced termination at which requests without an answer are aborted
(seconds)."""
SEND_MARGIN_S = 0.2
"""Time before the forced termination at which answers that callers still receive are cut
and the process exits (seconds)."""
TLS_HANDSHAKE_TIMEOUT_S = 5.0
"""Time in which a caller must complete the TLS handshake (seconds)."""
LISTEN_BACKLOG = 512
"""Limit on connections waiting to be accepted (count); covers simultaneous connections
from all callers of a VM."""


@attrs.define(eq=False, repr=False)
class VirtualMachine:
    """One VM; ``run`` returns after a planned stop."""

    settings: Settings
    """Current settings; a reload replaces the parts that can change at run time."""
    log_writer: LogWriter
    """Log output, flushed each tick."""
    settings_file: SettingsFile | None = None
    """The settings file, reloaded when it changes; ``None`` for no reloads."""
    handles_signals: bool = True
    """Whether to handle SIGTERM and SIGINT (planned stop) and SIGHUP (settings reload);
    if not, only ``stop_requested`` begins a planned stop."""
    stop_requested: anyio.Event = attrs.field(factory=anyio.Event)
    """Set to begin a planned stop."""
    metrics: Metrics = attrs.field(factory=Metrics)
    """Counters, gauges and histograms, served at ``/metrics``."""
    pool: ConnectionPool = attrs.field(factory=ConnectionPool)
    """Pool of connections to upstreams, the store and other VMs."""
    view: NodeView = attrs.field(factory=NodeView)
    """Published state and the time at which it was read."""
    caller_connections: set[CallerConnection] = attrs.field(factory=set)
    """Open connections of callers."""
    hangups: HangupWatcher = attrs.field(factory=HangupWatcher)
    """Notices the end of callers whose connections are not read."""
    open_tunnels: set[TunnelConnection] = attrs.field(factory=set)
    """Open tunnels of other VMs through this one."""
    resources: ResourceLimits = attrs.field(
        default=attrs.Factory(
            lambda self: ResourceLimits.from_settings(self.settings), takes_self=True
        )
    )
    """Budgets of memory and connections."""
    process_started_s: float | None = None
    """Start of the process (boot time, seconds); ``None`` for the start of ``run``."""
    _caller_server: asyncio.Server | None = None
    _other_servers: list[asyncio.Server] = attrs.field(factory=list)
    _node: Node | None = None
    _tunnels: FleetTunnels | None = None

    @property
    def is_broker(self) -> bool:
        """Whether this VM is the broker, which grants slots to the whole fleet."""
        return self._has_role(Role.BROKER)

    @property
    def is_member(self) -> bool:
        """Whether this VM requests its slots from a broker."""
        return self._has_role(Role.MEMBER)

    def record_suspension(self, suspended_s: float) -> None:
        """Increase the age of the VM's state after a suspension.

        Args:
            suspended_s: Duration of the suspension in seconds.
        """
        if self._node is not None:
            self._node.record_suspension(suspended_s)

    def _has_role(self, role: Role) -> bool:
        return self._node is not None and self._node.membership.role is role

    @property
    def accepts_callers(self) -> bool:
        """Whether the caller listener is open."""
        return self._caller_server is not None and self._caller_server.is_serving()

    async def run(self) -> None:
        """Open the listeners and serve until a planned stop is complete.

        Raises:
            OSError: If the UDP port of the fleet can't be bound.
            ExceptionGroup: If a TCP listener or the TLS certificate can't be opened.
        """
        transport = UdpTransport(self.settings.fleet.port)
        node = self._build_node(transport)
        node.shares.start_allowance = start_allowance(self.settings)
        self._node = node
        transport.receive = node.receive
        await transport.open(self.settings.address)
        client = StoreClient(_socket_address(self.settings.store.endpoint), self.pool)
        sink = StateSink(node)
        synchronizer = StoreSynchronizer(client, sink)
        poller = StorePoller(node, synchronizer, self.settings.store.poll_s)
        fetcher = ConfigurationFetcher(
            node, sink, synchronizer, self.pool, self.settings.operators.port
        )
        async with anyio.create_task_group() as signal_tasks:
            if self.handles_signals:
                await signal_tasks.start(self._receive_signals)
            if self.stop_requested.is_set():
                logger.info("vm: stopped before it served requests")
                transport.close()
                signal_tasks.cancel_scope.cancel()
                return
            async with anyio.create_task_group() as task_group:
                handler = self._build_handler(node, task_group)
                await self._listen(handler, node, fetcher)
                logger.info(
                    "vm: started, version {} name {} zone {}",
                    __version__,
                    self.settings.vm,
                    self.settings.zone,
                )
                task_group.start_soon(poller.run)
                task_group.start_soon(fetcher.run)
                task_group.start_soon(self._run_periodic_work, node)
                await self.stop_requested.wait()
                end_s = anyio.current_time() + self.settings.stop.grace_s
                await self._stop(handler, node, end_s - STOP_MARGIN_S)
                task_group.cancel_scope.cancel()
            # Only answers are left: their callers hold nothing else of this VM.
            for server in self._other_servers:
                server.close()
            self.pool.close()
            transport.close()
            await self._send_rest(handler, end_s - SEND_MARGIN_S)
            self.hangups.close()
            signal_tasks.cancel_scope.cancel()
        if self.handles_signals:
            ignore_signals()
        logger.info("vm: stopped")
        self.log_writer.flush()

    # Construction

    def _build_node(self, transport: UdpTransport) -> Node:
        settings = self.settings
        scheduler = SlotScheduler(
            quota=QuotaTable(settings.limits.window_s),
            budget=RetryBudget(retry_policy(settings)),
            chooser=Chooser(choice_policy(settings)),
            warmups=WarmupBudget(warmup_policy(settings)),
        )
        seeds = tuple(seed.host for seed in settings.fleet.seeds)
        incarnation = time.time_ns() // 1_000_000
        broker = Broker(
            settings.address,
            incarnation,
            seeds,
            scheduler,
            transport,
            self.view,
            settings.machine.cpu_share,
            is_first_start=is_first_start(settings.platform),
            regions=settings.zones,
            stated_size=settings.fleet.largest_size,
        )
        loop = asyncio.get_running_loop()
        broker.decisions.now_s, broker.decisions.call_soon = loop.time, loop.call_soon
        return Node(
            settings.address,
            settings.zone,
            incarnation,
            settings.machine.cpu_share,
            settings.machine.link_mbps,
            scheduler,
            Membership(settings.address, seeds),
            broker,
            transport,
            self.view,
            started_s=loop.time(),
            process_started_s=self.process_started_s,
        )

    def _build_handler(self, node: Node, task_group: TaskGroup) -> CallerRequestHandler:
        forwarder = RequestForwarder(
            HEADERS,
            self.view.routing,
            node,
            self.pool,
            ServiceSelector(),
            node.scheduler.crashes,
            self.settings.address,
            self.settings.zone,
            zone_regions(self.settings),
        )
        tunnels = FleetTunnels(node, self.settings.fleet.port)
        node.tunnels.link_used_mbps = self.resources.link.schedule.used_mbps
        node.on_tunnel_token = tunnels.record_token
        node.pass_notice = tunnels.pass_notice
        forwarder.paths = UpstreamPaths(self.pool, tunnels, node.paths)
        forwarder.memory = self.resources.memory
        forwarder.waits_until_s = forwarder.now_s() + START_WAIT_S
        self._tunnels = tunnels
        return CallerRequestHandler(
            forwarder,
            self.metrics,
            task_group,
            self.settings.logging.decisions,
            connections=self.caller_connections,
        )

    async def _listen(
        self,
        handler: CallerRequestHandler,
        node: Node,
        fetcher: ConfigurationFetcher,
    ) -> None:
        """Open the listeners for callers, readiness checks, operators and metrics."""
        loop = asyncio.get_running_loop()
        tls = None
        if self.settings.caller_tls is not None:
            import ssl

            tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
            files = self.settings.caller_tls
            tls.load_cert_chain(files.certificate_file, files.key_file)
        self._caller_server = await loop.create_server(
            lambda: CallerConnection(
                handler,
                self.caller_connections,
                self.hangups,
                self.resources.memory,
                self.resources.callers,
                self.resources.link,
            ),
            *_socket_address(self.settings.callers),
            backlog=LISTEN_BACKLOG,
            ssl=tls,
            ssl_handshake_timeout=TLS_HANDSHAKE_TIMEOUT_S if tls else None,
        )

        await self._listen_for_tunnels()

        def respond_readiness(_: bytes) -> Response:
            return build_readiness_response(self.view, handler)

        def respond_operator(path: bytes) -> Response:
            if path == CONFIGURATION_PATH:
                return build_configuration_response(self.view)
            if path.endswith(b"/metrics"):
                update_gauges(self.metrics, node, handler, fetcher, self.resources)
                return Response(200, [], self.metrics.exposition().encode())
            return build_status_response(node, handler, self.settings)

        for endpoint, respond, limit in (
            (self.settings.readiness, respond_readiness, self.resources.readiness),
            (self.settings.operators, respond_operator, self.resources.operators),
            (self.settings.metrics, respond_operator, self.resources.metrics),
        ):
            if endpoint is not None:
                await self._listen_internal(endpoint, respond, limit)

    async def _listen_for_tunnels(self) -> None:
        """Accept tunnels of other VMs at the address that they use for datagrams."""
        tunnels = self._tunnels
        if tunnels is not None:
            server = await asyncio.get_running_loop().create_server(
                lambda: TunnelConnection(
                    tunnels.find_target,
                    self.open_tunnels,
                    CONNECT_TIMEOUT_S,
                    self.resources.memory,
                    self.resources.tunnels,
                    self.resources.link,
                ),
                self.settings.address,
                self.settings.fleet.port,
                backlog=LISTEN_BACKLOG,
            )
            self._other_servers.append(server)

    async def _listen_internal(
        self, endpoint: Endpoint, respond: PathResponder, limit: ConnectionLimit
    ) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: InternalHttpConnection(respond, limit), *_socket_address(endpoint)
        )
        self._other_servers.append(server)

    # Operation

    async def _run_periodic_work(self, node: Node) -> None:
        """Run the periodic work of each tick and detect suspensions of the VM.

        The boot clock advances during a suspension; the event loop's clock does not.
        """
        ticks = 0
        clock = BootClock()
        clock_offset_s = clock.now_s() - anyio.current_time()
        while True:
            suspended_s = clock.now_s() - anyio.current_time() - clock_offset_s
            if suspended_s > MIN_SUSPENSION_S:
                clock_offset_s += suspended_s
                self.record_suspension(suspended_s)
            node.advance()
            ticks += 1
            if ticks % MAINTENANCE_TICKS == 0:
                self.pool.close_expired()
                self._reload_if_changed()
            self.resources.advance(anyio.current_time())
            self.log_writer.flush()
            await anyio.sleep(TICK_INTERVAL_S)

    def _reload_if_changed(self) -> None:
        """Reload the settings if their file is another one than that which was read."""
        if self.settings_file is not None and self.settings_file.has_changed():
            self._reload()

    def _reload(self) -> None:
        """Reload the settings file and apply the settings that can change at run time.

        Invalid settings are logged and ignored.
        """
        if self.settings_file is None:
            return
        settings = self.settings_file.load()
        if isinstance(settings, tuple):
            for failure in settings:
                logger.warning("vm: settings reload rejected, {}", failure)
            return
        if self._node is not None:
            seeds = tuple(seed.host for seed in settings.fleet.seeds)
            self._node.membership.seeds = self._node.broker.seeds = seeds
            scheduler = self._node.scheduler
            scheduler.budget.policy = retry_policy(settings)
            scheduler.quota.window_s = settings.limits.window_s
            scheduler.chooser.policy = choice_policy(settings)
            scheduler.warmups.policy = warmup_policy(settings)
        self.settings = attrs.evolve(
            self.settings, stop=settings.stop, fleet=settings.fleet
        )
        logger.info(
            "vm: settings reloaded, applied seeds, limits, retries and stop times"
        )

    async def _receive_signals(self, task_status: TaskStatus[None]) -> None:
        """Handle signals, first those that arrived before this was called."""
        with anyio.open_signal_receiver(*SIGNALS) as received:
            for signum in take_held_signals():
                self._handle_signal(signum)
            task_status.started()
            async for signum in received:
                self._handle_signal(signum)

    def _handle_signal(self, signum: signal.Signals) -> None:
        """Reload the settings on SIGHUP; begin a planned stop on SIGTERM and SIGINT."""
        if signum == signal.SIGHUP:
            self._reload()
        else:
            self.stop_requested.set()

    async def _stop(
        self, handler: CallerRequestHandler, node: Node, end_s: float
    ) -> None:
        """Obtain the answers to the requests in progress within the grace period.

        New requests are accepted for ``settle_s``, until the load balancer has removed
        the VM.

        Args:
            handler: Handles the requests of callers.
            node: Fleet node of this VM.
            end_s: Time at which requests without an answer are aborted (loop time).
        """
        logger.info(
            "vm: planned stop, {} requests in progress", handler.under_way_count
        )
        handler.stopping = True
        node.begin_stop()
        with anyio.move_on_after(end_s - anyio.current_time()) as scope:
            await anyio.sleep(self.settings.stop.settle_s)
            self._stop_accepting(handler)
            node.slots.refuse_new_requests()
            while (
                handler.running_count
                or self.open_tunnels
                or any(connection.is_awaiting for connection in self.caller_connections)
            ):
                await anyio.sleep(TICK_INTERVAL_S)
        if scope.cancelled_caught:
            logger.warning(
                "vm: grace period expired, {} requests aborted", handler.running_count
            )

    async def _send_rest(self, handler: CallerRequestHandler, end_s: float) -> None:
        """Wait until the callers have received their answers.

        Args:
            handler: Handles the requests of callers.
            end_s: Time at which the rest is cut (loop time).
        """
        if handler.unsent_count:
            logger.info("vm: sending {} answers", handler.unsent_count)
        for connection in list(self.caller_connections):
            connection.finish(lingers=False)
        while self.caller_connections and anyio.current_time() < end_s:
            self.log_writer.flush()
            await anyio.sleep(TICK_INTERVAL_S)
        for connection in list(self.caller_connections):
            connection.cut("grace")
        # The connections are lost in a later iteration of the loop.
        await anyio.sleep(0.01)

    def _stop_accepting(self, handler: CallerRequestHandler) -> None:
        """Reject new requests and close the caller listener and idle connections."""
        handler.rejects_requests = True
        if self._caller_server is not None:
            self._caller_server.close()
        for connection in list(self.caller_connections):
            connection.close_if_idle()


def _socket_address(endpoint: Endpoint) -> tuple[str, int]:
    return endpoint.host, endpoint.port
