"""Upstreams that state in their responses that they leave or want a pause."""

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
from gentianfold.fleet.messages import ReleaseSlot
from gentianfold.fleet.transport import UdpTransport
from gentianfold.forwarding.header_names import HeaderNames
from gentianfold.forwarding.messages import Response
from gentianfold.forwarding.upstream_notice import MAX_PAUSE_S, NoticeReader
from gentianfold.model import UpstreamState
from gentianfold.standins.upstream import Behaviour

pytestmark = pytest.mark.anyio


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


def received(site, name):
    return len(site.upstreams[name].received_requests)


def is_leaving(vm, name="u1", start_time_ms=1):
    return vm.view.leaving.is_leaving(name, start_time_ms)


async def be_told(site, vm, name="u1"):
    """Let an upstream say that it leaves, and send until the VM was told."""
    site.upstreams[name].is_leaving = True
    number = 0
    while not is_leaving(vm, name):
        number += 1
        await send_many(site, 2, f"t{number}-", [vm])


async def test_an_upstream_that_says_that_it_leaves_gets_no_further_requests():
    # Only the store's entry ended its use, which may be late, wrong or missing.
    async with open_site(vms=2) as site:
        await wait_until(lambda: site.vms[1].is_member)
        site.store.status = 503
        await be_told(site, site.vms[1])
        count = received(site, "u1")
        assert await send_many(site, 40, "r", [site.vms[1]]) == [200] * 40
        assert received(site, "u1") == count


async def test_all_vms_learn_that_an_upstream_leaves():
    async with open_site(vms=3) as site:
        await wait_until(lambda: all(vm.is_member for vm in site.vms[1:]))
        await be_told(site, site.vms[2])
        for vm in site.vms:
            await wait_until(lambda vm=vm: is_leaving(vm))
        count = received(site, "u1")
        site.vms[0].stop_requested.set()
        await wait_until(lambda: any(vm.is_broker for vm in site.vms[1:]))
        assert await send_many(site, 30, "r", site.vms[1:]) == [200] * 30
        assert received(site, "u1") == count


async def test_an_entry_of_the_store_does_not_undo_what_an_upstream_said():
    async with open_site(vms=2) as site:
        vm = site.vms[1]
        await wait_until(lambda: vm.is_member)
        await be_told(site, vm)
        site.store.delete_upstream("u1")
        await wait_until(lambda: "u1" not in vm.view.upstreams.names())
        site.store.put_upstream(site.upstreams["u1"].store_entry(), sequence=9)
        await wait_until(lambda: "u1" in vm.view.upstreams.names())
        count = received(site, "u1")
        assert await send_many(site, 30, "r") == [200] * 30
        assert received(site, "u1") == count
        state = vm.view.routing.upstreams["u1"].state
        assert state is UpstreamState.DRAINING


async def test_a_new_start_of_a_leaving_upstream_is_used():
    async with open_site(upstreams=2, vms=2) as site:
        await wait_until(lambda: site.vms[1].is_member)
        await be_told(site, site.vms[1])
        site.upstreams["u1"].is_leaving = False
        site.store.put_upstream(site.upstreams["u1"].store_entry(2))
        count = received(site, "u1")
        number = 0
        while received(site, "u1") == count:
            number += 1
            await send_many(site, 2, f"n{number}-", [site.vms[1]])


async def test_idle_connections_to_a_leaving_upstream_are_closed():
    async with open_site(upstreams=1) as site:
        (vm,) = site.vms
        upstream = site.upstreams["u1"]
        assert await send_many(site, 4, "r") == [200] * 4
        upstream.is_leaving = True
        await send_many(site, 1, "s")
        await wait_until(lambda: not upstream.server.connections)
        assert not any(name == "u1" for _, name in vm.pool._idle)


async def test_a_request_granted_before_the_notice_is_placed_anew(monkeypatch):
    async with open_site(upstreams=2, vms=2) as site:
        vm = site.vms[1]
        await wait_until(lambda: vm.is_member)
        acquire = vm.pool.acquire

        async def acquire_and_be_told(address, name, *args, **kwargs):
            connection = await acquire(address, name, *args, **kwargs)
            if name.startswith("u") and not told:
                vm.view.leaving.record(name, 1, 0.0)
                told.append(name)
            return connection

        told = []
        monkeypatch.setattr(
            type(vm.pool),
            "acquire",
            lambda _, *args, **kw: acquire_and_be_told(*args, **kw),
        )
        assert (await send_request(vm, request_bytes("r1", "/claim/1", "POST", b"b")))[
            0
        ] == 200
        other = ({"u1", "u2"} - {told[0]}).pop()
        assert received(site, told[0]) == 0 and received(site, other) == 1


@pytest.mark.parametrize(
    ("value", "leaving"),
    [(b"1", True), (b" 1 ", True), (b"0", False), (b"", False), (b"true", False)],
)
def test_only_the_value_1_says_that_an_upstream_leaves(value, leaving):
    names = HeaderNames()
    reader = NoticeReader(names)
    response = Response(200, [(names.leaving, value)], b"")
    assert reader.read(response).is_leaving is leaving
    assert not reader.read(Response(200, [], b"")).is_leaving


async def test_the_answer_of_another_upstream_at_the_address_says_nothing():
    async with open_site(upstreams=2) as site:
        (vm,) = site.vms
        upstream = site.upstreams["u1"]
        upstream.name, upstream.is_leaving = "u9", True
        while not upstream.received_requests:
            await send_many(site, 2, f"r{received(site, 'u2')}-")
        assert not is_leaving(vm, "u1") and not is_leaving(vm, "u9")


def ask_for_pause(site, pause, *names):
    for name in names or site.upstreams:
        upstream = site.upstreams[name]
        upstream.behaviour, upstream.pause = Behaviour.SHED, pause


