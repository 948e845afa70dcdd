"""Seeded soak test: whole VMs keep their delivery guarantees under random faults."""

from __future__ import annotations

import itertools
import os
import random

import anyio
import attrs
import pytest
from conftest import SEAL, open_site, request_bytes, send_request, wait_until

from gentianfold.model import UpstreamState
from gentianfold.standins.upstream import Behaviour

pytestmark = pytest.mark.anyio
REQUEST_COUNT = 150
# CI runs the first three seeds; the variable extends a manual run.
SEED_COUNT = int(os.environ.get("GENTIANFOLD_SOAK_SEEDS", "3"))
BEHAVIOURS = [Behaviour.NORMAL] * 8 + list(Behaviour)


class Callers:
    """Sends requests and compares responses with the executions on upstreams."""

    def __init__(self, site, seed):
        self.site = site
        self.random = random.Random(seed)
        self.responses = {}
        self.unanswered_ids = []

    async def send(self, number, path="/search/1"):
        request_id = f"soak-{number}"
        idempotent = self.random.random() < 0.4
        vm = self.random.choice(self.site.vms)
        if idempotent:
            data = request_bytes(request_id, path)
        else:
            data = request_bytes(request_id, "/claim/1", "POST", b"body")
        try:
            status, headers, body, _ = await send_request(vm, data)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            # Closing the listener resets connections that wait to be accepted (seeds 16
            # and 50). Their requests were not read, so they must not be executed.
            self.unanswered_ids.append(request_id)
            return
        self.responses[request_id] = (idempotent, status, headers, body)

    def check(self):
        for request_id in self.unanswered_ids:
            ran = (
                row.execution_counts[request_id.encode()]
                for row in self.site.upstreams.values()
            )
            assert sum(ran) == 0, request_id
        for request_id, (idempotent, status, headers, body) in self.responses.items():
            key = request_id.encode()
            ran = sum(row.execution_counts[key] for row in self.site.upstreams.values())
            if not idempotent:
                assert ran <= 1, request_id
                assert not (status in (429, 503) and ran), (request_id, status)
            if 200 <= status < 300:
                assert body == b"answer to " + key
                assert SEAL in headers
            elif SEAL in headers:
                assert status == 500


async def inject_faults(site, rng, stop):
    """Inject random upstream and store faults until ``stop`` is set."""
    while not stop.is_set():
        kind = rng.random()
        upstream = rng.choice(list(site.upstreams.values()))
        if kind < 0.6:
            upstream.behaviour = rng.choice(BEHAVIOURS)
            upstream.fault_probability = rng.choice([0.3, 0.9, 1.0])
        elif kind < 0.7:
            site.store.status = rng.choice([200, 200, 503, 429])
        elif kind < 0.8:
            for connection in list(upstream.server.connections):
                connection.abort()
        elif kind < 0.9:
            site.store.put_upstream(
                upstream.store_entry(start_time_ms=rng.randrange(1, 9))
            )
        else:
            site.store.compact_history()
        await anyio.sleep(rng.uniform(0.005, 0.06))


@pytest.mark.parametrize("seed", range(1, SEED_COUNT + 1))
async def test_guarantees_hold_under_random_faults(seed):
    async with open_site(upstreams=6, vms=3) as site:
        for upstream in site.upstreams.values():
            upstream.processing_time_s = 0.01
        rng = random.Random(seed)
        callers, stop = Callers(site, seed), anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(inject_faults, site, rng, stop)
            async with anyio.create_task_group() as requests:
                for number in range(REQUEST_COUNT):
                    requests.start_soon(callers.send, number)
                    if number == REQUEST_COUNT // 2:
                        site.vms[0].stop_requested.set()
                    await anyio.sleep(rng.uniform(0, 0.02))
            stop.set()
        callers.check()
        assert len(callers.responses) >= REQUEST_COUNT // 2
        for upstream in site.upstreams.values():
            upstream.behaviour = Behaviour.NORMAL
        site.store.status = 200
        await wait_until(lambda: sum(vm.is_broker for vm in site.vms[1:]) >= 1)
        served = [
            (await send_request(site.vms[1 + n % 2], request_bytes(f"after-{n}")))[0]
            for n in range(30)
        ]
        assert served.count(200) >= 25


POISON = "/search/poison"
MAX_LATE_TRIES = 3
"""Tries of a request that has crashed three upstreams, by the users' rule (count)."""


@attrs.define
class Registration:
    """Start and writes of an upstream, as it registers itself in the store."""

    start: int = 1
    sequence: int = 1


