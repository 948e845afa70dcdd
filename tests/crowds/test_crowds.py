"""Crowds of clients that don't behave end no process and exceed no limit of the VM.

Each test starts a VM as a process with lowered limits and one upstream. Nothing here
depends on the speed of the machine: the process lives, peak memory and descriptors stay
under their bounds, and an ordinary request is answered while the crowd stays connected.
"""

from __future__ import annotations

import os
import random
import socket
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import anyio.lowlevel
import attrs
import pytest
from conftest import read_response, request_bytes
from crowds.clients import BODY_BYTES, HEAD_BYTES, WAYS, Crowd
from soak.process_fleet import ProcessFleet

from gentianfold.model import CallerLimits
from gentianfold.platform.headers import HEADERS
from gentianfold.standins.http_server import format_response
from gentianfold.standins.site import free_port, make_configuration

pytestmark = pytest.mark.anyio

MEMORY_MB = 64
"""``machine.memory_mb`` of the VM, at which its platform would end it. At rest it has
36 MB."""
MAX_FILES = 400
"""Descriptors that the process may open."""
MAX_OPEN_FILES = 300
"""Descriptors that it may have open: as many as a crowd that is refused in time needs."""
ANSWER_BYTES = 48_000
"""Size of the upstream's answers (bytes)."""
LONG_ANSWER_BYTES = 540_000
"""Size of answers that are passed on while they come (bytes): a crowd asks for up to
2 GB of them."""
SLOTS = 100
"""Requests that the upstream takes at a time, so that the VM is what bounds them."""
ORDINARY_S = 30.0
"""Time in which an ordinary request must be answered (seconds): no measure of speed."""

CALLER_WAYS = tuple(way for way in WAYS if way not in ("ahead-short", "prefaces"))
INTERNAL_WAYS = ("whole", "oversized-chunks", "trailers", "long-target", "fields")
INTERNAL_WAYS += ("ahead-short", "slow-heads", "halfway")
LONG_WAYS = ("ahead", "ahead-many", "slow-readers", "one-each", "one-each-slow")
TUNNEL_WAYS = ("whole", "long-target", "ahead-short", "prefaces", "halfway")


@attrs.define(eq=False)
class CrowdedVm:
    """A VM process, the requests that its upstream got and what was seen of it."""

    vm: object
    pid: int
    received_ids: list
    max_open_files: int = 0

    def door(self, name):
        """Return the address of a listener."""
        settings = self.vm.settings
        if name == "tunnels":
            return settings["address"], settings["fleet"]["port"]
        host, _, port = settings[name].rpartition(":")
        return host, int(port)

    async def watch_files(self):
        """Keep the largest number of open descriptors."""
        while True:
            count = len(os.listdir(f"/proc/{self.pid}/fd"))
            self.max_open_files = max(self.max_open_files, count)
            await anyio.sleep(0.05)

    def memory_kb(self, field):
        """Return a size in the status of the process (kilobytes of 1024)."""
        lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        line = next(line for line in lines if line.startswith(f"{field}:"))
        return int(line.split()[1])

    async def settle(self):
        """Wait until the process has taken in what the crowd sent."""
        size_kb, same_count = 0, 0
        with anyio.move_on_after(3):
            while same_count < 3:
                await anyio.sleep(0.1)
                last_kb, size_kb = size_kb, self.memory_kb("VmRSS")
                same_count = same_count + 1 if size_kb == last_kb else 0

    def check(self):
        """Check what must hold whatever a crowd sends."""
        self.check_memory(MEMORY_MB)
        assert self.max_open_files <= MAX_OPEN_FILES

    def check_memory(self, most_mb):
        """Check that the process lives and that its peak was within a bound."""
        assert self.vm.process.pid == self.pid and self.vm.process.poll() is None
        peak_mb = self.memory_kb("VmHWM") * 1024 / 1e6
        print(f"peak_mb={peak_mb:.1f} max_open_files={self.max_open_files}")
        assert peak_mb <= most_mb


@asynccontextmanager
async def open_vm(folder, answer_bytes=ANSWER_BYTES):
    """Start a VM with lowered limits and one upstream that answers."""
    configuration = attrs.evolve(
        make_configuration(),
        caller_limits=CallerLimits(HEAD_BYTES, BODY_BYTES, 3.0, 15.0),
    )
    extra_settings = {"metrics": f"127.0.0.1:{free_port()}"}
    extra_settings["machine"] = {"memory_mb": MEMORY_MB}
    fleet = ProcessFleet(folder, configuration, extra_settings, MAX_FILES)
    try:
        await fleet.open(upstream_count=1, vm_count=1)
        upstream, relay = fleet.upstreams[0], fleet.relays[0]
        received_ids = []
        upstream.server.handler = make_handler(received_ids, answer_bytes)
        upstream.slots = SLOTS
        entry = attrs.evolve(upstream.store_entry(), port=relay.port)
        fleet.store.put_upstream(entry)
        crowded = CrowdedVm(fleet.vms[0], fleet.vms[0].process.pid, received_ids)
        await answer_ordinary_request(fleet.vms[0])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(crowded.watch_files)
            yield crowded
            tasks.cancel_scope.cancel()
    finally:
        fleet.close()


