"""Long answers through whole VMs are complete byte for byte, or visibly incomplete."""

from __future__ import annotations

import anyio
import attrs
import pytest
from conftest import (
    SEAL,
    connect_caller,
    open_site,
    read_response,
    request_bytes,
    send_request,
    wait_until,
)
from soak.narrow_link import connect_on_narrow_link

from gentianfold.fleet.node import Node
from gentianfold.forwarding import attempt
from gentianfold.forwarding.long_answer import HOLD_BYTES, MAX_PAUSE_S
from gentianfold.placement.outcome import Outcome
from gentianfold.standins.site import make_configuration
from gentianfold.standins.upstream import Behaviour

pytestmark = pytest.mark.anyio

PADDING = bytes(range(256)) * 2110
CALLER_TIME_S = 4.0
"""Time that the callers of ``request_bytes`` wait (seconds)."""


def patient_configuration():
    """Return a configuration whose deadlines a busy machine doesn't reach."""
    configuration = make_configuration()
    routes = [attrs.evolve(row, timeout_s=60.0) for row in configuration.routes]
    return attrs.evolve(configuration, routes=tuple(routes))


def patient_bytes(**options):
    """Return a request whose caller waits for a minute."""
    return request_bytes(**options).replace(b": 4000\r\n", b": 60000\r\n")


def pad_answers(site, padding=PADDING):
    for upstream in site.upstreams.values():
        upstream.answer_padding = padding


def run_counts(site):
    return [row.execution_counts.total() for row in site.upstreams.values()]


async def receive_until(stream, size):
    """Read bytes until there are ``size`` of them."""
    data = b""
    while len(data) < size:
        data += await stream.receive()
    return data


async def receive_to_end(stream, data):
    """Read bytes until the connection ends."""
    try:
        while True:
            data += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return data


@pytest.mark.parametrize("path", ["/search/1", "/claim/1"])
async def test_a_long_answer_is_complete_and_its_memory_is_given_back(path):
    async with open_site() as site:
        pad_answers(site)
        (vm,) = site.vms
        data = request_bytes(path=path, method="POST", body=b"b")
        status, headers, body, rest = await send_request(vm, data)
        assert (status, rest) == (200, b"") and body == b"answer to r1" + PADDING
        assert headers[SEAL].startswith("seal-u") and sum(run_counts(site)) == 1
        await wait_until(lambda: vm.resources.memory.used_bytes == 0)
        # It was held whole, and as much beside it.
        assert vm.resources.memory.peak_bytes < len(PADDING)


