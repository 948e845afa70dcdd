"""Requests under which upstreams crash, and innocent ones beside them."""

from __future__ import annotations

import anyio
import attrs
import pytest
from conftest import open_site, request_bytes, send_request, wait_until

from gentianfold.placement import crash_table
from gentianfold.standins.site import make_configuration
from gentianfold.standins.upstream import Behaviour

pytestmark = pytest.mark.anyio

TARGET = "/search/poison"


@pytest.fixture(autouse=True)
def late_trials(monkeypatch):
    """Keep trials out of tests that are not about them."""
    monkeypatch.setattr(crash_table, "FIRST_TRIAL_DELAY_S", 600.0)


def crash_under(site, target):
    for upstream in site.upstreams.values():
        upstream.crash_target = target.encode()


def crash_count(site):
    return sum(upstream.crash_count for upstream in site.upstreams.values())


def blocked_count(vm):
    return sum(1 for _ in vm._node.scheduler.crashes.blocked())


async def start_crashed(site):
    """Start the crashed upstreams again, which they register."""
    for number, upstream in enumerate(site.upstreams.values()):
        if not upstream.server.is_open:
            await upstream.server.open()
            site.store.put_upstream(upstream.store_entry(100 + number))


async def wait_until_members(site):
    await wait_until(lambda: all(vm.is_member for vm in site.vms[1:]))


async def block(site):
    """Send the request that crashes upstreams until the whole fleet has blocked it."""
    await wait_until_members(site)
    crash_under(site, TARGET)
    assert (await send_request(site.vms[-1], request_bytes("p0", TARGET)))[0] == 502
    for vm in site.vms:
        await wait_until(lambda vm=vm: blocked_count(vm) == 1)
    assert crash_count(site) == 2
    await start_crashed(site)


async def test_a_request_that_crashes_upstreams_is_blocked_on_all_vms():
    # Each try took two upstreams with it, at any VM, for as long as it came.
    async with open_site(upstreams=6, vms=3) as site:
        await wait_until_members(site)
        crash_under(site, TARGET)
        for number in range(6):
            vm = site.vms[number % 3]
            await send_request(vm, request_bytes(f"p{number}", TARGET))
            await start_crashed(site)
            await anyio.sleep(0.2)
        assert crash_count(site) == 2
        response = await send_request(site.vms[0], request_bytes("p9", TARGET))
        assert response[0] == 503 and float(response[1]["retry-after"]) > 0


async def test_other_requests_are_served_beside_a_blocked_one():
    async with open_site(upstreams=4, vms=2) as site:
        await block(site)
        for number in range(10):
            request = request_bytes(f"r{number}", f"/search/{number}")
            assert (await send_request(site.vms[number % 2], request))[0] == 200


async def test_a_request_in_flight_on_several_crashing_upstreams_is_still_served():
    # A popular request runs everywhere when many upstreams crash at once.
    async with open_site(upstreams=5, vms=2) as site:
        await wait_until_members(site)
        for upstream in site.upstreams.values():
            upstream.processing_time_s = 0.2
            upstream.slots = 1
        statuses = []

        async def send(number):
            request = request_bytes(f"r{number}", "/search/popular")
            statuses.append((await send_request(site.vms[number % 2], request))[0])

        async with anyio.create_task_group() as tasks:
            for number in range(5):
                tasks.start_soon(send, number)
            rows = list(site.upstreams.values())
            await wait_until(lambda: sum(row.slots_in_use for row in rows) >= 4)
            for row in [row for row in rows if row.slots_in_use][:3]:
                row.crash()
        await start_crashed(site)
        assert all(blocked_count(vm) == 0 for vm in site.vms)
        for number in range(10, 16):
            await send(number)
        assert statuses[5:] == [200] * 6
        assert statuses.count(200) >= 8


async def test_connections_reset_by_living_upstreams_do_not_block_a_request():
    async with open_site(upstreams=3) as site:
        for upstream in site.upstreams.values():
            upstream.behaviour = Behaviour.RESET
        for number in range(4):
            await send_request(site.vms[0], request_bytes(f"r{number}"))
        assert site.vms[0]._node.scheduler.crashes.is_empty
        for upstream in site.upstreams.values():
            upstream.behaviour = Behaviour.NORMAL
        await wait_until(
            lambda: all(
                not row.trials_in_use for row in site.vms[0]._node.scheduler.trackers()
            )
        )
        assert (await send_request(site.vms[0], request_bytes("r9")))[0] == 200


async def test_a_request_that_has_become_harmless_is_served_again(monkeypatch):
    monkeypatch.setattr(crash_table, "FIRST_TRIAL_DELAY_S", 0.8)
    async with open_site(upstreams=4, vms=3) as site:
        await block(site)
        crash_under(site, "/search/other")
        for vm in site.vms:
            with anyio.fail_after(30):
                number = 0
                while True:
                    number += 1
                    request = request_bytes(f"q{number}", TARGET)
                    if (await send_request(vm, request))[0] == 200:
                        break
                    await anyio.sleep(0.05)
        for vm in site.vms:
            await wait_until(lambda vm=vm: blocked_count(vm) == 0)


async def test_a_request_that_crashes_an_upstream_in_its_trial_is_refused_for_good(
    monkeypatch,
):
    monkeypatch.setattr(crash_table, "FIRST_TRIAL_DELAY_S", 0.8)
    async with open_site(upstreams=5, vms=3) as site:
        await block(site)
        for vm in site.vms:
            with anyio.fail_after(30):
                number, status = 0, 0
                while status != 400:
                    number += 1
                    request = request_bytes(f"q{number}", TARGET)
                    status, headers, *_ = await send_request(vm, request)
                    await anyio.sleep(0.05)
            assert "retry-after" not in headers
        assert crash_count(site) == 3


async def test_a_new_broker_and_a_new_vm_know_the_blocked_request():
    async with open_site(upstreams=4, vms=3) as site:
        await block(site)
        started = await site.add_vm()
        await wait_until(lambda: blocked_count(started) == 1)
        site.vms[0].stop_requested.set()
        await wait_until(lambda: any(vm.is_broker for vm in site.vms[1:]))
        for vm in site.vms[1:]:
            assert (await send_request(vm, request_bytes("q", TARGET)))[0] == 503
        assert crash_count(site) == 2


async def test_the_fingerprint_covers_customer_and_body():
    async with open_site(upstreams=4, configuration=two_customers()) as site:
        crash_under(site, TARGET)
        data = request_bytes("p0", TARGET, "POST", b"one")
        assert (await send_request(site.vms[0], data))[0] == 502
        assert crash_count(site) == 2
        crash_under(site, "/none")
        await start_crashed(site)
        for key, body in (("key-2", b"one"), ("key-of-stall", b"two")):
            data = request_bytes("p1", TARGET, "POST", body, key=key)
            assert (await send_request(site.vms[0], data))[0] == 200
        data = request_bytes("p2", TARGET, "POST", b"one")
        assert (await send_request(site.vms[0], data))[0] == 503


def two_customers():
    configuration = make_configuration()
    other = attrs.evolve(configuration.customers["stall"], name="other")
    return attrs.evolve(
        configuration,
        customers={**configuration.customers, "other": other},
        customer_by_key={**configuration.customer_by_key, "key-2": "other"},
    )
