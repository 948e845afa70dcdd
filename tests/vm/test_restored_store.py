"""Fleets whose store comes back from a copy some seconds old."""

from __future__ import annotations

import anyio
import attrs
import pytest
from conftest import open_site, request_bytes, send_request, wait_until

from gentianfold.model import UpstreamState
from gentianfold.platform.wire_encoding import encode_configuration
from gentianfold.standins.site import make_configuration
from gentianfold.vm.store_poller import StateSink

pytestmark = pytest.mark.anyio


def drain(site, name, sequence, start_time_ms=1):
    entry = site.upstreams[name].store_entry(start_time_ms)
    entry = attrs.evolve(entry, state=UpstreamState.DRAINING)
    site.store.put_upstream(entry, sequence)


def start_again(site, name, start_time_ms):
    site.store.put_upstream(site.upstreams[name].store_entry(start_time_ms))


async def wait_for_poll(site):
    """Wait until the store has answered a poll that began after the call."""
    count = site.store.request_counts.total()
    await wait_until(lambda: site.store.request_counts.total() >= count + 2)


def start_times(vm):
    return {name: row.start_time_ms for name, row in vm.view.routing.upstreams.items()}


async def test_a_drain_at_a_revision_that_was_given_out_before_is_seen():
    # The entry was dropped, as its revision was not above that of the lost entry.
    async with open_site(vms=2) as site:
        copy = site.store.make_copy()
        start_again(site, "u1", 2)
        await wait_until(lambda: start_times(site.vms[1])["u1"] == 2)
        site.store.restore(copy)
        drain(site, "u1", 2, start_time_ms=2)
        for vm in site.vms:
            await wait_until(lambda vm=vm: not vm.view.upstreams.is_usable("u1"))


async def test_changes_are_seen_if_the_store_has_passed_the_known_revision_again():
    # The store answered without a hint that the changes between were missed.
    async with open_site(vms=2) as site:
        copy = site.store.make_copy()
        site.store.put_configuration(make_configuration(2))
        start_again(site, "u2", 2)
        await wait_until(lambda: start_times(site.vms[1])["u2"] == 2)
        site.store.restore(copy)
        drain(site, "u1", 2)
        drain(site, "u2", 2, start_time_ms=2)
        site.store.put_configuration(make_configuration(2))
        site.store.put_configuration(make_configuration(3))
        for vm in site.vms:
            await wait_until(lambda vm=vm: vm.view.configuration_version == 3)
            await wait_until(lambda vm=vm: not vm.view.upstreams.is_usable("u1"))
            await wait_until(lambda vm=vm: not vm.view.upstreams.is_usable("u2"))


async def test_an_upstream_deleted_in_the_lost_span_is_used_when_it_starts_again():
    # The lost deletion had a higher revision than the new entry.
    async with open_site(vms=2) as site:
        site.store.delete_upstream("u1")
        copy = site.store.make_copy()
        start_again(site, "u1", 2)
        site.store.delete_upstream("u1")
        site.store.put_configuration(make_configuration(2))
        await wait_until(lambda: site.vms[1].view.configuration_version == 2)
        await wait_until(lambda: "u1" not in site.vms[1].view.upstreams.names())
        site.store.restore(copy)
        start_again(site, "u1", 3)
        for vm in site.vms:
            await wait_until(lambda vm=vm: start_times(vm).get("u1") == 3)


async def test_a_copy_brings_back_neither_drained_nor_deleted_upstreams():
    async with open_site(vms=3) as site:
        copy = site.store.make_copy()
        drain(site, "u1", 2)
        site.store.delete_upstream("u2")
        for vm in site.vms:
            await wait_until(lambda vm=vm: not vm.view.upstreams.is_usable("u1"))
            await wait_until(lambda vm=vm: not vm.view.upstreams.is_usable("u2"))
        site.store.restore(copy)
        for vm in site.vms:
            await wait_until(lambda vm=vm: vm.view.upstreams.revision.era == 2)
        for number in range(20):
            request = request_bytes(f"r{number}", "/claim/1", "POST", b"b")
            response = await send_request(site.vms[number % 3], request)
            assert response[0] == 200
        runs = {name: len(row.execution_counts) for name, row in site.upstreams.items()}
        assert runs == {"u1": 0, "u2": 0, "u3": 20}


async def test_an_upstream_that_the_copy_lacks_stays_in_use():
    async with open_site(upstreams=1, vms=2) as site:
        copy = site.store.make_copy()
        await site.add_upstream("u2")
        await wait_until(lambda: "u2" in site.vms[1].view.upstreams.names())
        site.store.restore(copy)
        for vm in site.vms:
            await wait_until(lambda vm=vm: vm.view.upstreams.revision.era == 2)
            assert vm.view.upstreams.is_usable("u2")
            assert "u2" in vm.view.upstreams.names()


async def test_an_upstream_that_is_never_written_again_is_removed(monkeypatch):
    monkeypatch.setattr("gentianfold.platform.store_synchronizer.DELETION_HOLD_S", 0.2)
    async with open_site(upstreams=1, vms=2) as site:
        copy = site.store.make_copy()
        await site.add_upstream("u2")
        await wait_until(lambda: "u2" in site.vms[1].view.upstreams.names())
        site.store.restore(copy)
        for vm in site.vms:
            await wait_until(lambda vm=vm: "u2" not in vm.view.upstreams.names())


async def test_an_upstream_that_outlasts_the_copy_is_used_again(monkeypatch):
    # Its deletion was lost, and as it lives, its entry does not change.
    monkeypatch.setattr("gentianfold.fleet.node_view.COPY_EXPIRY_S", 0.5)
    async with open_site(vms=2) as site:
        copy = site.store.make_copy()
        site.store.delete_upstream("u1")
        await wait_until(lambda: "u1" not in site.vms[1].view.upstreams.names())
        site.store.restore(copy)
        for vm in site.vms:
            await wait_until(lambda vm=vm: "u1" in vm.view.upstreams.names())


async def test_a_broker_with_the_configuration_of_the_copy_gets_that_of_a_member():
    async with open_site(vms=2) as site:
        broker, member = site.vms
        await wait_until(lambda: member.is_member)
        newer = make_configuration(4)
        document = encode_configuration(newer)
        StateSink(member._node).update_configuration(document, newer)
        await wait_until(lambda: broker.view.configuration_version == 4)
        started = await site.add_vm()
        await wait_until(lambda: started.view.configuration_version == 4)


async def test_no_vm_returns_to_the_configuration_of_the_copy():
    async with open_site(vms=2) as site:
        copy = site.store.make_copy()
        site.store.put_configuration(make_configuration(4))
        for vm in site.vms:
            await wait_until(lambda vm=vm: vm.view.configuration_version == 4)
        site.store.restore(copy)
        for vm in site.vms:
            await wait_until(lambda vm=vm: vm.view.upstreams.revision.era == 2)
        await wait_for_poll(site)
        assert [vm.view.configuration_version for vm in site.vms] == [4, 4]
        with anyio.fail_after(30):
            started = await site.add_vm()
        await wait_until(lambda: started.view.configuration_version == 4)
