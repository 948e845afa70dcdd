"""A whole site in one process: store, upstreams and VMs on loopback."""

from __future__ import annotations

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
    from anyio.abc import TaskGroup

HOST = "glove.example"
"""Host of all routes."""
KEY = "key-of-stall"
"""Key of the customer ``stall``."""


def make_route(
    name: str, service: str = "registry", idempotent: bool = True, retries: int = 1
) -> Route:
    """Return a route for the paths under its name."""
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
    """Return a configuration with a route that may be repeated and one that may not."""
    customer = Customer("stall", limit=RateLimit(rate_per_s, rate_per_s))
    return Configuration(
        version,
        (make_route("search"), make_route("claim", idempotent=False)),
        frozenset({"registry"}),
        {"stall": customer},
        {KEY: "stall"},
        CallerLimits(header_timeout_s=1.0),
    )


@attrs.define(eq=False)
class Site:
    """Stand-ins and VMs; closed with the task group."""

    tasks: TaskGroup
    """Runs the VMs."""
    store: StandinStore = attrs.field(factory=StandinStore)
    """The store."""
    upstreams: dict[str, StandinUpstream] = attrs.field(factory=dict)
    """Servers by name."""
    vms: list[VirtualMachine] = attrs.field(factory=list)
    """Running VMs."""
    fleet_port: int = 0
    """UDP port of all VMs."""
    operator_port: int = 0
    """TCP port of the operators' endpoint of all VMs."""

    async def open(self) -> None:
        """Open the store."""
        await self.store.server.open()
        self.fleet_port = _free_port(socket.SOCK_DGRAM)
        self.operator_port = _free_port(socket.SOCK_STREAM)

    async def add_upstream(
        self, name: str, service: str = "registry"
    ) -> StandinUpstream:
        """Start a server and register it."""
        upstream = StandinUpstream(name, service)
        await upstream.server.open()
        self.upstreams[name] = upstream
        self.store.put_upstream(upstream.entry())
        return upstream

    async def add_vm(self) -> VirtualMachine:
        """Start a VM and wait until it is ready."""
        address = f"127.0.0.{len(self.vms) + 1}"
        settings = Settings(
            vm=f"vm-{len(self.vms) + 1}",
            address=address,
            zone="z1",
            callers=Endpoint(address, _free_port(socket.SOCK_STREAM, address)),
            readiness=Endpoint(address, _free_port(socket.SOCK_STREAM, address)),
            operators=Endpoint(address, self.operator_port),
            store=StoreSettings(endpoint=Endpoint("127.0.0.1", self.store.server.port)),
            fleet=FleetSettings(
                port=self.fleet_port,
                seeds=(Endpoint("127.0.0.1", self.operator_port),),
            ),
            stop=ShutdownSettings(grace_s=6.0, settle_s=0.2),
        )
        vm = VirtualMachine(settings, LogWriter(), handles_signals=False)
        self.vms.append(vm)
        self.tasks.start_soon(vm.run)
        while vm.view.routing.upstreams_current_at_s is None:
            await anyio.sleep(0.01)
        return vm

    def close(self) -> None:
        """End the VMs and the stand-ins."""
        self.tasks.cancel_scope.cancel()
        self.store.server.close()
        for upstream in self.upstreams.values():
            upstream.server.close()


def _free_port(kind: int, host: str = "127.0.0.1") -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port
