"""An in-memory network between nodes, with faults, under explicit time."""

from __future__ import annotations

import heapq
from itertools import count
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from random import Random


@attrs.define(eq=False)
class MemoryNetwork:
    """Delivers messages late, doubled or not at all, as it is told."""

    random: Random
    """Source of loss, delay and doubling."""
    delay_s: float = 0.001
    """Least delay one way."""
    jitter_s: float = 0.0
    """Longest random extra delay."""
    loss: float = 0.0
    """Fraction of the messages that are lost."""
    doubled: float = 0.0
    """Fraction of the messages that come twice."""
    cuts: set[tuple[str, str]] = attrs.field(factory=set)
    """Pairs (from, to) whose messages are lost."""
    sent_bytes: dict[str, int] = attrs.field(factory=dict)
    """Bytes sent by each VM."""
    now_s: float = 0.0
    """Time up to which messages were delivered."""
    _receivers: dict[str, Callable[[bytes], None]] = attrs.field(
        factory=dict, init=False
    )
    _queue: list[tuple[float, int, str, bytes]] = attrs.field(factory=list, init=False)
    _order: Iterator[int] = attrs.field(factory=count, init=False)

    def join(self, name: str, on_bytes: Callable[[bytes], None]) -> MemoryLink:
        """Return the link of a VM; a second call replaces the VM."""
        self._receivers[name] = on_bytes
        return MemoryLink(name, self)

    def leave(self, name: str) -> None:
        """Lose what comes for a VM from now on."""
        self._receivers.pop(name, None)

    def split(self, left: set[str], right: set[str]) -> None:
        """Cut all messages between two sets of VMs, both ways."""
        self.cuts |= {(a, b) for a in left for b in right}
        self.cuts |= {(b, a) for a in left for b in right}

    def carry(self, sender: str, receiver: str, data: bytes) -> None:
        """Send a message."""
        self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + len(data)
        if (sender, receiver) in self.cuts or self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.doubled else 1
        for _ in range(copies):
            delay_s = self.delay_s + self.random.uniform(0, self.jitter_s)
            item = (self.now_s + delay_s, next(self._order), receiver, data)
            heapq.heappush(self._queue, item)

    def deliver(self, until_s: float) -> None:
        """Deliver what is due until ``until_s``."""
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, receiver, data = heapq.heappop(self._queue)
            if on_bytes := self._receivers.get(receiver):
                on_bytes(data)
        self.now_s = until_s


@attrs.define(eq=False)
class MemoryClock:
    """The clock of one VM: the time of the network with an offset."""

    network: MemoryNetwork
    """The network."""
    offset_s: float = 0.0
    """Difference to the time of the network."""

    def now_s(self) -> float:
        """Return the time of the VM."""
        return self.network.now_s + self.offset_s


@attrs.define(eq=False)
class MemoryLink:
    """The link of one VM in a memory network."""

    own: str
    """Name of the VM."""
    network: MemoryNetwork
    """The network."""
    redials: int = 0
    """Number of redials so far."""
    _connected: set[str] = attrs.field(factory=set, init=False)

    def connect(self, peer: str, host: str, port: int) -> None:
        """Start to keep a connection to a peer."""
        self._connected.add(peer)

    def disconnect(self, peer: str) -> None:
        """Close the connection to a peer."""
        self._connected.discard(peer)

    def redial(self, peer: str) -> None:
        """Replace the connection to a peer by a fresh one."""
        self.redials += 1

    def send(self, peer: str, data: bytes) -> bool:
        """Queue a message; return ``False`` if it was dropped at once."""
        if peer not in self._connected:
            return False
        self.network.carry(self.own, peer, data)
        return True
