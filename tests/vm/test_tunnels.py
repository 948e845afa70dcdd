"""VMs that are cut off from the upstreams reach them through other VMs."""

from __future__ import annotations

import socket

import anyio
import pytest
from conftest import (
    connect_caller,
    open_site,
    request_bytes,
    send_request,
    wait_until,
)

from gentianfold.forwarding.connection_pool import ConnectionPool
from gentianfold.forwarding.tunnel_server import (
    MAX_PREFACE_BYTES,
    SILENT_S,
    TunnelStatus,
    encode_preface,
)
from gentianfold.standins.site import make_configuration
from gentianfold.standins.upstream import Behaviour

pytestmark = pytest.mark.anyio


CUT_OFF = {}
"""Pools that open no connections to upstreams, and whether these are refused."""


@pytest.fixture(autouse=True)
def lose_paths(monkeypatch):
    open_direct, is_refused = ConnectionPool._open, ConnectionPool.is_refused

    async def open_other(pool, address, timeout_s):
        ports, refuses = CUT_OFF.get(id(pool), ((), True))
        if address[1] not in ports:
            return await open_direct(pool, address, timeout_s)
        await anyio.sleep(0.0 if refuses else timeout_s)
        pool.opened_count += 1
        return None

    async def is_refused_here(pool, address):
        _, refuses = CUT_OFF.get(id(pool), ((), False))
        return refuses or await is_refused(pool, address)

    monkeypatch.setattr(ConnectionPool, "_open", open_other)
    monkeypatch.setattr(ConnectionPool, "is_refused", is_refused_here)
    yield
    CUT_OFF.clear()


def cut_off(site, vm, refuses=True):
    """Let a VM open no further connections to upstreams."""
    ports = {upstream.server.port for upstream in site.upstreams.values()}
    CUT_OFF[id(vm.pool)] = (ports, refuses)


async def send_both_kinds(vm, prefix, count=6):
    statuses = []
    for number in range(count):
        is_claim = number % 2 == 0
        path, method = ("/claim/1", "POST") if is_claim else ("/search/1", "GET")
        data = request_bytes(f"{prefix}{number}", path, method, b"b" * is_claim)
        statuses.append((await send_request(vm, data))[0])
    return statuses


def total_runs(site, request_id):
    return sum(up.execution_counts[request_id] for up in site.upstreams.values())


@pytest.mark.parametrize("refuses", (True, False))
async def test_requests_at_a_vm_without_paths_reach_upstreams(refuses):
    # All of them were answered 503, as four upstreams in turn could not be connected.
    async with open_site(vms=3) as site:
        await wait_until(lambda: all(vm.is_member for vm in site.vms[1:]))
        cut_off(site, site.vms[1], refuses)
        statuses = await send_both_kinds(site.vms[1], "a", 12)
        assert statuses == [200] * 12
        assert [total_runs(site, b"a%d" % n) for n in range(12)] == [1] * 12
        assert site.vms[1]._node.paths.is_cut_off
        # Nothing is held against the upstreams.
        broker = site.vms[0]._node.scheduler
        assert not any(
            tracker.suspect_since_s or tracker.blocked_until_s
            for tracker in broker.trackers()
        )


async def test_a_long_answer_passes_a_tunnel_whole_and_counts_on_its_link():
    padding = bytes(range(256)) * 1200
    async with open_site(vms=2) as site:
        vm, other = site.vms[1], site.vms[0]
        await wait_until(lambda: vm.is_member)
        cut_off(site, vm)
        for upstream in site.upstreams.values():
            upstream.answer_padding = padding
        status, _, body, _ = await send_request(vm, request_bytes())
        assert (status, body) == (200, b"answer to r1" + padding)
        link = other.resources.link.schedule
        assert link.used_mbps(anyio.current_time()) > 0
        # The broker learns of the others' by their heartbeats.
        members = other._node.broker.member_table.members
        await wait_until(lambda: members["127.0.0.2"].link_used_mbps > 0)


async def test_the_broker_itself_uses_the_paths_of_its_members():
    async with open_site(vms=3) as site:
        await wait_until(lambda: all(vm.is_member for vm in site.vms[1:]))
        cut_off(site, site.vms[0])
        assert await send_both_kinds(site.vms[0], "a") == [200] * 6


