"""Seeded soak test: VM processes keep their delivery guarantees under faults."""

from __future__ import annotations

import os
import random
import signal

import anyio
import attrs
import pytest
from conftest import CUSTOMER, REQUEST_ID, SEAL, read_response, request_bytes
from soak.process_fleet import ProcessFleet

from gentianfold.standins.site import make_configuration
from gentianfold.standins.upstream import Behaviour

pytestmark = pytest.mark.anyio
# CI runs the first two seeds; the variable extends a manual run.
SEED_COUNT = int(os.environ.get("GENTIANFOLD_SOAK_SEEDS", "2"))
CALLER_COUNT = 12
REQUESTS_PER_CALLER = 12
CALLER_TIMEOUT_S = 6.0
MAX_BODY_BYTES = 512 << 10
BODY_SIZES = [4, 4, 4, 20_000, MAX_BODY_BYTES]
PADDING = bytes(range(256)) * 400
BEHAVIOURS = [Behaviour.NORMAL] * 8 + list(Behaviour)


def make_body(request_id, size):
    """Return a body that differs for each request."""
    return ((request_id.encode() + b" ") * size)[:size]


@attrs.define(eq=False)
class Callers:
    """Sends requests on reused connections and keeps the response of each request."""

    fleet: ProcessFleet
    padding: bytes = PADDING
    responses: dict = attrs.field(factory=dict)
    non_idempotent_ids: set = attrs.field(factory=set)
    bodies: dict = attrs.field(factory=dict)

    async def run(self, number, rng):
        """Send requests on persistent connections, each of them to a random VM."""
        remaining_ids = [f"{number}-{index}" for index in range(REQUESTS_PER_CALLER)]
        while remaining_ids:
            vm = rng.choice(self.fleet.vms)
            try:
                async with await anyio.connect_tcp(vm.host, vm.port) as stream:
                    while remaining_ids:
                        await self._exchange(stream, remaining_ids.pop(), rng)
                        await anyio.sleep(rng.uniform(0, 0.2))
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                await anyio.sleep(0.1)
            except TimeoutError:
                continue

    async def _exchange(self, stream, request_id, rng):
        if rng.random() < 0.4:
            data = request_bytes(request_id)
        else:
            self.non_idempotent_ids.add(request_id)
            body = make_body(request_id, rng.choice(BODY_SIZES))
            self.bodies[request_id] = body
            data = request_bytes(request_id, "/claim/1", "POST", body)
        await stream.send(data)
        with anyio.fail_after(CALLER_TIMEOUT_S):
            status, headers, body, _ = await read_response(stream)
        self.responses[request_id] = status, headers, body
        if headers.get("connection") == "close":
            raise anyio.EndOfStream

    def check(self):
        runs = {
            request_id: sum(
                row.execution_counts[request_id.encode()]
                for row in self.fleet.upstreams
            )
            for request_id in self.responses.keys() | self.non_idempotent_ids
        }
        for request_id in self.non_idempotent_ids:
            assert runs[request_id] <= 1, f"{request_id} ran {runs[request_id]} times"
        for request_id, (status, headers, body) in self.responses.items():
            if status in (408, 421, 429, 503) and request_id in self.non_idempotent_ids:
                assert runs[request_id] == 0, f"{request_id} ran and got {status}"
            if 200 <= status < 300:
                whole = b"answer to " + request_id.encode() + self.padding
                assert body == whole, request_id
                assert SEAL in headers, request_id
        for upstream in self.fleet.upstreams:
            for request in upstream.received_requests:
                assert b"authorization" not in request.headers
                assert request.headers[CUSTOMER.lower().encode()] == b"stall"
                request_id = request.headers[REQUEST_ID.lower().encode()].decode()
                assert request.body == self.bodies.get(request_id, b""), request_id


async def inject_faults(fleet, rng, stop):
    """Start random, possibly overlapping faults until ``stop`` is set."""
    async with anyio.create_task_group() as tasks:
        while not stop.is_set():
            fault = rng.choice(
                [
                    inject_upstream_fault,
                    inject_upstream_network_fault,
                    inject_store_fault,
                    inject_store_network_fault,
                    inject_vm_fault,
                ]
            )
            tasks.start_soon(fault, fleet, random.Random(rng.random()))
            await anyio.sleep(rng.uniform(0.02, 0.3))


