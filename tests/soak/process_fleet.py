"""Fleet of VM processes whose upstreams and store are stand-ins behind relays."""

from __future__ import annotations

import json
import os
import resource
import signal
import subprocess
import sys

import anyio
import attrs
from conftest import read_response
from soak.relay import Relay

from gentianfold.standins.site import free_port, make_configuration
from gentianfold.standins.store import StandinStore
from gentianfold.standins.upstream import StandinUpstream


@attrs.define(eq=False)
class VmProcess:
    """One VM process with its settings file, log file and store relay.

    ``max_files`` is the limit on its open descriptors; 0 for that of the tests.
    ``source`` is the path of another build that it runs; empty for this one.
    """

    settings_path: str
    log_path: str
    host: str
    port: int
    store_relay: Relay
    settings: dict
    max_files: int = 0
    source: str = ""
    process: subprocess.Popen | None = None
    _restarting: anyio.Lock = attrs.field(factory=anyio.Lock)

    def start(self):
        environment = {**os.environ, "GENTIANFOLD_SETTINGS": self.settings_path}
        if self.source:
            environment["PYTHONPATH"] = self.source
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gentianfold.vm"],
                env=environment,
                stdout=log,
                stderr=log,
            )
        if self.max_files:
            limits = self.max_files, self.max_files
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, limits)

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def restart(self, number):
        """Terminate the process with a signal and start it again."""
        async with self._restarting:
            self.signal(signal.SIGCONT)
            self.signal(number)
            while self.process.poll() is None:
                await anyio.sleep(0.01)
                # A concurrent SIGSTOP would suspend the planned stop indefinitely.
                self.signal(signal.SIGCONT)
            self.start()

    async def send_request(self, data):
        """Send a request on a new connection and return the response."""
        async with await anyio.connect_tcp(self.host, self.port) as stream:
            await stream.send(data)
            return await read_response(stream)


@attrs.define(eq=False)
class ProcessFleet:
    """Store, upstreams and VM processes.

    All connections from VMs to the store and to upstreams pass through relays.
    ``extra_settings`` are added to the settings of each VM; ``source`` is the path of
    another build that all VMs run at first.
    """

    folder: object
    configuration: object = attrs.field(factory=make_configuration)
    extra_settings: dict = attrs.field(factory=dict)
    max_files: int = 0
    store: StandinStore = attrs.field(factory=StandinStore)
    upstreams: list = attrs.field(factory=list)
    relays: list = attrs.field(factory=list)
    vms: list = attrs.field(factory=list)
    grace_s: float = 3.0
    source: str = ""

    async def open(self, upstream_count, vm_count, grace_s=3.0):
        self.grace_s = grace_s
        await self.store.server.open()
        self.store.put_configuration(self.configuration)
        for number in range(upstream_count):
            await self._add_upstream(f"u{number}")
        fleet_port = free_port("127.0.0.1")
        operator_port = free_port("127.0.0.1")
        for number in range(1, vm_count + 1):
            await self._add_vm(number, fleet_port, operator_port)

    def close(self):
        for vm in self.vms:
            vm.signal(signal.SIGCONT)
            vm.signal(signal.SIGKILL)
            vm.process.wait()
            vm.store_relay.close()
        for relay in self.relays:
            relay.close()
        for upstream in self.upstreams:
            upstream.server.close()
        self.store.server.close()

    async def _add_upstream(self, name):
        upstream = StandinUpstream(name, "registry", processing_time_s=0.02)
        await upstream.server.open()
        relay = Relay("127.0.0.1", upstream.server.port)
        await relay.open()
        self.upstreams.append(upstream)
        self.relays.append(relay)
        self.store.put_upstream(attrs.evolve(upstream.store_entry(), port=relay.port))

    async def _add_vm(self, number, fleet_port, operator_port):
        relay = Relay("127.0.0.1", self.store.server.port)
        await relay.open()
        host = f"127.0.0.{number}"
        port = free_port(host)
        settings = {
            "vm": f"vm-{number}",
            "address": host,
            "zone": "z1",
            "callers": f"{host}:{port}",
            "readiness": f"{host}:{free_port(host)}",
            "operators": f"{host}:{operator_port}",
            "store": {"endpoint": f"127.0.0.1:{relay.port}"},
            "fleet": {"port": fleet_port, "seeds": [f"127.0.0.1:{operator_port}"]},
            "stop": {"grace_s": self.grace_s, "settle_s": 0.3},
            **self.extra_settings,
        }
        path = self.folder / f"vm-{number}.json"
        path.write_text(json.dumps(settings))
        log_path = self.folder / f"vm-{number}.log"
        vm = VmProcess(
            str(path),
            str(log_path),
            host,
            port,
            relay,
            settings,
            self.max_files,
            self.source,
        )
        self.vms.append(vm)
        vm.start()
