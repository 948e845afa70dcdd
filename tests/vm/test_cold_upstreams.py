"""Upstreams that are cold, on whole VMs."""

from __future__ import annotations

import json

import anyio
import attrs
import pytest
from conftest import (
    open_site,
    read_response,
    request_bytes,
    send_request,
    wait_until,
)
from placement.model import make_request

from gentianfold.cli.status import format_states
from gentianfold.clock import ManualClock
from gentianfold.fleet.messages import (
    SlotGranted,
    SlotQueued,
    UpstreamCold,
    decode,
    encode,
)
from gentianfold.fleet.pending_request import PendingRequest
from gentianfold.forwarding.header_names import HeaderNames
from gentianfold.forwarding.messages import Response
from gentianfold.forwarding.upstream_notice import MAX_WARMUP_S, NoticeReader
from gentianfold.model import Warmup
from gentianfold.placement.slot_request import Refused
from gentianfold.placement.warmup_limiter import MAX_SEND_DELAY_S
from gentianfold.standins.site import make_configuration

pytestmark = pytest.mark.anyio


def configuration():
    return attrs.evolve(make_configuration(), warmups={"registry": Warmup(2.0, 60.0)})


def put_cold(site, name, warmup_s=60.0, sequence=2):
    entry = site.upstreams[name].store_entry()
    site.store.put_upstream(attrs.evolve(entry, warmup_remaining_s=warmup_s), sequence)


def is_cold(vm, name="u1"):
    tracker = vm._node.scheduler.tracker(name)
    return tracker is not None and tracker.is_cold(vm._node._now_s())


def received(site, name="u1"):
    return len(site.upstreams[name].received_requests)


async def test_a_cold_upstream_gets_its_rate_from_all_vms_together():
    # Each VM sent what its slots took.
    async with open_site(vms=3, configuration=configuration()) as site:
        await wait_until(lambda: all(vm.is_member for vm in site.vms[1:]))
        put_cold(site, "u1")
        for vm in site.vms:
            await wait_until(lambda vm=vm: is_cold(vm))
        count, started_s = received(site), anyio.current_time()
        for number in range(60):
            vm = site.vms[number % 3]
            assert (await send_request(vm, request_bytes(f"r{number}")))[0] == 200
        elapsed_s = anyio.current_time() - started_s
        assert received(site) - count <= 2.0 * elapsed_s + 2


async def test_a_vm_returns_a_grant_of_a_cold_upstream_that_is_old():
    async with open_site(upstreams=1, configuration=configuration()) as site:
        node = site.vms[0]._node
        identifier = node.next_slot_request_id()
        placement = await node.place(
            make_request(identifier, vm=node.vm, service="registry", idempotent=True)
        )
        assert not node.is_withdrawn(placement)
        old = attrs.evolve(
            placement, granted_at_s=placement.granted_at_s - MAX_SEND_DELAY_S - 0.5
        )
        assert not node.is_withdrawn(old)
        put_cold(site, "u1")
        await wait_until(lambda: is_cold(site.vms[0]))
        assert node.is_withdrawn(old)
        # Without a bound there is nothing that late grants could exceed.
        node.scheduler.warmups.warmups = {}
        assert is_cold(site.vms[0]) and not node.is_withdrawn(old)


async def place_while_suspended(site, monkeypatch, behind):
    """Place a request of a member that is suspended until after the broker's grant.

    Args:
        site: A site with one upstream and two VMs.
        monkeypatch: The fixture.
        behind: Messages that the member gets before the grant.
    """
    node = site.vms[1]._node
    clock = ManualClock(node.lease_clock.now_s())
    node.lease_clock = node.slots.clock = clock
    receive = node.receive

    def receive_late(vm, message):
        if isinstance(message, SlotGranted):
            clock.time_s += 2 * MAX_SEND_DELAY_S
            for kind in behind:
                receive(vm, kind(message.slot_request_id))
        receive(vm, message)

    monkeypatch.setattr(node.transport, "receive", receive_late)
    request = make_request(
        node.next_slot_request_id(),
        vm=node.vm,
        service="registry",
        idempotent=True,
        time_left_s=1.0,
        target_left_s=1.0,
    )
    return await node.place(request)