async def test_a_vm_uses_its_own_paths_again_after_the_cut():
    async with open_site(vms=2) as site:
        vm = site.vms[1]
        await wait_until(lambda: vm.is_member)
        cut_off(site, vm)
        await send_both_kinds(vm, "a")
        assert vm._node.paths.is_cut_off
        CUT_OFF.clear()
        number = 0
        while vm._node.paths.is_cut_off:
            number += 1
            assert await send_both_kinds(vm, f"b{number}-", 2) == [200] * 2
            await anyio.sleep(0.05)


async def test_a_vm_is_refused_at_once_if_all_vms_are_cut_off():
    async with open_site(vms=2) as site:
        await wait_until(lambda: site.vms[1].is_member)
        for vm in site.vms:
            cut_off(site, vm)
            vm._node.paths.cut_off_since_s = 0.0
        for number in range(3):
            response = await send_request(site.vms[1], request_bytes(f"a{number}"))
            assert response[0] == 503
            assert float(response[1]["retry-after"]) > 0
        assert all(up.execution_counts == {} for up in site.upstreams.values())


async def test_a_request_runs_once_if_the_vm_on_its_way_ends():
    async with open_site(vms=2, upstreams=2) as site:
        vm, other = site.vms[1], site.vms[0]
        await wait_until(lambda: vm.is_member)
        cut_off(site, vm)
        assert (await send_both_kinds(vm, "a"))[-1] == 200
        for upstream in site.upstreams.values():
            upstream.processing_time_s = 0.5
        async with anyio.create_task_group() as tasks:
            statuses = []

            async def claim():
                data = request_bytes("once", "/claim/1", "POST", b"b")
                statuses.append((await send_request(vm, data))[0])

            tasks.start_soon(claim)
            await wait_until(lambda: total_runs(site, b"once") == 1)
            for tunnel in list(other.open_tunnels):
                tunnel.abort()
        assert statuses == [502]
        assert total_runs(site, b"once") == 1


async def test_a_response_that_ends_with_a_tunnel_is_not_complete():
    # A VM that is killed ends its connections as an upstream ends such a response.
    async with open_site(vms=2) as site:
        vm = site.vms[1]
        await wait_until(lambda: vm.is_member)
        cut_off(site, vm)
        for upstream in site.upstreams.values():
            upstream.behaviour = Behaviour.NO_CONTENT_LENGTH
        data = request_bytes("a", "/claim/1", "POST", b"b")
        assert (await send_request(vm, data))[0] == 502


@pytest.mark.parametrize("status", ["000", "600", "2 00", "204"])
async def test_what_is_no_answer_in_the_protocol_passes_no_tunnel(status):
    async with open_site(vms=2, upstreams=2) as site:
        vm = site.vms[1]
        await wait_until(lambda: vm.is_member)
        cut_off(site, vm)
        first, second = site.upstreams.values()
        first.status_line = f"HTTP/1.1 {status} X".encode()
        number = 0
        while not first.received_requests:
            number += 1
            assert (await send_request(vm, request_bytes(f"a{number}")))[0] == 200
        second.status_line = first.status_line
        data = request_bytes("once", "/claim/1", "POST", b"b")
        assert (await send_request(vm, data))[0] == 502
        assert total_runs(site, b"once") == 1


async def test_a_lost_path_is_no_evidence_of_a_crash():
    async with open_site(vms=2) as site:
        vm = site.vms[1]
        await wait_until(lambda: vm.is_member)
        cut_off(site, vm)
        for upstream in site.upstreams.values():
            upstream.behaviour = Behaviour.RESET
        for number in range(4):
            data = request_bytes(f"a{number}", "/claim/1", "POST", b"b")
            assert (await send_request(vm, data))[0] == 502
        assert vm._node.scheduler.crashes.is_empty


async def test_a_notice_binds_the_vm_through_which_it_came():
    async with open_site(vms=2) as site:
        vm, other = site.vms[1], site.vms[0]
        await wait_until(lambda: vm.is_member)
        cut_off(site, vm)
        for upstream in site.upstreams.values():
            upstream.behaviour, upstream.pause = Behaviour.SHED, b"30"
        await send_request(vm, request_bytes("a", "/claim/1", "POST", b"b"))
        told = [name for name, *_ in vm._node.notices.pauses.running(0.0)]
        await wait_until(
            lambda: (
                {name for name, *_ in other._node.notices.pauses.running(0.0)}
                >= set(told)
            )
        )
        assert told


