"""Seeded soak test: planned work loses no request that an upstream has run."""

from __future__ import annotations

import random
import signal

import anyio
import attrs
import pytest
from conftest import read_response, request_bytes
from soak.narrow_link import connect_on_narrow_link
from soak.process_fleet import ProcessFleet
from soak.test_process_soak import SEED_COUNT, wait_for_status

pytestmark = pytest.mark.anyio

CALLER_COUNT = 6
DEPTH = 3
PADDING = bytes(range(256)) * 4000
PAUSE_S = 0.01
ENDED = (OSError, anyio.EndOfStream, anyio.BrokenResourceError)


@attrs.define(eq=False)
class SlowCallers:
    """Pipeline idempotent requests, or send claims, and read slowly."""

    fleet: ProcessFleet
    stop: anyio.Event = attrs.field(factory=anyio.Event)
    unanswered: list = attrs.field(factory=list)
    answered_count: int = 0

    async def run(self, number, rng):
        round_number = 0
        while not self.stop.is_set():
            round_number += 1
            vm = rng.choice(self.fleet.vms)
            waiting = [f"{number}-{round_number}"]
            try:
                async with await connect_on_narrow_link(vm.host, vm.port) as stream:
                    while waiting and not self.stop.is_set():
                        await self.run_round(stream, waiting, rng)
                        round_number += 1
                        waiting.append(f"{number}-{round_number}")
                    waiting.clear()
            except ENDED:
                self.unanswered += waiting
                await anyio.sleep(0.1)

    async def run_round(self, stream, waiting, rng):
        """Send requests and read their answers; those without remain in ``waiting``."""
        if rng.random() < 0.3:
            data = request_bytes(waiting[0], "/claim/1", "POST", b"b")
        else:
            waiting[:] = [f"{waiting[0]}-{depth}" for depth in range(DEPTH)]
            data = b"".join(map(request_bytes, waiting))
        await stream.send(data)
        rest = b""
        while waiting:
            slow = SlowStream(stream)
            status, headers, body, rest = await read_response(slow, rest)
            name = waiting.pop(0)
            if status == 200:
                assert body == b"answer to " + name.encode() + PADDING
            self.answered_count += 1
            if headers.get("connection") == "close":
                raise anyio.EndOfStream


@attrs.define
class SlowStream:
    stream: object

    async def receive(self):
        await anyio.sleep(PAUSE_S)
        return await self.stream.receive(16_384)


@pytest.mark.parametrize("seed", range(1, SEED_COUNT + 1))
async def test_planned_work_loses_no_request_that_ran(seed, tmp_path):
    fleet = ProcessFleet(tmp_path)
    try:
        with anyio.fail_after(180):
            await fleet.open(upstream_count=4, vm_count=3, grace_s=20.0)
            await wait_for_status(fleet, 200, "before")
            for number, upstream in enumerate(fleet.upstreams):
                upstream.answer_padding = PADDING
                upstream.processing_time_s = 0.05 * number
            for upstream in fleet.upstreams[:2]:
                upstream.extra_headers = [(b"connection", b"close")]
            callers = SlowCallers(fleet)
            async with anyio.create_task_group() as tasks:
                for number in range(CALLER_COUNT):
                    rng = random.Random(seed * 100 + number)
                    tasks.start_soon(callers.run, number, rng)
                for vm in fleet.vms:
                    await anyio.sleep(1)
                    vm.signal(signal.SIGHUP)
                    await vm.restart(signal.SIGTERM)
                callers.stop.set()
            lost = [
                name
                for name in callers.unanswered
                if any(up.execution_counts[name.encode()] for up in fleet.upstreams)
            ]
            assert lost == [] and callers.answered_count > 0
    finally:
        fleet.close()
