"""Requests of routes and customers with homes stay within these regions."""

from __future__ import annotations

import json

import attrs
import pytest
from conftest import open_site, request_bytes, send_request, wait_until

from gentianfold.fleet.messages import AcquireSlot
from gentianfold.fleet.transport import UdpTransport
from gentianfold.placement.homes import allowed_zones
from gentianfold.standins.site import make_configuration
from gentianfold.vm.settings_file import SettingsFile

pytestmark = pytest.mark.anyio

REGIONS = {"z1": "north", "z2": "south", "z3": "south"}


@pytest.mark.parametrize(
    ("route", "customer", "zones"),
    [
        ((), (), None),
        (("south",), (), ("z2", "z3")),
        ((), ("north",), ("z1",)),
        (("south", "north"), ("north",), ("z1",)),
        (("south",), ("north",), ()),
        (("west",), (), ()),
    ],
)
def test_the_homes_of_route_and_customer_both_bind(route, customer, zones):
    assert allowed_zones(route, customer, REGIONS) == zones


def make_homes(route=(), customer=()):
    """Return a configuration whose route ``search`` and customer have homes."""
    plain = make_configuration()
    search, claim = plain.routes
    (name,) = plain.customers
    record = attrs.evolve(plain.customers[name], homes=frozenset(customer))
    return attrs.evolve(
        plain,
        routes=(attrs.evolve(search, homes=frozenset(route)), claim),
        customers={name: record},
    )


def received(site, name):
    return len(site.upstreams[name].received_requests)


async def add_south(site):
    await site.add_upstream("south", zone="z2")
    for vm in site.vms:
        vm.settings.zones.update(REGIONS)
        await wait_until(lambda vm=vm: "south" in vm.view.upstreams.names())


async def search(site, count, prefix="r"):
    vms = site.vms
    return [
        (
            await send_request(
                vms[number % len(vms)], request_bytes(f"{prefix}{number}")
            )
        )[0]
        for number in range(count)
    ]


@pytest.mark.parametrize("homes", [{"route": ["south"]}, {"customer": ["south"]}])
async def test_requests_run_in_their_homes_alone(homes):
    # Homes were not read.
    configuration = make_homes(**homes)
    async with open_site(upstreams=2, vms=2, configuration=configuration) as site:
        await wait_until(lambda: site.vms[1].is_member)
        await add_south(site)
        assert await search(site, 30) == [200] * 30
        assert received(site, "south") == 30
        site.store.delete_upstream("south")
        for vm in site.vms:
            await wait_until(lambda vm=vm: "south" not in vm.view.upstreams.names())
        assert await search(site, 4, "s") == [503] * 4
        assert not received(site, "u1") and not received(site, "u2")


async def test_requests_without_a_common_home_are_refused_at_once():
    configuration = make_homes(["south"], ["north"])
    async with open_site(upstreams=1, configuration=configuration) as site:
        await add_south(site)
        assert await search(site, 2) == [503] * 2
        claim = request_bytes("c1", "/claim/1", "POST", b"b")
        assert (await send_request(site.vms[0], claim))[0] == 200
        assert received(site, "u1") == 1 and not received(site, "south")


async def test_a_vm_refuses_grants_of_an_older_broker_outside_of_the_homes(monkeypatch):
    send = UdpTransport.send

    def send_as_older_build(transport, receiver, message):
        if isinstance(message, AcquireSlot):
            fields = [getattr(message, name) for name in message.__struct_fields__]
            message = AcquireSlot(*fields[:-1])
        send(transport, receiver, message)

    monkeypatch.setattr(UdpTransport, "send", send_as_older_build)
    configuration = make_homes(["south"])
    async with open_site(upstreams=2, vms=2, configuration=configuration) as site:
        await wait_until(lambda: site.vms[1].is_member)
        await add_south(site)
        assert await search(site, 20) == [200] * 20
        assert received(site, "south") == 20


async def test_a_request_with_homes_takes_no_tunnel(monkeypatch):
    # Its body would pass through a VM of another region.
    configuration = make_homes(["south"])
    async with open_site(upstreams=1, vms=2, configuration=configuration) as site:
        vm = site.vms[1]
        await wait_until(lambda: vm.is_member)
        await add_south(site)

        async def acquire_none(pool, address, name, *args, **kwargs):
            return None if pool is vm.pool else await acquire(pool, address, name)

        acquire = type(vm.pool).acquire
        monkeypatch.setattr(type(vm.pool), "acquire", acquire_none)
        status = (await send_request(vm, request_bytes("r1")))[0]
        assert status == 503 and not received(site, "south")


async def test_a_reload_of_the_settings_brings_new_zones(tmp_path):
    # The zones of the start were kept: requests of a new zone's homes were refused.
    configuration = make_homes(["south"])
    async with open_site(upstreams=1, configuration=configuration) as site:
        vm = site.vms[0]
        await site.add_upstream("south", zone="z2")
        await wait_until(lambda: "south" in vm.view.upstreams.names())
        assert await search(site, 1) == [503]
        settings = {
            "vm": "vm-1",
            "zone": "z1",
            "address": "127.0.0.1",
            "zones": REGIONS,
            "callers": "127.0.0.1:1",
            "readiness": "127.0.0.1:2",
            "operators": "127.0.0.1:3",
            "store": {"endpoint": str(vm.settings.store.endpoint)},
            "fleet": {"seeds": ["127.0.0.1:3"]},
        }
        path = tmp_path / "vm.json"
        path.write_text(json.dumps(settings))
        vm.settings_file = SettingsFile(str(path))
        await wait_until(lambda: vm.settings.zones == REGIONS)
        assert vm._node.broker.homes.zones("search", "") == ("z2", "z3")
        assert await search(site, 4, "s") == [200] * 4
        assert received(site, "south") == 4
