"""Fleets of whole VMs: broker failover and distribution of published state."""

from __future__ import annotations

import json
import os
from itertools import chain, repeat

import anyio
import pytest
from conftest import (
    open_site,
    read_response,
    request_bytes,
    send_request,
    wait_until,
)

from gentianfold.fleet.relay_plan import RelayPlan
from gentianfold.standins.site import make_configuration
from gentianfold.vm import configuration_fetcher
from gentianfold.vm.configuration_fetcher import ConfigurationFetcher
from gentianfold.vm.settings_file import SettingsFile

pytestmark = pytest.mark.anyio


async def test_requests_succeed_during_broker_failover():
    async with open_site(vms=4) as site:
        broker, *others = site.vms
        await wait_until(lambda: all(vm.is_member for vm in others))
        for number in range(8):
            response = await send_request(
                others[number % 3], request_bytes(f"a{number}")
            )
            assert response[0] == 200
        broker.stop_requested.set()
        for number in range(30):
            data = request_bytes(f"b{number}", "/claim/1", "POST", b"b")
            response = await send_request(others[number % 3], data)
            assert response[0] == 200
        await wait_until(lambda: sum(vm.is_broker for vm in others) == 1)
        await wait_until(lambda: sum(vm.is_member for vm in others) == 2)
        runs = [row.execution_counts for row in site.upstreams.values()]
        assert all(sum(ran[b"b%d" % n] for ran in runs) == 1 for n in range(30))


async def test_a_vm_started_during_a_store_outage_gets_state_from_other_vms():
    async with open_site(vms=2) as site:
        await wait_until(lambda: site.vms[1].is_member)
        site.store.status = 503
        vm = await site.add_vm()
        await wait_until(lambda: vm.view.configuration_version == 1)
        assert (await send_request(vm, request_bytes()))[0] == 200


async def test_only_the_broker_polls_the_store_and_all_vms_receive_changes():
    async with open_site(vms=4) as site:
        await wait_until(lambda: all(vm.is_member for vm in site.vms[1:]))
        site.store.request_counts.clear()
        site.store.put_configuration(make_configuration(version=5))
        await site.add_upstream("u9")
        for vm in site.vms:
            await wait_until(lambda vm=vm: vm.view.configuration_version == 5)
            await wait_until(lambda vm=vm: "u9" in vm.view.upstreams.names())
        polls = sum(site.store.request_counts.values())
        assert polls <= 2 + 10 * len(site.vms)


async def test_a_deletion_that_was_held_back_reaches_all_vms(monkeypatch):
    # The members counted its revision as known when the broker applied it.
    monkeypatch.setattr("gentianfold.platform.store_synchronizer.DELETION_HOLD_S", 0.5)
    monkeypatch.setattr(
        "gentianfold.platform.store_synchronizer.OUTAGE_THRESHOLD_S", 0.8
    )
    async with open_site(vms=3) as site:
        await wait_until(lambda: all(vm.is_member for vm in site.vms[1:]))
        site.store.status = 503
        await anyio.sleep(1.2)
        site.store.delete_upstream("u1")
        site.store.status = 200
        for vm in site.vms:
            await wait_until(lambda vm=vm: "u1" not in vm.view.upstreams.names())


@pytest.mark.parametrize("source", ["none", "outdated"])
async def test_a_vm_reads_the_store_if_no_other_vm_provides_the_configuration(
    monkeypatch, source
):
    # Guards against a member that waits for a source while its broker is reachable.
    def source_for(_, vm, members, now_s):
        others = (name for name in members if name != vm)
        return next(others, "") if source == "outdated" else ""

    monkeypatch.setattr(RelayPlan, "source_for", source_for)
    async with open_site(vms=3) as site:
        members = site.vms[1:]
        await wait_until(lambda: all(vm.is_member for vm in members))
        site.store.put_configuration(make_configuration(version=5))
        for vm in members:
            await wait_until(lambda vm=vm: vm.view.configuration_version == 5)
            assert vm.is_member


async def sleep_forever(_):
    await anyio.sleep_forever()


