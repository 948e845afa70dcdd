"""Availability zones that operators evacuate, on whole VMs."""

from __future__ import annotations

import json

import anyio
import pytest
from conftest import (
    open_site,
    read_response,
    request_bytes,
    send_request,
    wait_until,
)

from gentianfold.cli.status import format_states
from gentianfold.fleet.messages import HeartbeatReply
from gentianfold.fleet.node_evacuations import NodeEvacuations
from gentianfold.fleet.store_revision import StoreRevision
from gentianfold.fleet.transport import UdpTransport
from gentianfold.standins.upstream import Behaviour

pytestmark = pytest.mark.anyio

BEYOND = StoreRevision(9, 1)


async def send_many(site, count, prefix, vms=None):
    """Send idempotent and non-idempotent requests in turn; return their statuses."""
    vms = vms or site.vms
    statuses = []
    for number in range(count):
        path, method = ("/search/1", "GET") if number % 2 else ("/claim/1", "POST")
        body = b"b" if method == "POST" else b""
        data = request_bytes(f"{prefix}{number}", path, method, body)
        statuses.append((await send_request(vms[number % len(vms)], data))[0])
    return statuses


def received(site, *names):
    return sum(len(site.upstreams[name].received_requests) for name in names)


def is_evacuated(vm, zone="z2"):
    return vm.view.evacuations.is_evacuated(zone)


async def add_zone(site, zone="z2", names=("v1", "v2")):
    for name in names:
        await site.add_upstream(name, zone=zone)
    for vm in site.vms:
        await wait_until(lambda vm=vm: set(names) <= vm.view.upstreams.names())


async def evacuate(site, zone="z2"):
    site.store.put_evacuation(zone)
    for vm in site.vms:
        await wait_until(lambda vm=vm: is_evacuated(vm, zone))


async def test_an_evacuated_zone_gets_nothing_until_it_is_taken_back():
    async with open_site(upstreams=2, vms=3) as site:
        await wait_until(lambda: all(vm.is_member for vm in site.vms[1:]))
        await add_zone(site)
        await evacuate(site)
        count = received(site, "v1", "v2")
        assert await send_many(site, 60, "r") == [200] * 60
        assert received(site, "v1", "v2") == count
        site.store.take_back("z2")
        for vm in site.vms:
            await wait_until(lambda vm=vm: not is_evacuated(vm))
        number = 0
        while received(site, "v1", "v2") == count:
            number += 1
            await send_many(site, 10, f"b{number}-")


async def test_requests_that_run_in_an_evacuated_zone_end_there():
    async with open_site(upstreams=1) as site:
        site.upstreams["u1"].processing_time_s = 0.8
        statuses = []

        async def send():
            data = request_bytes("r1", "/claim/1", "POST", b"b")
            statuses.append((await send_request(site.vms[0], data))[0])

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await wait_until(lambda: received(site, "u1"))
            await evacuate(site, "z1")
        assert statuses == [200]


async def test_waiting_requests_are_refused_at_once_if_no_zone_is_left():
    # They waited for a slot until they could no longer meet their target.
    async with open_site(upstreams=1) as site:
        upstream = site.upstreams["u1"]
        upstream.slots, upstream.behaviour = 1, Behaviour.HANG
        site.store.put_upstream(upstream.store_entry(2))
        (vm,) = site.vms
        await wait_until(lambda: vm.view.routing.upstreams["u1"].slots == 1)
        answers = []

        async def send(number):
            data = request_bytes(f"r{number}", "/claim/1", "POST", b"b")
            answers.append(await send_request(vm, data))

        async with anyio.create_task_group() as tasks:
            for number in range(3):
                tasks.start_soon(send, number)
            scheduler = vm._node.scheduler
            await wait_until(lambda: scheduler.waiting_count)
            # A grant that is not used yet would be returned.
            await wait_until(lambda: received(site, "u1") == 1)
            waiting = scheduler.waiting_count
            vm._node.evacuations.replace({"z1": vm.view.upstreams.revision}, BEYOND)
            vm._node.advance()
            assert not scheduler.waiting_count
            await wait_until(lambda: len(answers) >= waiting)
            assert {status for status, *_ in answers} == {503}
            answer = await send_request(vm, request_bytes("r9"))
            assert answer[0] == 503
            assert received(site, "u1") == 1
            tasks.cancel_scope.cancel()


