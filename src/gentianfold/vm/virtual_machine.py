"""The composition root: builds the parts of one VM and runs them."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger

from gentianfold import __version__
from gentianfold.clock import BootClock
from gentianfold.fleet.broker import Broker
from gentianfold.fleet.membership import Membership, Role
from gentianfold.fleet.node import TICK_INTERVAL_S, Node
from gentianfold.fleet.node_view import NodeView
from gentianfold.fleet.transport import UdpTransport
from gentianfold.forwarding.caller_connection import CallerConnection
from gentianfold.forwarding.connection_pool import ConnectionPool
from gentianfold.forwarding.messages import Response
from gentianfold.forwarding.request_forwarder import RequestForwarder
from gentianfold.forwarding.service_selector import ServiceSelector
from gentianfold.placement.quota_table import QuotaTable
from gentianfold.placement.retry_budget import RetryBudget, RetryBudgetPolicy
from gentianfold.placement.slot_scheduler import SlotScheduler
from gentianfold.platform.headers import HEADERS
from gentianfold.platform.store_client import StoreClient
from gentianfold.platform.store_synchronizer import StoreSynchronizer
from gentianfold.settings import load_settings
from gentianfold.vm.configuration_fetch import (
    CONFIGURATION_PATH,
    ConfigurationFetch,
    pack_document,
)
from gentianfold.vm.front import Front
from gentianfold.vm.metrics import Metrics
from gentianfold.vm.small_http import Respond, SmallHttpConnection
from gentianfold.vm.status import describe_status, update_gauges
from gentianfold.vm.store_polling import StateSink, StorePolling

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from gentianfold.settings import Endpoint, Settings
    from gentianfold.vm.log_writer import LogWriter

HOUSEKEEPING_TICKS = 10
"""Ticks between two looks at idle connections (count)."""
MIN_SUSPENSION_S = 0.5
"""Suspension of the VM from which its knowledge counts as older (seconds): about one
heartbeat."""
STOP_MARGIN_S = 0.4
"""How much sooner than it would be ended by force the process ends (seconds)."""
BACKLOG = 512
"""Connections that wait to be accepted (count): all callers of a VM at once."""


@attrs.define(eq=False)
class VirtualMachine:
    """One VM; ``run`` ends after a planned stop."""

    settings: Settings
    """What the VM is told at its start."""
    log_writer: LogWriter
    """Writes the log."""
    settings_path: str = ""
    """File of the settings, read again when it changes; empty for none."""
    handles_signals: bool = True
    """Whether signals of the process stop it; else only ``stop_wanted`` does."""
    stop_wanted: anyio.Event = attrs.field(factory=anyio.Event)
    """Set to begin a planned stop."""
    metrics: Metrics = attrs.field(factory=Metrics)
    """Counters and histograms."""
    pool: ConnectionPool = attrs.field(factory=ConnectionPool)
    """Connections to upstreams, to the store and to other VMs."""
    view: NodeView = attrs.field(factory=NodeView)
    """What is known of the published state."""
    callers: set[CallerConnection] = attrs.field(factory=set)
    """Open connections of callers."""
    _caller_server: asyncio.Server | None = None
    _node: Node | None = None
    _settings_ns: int = 0

    @property
    def is_broker(self) -> bool:
        """Whether this VM places the requests of the fleet."""
        return self._has_role(Role.BROKER)

    @property
    def is_member(self) -> bool:
        """Whether this VM asks a broker."""
        return self._has_role(Role.MEMBER)

    @property
    def settings_seen(self) -> bool:
        """Whether the settings file has been looked at."""
        return self._settings_ns != 0

    def note_suspension(self, suspended_s: float) -> None:
        """Take it that this VM did not run for a time."""
        if self._node is not None:
            self._node.record_suspension(suspended_s)

    def _has_role(self, role: Role) -> bool:
        return self._node is not None and self._node.membership.role is role

    @property
    def accepts_callers(self) -> bool:
        """Whether callers can connect."""
        return self._caller_server is not None and self._caller_server.is_serving()

    async def run(self) -> None:
        """Serve until a planned stop has ended."""
        link = UdpTransport(self.settings.fleet.port)
        node = self._build_node(link)
        self._node = node
        link.receive = node.receive
        await link.open(self.settings.address)
        client = StoreClient(_pair(self.settings.store.endpoint), self.pool)
        sink = StateSink(node)
        follower = StoreSynchronizer(client, sink)
        async with anyio.create_task_group() as tasks:
            front = self._build_front(node, tasks)
            await self._listen(front, node, client)
            logger.info(
                "vm: starts, version {} name {} zone {}",
                __version__,
                self.settings.vm,
                self.settings.zone,
            )
            polling = StorePolling(node, follower, self.settings.store.poll_s)
            fetch = ConfigurationFetch(
                node, sink, follower, self.pool, self.settings.operators.port
            )
            tasks.start_soon(polling.run)
            tasks.start_soon(fetch.run)
            tasks.start_soon(self._tick, node)
            if self.handles_signals:
                tasks.start_soon(self._receive_signals)
            await self.stop_wanted.wait()
            await self._stop(front, node)
            tasks.cancel_scope.cancel()
        self.pool.close()
        link.close()
        logger.info("vm: stops")
        self.log_writer.flush()

    # Building

    def _build_node(self, link: UdpTransport) -> Node:
        settings = self.settings
        scheduler = SlotScheduler(
            quota=QuotaTable(settings.limits.window_s),
            budget=RetryBudget(_retry_policy(settings)),
        )
        seeds = tuple(seed.host for seed in settings.fleet.seeds)
        incarnation = time.time_ns() // 1_000_000
        broker = Broker(
            settings.address, incarnation, seeds, scheduler, link, self.view
        )
        return Node(
            settings.address,
            settings.zone,
            incarnation,
            settings.machine.cpu_share,
            settings.machine.link_mbps,
            scheduler,
            Membership(settings.address, seeds),
            broker,
            link,
            self.view,
            started_s=asyncio.get_running_loop().time(),
        )

    def _build_front(self, node: Node, tasks: TaskGroup) -> Front:
        runner = RequestForwarder(
            HEADERS,
            self.view.published,
            node,
            self.pool,
            ServiceSelector(),
            self.settings.address,
            self.settings.zone,
        )
        return Front(runner, self.metrics, tasks, self.settings.logging.decisions)

    async def _listen(self, front: Front, node: Node, client: StoreClient) -> None:
        """Open all listeners."""
        loop = asyncio.get_running_loop()
        tls = None
        if self.settings.caller_tls is not None:
            import ssl

            tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
            files = self.settings.caller_tls
            tls.load_cert_chain(files.certificate_file, files.key_file)
        self._caller_server = await loop.create_server(
            lambda: CallerConnection(front, self.callers),
            *_pair(self.settings.callers),
            backlog=BACKLOG,
            ssl=tls,
        )

        def respond_ready(_: bytes) -> Response:
            return self._answer_readiness(front)

        def respond_operator(path: bytes) -> Response:
            if path == CONFIGURATION_PATH:
                return self._answer_configuration()
            if path.endswith(b"/metrics"):
                update_gauges(self.metrics, node, front, client)
                return Response(200, [], self.metrics.exposition().encode())
            return describe_status(node, front, self.settings)

        await self._listen_small(self.settings.readiness, respond_ready)
        await self._listen_small(self.settings.operators, respond_operator)
        if self.settings.metrics is not None:
            await self._listen_small(self.settings.metrics, respond_operator)

    def _answer_configuration(self) -> Response:
        """Give the configuration to another VM, compressed once."""
        view = self.view
        if not view.configuration_document:
            return Response(404, [], b"")
        if not view.compressed_document:
            view.compressed_document = pack_document(view.configuration_document)
        return Response(200, [], view.compressed_document)

    async def _listen_small(self, endpoint: Endpoint, respond: Respond) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: SmallHttpConnection(respond), *_pair(endpoint))

    def _answer_readiness(self, front: Front) -> Response:
        """Say that the VM is ready once it knows configuration and upstreams."""
        is_ready = (
            not front.stopping
            and self.view.published.configuration is not None
            and self.view.published.upstreams_current_at_s is not None
        )
        return Response(200 if is_ready else 503, [], b"")

    # Running

    async def _tick(self, node: Node) -> None:
        """Run the systems that work by time."""
        ticks = 0
        clock = BootClock()
        lag_s = clock.now_s() - anyio.current_time()
        while True:
            suspended_s = clock.now_s() - anyio.current_time() - lag_s
            if suspended_s > MIN_SUSPENSION_S:
                lag_s += suspended_s
                self.note_suspension(suspended_s)
            node.advance()
            ticks += 1
            if ticks % HOUSEKEEPING_TICKS == 0:
                self.pool.close_expired()
                self._reload_if_changed()
            self.log_writer.flush()
            await anyio.sleep(TICK_INTERVAL_S)

    def _reload_if_changed(self) -> None:
        """Read the settings again if their file has changed without a signal."""
        if not self.settings_path:
            return
        try:
            changed_ns = os.stat(self.settings_path).st_mtime_ns
        except OSError as error:
            logger.debug("vm: settings file can't be looked at, {}", error)
            return
        if self._settings_ns not in (0, changed_ns):
            self._reload()
        self._settings_ns = changed_ns

    def _reload(self) -> None:
        """Put settings into force that can change while the VM runs."""
        settings = load_settings(self.settings_path)
        if isinstance(settings, tuple):
            for failure in settings:
                logger.warning("vm: reload refused, {}", failure)
            return
        if self._node is not None:
            seeds = tuple(seed.host for seed in settings.fleet.seeds)
            self._node.membership.seeds = self._node.broker.seeds = seeds
            scheduler = self._node.scheduler
            scheduler.budget.policy = _retry_policy(settings)
            scheduler.quota.window_s = settings.limits.window_s
        self.settings = attrs.evolve(
            self.settings, stop=settings.stop, fleet=settings.fleet
        )
        logger.info("vm: reload, seeds, limits, retries and stop times apply")

    async def _receive_signals(self) -> None:
        """Begin a planned stop when the process is asked to end."""
        signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*signals) as received:
            async for signum in received:
                if signum == signal.SIGHUP:
                    self._reload()
                else:
                    self.stop_wanted.set()

    async def _stop(self, front: Front, node: Node) -> None:
        """Answer what has been read, then end."""
        stop = self.settings.stop
        logger.info("vm: planned stop, {} requests under way", front.running)
        front.stopping = True
        node.begin_stop()
        with anyio.move_on_after(max(stop.grace_s - STOP_MARGIN_S, 0.0)) as scope:
            await anyio.sleep(stop.settle_s)
            self._refuse_callers(front)
            while front.running or any(row.is_busy for row in self.callers):
                await anyio.sleep(TICK_INTERVAL_S)
        if scope.cancelled_caught:
            logger.warning("vm: {} requests are broken off", front.running)

    def _refuse_callers(self, front: Front) -> None:
        """Take no more requests: the balancer has had time to send them elsewhere."""
        front.refuses = True
        if self._caller_server is not None:
            self._caller_server.close()
        for connection in list(self.callers):
            connection.close_if_idle()


def _retry_policy(settings: Settings) -> RetryBudgetPolicy:
    bounds = settings.retries
    return RetryBudgetPolicy(bounds.ratio, bounds.slack, bounds.window_s)


def _pair(endpoint: Endpoint) -> tuple[str, int]:
    return endpoint.host, endpoint.port
