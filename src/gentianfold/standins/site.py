"""Site in one process: stand-ins and VMs on loopback addresses."""

from __future__ import annotations

import itertools
import os
import socket
from typing import TYPE_CHECKING

import anyio
import attrs

from gentianfold.model import (
    CallerLimits,
    Configuration,
    Customer,
    PathKind,
    RateLimit,
    Route,
)
from gentianfold.platform.deployment import FIRST_START_FIELD
from gentianfold.settings import (
    Endpoint,
    FleetSettings,
    Settings,
    ShutdownSettings,
    StoreSettings,
)
from gentianfold.standins.store import StandinStore
from gentianfold.standins.upstream import StandinUpstream
from gentianfold.vm.log_writer import LogWriter
from gentianfold.vm.virtual_machine import VirtualMachine

if TYPE_CHECKING:
    from collections.abc import Iterator

    from anyio.abc import TaskGroup

PORT_TRIES = 1000
"""Ports that are tried in turn (count)."""
_FIRST_PORT, _LAST_PORT = 20_000, 32_000
_ports: Iterator[int] = itertools.cycle(
    [
        *range(_FIRST_PORT + os.getpid() * 101 % 12_000, _LAST_PORT),
        *range(_FIRST_PORT, _FIRST_PORT + os.getpid() * 101 % 12_000),
    ]
)
HOST = "glove.example"
"""``Host`` header that all routes match."""
API_KEY = "key-of-stall"
"""API key of the customer ``stall``."""


def make_route(
    name: str, service: str = "registry", idempotent: bool = True, retries: int = 1
) -> Route:
    """Return a route for all methods and all paths below ``/NAME/``."""
    return Route(
        name=name,
        methods=frozenset(),
        path=f"/{name}/",
        path_kind=PathKind.PREFIX,
        service=service,
        idempotent=idempotent,
        timeout_s=2.0,
        retries=retries,
        host=HOST,
    )


def make_configuration(version: int = 1, rate_per_s: float = 1e6) -> Configuration:
    """Return a configuration with two routes and one customer.

    The route ``search`` is idempotent, the route ``claim`` is not.

    Args:
        version: Version of the configuration.
        rate_per_s: Rate limit of the customer (requests per second) and its burst size.
    """
    customer = Customer("stall", limit=RateLimit(rate_per_s, rate_per_s))
    return Configuration(
        version,
        (make_route("search"), make_route("claim", idempotent=False)),
        frozenset({"registry"}),
        {"stall": customer},
        {API_KEY: "stall"},
        CallerLimits(header_timeout_s=1.0),
    )


@attrs.define(eq=False)
class Site:
    """Stand-ins and VMs that run in the task group of the caller."""

    tasks: TaskGroup
    """Task group that runs the VMs; ``close`` cancels it."""
    store: StandinStore = attrs.field(factory=StandinStore)
    """Store of the platform."""
    upstreams: dict[str, StandinUpstream] = attrs.field(factory=dict)
    """Upstreams by name."""
    vms: list[VirtualMachine] = attrs.field(factory=list)
    """Started VMs, in order of their addresses from 127.0.0.1."""
    fleet_port: int = 0
    """UDP and TCP port of the fleet on each VM; 0 before ``open``."""
    operator_port: int = 0
    """TCP port of the operators' endpoint on each VM; 0 before ``open``."""

    async def open(self) -> None:
        """Start the store and choose the ports that all VMs share."""
        await self.store.server.open()
        self.fleet_port = free_port()
        self.operator_port = free_port()

    async def add_upstream(
        self, name: str, service: str = "registry", zone: str = "z1"
    ) -> StandinUpstream:
        """Start an upstream and add its entry to the store."""
        upstream = StandinUpstream(name, service, zone)
        await upstream.server.open()
        self.upstreams[name] = upstream
        self.store.put_upstream(upstream.store_entry())
        return upstream

    async def add_vm(self) -> VirtualMachine:
        """Start a VM and wait until it has the list of upstreams."""
        address = f"127.0.0.{len(self.vms) + 1}"
        settings = Settings(
            vm=f"vm-{len(self.vms) + 1}",
            address=address,
            zone="z1",
            callers=Endpoint(address, free_port(address)),
            readiness=Endpoint(address, free_port(address)),
            operators=Endpoint(address, self.operator_port),
            store=StoreSettings(endpoint=Endpoint("127.0.0.1", self.store.server.port)),
            fleet=FleetSettings(
                port=self.fleet_port,
                seeds=(Endpoint("127.0.0.1", self.operator_port),),
            ),
            stop=ShutdownSettings(grace_s=6.0, settle_s=0.2),
            platform={FIRST_START_FIELD: True},
        )
        vm = VirtualMachine(settings, LogWriter(), handles_signals=False)
        self.vms.append(vm)
        self.tasks.start_soon(vm.run)
        while vm.view.routing.upstreams_current_at_s is None:
            await anyio.sleep(0.01)
        return vm

    def close(self) -> None:
        """Stop the VMs and the stand-ins."""
        self.tasks.cancel_scope.cancel()
        self.store.server.close()
        for upstream in self.upstreams.values():
            upstream.server.close()


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free for TCP and UDP and that no connection gets.

    Outgoing connections take ports from 32768 on by default.
    """
    for _ in range(PORT_TRIES):
        port = next(_ports)
        try:
            for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, socket_type) as free_socket:
                    free_socket.bind((host, port))
        except OSError:
            continue
        return port
    raise OSError("no free port")