def pause_s(vm, name="u1"):
    tracker = vm._node.scheduler.tracker(name)
    return tracker.pause_s(vm.settings.address, vm._node._now_s())


async def be_told_to_pause(site, vm):
    ask_for_pause(site, b"300", "u1")
    number = 0
    while not pause_s(vm):
        number += 1
        await send_many(site, 2, f"p{number}-", [vm])
    site.upstreams["u1"].behaviour = Behaviour.NORMAL


async def test_an_upstream_that_wants_a_pause_gets_no_requests_of_the_vm():
    # A shed request made it count as full for a tenth of a second only.
    async with open_site(vms=3) as site:
        await wait_until(lambda: all(vm.is_member for vm in site.vms[1:]))
        told, other = site.vms[1:]
        await be_told_to_pause(site, told)
        count = received(site, "u1")
        assert await send_many(site, 40, "r", [told]) == [200] * 40
        assert received(site, "u1") == count
        number = 0
        while received(site, "u1") == count:
            number += 1
            assert await send_many(site, 2, f"o{number}-", [other]) == [200] * 2


async def test_a_pause_holds_though_the_broker_has_not_heard_of_it(monkeypatch):
    async with open_site(vms=2) as site:
        vm = site.vms[1]
        await wait_until(lambda: vm.is_member)
        send = UdpTransport.send

        def send_all_but_releases(transport, receiver, message):
            if transport is not vm._node.transport or not isinstance(
                message, ReleaseSlot
            ):
                send(transport, receiver, message)

        monkeypatch.setattr(UdpTransport, "send", send_all_but_releases)
        await be_told_to_pause(site, vm)
        count = received(site, "u1")
        await send_many(site, 20, "r", [vm])
        assert received(site, "u1") == count


async def test_a_new_broker_knows_which_vm_an_upstream_wants_nothing_of():
    async with open_site(vms=3) as site:
        await wait_until(lambda: all(vm.is_member for vm in site.vms[1:]))
        await be_told_to_pause(site, site.vms[2])
        site.vms[0].stop_requested.set()
        await wait_until(lambda: any(vm.is_broker for vm in site.vms[1:]))
        count = received(site, "u1")
        assert await send_many(site, 30, "r", [site.vms[2]]) == [200] * 30
        assert received(site, "u1") == count


async def test_requests_are_refused_at_once_if_all_upstreams_want_a_pause():
    async with open_site(upstreams=2, vms=2) as site:
        vm = site.vms[1]
        await wait_until(lambda: vm.is_member)
        ask_for_pause(site, b"240.5")
        number = 0
        while not (pause_s(vm, "u1") and pause_s(vm, "u2")):
            number += 1
            await send_many(site, 2, f"p{number}-", [vm])
        counts = received(site, "u1"), received(site, "u2")
        for path, method in (("/search/1", "GET"), ("/claim/1", "POST")):
            data = request_bytes(f"r-{method}", path, method)
            status, headers, *_ = await send_request(vm, data)
            assert status == 503 and 200 < float(headers["retry-after"]) <= 240.5
        assert (received(site, "u1"), received(site, "u2")) == counts


async def test_an_upstream_is_used_again_after_its_pause():
    async with open_site(upstreams=1) as site:
        (vm,) = site.vms
        ask_for_pause(site, b"0.4")
        await send_many(site, 1, "p")
        site.upstreams["u1"].behaviour = Behaviour.NORMAL
        await wait_until(lambda: not pause_s(vm))
        assert await send_many(site, 2, "r") == [200] * 2


@pytest.mark.parametrize(
    ("status", "values", "pause_s"),
    [
        (503, [b"2"], 2.0),
        (503, [b" 0.25 "], 0.25),
        (503, [b"0"], 0.0),
        (503, [b"1", b"3"], 3.0),
        (503, [b"1, 3"], 3.0),
        (503, [b"9" * 30], MAX_PAUSE_S),
        (503, [b"-1"], None),
        (503, [b"nan"], None),
        (503, [b"inf"], None),
        (503, [b"1e3"], None),
        (503, [b"9" * 40], None),
        (503, [b"Sat, 05 Dec 2026 07:28:00 GMT"], None),
        (503, [b""], None),
        (503, [b"soon", b"2"], 2.0),
        (503, [], None),
        (200, [b"2"], None),
        (500, [b"2"], None),
    ],
)
def test_pauses_are_read_from_responses_with_status_503(status, values, pause_s):
    headers = [(b"retry-after", value) for value in values]
    assert (
        NoticeReader(HeaderNames()).read(Response(status, headers, b"")).pause_s
        == pause_s
    )


async def test_status_and_gauges_show_leaving_and_pausing_upstreams():
    async with open_site(vms=2) as site:
        vm = site.vms[1]
        await wait_until(lambda: vm.is_member)
        await be_told(site, vm, "u2")
        await be_told_to_pause(site, vm)
        operators = vm.settings.operators
        bodies = {}
        for path in ("/status", "/metrics"):
            stream = await anyio.connect_tcp(operators.host, operators.port)
            async with stream:
                await stream.send(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
                bodies[path] = (await read_response(stream))[2]
        state = json.loads(bodies["/status"])
        rows = {row["name"]: row for row in state["upstreams"]}
        assert rows["u2"]["is_leaving"] and not rows["u1"]["is_leaving"]
        assert rows["u1"]["pause_s"] > 200 and not rows["u2"]["pause_s"]
        table = format_states([state])
        assert "LEAVING" in table and "PAUSE S" in table
        assert b"gentianfold_upstreams_leaving 1" in bodies["/metrics"]
        assert b"gentianfold_upstreams_pausing 1" in bodies["/metrics"]
