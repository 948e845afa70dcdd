"""A fleet of nodes in one process, on an in-memory network and explicit time."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import attrs

from gentianfold.configuration.root import ROOT_NAME
from gentianfold.configuration.store import ConfigurationStore
from gentianfold.configuration.vm_list import (
    VM_LIST_NAME,
    Vm,
    VmList,
    encode_vm_list,
)
from gentianfold.peers.configuration_spread import ConfigurationSpread
from gentianfold.peers.incarnation import Incarnation
from gentianfold.peers.isolation import IsolationDetector
from gentianfold.peers.membership import MembershipTable
from gentianfold.peers.memory_link import MemoryClock, MemoryNetwork
from gentianfold.peers.node import PeerNode

if TYPE_CHECKING:
    from gentianfold.peers.membership_events import MembershipEvent

TICK_S = 0.1
"""Time between two ticks of a node."""
CLOCK_OFFSET_S = 1000.0
"""Difference between the clocks of two neighbouring VMs of the list."""


@attrs.define(eq=False)
class MemoryVm:
    """One VM of the fleet."""

    name: str
    """Its name."""
    clock: MemoryClock
    """Its own clock."""
    store: ConfigurationStore
    """Its configuration."""
    node: PeerNode
    """Its node."""
    spread: ConfigurationSpread
    """Its exchange of configuration with peers."""
    isolation: IsolationDetector
    """Whether it may act on its configuration."""
    events: list[tuple[float, MembershipEvent]] = attrs.field(factory=list)
    """Events so far, with the time of the fleet."""
    adopted: list[tuple[float, int]] = attrs.field(factory=list)
    """Versions that came into force so far, with the time of the fleet."""
    platform_answered_s: float = float("-inf")
    """When the platform last answered, by its own clock."""
    paused: bool = False
    """Whether its process stands still."""
    _backlog: list[bytes] = attrs.field(factory=list, init=False)

    def receive(self, data: bytes) -> None:
        """Take a message, or keep it until the process goes on."""
        if self.paused:
            self._backlog.append(data)
        else:
            self.node.receive(data)

    def resume(self) -> None:
        """Let the process go on."""
        self.paused = False
        backlog, self._backlog = self._backlog, []
        for data in backlog:
            self.node.receive(data)


@attrs.define(eq=False)
class MemoryFleet:
    """All VMs, their network and a platform."""

    size: int
    """Number of VMs."""
    network: MemoryNetwork = attrs.field(factory=lambda: MemoryNetwork(Random(1)))
    """The network."""
    values: dict[str, bytes] = attrs.field(factory=dict)
    """What the platform holds."""
    informed: set[str] = attrs.field(factory=set)
    """VMs that the platform answers; none for an outage."""
    vms: dict[str, MemoryVm] = attrs.field(factory=dict)
    """Running VMs by name."""
    _starts: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        names = [f"vm-{number:03}" for number in range(self.size)]
        listed = tuple(
            Vm(n, "127.0.0.1", 1, f"zone-{i % 4}") for i, n in enumerate(names)
        )
        self.values.setdefault(VM_LIST_NAME, encode_vm_list(VmList(1, listed)))
        self.informed = self.informed or set(names)
        for name in names:
            self.start(name)

    @property
    def now_s(self) -> float:
        """The time of the fleet."""
        return self.network.now_s

    def start(self, name: str) -> MemoryVm:
        """Start a VM, or replace a running one by a new incarnation."""
        self._starts += 1
        clock = MemoryClock(self.network, CLOCK_OFFSET_S * int(name[3:]))
        random = Random(self._starts)
        store = ConfigurationStore(lambda text, source: text)
        table = MembershipTable(name, Incarnation(self._starts, random.getrandbits(63)))
        node = PeerNode(table, store, clock, random)
        spread = ConfigurationSpread(node, store, clock, random)
        isolation = IsolationDetector(table, store)
        vm = MemoryVm(name, clock, store, node, spread, isolation)
        node.attach(self.network.join(name, vm.receive))
        node.subscribe(lambda event: vm.events.append((self.now_s, event)))
        store.subscribe(lambda s: vm.adopted.append((self.now_s, s.version)))
        self.vms[name] = vm
        return vm

    def stop(self, name: str) -> None:
        """Stop a VM without notice."""
        self.network.leave(name)
        del self.vms[name]

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        for _ in range(round(duration_s / TICK_S)):
            self.network.deliver(self.now_s + TICK_S)
            for vm in [vm for vm in self.vms.values() if not vm.paused]:
                self._tick(vm)

    def _tick(self, vm: MemoryVm) -> None:
        if vm.name in self.informed:
            self._read_platform(vm)
        vm.node.tick()
        vm.spread.tick()
        vm.isolation.on_tick(vm.clock.now_s(), vm.platform_answered_s)

    def _read_platform(self, vm: MemoryVm) -> None:
        now_s = vm.platform_answered_s = vm.clock.now_s()
        vm.store.offer_vm_list(self.values[VM_LIST_NAME])
        if ROOT_NAME in self.values:
            vm.store.offer_root(self.values[ROOT_NAME], now_s)
        for shard in vm.store.missing():
            vm.store.offer_shard(shard.name, self.values[shard.name], now_s)