async def test_a_vm_fetches_from_the_broker_if_its_source_is_unreachable(monkeypatch):
    # Guards against a frozen source that a member tries until the broker replaces it.
    monkeypatch.setattr(RelayPlan, "source_for", lambda *_: "127.0.0.99")
    monkeypatch.setattr(ConfigurationFetcher, "_read_store", sleep_forever)
    async with open_site(vms=2) as site:
        member = site.vms[1]
        await wait_until(lambda: member.is_member)
        site.store.put_configuration(make_configuration(version=5))
        await wait_until(lambda: member.view.configuration_version == 5)


async def test_a_source_is_used_as_soon_as_it_is_assigned(monkeypatch):
    # Guards against a delay at each VM through which a configuration spreads.
    sources = chain(["", "", ""], repeat("127.0.0.1"))

    def source_for(plan, *_):
        return next(sources) if plan.version == 5 else ""

    monkeypatch.setattr(RelayPlan, "source_for", source_for)
    monkeypatch.setattr(ConfigurationFetcher, "_read_store", sleep_forever)
    monkeypatch.setattr(configuration_fetcher, "FETCH_RETRY_S", 3600.0)
    async with open_site(vms=2) as site:
        member = site.vms[1]
        await wait_until(lambda: member.view.configuration_version == 1)
        site.store.put_configuration(make_configuration(version=5))
        await wait_until(lambda: member.view.configuration_version == 5)


async def test_changed_settings_are_reloaded_without_a_signal(tmp_path):
    async with open_site() as site:
        vm = site.vms[0]
        path = tmp_path / "vm.json"
        endpoint = vm.settings.store.endpoint
        text = (
            '{"vm": "vm-1", "zone": "z1", "address": "127.0.0.1",'
            ' "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2",'
            f' "operators": "127.0.0.1:3", "store": {{"endpoint": "{endpoint}"}},'
            ' "fleet": {"seeds": ["%s:3"]}}'
        )
        path.write_text(text % "127.0.0.8")
        settings_file = SettingsFile(str(path))
        settings_file.load()
        vm.settings_file = settings_file
        path.write_text("{")
        os.utime(path, ns=(1, 1))
        path.write_text(text % "127.0.0.9")
        os.utime(path, ns=(2, 2))
        await wait_until(lambda: vm.settings.fleet.seeds[0].host == "127.0.0.9")
        assert (await send_request(vm, request_bytes()))[0] == 200


async def test_a_suspension_increases_the_age_of_published_state():
    async with open_site(vms=2) as site:
        vm = site.vms[1]
        await wait_until(lambda: vm.is_member)
        before_s = vm.view.routing.upstreams_current_at_s
        vm.record_suspension(30.0)
        assert vm.view.routing.upstreams_current_at_s < before_s
        await wait_until(lambda: vm.view.routing.upstreams_current_at_s > before_s)
        assert (await send_request(vm, request_bytes()))[0] == 200


async def test_a_new_broker_keeps_the_rate_limits_of_upstreams():
    # Guards against a limit that only the broker knew and that was lost with it.
    async with open_site(upstreams=1, vms=4) as site:
        broker, *others = site.vms
        await wait_until(lambda: all(vm.is_member for vm in others))
        site.upstreams["u1"].rate_limit = b"0.5"
        await send_request(others[0], request_bytes())
        assert await read_rate_limits(others[0]) == [0.5]
        await wait_for_rate_limits(broker, [0.5])
        broker.stop_requested.set()
        await wait_until(lambda: sum(vm.is_broker for vm in others) == 1)
        (successor,) = [vm for vm in others if vm.is_broker]
        await wait_for_rate_limits(successor, [0.5])


async def read_rate_limits(vm):
    """Return the rate limits of upstreams in the status of a VM."""
    endpoint = vm.settings.operators
    async with await anyio.connect_tcp(endpoint.host, endpoint.port) as stream:
        await stream.send(b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n")
        _, _, body, _ = await read_response(stream)
    rates = (row["rate_limit_per_s"] for row in json.loads(body)["upstreams"])
    return [rate for rate in rates if rate is not None]


async def wait_for_rate_limits(vm, expected):
    with anyio.fail_after(30):
        while await read_rate_limits(vm) != expected:
            await anyio.sleep(0.05)
