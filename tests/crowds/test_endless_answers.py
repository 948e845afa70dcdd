"""Upstreams that send bytes without end cost no process and no other request.

An operator lost VMs to a faulty server: the VM that called it kept what came until its
memory was used up, and the requests of all its callers ended with it. By hand, as long
and with as many callers as wished: ``ENDLESS_CALLERS=300 ENDLESS_S=60 ENDLESS_MB=200``.
"""

from __future__ import annotations

import os
import re

import anyio
import attrs
import pytest
from conftest import request_bytes
from crowds.endless_server import ANSWERS, EndlessServer
from crowds.test_crowds import (
    MEMORY_MB,
    ORDINARY_S,
    SLOTS,
    CrowdedVm,
    answer_ordinary_request,
    make_handler,
    try_request,
)
from soak.process_fleet import ProcessFleet

from gentianfold.platform.headers import HEADERS
from gentianfold.standins.site import make_configuration

pytestmark = pytest.mark.anyio

WAYS = tuple(filter(None, os.environ.get("ENDLESS_WAYS", "").split(","))) or tuple(
    ANSWERS
)
CALLERS = int(os.environ.get("ENDLESS_CALLERS", "100"))
RUN_S = float(os.environ.get("ENDLESS_S", "4"))
BOUND_MB = int(os.environ.get("ENDLESS_MB", str(MEMORY_MB)))
SERVERS = int(os.environ.get("ENDLESS_SERVERS", "4"))
LEAST_SENT_BYTES = 50_000_000
"""Bytes that the servers get rid of at least: far more than the VM's memory has room."""


def answer_headers(request):
    """Return the headers that make an answer belong to a request."""
    name = HEADERS.request_id
    found = re.search(rb"(?i)\r\n" + re.escape(name) + rb": ([^\r]*)", request)
    request_id = found[1] if found else b""
    return name + b": " + request_id + b"\r\n" + HEADERS.seal + b": seal\r\n"


async def call(address, number, reads):
    """Send requests in a row, and take the answers or leave them."""
    for row in range(1000):
        data = request_bytes(f"endless-{number}-{row}")
        try:
            async with await anyio.connect_tcp(*address) as stream:
                await stream.send(data)
                if not reads:
                    await anyio.sleep(5)
                with anyio.move_on_after(6):
                    await stream.receive()
                    while reads:
                        with anyio.fail_after(0.3):
                            await stream.receive()
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            await anyio.sleep(0.05)


@pytest.mark.parametrize("reads", [True, False])
async def test_a_vm_lives_beside_upstreams_that_answer_without_end(reads, tmp_path):
    extra_settings = {"machine": {"memory_mb": BOUND_MB}}
    configuration = make_configuration()
    routes = [
        attrs.evolve(route, service="faulty") if route.name == "search" else route
        for route in configuration.routes
    ]
    configuration = attrs.evolve(configuration, routes=tuple(routes))
    fleet = ProcessFleet(tmp_path, configuration, extra_settings)
    servers = [
        EndlessServer(WAYS, answer_headers=answer_headers) for _ in range(SERVERS)
    ]
    try:
        await fleet.open(upstream_count=1, vm_count=1)
        (vm,), (upstream,) = fleet.vms, fleet.upstreams
        upstream.server.handler = make_handler([], 1_000)
        await answer_ordinary_request(vm)
        for number, server in enumerate(servers):
            await server.open()
            entry = attrs.evolve(
                upstream.store_entry(),
                name=f"endless{number}",
                service="faulty",
                port=server.port,
                slots=SLOTS,
            )
            fleet.store.put_upstream(entry)
        with anyio.fail_after(ORDINARY_S):
            while not any(server.sent_bytes for server in servers):
                await try_request((vm.host, vm.port), request_bytes("first"))
        crowded = CrowdedVm(vm, vm.process.pid, [])
        async with anyio.create_task_group() as tasks:
            for number in range(CALLERS):
                tasks.start_soon(call, (vm.host, vm.port), number, reads)
            with anyio.move_on_after(RUN_S):
                while True:
                    await answer_ordinary_request(vm)
            await answer_ordinary_request(vm)
            crowded.check_memory(BOUND_MB)
            tasks.cancel_scope.cancel()
        sent_bytes = sum(server.sent_bytes for server in servers)
        print(f"sent_mb={sent_bytes / 1e6:.0f}")
        assert sent_bytes >= LEAST_SENT_BYTES
    finally:
        fleet.close()
        for server in servers:
            server.close()
