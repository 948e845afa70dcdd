"""A withdrawn key is heard of wherever it can be; nothing ever reverts."""

import hashlib
from random import Random

import pytest

from gentianfold.configuration.key_table import KeyRecord, KeyState
from gentianfold.configuration.publication import publish_configuration
from gentianfold.configuration.vm_list import VmState, parse_vm_list
from gentianfold.peers.isolation import ISOLATION_S, START_WAIT_S
from gentianfold.peers.membership import PAUSE_S
from gentianfold.peers.memory_fleet import MemoryFleet
from gentianfold.peers.memory_link import MemoryNetwork

SIZE = 12
NAMES = [f"vm-{number:03}" for number in range(SIZE)]
DIGEST = hashlib.sha256(b"key").hexdigest()


def publish(fleet, version, state=KeyState.GRANTED):
    publish_configuration(
        fleet.values.__setitem__,
        version=version,
        rules_text=f"version {version}",
        upstreams=(),
        keys=[KeyRecord("stall", DIGEST, state)],
    )


@pytest.fixture
def fleet():
    fleet = MemoryFleet(SIZE, MemoryNetwork(Random(5), jitter_s=0.02, loss=0.01))
    publish(fleet, 1)
    fleet.run(4.0)
    assert all(vm.store.version == 1 for vm in fleet.vms.values())
    return fleet


def withdraw(fleet, informed):
    """Publish a withdrawal that the platform shows to some VMs only."""
    fleet.informed = set(informed)
    publish(fleet, 2, KeyState.WITHDRAWN)


def serving(fleet):
    """Return the VMs that would run a request with the key now."""
    return {
        name
        for name, vm in fleet.vms.items()
        if not vm.paused and not vm.isolation.isolated
        if vm.store.snapshot and DIGEST in vm.store.snapshot.keys
    }


def test_one_informed_vm_informs_all_while_the_platform_is_down_or_stale(fleet):
    withdraw(fleet, NAMES[:1])
    fleet.run(0.2)
    fleet.informed = set()
    fleet.run(2.0)
    assert serving(fleet) == set()
    assert {vm.store.version for vm in fleet.vms.values()} == {2}


def test_a_stale_platform_brings_nothing_back(fleet):
    withdraw(fleet, NAMES)
    fleet.run(2.0)
    publish(fleet, 1)
    fleet.start(NAMES[3])
    fleet.run(10.0)
    assert serving(fleet) == set()
    assert {vm.store.version for vm in fleet.vms.values()} == {2}
    assert all(vm.isolation.is_ready(vm.clock.now_s()) for vm in fleet.vms.values())


def test_a_large_content_comes_in_bounded_parts(fleet):
    publish_configuration(
        fleet.values.__setitem__, version=2, rules_text="x" * 900_000, upstreams=()
    )
    fleet.informed = set(NAMES[:1])
    fleet.run(6.0)
    assert {vm.store.version for vm in fleet.vms.values()} == {2}
    assert fleet.vms[NAMES[5]].spread.fetched_bytes > 900_000


def test_all_go_on_without_the_platform_for_an_hour(fleet):
    fleet.informed = set()
    fleet.run(60.0)
    assert serving(fleet) == set(NAMES)


def test_a_small_island_stops_and_comes_back(fleet):
    island = {NAMES[0]}
    fleet.network.split(island, set(NAMES) - island)
    withdraw(fleet, NAMES[1:])
    fleet.run(ISOLATION_S + 1)
    assert serving(fleet) == set()
    assert fleet.vms[NAMES[0]].store.version == 1
    fleet.network.cuts.clear()
    fleet.run(4.0)
    vm = fleet.vms[NAMES[0]]
    assert vm.store.version == 2 and not vm.isolation.isolated


@pytest.mark.parametrize("direction", [1, -1])
def test_a_vm_behind_a_one_way_cut_stops(fleet, direction):
    others = NAMES[1:]
    fleet.network.cuts |= {(NAMES[0], name)[::direction] for name in others}
    withdraw(fleet, others)
    fleet.run(ISOLATION_S + 2)
    assert serving(fleet) == set()


def test_each_informed_part_of_a_split_applies_the_withdrawal(fleet):
    left, right = set(NAMES[:6]), set(NAMES[6:])
    fleet.network.split(left, right)
    fleet.run(10.0)
    withdraw(fleet, [NAMES[0], NAMES[6]])
    fleet.run(2.0)
    assert serving(fleet) == set()


def test_a_paused_vm_learns_before_it_serves(fleet):
    vm = fleet.vms[NAMES[0]]
    vm.paused = True
    withdraw(fleet, NAMES[1:])
    fleet.run(ISOLATION_S + PAUSE_S)
    vm.resume()
    vm.isolation.on_tick(vm.clock.now_s(), vm.platform_answered_s)
    assert serving(fleet) == set()
    fleet.run(2.0)
    assert serving(fleet) == set() and not vm.isolation.isolated


def test_a_withdrawal_outlives_the_replacement_of_every_vm(fleet):
    withdraw(fleet, NAMES[:1])
    fleet.run(2.0)
    publish(fleet, 1)
    fleet.informed = set(NAMES)
    for name in NAMES:
        fleet.start(name)
        fleet.run(4.0)
    assert {vm.store.version for vm in fleet.vms.values()} == {2}
    assert serving(fleet) == set()


def test_a_starting_vm_waits_for_what_peers_have(fleet):
    withdraw(fleet, NAMES[1:])
    fleet.run(2.0)
    publish(fleet, 1)
    fleet.informed = set(NAMES)
    vm = fleet.start(NAMES[0])
    ready = []
    for _ in range(50):
        fleet.run(0.1)
        if vm.isolation.is_ready(vm.clock.now_s()):
            ready.append(vm.store.version)
    assert set(ready) == {2}


def test_a_starting_vm_without_peers_follows_the_platform_after_a_wait(fleet):
    fleet.network.split({NAMES[0]}, set(NAMES[1:]))
    vm = fleet.start(NAMES[0])
    fleet.run(START_WAIT_S - 1)
    assert not vm.isolation.is_ready(vm.clock.now_s())
    fleet.run(START_WAIT_S)
    assert vm.isolation.is_ready(vm.clock.now_s())
    fleet.informed = set()
    fleet.run(ISOLATION_S + 1)
    assert not vm.isolation.is_ready(vm.clock.now_s())


def test_a_newer_vm_list_spreads_too(fleet):
    listed = parse_vm_list(fleet.values["vms"])
    data = fleet.values["vms"].replace(b'"version":1', b'"version":2')
    fleet.values["vms"] = data.replace(b'"state":"live"', b'"state":"leaving"', 1)
    fleet.informed = {NAMES[4]}
    fleet.run(2.5)
    lists = {vm.store.vm_list for vm in fleet.vms.values()}
    assert {vm_list.version for vm_list in lists} == {2}
    assert lists.pop().vms[0].state is VmState.LEAVING
    assert len(listed.vms) == SIZE
