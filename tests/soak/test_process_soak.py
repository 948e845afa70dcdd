"""A seeded soak of real processes: what callers and servers see keeps the promises."""

from __future__ import annotations

import os
import random
import signal

import anyio
import attrs
import pytest
from conftest import CUSTOMER, SEAL, read_answer, request_bytes
from soak.process_fleet import ProcessFleet

from gentianfold.standins.site import make_configuration
from gentianfold.standins.upstream import Behaviour

pytestmark = pytest.mark.anyio
# A long run by hand sets the variable; CI plays the first two.
SEED_COUNT = int(os.environ.get("GENTIANFOLD_SOAK_SEEDS", "2"))
CALLER_COUNT = 12
REQUESTS_EACH = 12
CALLER_PATIENCE_S = 6.0
BEHAVIOURS = [Behaviour.WELL] * 8 + list(Behaviour)


@attrs.define(eq=False)
class Callers:
    """Use each connection to its end and keep what came back, by request."""

    fleet: ProcessFleet
    answers: dict = attrs.field(factory=dict)
    runs_once: set = attrs.field(factory=set)

    async def run(self, number, source):
        """Send requests to one VM after the other, on connections that stay open."""
        todo = [f"{number}-{index}" for index in range(REQUESTS_EACH)]
        while todo:
            vm = source.choice(self.fleet.vms)
            try:
                async with await anyio.connect_tcp(vm.host, vm.port) as stream:
                    while todo:
                        await self._exchange(stream, todo.pop(), source)
                        await anyio.sleep(source.uniform(0, 0.2))
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                await anyio.sleep(0.1)
            except TimeoutError:
                continue

    async def _exchange(self, stream, request_id, source):
        if source.random() < 0.4:
            data = request_bytes(request_id)
        else:
            self.runs_once.add(request_id)
            data = request_bytes(request_id, "/claim/1", "POST", b"body")
        await stream.send(data)
        with anyio.fail_after(CALLER_PATIENCE_S):
            status, headers, body, _ = await read_answer(stream)
        self.answers[request_id] = status, headers, body
        if headers.get("connection") == "close":
            raise anyio.EndOfStream

    def check(self):
        runs = {
            request_id: sum(
                row.ran[request_id.encode()] for row in self.fleet.upstreams
            )
            for request_id in self.answers.keys() | self.runs_once
        }
        for request_id in self.runs_once:
            assert runs[request_id] <= 1, f"{request_id} ran {runs[request_id]} times"
        for request_id, (status, headers, body) in self.answers.items():
            if status in (408, 421, 429, 503) and request_id in self.runs_once:
                assert runs[request_id] == 0, f"{request_id} ran and got {status}"
            if 200 <= status < 300:
                assert body == b"answer to " + request_id.encode(), request_id
                assert SEAL in headers, request_id
        for upstream in self.fleet.upstreams:
            for request in upstream.seen:
                assert b"authorization" not in request.headers
                assert request.headers[CUSTOMER.lower().encode()] == b"stall"


async def break_things(fleet, source, stop):
    """Cause faults of all kinds, one after the other and overlapping."""
    async with anyio.create_task_group() as tasks:
        while not stop.is_set():
            fault = source.choice(
                [harm_upstream, harm_path, harm_store, harm_store_path, harm_vm]
            )
            tasks.start_soon(fault, fleet, random.Random(source.random()))
            await anyio.sleep(source.uniform(0.02, 0.3))


async def harm_upstream(fleet, source):
    upstream = source.choice(fleet.upstreams)
    upstream.behaviour = source.choice(BEHAVIOURS)
    upstream.fault_share = source.choice([0.3, 0.9, 1.0])


async def harm_path(fleet, source):
    await harm_relay(source.choice(fleet.relays), source)


async def harm_store_path(fleet, source):
    count = source.choice([1, 1, len(fleet.vms)])
    async with anyio.create_task_group() as tasks:
        for vm in source.sample(fleet.vms, count):
            tasks.start_soon(harm_relay, vm.store_relay, source)


async def harm_relay(relay, source):
    kind = source.randrange(4)
    if kind == 0:
        relay.delay_s = source.uniform(0.01, 0.4)
    elif kind == 1:
        relay.drops = frozenset(source.choice([["caller"], ["target"]]))
    elif kind == 2:
        relay.reset_all()
    else:
        relay.silence_all()
    await anyio.sleep(source.uniform(0.2, 1.2))
    relay.heal()


async def harm_store(fleet, source):
    if source.random() < 0.3:
        fleet.store.forget_history()
        return
    fleet.store.status = source.choice([503, 429])
    await anyio.sleep(source.uniform(0.2, 1.5))
    fleet.store.status = 200


async def harm_vm(fleet, source):
    vm = source.choice(fleet.vms)
    if source.random() < 0.5:
        vm.signal(signal.SIGSTOP)
        await anyio.sleep(source.uniform(0.1, 1.5))
        vm.signal(signal.SIGCONT)
    else:
        await vm.restart(source.choice([signal.SIGTERM, signal.SIGKILL]))


async def wait_for_answers(fleet, wanted, name):
    """Wait until each VM gives the wanted status to a new request."""
    for vm in fleet.vms:
        status, number = 0, 0
        while status != wanted:
            number += 1
            try:
                with anyio.move_on_after(CALLER_PATIENCE_S):
                    status, *_ = await vm.call(
                        request_bytes(f"{name}-{vm.port}-{number}")
                    )
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                status = 0
            await anyio.sleep(0.05)


@pytest.mark.parametrize("seed", range(1, SEED_COUNT + 1))
async def test_promises_hold_for_processes_under_faults(seed, tmp_path):
    source = random.Random(seed)
    fleet = ProcessFleet(tmp_path)
    try:
        with anyio.fail_after(180):
            await fleet.open(upstream_count=6, vm_count=4)
            await wait_for_answers(fleet, 200, "before")
            callers, stop = Callers(fleet), anyio.Event()
            async with anyio.create_task_group() as faults:
                faults.start_soon(break_things, fleet, source, stop)
                async with anyio.create_task_group() as tasks:
                    for number in range(CALLER_COUNT):
                        tasks.start_soon(callers.run, number, random.Random(number))
                stop.set()
            for upstream in fleet.upstreams:
                upstream.behaviour = Behaviour.WELL
            for vm in fleet.vms:
                vm.signal(signal.SIGCONT)
            # Each part returns to service, and a key that is withdrawn ends everywhere.
            await wait_for_answers(fleet, 200, "after")
            without_keys = attrs.evolve(
                make_configuration(version=2), customer_by_key={}
            )
            fleet.store.put_configuration(without_keys)
            await wait_for_answers(fleet, 401, "withdrawn")
            callers.check()
    finally:
        fleet.close()
