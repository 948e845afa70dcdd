"""Ledgers of several VMs in simulated time, with a network that faults can reach."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

import attrs

from gentianfold.codes.requests import KEY_HOME_IN_DOUBT
from gentianfold.errors import Failure
from gentianfold.requests.once.interfaces import LedgerOptions, Send
from gentianfold.requests.once.ledger import OnceLedger
from gentianfold.requests.once.records import CopyRule, Member

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from gentianfold.requests.once.ledger import Effect
    from gentianfold.requests.once.messages import Message
    from gentianfold.requests.once.tickets import Decided

DELAY_S = 0.001
"""One-way delay between VMs."""
TICK_S = 0.1
"""Time between two ticks of a ledger."""
ZONE_COUNT = 3
"""Zones of the VMs."""


@attrs.frozen
class Owned:
    """The slot, in possession of the VM that asks."""

    slot: int
    """Its number."""
    since: int
    """Number of the possession."""


@attrs.frozen
class Remote:
    """The slot, in possession of another VM."""

    vm: str
    """Name of that VM."""


@attrs.define
class Possession:
    """Which VM possesses the only slot; exclusive, as the limiters make sure."""

    owner: str = "vm0"
    """The possessor."""
    number: int = 1
    """Number of the possession."""

    def move(self, vm: str) -> None:
        """Give the slot to a VM."""
        self.owner = vm
        self.number += 1


@attrs.frozen
class Authority:
    """What one VM knows of the slot."""

    vm: str
    """The VM."""
    possession: Possession
    """The truth."""

    def authority(self, slot_key: bytes, now_s: float) -> Owned | Remote | Failure:
        """Return the possessor of the slot."""
        if not self.possession.owner:
            return Failure(KEY_HOME_IN_DOUBT)
        if self.possession.owner == self.vm:
            return Owned(0, self.possession.number)
        return Remote(self.possession.owner)


@attrs.frozen
class Roster:
    """What one VM knows of the members."""

    ledgers: dict[str, OnceLedger]
    """The running ledgers."""
    members: list[Member]
    """All members that ever were."""
    started_s: float
    """When the VM began to know all members."""

    def live(self, now_s: float) -> Collection[Member]:
        """Return the members that run."""
        return [ledger.me for ledger in self.ledgers.values()]

    def recent(self, now_s: float) -> Collection[Member]:
        """Return all members."""
        return list(self.members)

    def depart(self, member: Member) -> None:
        """Forget nobody: the bench stops VMs without a handover."""

    def history_s(self, now_s: float) -> float:
        """Return for how long the members are known."""
        return now_s - self.started_s


@attrs.define(eq=False)
class LedgerFleet:
    """Ledgers, messages between them, and time."""

    on_decided: Callable[[str, Decided], None]
    """Called with the VM and each decision."""
    carry: Callable[[str, str, Message], list[float]]
    """Returns the delays of the copies of a message that arrive."""
    rule: CopyRule = attrs.field(factory=CopyRule)
    """Where records must be."""
    options: LedgerOptions = attrs.field(factory=LedgerOptions)
    """Options of all ledgers."""
    possession: Possession = attrs.field(factory=Possession)
    """Who has the slot."""
    now_s: float = 0.0
    """The time."""
    ledgers: dict[str, OnceLedger] = attrs.field(factory=dict)
    """The running ledgers by VM."""
    paused: set[str] = attrs.field(factory=set)
    """VMs whose processes stand still."""
    _members: list[Member] = attrs.field(factory=list)
    _backlog: list[tuple[str, Callable[[], None]]] = attrs.field(factory=list)
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _numbers: itertools.count[int] = attrs.field(factory=lambda: itertools.count(1))

    def start(self, vm: str, history_s: float = 0.0) -> None:
        """Start a process on a VM, which forgets what an earlier one knew."""
        zone = f"zone{int(vm[2:]) % ZONE_COUNT}"
        member = Member(vm, next(self._numbers), zone)
        self._members.append(member)
        roster = Roster(self.ledgers, self._members, self.now_s - history_s)
        authority = Authority(vm, self.possession)
        self.ledgers[vm] = OnceLedger(
            member, authority, roster, self.rule, self.options
        )

    def crash(self, vm: str) -> None:
        """End the process of a VM."""
        self.ledgers.pop(vm, None)
        self.paused.discard(vm)
        self._backlog = [item for item in self._backlog if item[0] != vm]

    def resume(self, vm: str) -> None:
        """Let a paused process go on with what it missed."""
        self.paused.discard(vm)
        due = [action for name, action in self._backlog if name == vm]
        self._backlog = [item for item in self._backlog if item[0] != vm]
        for action in due:
            action()

    def at(self, true_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (true_s, next(self._numbers), action))

    def at_vm(self, vm: str, true_s: float, action: Callable[[], None]) -> None:
        """Run an action in the process that a VM runs now, late if it is paused."""
        ledger = self.ledgers.get(vm)

        def act() -> None:
            if ledger is None or self.ledgers.get(vm) is not ledger:
                return
            if vm in self.paused:
                self._backlog.append((vm, act))
            else:
                action()

        self.at(true_s, act)

    def apply(self, vm: str, effects: Iterable[Effect]) -> None:
        """Do what a ledger wants done."""
        for effect in effects:
            if isinstance(effect, Send):
                self._send(vm, effect)
            else:
                self.on_decided(vm, effect)

    def run_until(self, end_s: float) -> None:
        """Run all that happens up to a time."""
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = end_s

    def tick_all(self) -> None:
        """Tick every running ledger, now and from now on."""
        for vm in [vm for vm in self.ledgers if vm not in self.paused]:
            self.apply(vm, self.ledgers[vm].tick(self.now_s))
        self.at(self.now_s + TICK_S, self.tick_all)

    def _send(self, sender: str, send: Send) -> None:
        for delay_s in self.carry(sender, send.vm, send.message):
            self.at(
                self.now_s + delay_s,
                lambda: self._arrive(sender, send.vm, send.message),
            )

    def _arrive(self, sender: str, receiver: str, message: Message) -> None:
        def handle() -> None:
            ledger = self.ledgers[receiver]
            self.apply(receiver, ledger.handle(sender, message, self.now_s))

        if receiver in self.paused:
            self._backlog.append((receiver, handle))
        elif receiver in self.ledgers:
            handle()