async def test_bytes_leave_before_the_last_one_has_come():
    async with (
        open_site(1, configuration=patient_configuration()) as site,
        connect_caller(site.vms[0]) as stream,
    ):
        pad_answers(site)
        upstream = site.upstreams["u1"]
        upstream.gate = anyio.Event()
        with anyio.fail_after(30):
            await stream.send(patient_bytes())
            data = await receive_until(stream, len(PADDING) // 2)
            assert upstream.slots_in_use
            await stream.send(patient_bytes())
            upstream.gate.set()
            for _ in range(2):
                status, _, body, data = await read_response(stream, data)
                assert (status, body) == (200, b"answer to r1" + PADDING)


async def test_a_caller_that_leaves_amid_an_answer_ends_it_at_the_upstream():
    # Also a request that runs once: its answer has come, so it has run.
    async with open_site(1, configuration=patient_configuration()) as site:
        pad_answers(site)
        (vm,) = site.vms
        upstream = site.upstreams["u1"]
        for path in ("/search/1", "/claim/1"):
            upstream.gate = anyio.Event()
            async with connect_caller(vm) as stream:
                await stream.send(patient_bytes(path=path, method="POST", body=b"b"))
                await receive_until(stream, HOLD_BYTES)
            await wait_until(lambda: not upstream.slots_in_use)
        await wait_until(lambda: vm.resources.memory.used_bytes == 0)
        counters = vm.metrics.counters
        assert counters["answers_cut", '{cause="caller"}'] == 2


async def test_no_request_behind_an_answer_that_breaks_off_is_lost():
    # Those behind it had run, or still ran, when their connection ended.
    async with open_site(1, configuration=patient_configuration()) as site:
        pad_answers(site)
        (vm,) = site.vms
        upstream = site.upstreams["u1"]
        upstream.gate = anyio.Event()
        async with connect_caller(vm) as stream:
            with anyio.fail_after(30):
                await stream.send(patient_bytes())
                data = await receive_until(stream, HOLD_BYTES)
                await stream.send(patient_bytes(request_id="behind"))
                await anyio.sleep(0.2)
                upstream.server.close()
                upstream.gate.set()
                await receive_to_end(stream, data)
        assert run_counts(site) == [1]


@pytest.mark.parametrize("path", ["/search/1", "/claim/1"])
async def test_an_answer_that_breaks_off_is_neither_whole_nor_tried_again(path):
    async with open_site(upstreams=2) as site, connect_caller(site.vms[0]) as stream:
        pad_answers(site)
        (vm,) = site.vms
        for upstream in site.upstreams.values():
            upstream.behaviour = Behaviour.TRUNCATED_RESPONSE
        with anyio.fail_after(30):
            await stream.send(request_bytes(path=path, method="POST", body=b"b"))
            data = await receive_to_end(stream, b"")
        head, _, body = data.partition(b"\r\n\r\n")
        whole = b"answer to r1" + PADDING
        assert b"content-length: %d" % len(whole) in head
        assert len(body) < len(whole) and whole.startswith(body)
        assert sum(run_counts(site)) == 1
        assert vm.metrics.counters["answers_broken_off", ""] == 1
        requests = [
            labels for name, labels in vm.metrics.counters if name == "requests"
        ]
        assert requests == ['{code="7037",outcome="5xx"}']


async def test_an_answer_that_is_held_whole_is_tried_again():
    async with open_site(upstreams=2) as site:
        pad_answers(site, bytes(HOLD_BYTES - 100))
        site.upstreams["u1"].behaviour = Behaviour.TRUNCATED_RESPONSE
        for number in range(4):
            status, _, body, _ = await send_request(
                site.vms[0], request_bytes(f"r{number}")
            )
            assert (status, len(body)) == (200, HOLD_BYTES - 100 + len("answer to r1"))


async def test_the_deadline_ends_an_answer_that_stands_still():
    async with open_site(upstreams=1) as site, connect_caller(site.vms[0]) as stream:
        pad_answers(site)
        site.upstreams["u1"].gate = anyio.Event()
        with anyio.fail_after(30):
            await stream.send(request_bytes())
            data = await receive_to_end(stream, b"")
        assert data.startswith(b"HTTP/1.1 200") and len(data) < len(PADDING)
        await wait_until(lambda: not site.upstreams["u1"].slots_in_use)


def record_released(monkeypatch):
    """Return a list that gets the outcome and the time (seconds) of each attempt."""
    released, release = [], Node.release

    def record(node, placement, outcome, elapsed_s, *rest):
        released.append((outcome, elapsed_s))
        release(node, placement, outcome, elapsed_s, *rest)

    monkeypatch.setattr(Node, "release", record)
    return released


async def test_an_upstream_that_hangs_amid_an_answer_to_a_slow_caller_has_failed(
    monkeypatch,
):
    # A pause at any time was taken as the cause of the missing rest.
    released = record_released(monkeypatch)
    async with open_site(1) as site:
        pad_answers(site, PADDING * 4)
        (vm,) = site.vms
        site.upstreams["u1"].gate = anyio.Event()
        endpoint = vm.settings.callers
        async with await connect_on_narrow_link(endpoint.host, endpoint.port) as stream:
            await stream.send(request_bytes())
            # It takes nothing for longer than its upstream is held back.
            await anyio.sleep(2 * MAX_PAUSE_S)
            with anyio.fail_after(30):
                await receive_to_end(stream, b"")
        await wait_until(lambda: released)
    ((outcome, elapsed_s),) = released
    assert outcome is Outcome.TIMED_OUT
    # The pause is not its time nevertheless.
    assert elapsed_s < CALLER_TIME_S - MAX_PAUSE_S


@pytest.mark.parametrize("path", ["/search/1", "/claim/1"])
async def test_an_upstream_that_a_full_vm_does_not_read_is_not_slow(path, monkeypatch):
    # It counted as timed out, and its elapsed time as that of the deadline.
    released = record_released(monkeypatch)
    monkeypatch.setattr(attempt, "may_pass_on", lambda *_: False)
    async with open_site(upstreams=1) as site, connect_caller(site.vms[0]) as stream:
        pad_answers(site)
        memory, upstream = site.vms[0].resources.memory, site.upstreams["u1"]
        upstream.gate = anyio.Event()
        with anyio.fail_after(30):
            data = request_bytes(path=path, method="POST", body=b"b")
            await stream.send(data.replace(b": 4000\r\n", b": 1500\r\n"))
            await wait_until(lambda: upstream.slots_in_use)
            memory.add(memory.capacity_bytes)
            upstream.gate.set()
            await wait_until(lambda: released)
        memory.release(memory.capacity_bytes)
    outcome, elapsed_s = released[0]
    assert outcome is Outcome.CANCELLED and elapsed_s < 1.0


async def test_the_first_byte_of_two_attempts_decides():
    # The first attempt is late and stands still, the second one answers.
    async with open_site(2, configuration=patient_configuration()) as site:
        pad_answers(site)
        first, second = site.upstreams.values()
        first.behaviour = second.behaviour = Behaviour.HANG
        async with connect_caller(site.vms[0]) as stream:
            await stream.send(patient_bytes())
            await wait_until(lambda: sum(run_counts(site)) == 1)
            late, other = sorted(
                (first, second), key=lambda row: -row.execution_counts.total()
            )
            other.behaviour, other.gate = Behaviour.NORMAL, anyio.Event()
            with anyio.fail_after(30):
                data = await receive_until(stream, HOLD_BYTES)
                await wait_until(lambda: not late.slots_in_use)
                other.gate.set()
                status, _, body, _ = await read_response(stream, data)
            assert (status, body) == (200, b"answer to r1" + PADDING)
        assert run_counts(site) == [1, 1]


async def test_no_second_attempt_begins_beside_an_answer_that_has_begun():
    async with open_site(upstreams=2) as site, connect_caller(site.vms[0]) as stream:
        pad_answers(site)
        for upstream in site.upstreams.values():
            upstream.gate = anyio.Event()
        with anyio.fail_after(30):
            await stream.send(request_bytes())
            await receive_to_end(stream, b"")
        assert sum(run_counts(site)) == 1


async def test_a_planned_stop_waits_for_the_rest_of_a_long_answer():
    async with open_site(1, configuration=patient_configuration()) as site:
        pad_answers(site, PADDING * 4)
        (vm,) = site.vms
        upstream = site.upstreams["u1"]
        upstream.gate = anyio.Event()
        endpoint = vm.settings.callers
        async with await connect_on_narrow_link(endpoint.host, endpoint.port) as stream:
            await stream.send(patient_bytes(path="/claim/1", method="POST", body=b"b"))
            data = await receive_until(stream, HOLD_BYTES)
            vm.stop_requested.set()
            await anyio.sleep(0.4)
            assert vm.caller_connections
            upstream.gate.set()
            with anyio.fail_after(30):
                status, _, body, _ = await read_response(stream, data)
            assert (status, body) == (200, b"answer to r1" + PADDING * 4)
        await wait_until(lambda: not vm.caller_connections)
