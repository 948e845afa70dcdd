"""Starts and stops a local fleet on the loopback interface."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from itertools import chain, repeat
from typing import TYPE_CHECKING

import anyio
import attrs

from gentianfold.configuration.publication import publish_configuration
from gentianfold.daemon.entry_vm import EntryVm
from gentianfold.daemon.vm_options import VmOptions
from gentianfold.demo.site import RULES, UPSTREAM_COUNTS, ZONES, key_records
from gentianfold.keys import new_key
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
        self.vms = [
            EntryVm(
                VmOptions(
                    f"vm-{index + 1}",
                    ZONES[index % len(ZONES)],
                    platform_url,
                    settle_s=0.1,
                )
            )
            for index in range(self.vm_count)
        ]
        for vm in self.vms:
            await tasks.start(vm.run)

    async def _wait_until_ready(self) -> None:
        with anyio.fail_after(READY_TIMEOUT_S):
            while any(vm.not_ready_reason() for vm in self.vms):
                await anyio.sleep(POLL_S)
