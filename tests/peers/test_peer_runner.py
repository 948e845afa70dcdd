"""Three VMs on loopback sockets, one of which has the platform."""

from random import Random

import anyio
import pytest
import zmq

from gentianfold.clock import BootClock
from gentianfold.codes.platform import PLATFORM_UNREACHABLE
from gentianfold.configuration.publication import publish_configuration
from gentianfold.configuration.store import ConfigurationStore
from gentianfold.configuration.vm_list import Vm, VmList, encode_vm_list
from gentianfold.errors import Failure
from gentianfold.peers.configuration_spread import ConfigurationSpread
from gentianfold.peers.incarnation import Incarnation
from gentianfold.peers.isolation import SHORT_WATCH_S, IsolationDetector
from gentianfold.peers.link_keys import LinkKeys
from gentianfold.peers.membership import MembershipTable
from gentianfold.peers.node import PeerNode
from gentianfold.peers.runner import PeerRunner
from gentianfold.peers.zmq_link import ZmqLink
from gentianfold.platform.client import Value
from gentianfold.platform.follower import PlatformFollower
from gentianfold.platform.watch_schedule import WATCH_S

pytestmark = pytest.mark.anyio

PUBLIC, SECRET = zmq.curve_keypair()
KEYS = LinkKeys(PUBLIC, SECRET, (PUBLIC,))
CLOCK = BootClock()


class Platform:
    def __init__(self):
        self.values = {}
        self.reached = True

    async def read(self, name):
        if not self.reached or name not in self.values:
            return Failure(PLATFORM_UNREACHABLE)
        return Value(name, 1, self.values[name])

    async def watch(self, name, after, timeout_s):
        await anyio.sleep(0.05)
        return await self.read(name)


class RunningVm:
    def __init__(self, name, platform):
        self.store = ConfigurationStore(lambda text, source: text)
        table = MembershipTable(name, Incarnation.create())
        self.node = PeerNode(table, self.store, CLOCK, Random(name))
        self.link = ZmqLink(KEYS, self.node.receive)
        self.node.attach(self.link)
        self.follower = PlatformFollower(platform, self.store, CLOCK, Random(name))
        spread = ConfigurationSpread(self.node, self.store, CLOCK, Random(name))
        self.isolation = IsolationDetector(table, self.store)
        self.runner = PeerRunner(
            self.node, spread, self.isolation, self.follower, CLOCK
        )

    def is_ready(self):
        return self.isolation.is_ready(CLOCK.now_s())


async def wait_for(condition):
    with anyio.fail_after(30):
        while not condition():
            await anyio.sleep(0.01)


async def test_one_vm_with_the_platform_informs_the_others():
    platform, nowhere = Platform(), Platform()
    vms = [RunningVm(f"vm-{n}", nowhere if n else platform) for n in range(3)]
    async with anyio.create_task_group() as tasks:
        ports = [await tasks.start(vm.link.run, "127.0.0.1") for vm in vms]
        listed = (
            Vm(f"vm-{n}", "127.0.0.1", port, "zone") for n, port in enumerate(ports)
        )
        vm_list = encode_vm_list(VmList(1, tuple(listed)))
        platform.values["vms"] = vm_list
        for vm in vms:
            vm.store.offer_vm_list(vm_list)
            tasks.start_soon(vm.runner.run)
        publish_configuration(
            platform.values.__setitem__, version=1, rules_text="one", upstreams=()
        )
        tasks.start_soon(vms[0].follower.run)
        await wait_for(lambda: all(vm.is_ready() for vm in vms))
        assert [vm.store.snapshot.rules for vm in vms] == ["one"] * 3
        assert {vm.follower.watch_s for vm in vms} == {WATCH_S}
        vms[1].node.handle("echo", lambda r: r.reply(r.payload * 2))
        assert await vms[0].node.ask("vm-1", "echo", b"ab", 5.0) == b"abab"
        publish_configuration(
            platform.values.__setitem__, version=2, rules_text="two", upstreams=()
        )
        await wait_for(lambda: all(vm.store.version == 2 for vm in vms))
        tasks.cancel_scope.cancel()


async def test_a_vm_without_peers_watches_the_platform_in_short_turns():
    vm = RunningVm("vm-0", Platform())
    listed = (Vm(f"vm-{n}", "127.0.0.1", 1, "zone") for n in range(3))
    vm.store.offer_vm_list(encode_vm_list(VmList(1, tuple(listed))))
    vm.runner.tick()
    assert vm.follower.watch_s == SHORT_WATCH_S and vm.isolation.isolated
    async with anyio.create_task_group() as tasks:
        await tasks.start(vm.link.run, "127.0.0.1")
        tasks.cancel_scope.cancel()