class Unaware(NodeEvacuations):
    """Never learns of an evacuation, as a VM of an older build."""

    def merge(self, vm, evacuations):
        pass

    def record_change(self, zone, revision, is_requested):
        pass


def make_unaware(vm):
    known = vm._node.evacuations
    vm._node.evacuations = Unaware(
        known.view, known.scheduler, known.apply_upstreams, known.now_s
    )


async def test_a_vm_refuses_grants_of_a_broker_that_is_behind():
    async with open_site(upstreams=1, vms=2) as site:
        broker, vm = site.vms
        await wait_until(lambda: vm.is_member)
        await add_zone(site)
        make_unaware(broker)
        site.store.put_evacuation("z2")
        vm._node.evacuations.replace({"z2": vm.view.upstreams.revision}, BEYOND)
        count = received(site, "v1", "v2")
        assert await send_many(site, 40, "r", [vm]) == [200] * 40
        assert received(site, "v1", "v2") == count
        assert not is_evacuated(broker)


async def test_a_vm_reads_evacuations_itself_behind_a_broker_of_an_older_build(
    monkeypatch,
):
    send = UdpTransport.send

    def send_as_older_build(transport, receiver, message):
        if isinstance(message, HeartbeatReply):
            fields = [getattr(message, name) for name in message.__struct_fields__]
            message = HeartbeatReply(*fields[:-1])
        send(transport, receiver, message)

    monkeypatch.setattr(UdpTransport, "send", send_as_older_build)
    async with open_site(upstreams=1, vms=2) as site:
        await wait_until(lambda: site.vms[1].is_member)
        await evacuate(site)


async def test_evacuations_outlast_the_broker_and_a_store_that_is_down():
    async with open_site(upstreams=2, vms=3) as site:
        await wait_until(lambda: all(vm.is_member for vm in site.vms[1:]))
        await add_zone(site)
        await evacuate(site)
        site.store.status = 503
        newcomer = await site.add_vm()
        await wait_until(lambda: is_evacuated(newcomer))
        site.vms[0].stop_requested.set()
        await wait_until(lambda: any(vm.is_broker for vm in site.vms[1:]))
        count = received(site, "v1", "v2")
        statuses = await send_many(site, 40, "r", site.vms[1:])
        assert set(statuses) <= {200, 503} and 200 in statuses
        assert received(site, "v1", "v2") == count


async def test_status_and_gauges_show_who_an_evacuation_waits_for():
    async with open_site(upstreams=2, vms=2) as site:
        broker, vm = site.vms
        await wait_until(lambda: vm.is_member)
        make_unaware(vm)
        site.store.put_evacuation("z1")
        await wait_until(lambda: is_evacuated(broker, "z1"))
        operators = broker.settings.operators
        bodies = {}
        for path in ("/status", "/metrics"):
            stream = await anyio.connect_tcp(operators.host, operators.port)
            async with stream:
                await stream.send(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
                bodies[path] = (await read_response(stream))[2]
        state = json.loads(bodies["/status"])
        (evacuation,) = state["evacuations"]
        assert evacuation["zone"] == "z1" and evacuation["requests_running"] == 0
        assert evacuation["waiting_vms"] == [vm.settings.address]
        assert {row["state"] for row in state["upstreams"]} == {"evacuated"}
        assert vm.settings.address in format_states([state])
        assert b"zones_evacuated 1" in bodies["/metrics"]
