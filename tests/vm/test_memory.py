"""Memory that requests claim is given back, however they end."""

from __future__ import annotations

import anyio
import pytest
from conftest import connect_caller, open_site, request_bytes, send_request, wait_until

from gentianfold.forwarding.memory_budget import Use
from gentianfold.standins.upstream import Behaviour

pytestmark = pytest.mark.anyio

BODY = bytes(300_000)


async def test_all_memory_is_given_back_however_requests_end():
    async with open_site() as site:
        vm = site.vms[0]
        memory = vm.resources.memory
        for number, behaviour in enumerate(Behaviour):
            if behaviour is Behaviour.HANG:
                continue
            for upstream in site.upstreams.values():
                upstream.behaviour = behaviour
            for path in ("/search/1", "/claim/1", "/nowhere/1"):
                data = request_bytes(f"r{number}", path, "POST", BODY)
                await send_request(vm, data)
        for upstream in site.upstreams.values():
            upstream.behaviour = Behaviour.HANG
        for path in ("/search/1", "/claim/1"):
            async with connect_caller(vm) as stream:
                # A caller that leaves while its requests are under way and being read.
                await stream.send(request_bytes("leaves", path, "POST", BODY) * 3)
                await stream.send(request_bytes("leaves", path, "POST", BODY)[:-1])
                await wait_until(lambda: memory.used_bytes > len(BODY))
        assert memory.peak_bytes > 3 * len(BODY)
        await wait_until(lambda: memory.used_bytes == 0)


async def test_a_refused_request_has_not_run_and_a_later_one_is_served():
    async with open_site() as site:
        vm = site.vms[0]
        memory = vm.resources.memory
        memory.add(int(memory.capacity_bytes * Use.ANSWER.value))
        data = request_bytes("r1", "/claim/1", "POST", b"small")
        status, headers, body, _ = await send_request(vm, data)
        assert status == 503 and b'"error":7036' in body
        assert float(headers["retry-after"]) > 0
        assert not any(row.execution_counts for row in site.upstreams.values())
        memory.release(int(memory.capacity_bytes * Use.ANSWER.value))
        with anyio.fail_after(30):
            status, *_ = await send_request(vm, data)
        assert status == 200