async def inject_upstream_fault(fleet, rng):
    upstream = rng.choice(fleet.upstreams)
    upstream.behaviour = rng.choice(BEHAVIOURS)
    upstream.fault_probability = rng.choice([0.3, 0.9, 1.0])
    upstream.extra_headers = rng.choice([[], [(b"connection", b"close")]])


async def inject_upstream_network_fault(fleet, rng):
    await inject_relay_fault(rng.choice(fleet.relays), rng)


async def inject_store_network_fault(fleet, rng):
    count = rng.choice([1, 1, len(fleet.vms)])
    async with anyio.create_task_group() as tasks:
        for vm in rng.sample(fleet.vms, count):
            tasks.start_soon(inject_relay_fault, vm.store_relay, rng)


async def inject_relay_fault(relay, rng):
    kind = rng.randrange(4)
    if kind == 0:
        relay.delay_s = rng.uniform(0.01, 0.4)
    elif kind == 1:
        relay.drops = frozenset(rng.choice([["caller"], ["target"]]))
    elif kind == 2:
        relay.reset_all()
    else:
        relay.blackhole_all()
    await anyio.sleep(rng.uniform(0.2, 1.2))
    relay.clear_faults()


async def inject_store_fault(fleet, rng):
    if rng.random() < 0.3:
        fleet.store.compact_history()
        return
    fleet.store.status = rng.choice([503, 429])
    await anyio.sleep(rng.uniform(0.2, 1.5))
    fleet.store.status = 200


async def inject_vm_fault(fleet, rng):
    vm = rng.choice(fleet.vms)
    if rng.random() < 0.5:
        vm.signal(signal.SIGSTOP)
        await anyio.sleep(rng.uniform(0.1, 1.5))
        vm.signal(signal.SIGCONT)
    else:
        await vm.restart(rng.choice([signal.SIGTERM, signal.SIGKILL]))


async def wait_for_status(fleet, expected_status, id_prefix):
    """Wait until each VM responds to a new request with the expected status."""
    for vm in fleet.vms:
        status, number = 0, 0
        while status != expected_status:
            number += 1
            try:
                with anyio.move_on_after(CALLER_TIMEOUT_S):
                    status, *_ = await vm.send_request(
                        request_bytes(f"{id_prefix}-{vm.port}-{number}")
                    )
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                status = 0
            await anyio.sleep(0.05)


@pytest.mark.parametrize("seed", range(1, SEED_COUNT + 1))
async def test_guarantees_hold_for_processes_under_faults(seed, tmp_path):
    rng = random.Random(seed)
    configuration = make_configuration()
    limits = attrs.evolve(configuration.caller_limits, max_body_bytes=MAX_BODY_BYTES)
    configuration = attrs.evolve(configuration, caller_limits=limits)
    fleet = ProcessFleet(tmp_path, configuration)
    try:
        with anyio.fail_after(180):
            await fleet.open(upstream_count=6, vm_count=4)
            await wait_for_status(fleet, 200, "before")
            for upstream in fleet.upstreams:
                upstream.answer_padding = PADDING
            callers, stop = Callers(fleet), anyio.Event()
            async with anyio.create_task_group() as faults:
                faults.start_soon(inject_faults, fleet, rng, stop)
                async with anyio.create_task_group() as tasks:
                    for number in range(CALLER_COUNT):
                        tasks.start_soon(callers.run, number, random.Random(number))
                stop.set()
            for upstream in fleet.upstreams:
                upstream.behaviour = Behaviour.NORMAL
            for vm in fleet.vms:
                vm.signal(signal.SIGCONT)
            # All VMs must recover, and each must reject a key after its removal.
            await wait_for_status(fleet, 200, "after")
            without_keys = attrs.evolve(
                make_configuration(version=2), customer_by_key={}
            )
            fleet.store.put_configuration(without_keys)
            await wait_for_status(fleet, 401, "withdrawn")
            callers.check()
    finally:
        fleet.close()
