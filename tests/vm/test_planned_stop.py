"""A planned stop completes what runs, and ends when the answers have left."""

from __future__ import annotations

import itertools
import signal
import socket

import anyio
import attrs
import pytest
from conftest import (
    connect_caller,
    execution_count,
    execution_counts,
    open_site,
    read_response,
    request_bytes,
    send_request,
    wait_until,
)
from soak.narrow_link import connect_on_narrow_link
from soak.process_fleet import ProcessFleet
from soak.test_process_soak import wait_for_status

from gentianfold.standins.site import make_configuration

pytestmark = pytest.mark.anyio

ANSWER_BYTES = 6_000_000
GRACE_S = 12.0


async def receive_head(stream):
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive(512)
    return data


async def test_a_stopped_process_ends_after_its_answers_are_received(tmp_path):
    # All six answers were cut two seconds before the end of the grace period.
    fleet = ProcessFleet(tmp_path)
    try:
        with anyio.fail_after(60):
            await fleet.open(upstream_count=1, vm_count=1, grace_s=GRACE_S)
            await wait_for_status(fleet, 200, "before")
            fleet.upstreams[0].answer_padding = bytes(ANSWER_BYTES)
            (vm,) = fleet.vms
            async with await connect_on_narrow_link(vm.host, vm.port) as stream:
                await stream.send(request_bytes("r1", "/claim/1", "POST", b"b"))
                data = await receive_head(stream)
                vm.signal(signal.SIGTERM)
                # Longer than a stop takes without answers to send.
                await anyio.sleep(2)
                # Signals are handled to the end; by default both end a process.
                vm.signal(signal.SIGHUP)
                vm.signal(signal.SIGTERM)
                status, _, body, _ = await read_response(stream, data)
            assert (status, len(body)) == (200, ANSWER_BYTES + len(b"answer to r1"))
            await wait_until(lambda: vm.process.poll() is not None)
            assert vm.process.returncode == 0
    finally:
        fleet.close()


async def test_a_slow_reader_alone_holds_only_its_answer_until_the_grace_ends():
    async with open_site() as site:
        (vm,) = site.vms
        for upstream in site.upstreams.values():
            upstream.answer_padding = bytes(ANSWER_BYTES)
        endpoint = vm.settings.callers
        stream = await connect_on_narrow_link(endpoint.host, endpoint.port)
        async with stream:
            await stream.send(request_bytes("r1", "/claim/1", "POST", b"b"))
            await receive_head(stream)
            vm.stop_requested.set()
            await wait_until(lambda: is_free(vm.settings.address, site.fleet_port))
            # Upstreams notice the end of their connections a moment later.
            await wait_until(
                lambda: not any(u.server.connections for u in site.upstreams.values())
            )
            assert [row.unsent_count for row in vm.caller_connections] == [1]
            await wait_until(lambda: not vm.caller_connections)
            cut = [labels for name, labels in vm.metrics.counters if "cut" in name]
            assert cut == ['{cause="grace"}']
            received_bytes = 0
            with pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream)):
                while True:
                    received_bytes += len(await stream.receive())
            assert received_bytes < ANSWER_BYTES


def is_free(host, port):
    """Tell whether nothing uses a UDP port."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
        return True


async def test_a_planned_stop_completes_requests_in_progress():
    async with open_site() as site:
        for upstream in site.upstreams.values():
            upstream.processing_time_s = 0.5
        vm = site.vms[0]
        async with connect_caller(vm) as stream:
            data = request_bytes(path="/claim/1", method="POST", body=b"b")
            await stream.send(data)
            await wait_until(lambda: execution_count(site, "r1") == 1)
            vm.stop_requested.set()
            status, headers, *_ = await read_response(stream)
            assert status == 200 and headers["connection"] == "close"


async def test_a_stopping_vm_accepts_no_request_that_might_not_complete():
    # Guards against a request that arrives late in the stop (3.4 s after SIGTERM) and
    # is aborted when the process exits.
    async with open_site() as site:
        for upstream in site.upstreams.values():
            upstream.processing_time_s = 1.5
        vm = site.vms[0]
        async with connect_caller(vm) as stream, connect_caller(vm) as idle_stream:
            data = request_bytes(path="/claim/1", method="POST", body=b"b")
            await stream.send(data)
            await wait_until(lambda: execution_count(site, "r1") == 1)
            vm.stop_requested.set()
            await wait_until(lambda: not vm.accepts_callers)
            with pytest.raises(OSError):
                await send_request(vm, request_bytes("r2"))
            # Closing an idle connection makes its caller connect to another VM.
            with pytest.raises(anyio.EndOfStream):
                await read_response(idle_stream)
            assert (await read_response(stream))[0] == 200
        assert execution_count(site, "r2") == 0


async def test_a_caller_that_never_stops_to_pipeline_does_not_hold_a_planned_stop():
    async with open_site() as site:
        for upstream in site.upstreams.values():
            upstream.processing_time_s = 0.3
        (vm,) = site.vms
        async with connect_caller(vm) as stream, anyio.create_task_group() as tasks:

            async def send_all():
                for number in itertools.count():
                    await stream.send(request_bytes(f"r{number}"))
                    await anyio.sleep(0.05)

            tasks.start_soon(send_all)
            rest, is_open, statuses = b"", True, []
            with anyio.fail_after(30):
                while is_open:
                    status, headers, _, rest = await read_response(stream, rest)
                    statuses.append(status)
                    is_open = headers.get("connection") != "close"
                    vm.stop_requested.set()
            tasks.cancel_scope.cancel()
        answered = statuses.count(200)
        # Nothing is answered behind the first request that no upstream got.
        assert statuses[:-1] == [200] * (len(statuses) - 1)
        assert statuses[-1] in (200, 503)
        await wait_until(lambda: not vm.caller_connections)
        assert sum(map(execution_counts, site.upstreams.values())) == answered


async def test_a_request_that_waits_at_the_end_of_a_planned_stop_is_refused():
    # It was granted a slot late in the grace period and cut by the end of the process.
    configuration = make_configuration()
    routes = tuple(
        attrs.evolve(row, timeout_s=30.0, target_latency_s=10.0)
        for row in configuration.routes
    )
    configuration = attrs.evolve(configuration, routes=routes)
    async with open_site(upstreams=1, configuration=configuration) as site:
        (vm,) = site.vms
        upstream = site.upstreams["u1"]
        upstream.slots, upstream.processing_time_s = 1, 4.0
        site.store.put_upstream(upstream.store_entry(2))
        await wait_until(lambda: vm.view.routing.upstreams["u1"].slots == 1)
        first_data, second_data = (
            request_bytes(name, "/claim/1", "POST", b"b").replace(b"4000", b"20000", 1)
            for name in ("r1", "r2")
        )
        async with connect_caller(vm) as first, connect_caller(vm) as second:
            await first.send(first_data)
            await wait_until(lambda: execution_count(site, "r1") == 1)
            await second.send(second_data)
            await wait_until(lambda: vm._node.scheduler.waiting_count == 1)
            vm.stop_requested.set()
            with anyio.fail_after(30):
                status, headers, body, _ = await read_response(second)
            assert (status, headers["connection"]) == (503, "close")
            assert b"7033" in body and float(headers["retry-after"]) > 0
            assert (await read_response(first))[0] == 200
        assert execution_count(site, "r2") == 0