class Platform:
    """Store that returns to copies, and upstreams that crash, leave or want pauses."""

    def __init__(self, site, rng):
        self.site = site
        self.random = rng
        self.copy = site.store.make_copy()
        self.registrations = {name: Registration() for name in site.upstreams}
        for upstream in site.upstreams.values():
            upstream.crash_target = POISON.encode()

    def register(self, name, is_draining=False):
        registration = self.registrations[name]
        registration.sequence += 1
        entry = self.site.upstreams[name].store_entry(registration.start)
        if is_draining:
            entry = attrs.evolve(entry, state=UpstreamState.DRAINING)
        self.site.store.put_upstream(entry, registration.sequence)

    async def start_again(self, name):
        upstream = self.site.upstreams[name]
        upstream.server.close()
        await upstream.server.open()
        upstream.is_leaving, upstream.behaviour = False, Behaviour.NORMAL
        self.registrations[name] = Registration(self.registrations[name].start + 1)
        self.register(name)

    def restore(self):
        self.site.store.restore(self.copy)
        for name in self.site.upstreams:
            self.register(name)

    async def inject_faults(self, stop):
        while not stop.is_set():
            name = self.random.choice(list(self.site.upstreams))
            upstream = self.site.upstreams[name]
            match self.random.randrange(7):
                case 0:
                    self.copy = self.site.store.make_copy()
                case 1:
                    self.restore()
                case 2:
                    upstream.is_leaving = True
                    self.register(name, is_draining=self.random.random() < 0.5)
                case 3:
                    upstream.behaviour = Behaviour.SHED
                    upstream.pause = self.random.choice([b"0.05", b"0.3", b"x", b""])
                case 4:
                    upstream.server.close()
                case _:
                    await self.start_again(name)
            for row in self.site.upstreams:
                if not self.site.upstreams[row].server.is_open:
                    await self.start_again(row)
            await anyio.sleep(self.random.uniform(0.01, 0.08))


@pytest.mark.parametrize("seed", range(1, SEED_COUNT + 1))
async def test_guarantees_hold_around_restored_stores_crashes_and_notices(seed):
    async with open_site(upstreams=6, vms=3) as site:
        for upstream in site.upstreams.values():
            upstream.processing_time_s = 0.01
        rng = random.Random(seed)
        platform, callers = Platform(site, rng), Callers(site, seed)
        stop = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(platform.inject_faults, stop)
            async with anyio.create_task_group() as requests:
                for number in range(REQUEST_COUNT):
                    path = POISON if rng.random() < 0.1 else "/search/1"
                    requests.start_soon(callers.send, number, path)
                    if number == REQUEST_COUNT // 2:
                        site.vms[0].stop_requested.set()
                    await anyio.sleep(rng.uniform(0, 0.02))
            stop.set()
        callers.check()
        assert len(callers.responses) >= REQUEST_COUNT // 2
        for name in site.upstreams:
            await platform.start_again(name)
        await wait_until(lambda: sum(vm.is_broker for vm in site.vms[1:]) >= 1)
        for vm in site.vms[1:]:
            await wait_until(lambda vm=vm: is_current(vm, platform))
        crashes = sum(row.crash_count for row in site.upstreams.values())
        for number in range(12):
            data = request_bytes(f"poison-{number}", POISON)
            await send_request(site.vms[1 + number % 2], data)
        late = sum(row.crash_count for row in site.upstreams.values()) - crashes
        assert late <= MAX_LATE_TRIES
        for name in site.upstreams:
            await platform.start_again(name)
        await wait_until(lambda: all(is_current(vm, platform) for vm in site.vms[1:]))
        # A request that only ran beside the cause may be blocked until its trial.
        await wait_until_served(site.vms[1:])
        served = [
            (await send_request(site.vms[1 + n % 2], request_bytes(f"after-{n}")))[0]
            for n in range(30)
        ]
        assert served.count(200) >= 25


async def wait_until_served(vms):
    """Send requests of both kinds to each VM until they are served."""
    numbers = itertools.count()
    kinds = (("/search/1", "GET", b""), ("/claim/1", "POST", b"body"))
    with anyio.fail_after(30):
        for vm, (path, method, body) in itertools.product(vms, kinds):
            status = 0
            while status != 200:
                data = request_bytes(f"again-{next(numbers)}", path, method, body)
                status = (await send_request(vm, data))[0]
                await anyio.sleep(0.05)


def is_current(vm, platform):
    """Tell whether a VM knows the present start of each upstream."""
    return all(
        name in vm.view.routing.upstreams
        and vm.view.routing.upstreams[name].start_time_ms == registration.start
        for name, registration in platform.registrations.items()
    )