def make_handler(received_ids, answer_bytes):
    """Return the handler of an upstream whose answers are long."""

    async def handle(request):
        request_id = request.headers.get(HEADERS.request_id, b"")
        received_ids.append(request_id.decode())
        headers = [(HEADERS.request_id, request_id), (HEADERS.seal, b"seal")]
        return format_response(200, headers, bytes(answer_bytes))

    return handle


async def answer_ordinary_request(vm):
    """Send a request until it is served, as a caller does that gets a refusal."""
    status, number = 0, 0
    with anyio.fail_after(ORDINARY_S):
        while status != 200:
            number += 1
            data = request_bytes(f"ordinary-{number}", "/claim/1", "POST", b"body")
            status = await try_request((vm.host, vm.port), data)
            await anyio.sleep(0.05)


async def answer_at_door(address):
    """Send a request to a listener until it is answered with 200."""
    with anyio.fail_after(ORDINARY_S):
        while await try_request(address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n") != 200:
            await anyio.sleep(0.05)


async def try_request(address, data):
    """Return the status of the answer; 0 if there is none."""
    try:
        with anyio.fail_after(5):
            async with await anyio.connect_tcp(*address) as stream:
                await stream.send(data)
                return (await read_response(stream))[0]
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
        return 0


async def endure(folder, door, path, way, answer_bytes=ANSWER_BYTES):
    """Send a crowd to a listener and check the VM while the crowd stays."""
    async with open_vm(folder, answer_bytes) as crowded:
        crowd = Crowd(crowded.door(door))
        try:
            await crowd.run(WAYS[way], path)
            await crowded.settle()
            await answer_ordinary_request(crowded.vm)
            if door not in ("callers", "tunnels"):
                await answer_at_door(crowded.door(door))
            crowded.check()
        finally:
            crowd.close()


@pytest.mark.parametrize("way", CALLER_WAYS)
async def test_crowd_at_a_route(way, tmp_path):
    await endure(tmp_path, "callers", "/search/1", way)


@pytest.mark.parametrize("way", CALLER_WAYS)
async def test_crowd_at_a_path_without_a_route(way, tmp_path):
    await endure(tmp_path, "callers", "/nowhere/1", way)


@pytest.mark.parametrize("way", LONG_WAYS)
async def test_crowd_that_takes_long_answers_slowly_or_not_at_all(way, tmp_path):
    await endure(tmp_path, "callers", "/search/1", way, LONG_ANSWER_BYTES)


@pytest.mark.parametrize("way", INTERNAL_WAYS)
@pytest.mark.parametrize("door", ["readiness", "operators", "metrics"])
async def test_crowd_at_an_internal_listener(door, way, tmp_path):
    await endure(tmp_path, door, "/metrics" if door == "metrics" else "/", way)


@pytest.mark.parametrize("way", TUNNEL_WAYS)
async def test_crowd_at_the_tunnel_listener(way, tmp_path):
    await endure(tmp_path, "tunnels", "/", way)


async def test_flood_of_datagrams(tmp_path):
    rng = random.Random(1)
    async with open_vm(tmp_path) as crowded:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for number in range(20_000):
                size = rng.choice((0, 1, 40, 1400, 60_000))
                nested = b"\x91" * size if number % 2 else rng.randbytes(size)
                sock.sendto(nested, crowded.door("tunnels"))
                if number % 100 == 0:
                    await anyio.lowlevel.checkpoint()
        await crowded.settle()
        await answer_ordinary_request(crowded.vm)
        crowded.check()


async def test_bodies_that_are_refused_have_not_run(tmp_path):
    statuses = {}

    async def send(crowded, request_id):
        data = request_bytes(request_id, "/claim/1", "POST", bytes(BODY_BYTES))
        address = crowded.vm.host, crowded.vm.port
        statuses[request_id] = await try_request(address, data)

    async with open_vm(tmp_path) as crowded:
        async with anyio.create_task_group() as tasks:
            for number in range(WAYS["whole"].client_count):
                tasks.start_soon(send, crowded, f"whole-{number}")
        await answer_ordinary_request(crowded.vm)
        crowded.check()
        received = set(crowded.received_ids)
        for request_id, status in statuses.items():
            assert status in (0, 200, 408, 503), status
            assert status in (0, 200) or request_id not in received


async def test_one_body_of_legal_size_is_served_in_calm(tmp_path):
    async with open_vm(tmp_path) as crowded:
        for number in range(3):
            data = request_bytes(f"n{number}", "/claim/1", "POST", bytes(BODY_BYTES))
            with anyio.fail_after(ORDINARY_S):
                status, *_ = await crowded.vm.send_request(data)
            assert status == 200
        crowded.check()
