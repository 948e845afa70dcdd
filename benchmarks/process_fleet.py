"""Real daemons as processes on loopback, before stand-ins in this process."""

from __future__ import annotations

import json
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import attrs
import httpcore

from gentianfold.configuration.fleet import FleetOptions
from gentianfold.configuration.key_table import KeyRecord
from gentianfold.configuration.publication import publish_configuration
from gentianfold.configuration.vm_list import VM_LIST_NAME, Vm, VmList, encode_vm_list
from gentianfold.keys import digest_key, new_key
from gentianfold.model import Upstream
from gentianfold.standins.platform import StandinPlatform
from gentianfold.standins.platform_server import run_platform
from gentianfold.standins.upstream import UpstreamStandin

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

READY_TIMEOUT_S = 40.0
STOP_TIMEOUT_S = 20.0


def free_port() -> int:
    """Return a TCP port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@attrs.define(eq=False)
class VmProcess:
    """One daemon."""

    name: str
    zone: str
    caller_port: int
    operator_port: int
    peer_port: int
    settings: Path
    log: Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the daemon."""
        command = [sys.executable, "-m", "gentianfold.daemon.main"]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [*command, "--settings", str(self.settings)], stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the daemon."""
        assert self.process is not None
        self.process.send_signal(number)

    async def wait_ready(self) -> None:
        """Wait until readiness passes."""
        url = f"http://127.0.0.1:{self.operator_port}/ready"
        async with httpcore.AsyncConnectionPool() as pool:
            with anyio.fail_after(READY_TIMEOUT_S):
                while True:
                    try:
                        if (await pool.request("GET", url)).status == 200:
                            return
                    except httpcore.NetworkError:
                        pass
                    await anyio.sleep(0.05)

    async def status(self) -> dict[str, object]:
        """Return what the operator port shows."""
        url = f"http://127.0.0.1:{self.operator_port}/status"
        async with httpcore.AsyncConnectionPool() as pool:
            answer = await pool.request("GET", url)
        status: dict[str, object] = json.loads(answer.content)
        return status

    async def stop(self) -> int:
        """End the daemon by a planned stop, or by force after a while."""
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
        with anyio.move_on_after(STOP_TIMEOUT_S):
            while self.process.poll() is None:
                await anyio.sleep(0.05)
        if self.process.poll() is None:
            self.process.kill()
        return self.process.wait()


@attrs.define(eq=False)
class ProcessFleet:
    """A platform and upstreams here, VMs as processes."""

    vm_count: int
    rules: str
    customers: tuple[str, ...]
    zones: tuple[str, ...] = ("z1", "z2", "z3", "z4")
    upstreams: list[UpstreamStandin] = attrs.field(factory=list)
    remote_upstreams: list[Upstream] = attrs.field(factory=list)
    vms: list[VmProcess] = attrs.field(factory=list)
    platform: StandinPlatform = attrs.field(factory=StandinPlatform)
    keys: dict[str, str] = attrs.field(factory=dict)
    settle_s: float = 0.5
    decisions: bool = True
    version: int = 0
    list_version: int = 0

    @asynccontextmanager
    async def running(self) -> AsyncIterator[ProcessFleet]:
        """Run the fleet while the context is open."""
        self.keys = {name: new_key() for name in self.customers}
        async with AsyncExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            for server in self.upstreams:
                await stack.enter_async_context(server)
            tasks = await stack.enter_async_context(anyio.create_task_group())
            url = await tasks.start(run_platform, self.platform)
            secret = secrets.token_urlsafe(32)
            self.vms = [
                self._describe(index, folder, url, secret)
                for index in range(self.vm_count)
            ]
            self.publish()
            self.publish_vms()
            try:
                for vm in self.vms:
                    vm.start()
                for vm in self.vms:
                    await vm.wait_ready()
                yield self
            except TimeoutError:
                print(self.vms[0].log.read_text()[-2000:], file=sys.stderr)
                raise
            finally:
                with anyio.CancelScope(shield=True):
                    async with anyio.create_task_group() as stops:
                        for vm in self.vms:
                            if vm.process is not None:
                                stops.start_soon(vm.stop)
                tasks.cancel_scope.cancel()

    def publish(self) -> None:
        """Publish the configuration as it stands."""
        self.version += 1
        publish_configuration(
            self.platform.publish,
            version=self.version,
            rules_text=self.rules,
            upstreams=[
                *self.remote_upstreams,
                *(server.upstream for server in self.upstreams),
            ],
            keys=[KeyRecord(name, digest_key(key)) for name, key in self.keys.items()],
            fleet=FleetOptions(clean_start=True),
        )

    def publish_vms(self, without: str = "") -> None:
        """Publish the VM list, less one VM."""
        self.list_version += 1
        vms = tuple(
            Vm(vm.name, "127.0.0.1", vm.peer_port, vm.zone)
            for vm in self.vms
            if vm.name != without
        )
        self.platform.publish(
            VM_LIST_NAME, encode_vm_list(VmList(self.list_version, vms))
        )

    def _describe(self, index: int, folder: Path, url: str, secret: str) -> VmProcess:
        vm = VmProcess(
            f"vm-{index + 1}",
            self.zones[index % len(self.zones)],
            free_port(),
            free_port(),
            free_port(),
            folder / f"vm-{index + 1}.json",
            folder / f"vm-{index + 1}.log",
        )
        settings = {
            "vm": vm.name,
            "zone": vm.zone,
            "platform_urls": [url],
            "caller_host": "127.0.0.1",
            "caller_port": vm.caller_port,
            "operator_port": vm.operator_port,
            "peer_host": "127.0.0.1",
            "peer_port": vm.peer_port,
            "peer_keys": {"fleet_secret": secret},
            "limits": {"settle_s": self.settle_s, "stop_timeout_s": 10},
            "logging": {"decisions": self.decisions},
        }
        vm.settings.write_text(json.dumps(settings))
        return vm