@pytest.mark.parametrize("behind", [(), (SlotQueued,)])
async def test_a_vm_returns_a_grant_that_waited_while_it_was_suspended(
    monkeypatch, behind
):
    # The age of a grant counted from its arrival, by a clock that stood still.
    async with open_site(upstreams=1, vms=2, configuration=configuration()) as site:
        await wait_until(lambda: site.vms[1].is_member)
        put_cold(site, "u1")
        for vm in site.vms:
            await wait_until(lambda vm=vm: is_cold(vm))
        broker = site.vms[0]._node
        await wait_until(
            lambda: broker.scheduler.tracker("u1").warmup.allows_request(
                broker._now_s()
            )
        )
        placed = await place_while_suspended(site, monkeypatch, behind)
        assert isinstance(placed, Refused)


def test_a_request_that_was_queued_may_have_been_granted_since_its_last_sending():
    pending = PendingRequest(make_request(1), None)
    pending.record_sent(10.0)
    assert pending.earliest_grant_s == 10.0
    pending.record_sent(10.3)
    pending.record_queued()
    assert pending.earliest_grant_s == 10.0
    pending.record_queued()
    assert pending.earliest_grant_s == 10.3


async def test_another_vm_can_state_no_longer_warm_up_than_an_upstream():
    async with open_site(upstreams=1, configuration=configuration()) as site:
        node = site.vms[0]._node
        tracker = node.scheduler.tracker("u1")
        start_time_ms = tracker.upstream.start_time_ms
        node.receive("127.0.0.9", UpstreamCold("u1", start_time_ms, 10**12))
        assert 0 < tracker.warmup.until_s - node._now_s() <= MAX_WARMUP_S


async def test_an_answer_that_says_so_makes_an_upstream_cold_for_the_fleet():
    async with open_site(upstreams=1, vms=2, configuration=configuration()) as site:
        broker, vm = site.vms
        await wait_until(lambda: vm.is_member)
        site.upstreams["u1"].warmup_ms = b"30000"
        assert (await send_request(vm, request_bytes("r1")))[0] == 200
        await wait_until(lambda: is_cold(broker) and is_cold(vm))


def test_builds_that_do_not_know_the_message_drop_it():
    message = UpstreamCold("u1", 5, 3000)
    assert decode(encode(message)) == message
    assert decode(encode(message).replace(b"\x94\x11", b"\x94\x5f")) is None


@pytest.mark.parametrize(
    ("value", "warmup_s"),
    [(b"2500", 2.5), (b" 40.5 ", 0.0405), (b"0", 0.0), (b"", 0.0), (b"-1", 0.0)]
    + [(b"nan", 0.0), (b"1e9", 0.0), (b"9" * 30, MAX_WARMUP_S), (b"9" * 99, 0.0)],
)
def test_a_warm_up_is_read_from_answers_in_milliseconds(value, warmup_s):
    names = HeaderNames()
    response = Response(200, [(names.warmup, value)], b"")
    assert NoticeReader(names).read(response).warmup_s == warmup_s


async def test_status_and_gauges_show_cold_upstreams():
    async with open_site(upstreams=2, configuration=configuration()) as site:
        (vm,) = site.vms
        put_cold(site, "u1")
        await wait_until(lambda: is_cold(vm))
        operators = vm.settings.operators
        bodies = {}
        for path in ("/status", "/metrics"):
            stream = await anyio.connect_tcp(operators.host, operators.port)
            async with stream:
                await stream.send(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
                bodies[path] = (await read_response(stream))[2]
        state = json.loads(bodies["/status"])
        rows = {row["name"]: row for row in state["upstreams"]}
        assert rows["u1"]["warmup_left_s"] > 50 and not rows["u2"]["warmup_left_s"]
        assert "COLD S" in format_states([state])
        assert b"upstreams_cold 1" in bodies["/metrics"]