async def test_a_stopping_vm_completes_the_requests_of_others():
    async with open_site(vms=3) as site:
        vm = site.vms[1]
        await wait_until(lambda: all(vm.is_member for vm in site.vms[1:]))
        cut_off(site, vm)
        await send_both_kinds(vm, "a")
        for upstream in site.upstreams.values():
            upstream.processing_time_s = 0.4
        async with anyio.create_task_group() as tasks:
            statuses = []

            async def claim(number):
                data = request_bytes(f"s{number}", "/claim/1", "POST", b"b")
                statuses.append((await send_request(vm, data))[0])

            for number in range(6):
                tasks.start_soon(claim, number)
            await wait_until(
                lambda: sum(len(other.open_tunnels) for other in site.vms) == 6
            )
            site.vms[2].stop_requested.set()
        assert statuses == [200] * 6


async def open_raw(site, vm, data):
    """Send bytes to the port for tunnels; return what comes back until the end."""
    port = vm.settings.fleet.port
    async with await anyio.connect_tcp(vm.settings.address, port) as stream:
        await stream.send(data)
        received = b""
        with anyio.move_on_after(3):
            try:
                while True:
                    received += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return received
    raise AssertionError("the connection was kept")


REFUSED = bytes((TunnelStatus.UNAVAILABLE,))


@pytest.mark.parametrize(
    "data",
    (
        b"GET /search/1 HTTP/1.1\r\n",
        b"\n",
        encode_preface(b"0" * 16, "u1", 1),
        encode_preface(b"", "u1", 1),
        b"zz 1 u1\n",
        b"00 " + b"9" * 400 + b" u1\n",
        "00 ² u1\n".encode(),
        b"0" * (MAX_PREFACE_BYTES + 1),
        request_bytes("a"),
    ),
)
async def test_a_caller_opens_no_tunnel(data):
    async with open_site(vms=2) as site:
        await wait_until(lambda: site.vms[1].is_member)
        assert await open_raw(site, site.vms[0], data) in (b"", REFUSED)
        assert not site.vms[0].open_tunnels
        assert all(not up.received_requests for up in site.upstreams.values())


async def test_a_token_opens_tunnels_of_its_vm_and_to_listed_upstreams_only():
    async with open_site(vms=2) as site:
        vm, other = site.vms
        await wait_until(lambda: other.is_member)
        now_s = anyio.current_time()
        token = vm._node.tunnels.give_token("127.0.0.2", now_s)
        assert await open_raw(site, vm, encode_preface(token, "u1", 1)) == REFUSED
        own = vm._node.tunnels.give_token("127.0.0.1", now_s)
        for upstream, start_time_ms in (("u9", 1), ("u1", 2)):
            preface = encode_preface(own, upstream, start_time_ms)
            assert await open_raw(site, vm, preface) == REFUSED
        vm._node.is_stopping = True
        assert await open_raw(site, vm, encode_preface(own, "u1", 1)) == REFUSED


async def test_callers_do_not_reach_the_port_for_tunnels_by_requests():
    async with open_site(vms=2) as site:
        await wait_until(lambda: site.vms[1].is_member)
        async with connect_caller(site.vms[0]) as stream:
            await stream.send(encode_preface(b"0" * 16, "u1", 1))
            assert b" 400 " in await stream.receive()


async def test_a_request_through_a_tunnel_counts_once_against_the_limit():
    async with open_site(
        vms=2, configuration=make_configuration(rate_per_s=4.0)
    ) as site:
        vm = site.vms[1]
        await wait_until(lambda: vm.is_member)
        await anyio.sleep(2.0)
        cut_off(site, vm)
        statuses = await send_both_kinds(vm, "a", 8)
        assert statuses[:4] == [200] * 4
        assert 429 in statuses
        assert sum(
            sum(up.execution_counts.values()) for up in site.upstreams.values()
        ) == (statuses.count(200))


async def test_a_tunnel_whose_opener_has_gone_silent_ends():
    # Its sockets and its memory stayed for a quarter of an hour.
    async with open_site(vms=2) as site:
        vm, other = site.vms[1], site.vms[0]
        await wait_until(lambda: vm.is_member)
        cut_off(site, vm)
        for upstream in site.upstreams.values():
            upstream.behaviour = Behaviour.HANG
        async with connect_caller(vm) as stream:
            await stream.send(request_bytes())
            await wait_until(lambda: other.open_tunnels)
            (tunnel,) = other.open_tunnels
            for transport in (tunnel._transport, tunnel._upstream.transport):
                sock = transport.get_extra_info("socket")
                limit_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
                assert limit_ms == SILENT_S * 1000
                assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
