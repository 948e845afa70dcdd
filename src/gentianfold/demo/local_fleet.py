"""Starts and stops a local fleet on the loopback interface."""

from __future__ import annotations

import secrets
from contextlib import AsyncExitStack, asynccontextmanager
from itertools import chain, repeat
from typing import TYPE_CHECKING

import anyio
import attrs

from gentianfold.configuration.fleet import FleetOptions
from gentianfold.configuration.publication import publish_configuration
from gentianfold.configuration.vm_list import (
    VM_LIST_NAME,
    Vm,
    VmList,
    encode_vm_list,
)
from gentianfold.daemon.entry_vm import EntryVm
from gentianfold.demo.site import RULES, UPSTREAM_COUNTS, ZONES, key_records
from gentianfold.keys import new_key
from gentianfold.settings import DaemonLimits, PeerKeys, Secret, Settings
from gentianfold.standins.platform import StandinPlatform
from gentianfold.standins.platform_server import run_platform
from gentianfold.standins.upstream import UpstreamStandin

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import TaskGroup

READY_TIMEOUT_S = 20.0
"""Time for all VMs to become ready."""
POLL_S = 0.02
"""Time between two looks at readiness."""


@attrs.define(eq=False)
class LocalFleet:
    """A platform, upstreams and VMs in one process."""

    vm_count: int = 4
    """VMs to start."""
    platform: StandinPlatform = attrs.field(factory=StandinPlatform)
    """The stand-in platform."""
    upstreams: list[UpstreamStandin] = attrs.field(factory=list)
    """The stand-in upstreams."""
    vms: list[EntryVm] = attrs.field(factory=list)
    """The VMs, in the order of their names."""
    keys: dict[str, str] = attrs.field(
        factory=lambda: {"bus-drivers": new_key(), "market-stall": new_key()}
    )
    """Keys by customer."""
    version: int = 0
    """Version of the configuration published last."""
    vm_list_version: int = 0
    """Version of the VM list published last."""

    @asynccontextmanager
    async def running(self) -> AsyncIterator[LocalFleet]:
        """Run the fleet while the context is open."""
        async with AsyncExitStack() as stack:
            await self._start_upstreams(stack)
            tasks = await stack.enter_async_context(anyio.create_task_group())
            url = await tasks.start(run_platform, self.platform)
            self.publish()
            await self._start_vms(tasks, url)
            await self._wait_until_ready()
            yield self
            tasks.cancel_scope.cancel()

    def publish(self, rules: str = RULES) -> None:
        """Publish a new version of the configuration."""
        self.version += 1
        publish_configuration(
            self.platform.publish,
            version=self.version,
            rules_text=rules,
            upstreams=[server.upstream for server in self.upstreams],
            keys=key_records(self.keys),
            fleet=FleetOptions(clean_start=True),
        )

    async def _start_upstreams(self, stack: AsyncExitStack) -> None:
        services = chain.from_iterable(
            repeat(service, count) for service, count in UPSTREAM_COUNTS.items()
        )
        for index, service in enumerate(services):
            server = UpstreamStandin(
                f"{service}-{index + 1}",
                service=service,
                zone=ZONES[index % len(ZONES)],
                seed=index,
            )
            self.upstreams.append(await stack.enter_async_context(server))

    async def _start_vms(self, tasks: TaskGroup, platform_url: str) -> None:
        secret = Secret(secrets.token_urlsafe(32))
        self.vms = [
            EntryVm(self._settings(index, platform_url, secret))
            for index in range(self.vm_count)
        ]
        for vm in self.vms:
            await tasks.start(vm.run)
        self._publish_vm_list()

    def _settings(self, index: int, platform_url: str, secret: Secret) -> Settings:
        return Settings(
            vm=f"vm-{index + 1}",
            zone=ZONES[index % len(ZONES)],
            platform_urls=(platform_url,),
            caller_host="127.0.0.1",
            caller_port=0,
            operator_port=0,
            peer_host="127.0.0.1",
            peer_port=0,
            peer_keys=PeerKeys(fleet_secret=secret),
            limits=DaemonLimits(settle_s=0.1, stop_timeout_s=10.0),
        )

    def _publish_vm_list(self) -> None:
        listed = tuple(
            Vm(vm.settings.vm, "127.0.0.1", vm.peer_port, vm.settings.zone)
            for vm in self.vms
        )
        self.vm_list_version += 1
        vm_list = VmList(self.vm_list_version, listed)
        self.platform.publish(VM_LIST_NAME, encode_vm_list(vm_list))

    async def _wait_until_ready(self) -> None:
        with anyio.fail_after(READY_TIMEOUT_S):
            while any(vm.not_ready_reason() for vm in self.vms):
                await anyio.sleep(POLL_S)
