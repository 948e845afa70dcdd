"""Exclusive possession of share slots over changing VM lists."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

import attrs

from gentianfold.codes.limits import SHARES_SUSPENDED
from gentianfold.errors import Failure
from gentianfold.limits.list_history import ListHistory
from gentianfold.limits.slot_map import SHARE_SLOTS, SlotMap, slot_of_key
from gentianfold.limits.timing import Timing, quorum_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianfold.limits.peer_table import PeerRow, PeerTable

FOUNDER_S = 30.0
"""Time for which a VM that was established in a cold start says so."""


@attrs.frozen
class OwnSlot:
    """This VM alone possesses the slot."""

    slot: int
    """The share slot."""
    since_s: float
    """When this VM took it."""


@attrs.frozen
class RemoteOwner:
    """Another VM should possess the slot."""

    vm: str
    """The owner by the list in force."""


class SharePolicy(Protocol):
    """Decides the proofs that possession rests on; tests replace it by faulty ones."""

    def keeps(self, keep_until_s: float, now_s: float) -> bool:
        """Tell whether acknowledgements still let this VM use its slots."""
        ...

    def lacks_slot(self, row: PeerRow, slot: int, version: int) -> bool:
        """Tell whether a listed peer surely has no use of a slot any more."""
        ...

    def older_lists_closed(self, history: ListHistory) -> bool:
        """Tell whether no VM uses slots under an older list any more."""
        ...


class StrictSharePolicy:
    """The proofs that keep possession exclusive."""

    def keeps(self, keep_until_s: float, now_s: float) -> bool:
        """Tell whether acknowledgements still let this VM use its slots."""
        return now_s < keep_until_s

    def lacks_slot(self, row: PeerRow, slot: int, version: int) -> bool:
        """Tell whether a listed peer surely has no use of a slot any more."""
        heartbeat = row.heartbeat
        return (
            heartbeat.version == version
            and not heartbeat.young
            and not heartbeat.open_versions
            and slot not in heartbeat.releasing
        )

    def older_lists_closed(self, history: ListHistory) -> bool:
        """Tell whether no VM uses slots under an older list any more."""
        return not history.open_lists


@attrs.define
class ShareTable:
    """The share slots that this VM possesses, and why it may use them."""

    own_vm: str
    """Name of this VM."""
    peers: PeerTable
    """What is known of the other VMs."""
    start_s: float
    """When this incarnation started."""
    policy: SharePolicy = attrs.field(factory=StrictSharePolicy)
    """The proofs that possession rests on."""
    version: int = 0
    """Version of the VM list in force; 0 for none."""
    slot_map: SlotMap = attrs.field(factory=lambda: SlotMap(frozenset()))
    """Owners of the slots by the list in force."""
    history: ListHistory = attrs.field(init=False)
    """Older list versions."""
    owned: frozenset[int] = frozenset()
    """Slots that the list in force gives to this VM."""
    held: dict[int, float] = attrs.field(factory=dict)
    """Slots in possession, with the time they were taken."""
    releasing: dict[int, int] = attrs.field(factory=dict)
    """Slots given up, with the pledge generation that no longer contains them."""
    keep_until_s: float = -math.inf
    """Until when acknowledgements let this VM use its slots."""
    established_s: float = math.inf
    """When this VM was established; infinite if it isn't."""
    founder: bool = False
    """Whether it was established in a cold start."""
    young: bool = True
    """Whether pledges of an earlier incarnation may still be in use."""
    stopping: bool = False
    """Whether this VM is about to stop and takes no slot any more."""
    on_slot_taken: list[Callable[[int, float], None]] = attrs.field(factory=list)
    """Called with slot and time after this VM took a slot."""

    def __attrs_post_init__(self) -> None:
        self.history = ListHistory(self.own_vm)

    @property
    def members(self) -> frozenset[str]:
        """Return the VMs of the list in force."""
        return self.slot_map.members

    @property
    def others(self) -> frozenset[str]:
        """Return the other VMs of the list in force."""
        return self.members - {self.own_vm}

    @property
    def timing(self) -> Timing:
        """Return the durations that the list in force implies."""
        return Timing.for_size(len(self.members))

    @property
    def established(self) -> bool:
        """Tell whether this VM knows the history of the fleet."""
        return self.established_s < math.inf

    def on_list(
        self, version: int, members: frozenset[str], generation: int, now_s: float
    ) -> bool:
        """Adopt a newer list; tell whether slots were given up.

        Args:
            version: Version of the list.
            members: The VMs of the list, leaving ones excluded.
            generation: Pledge generation that won't contain the slots given up.
            now_s: Time on this VM's clock.
        """
        if version <= self.version:
            return False
        skipped = version != self.version + 1
        if self.version:
            self.history.add(self.version, self.members, self.peers.incarnation, now_s)
        self.version = version
        self.slot_map = SlotMap(members, self.slot_map if self.members else None)
        self.owned = frozenset(
            self.slot_map.slots_of(self.own_vm, SHARE_SLOTS)
            if self.own_vm in members
            else ()
        )
        # In a version that was skipped, others may have taken any slot.
        kept = frozenset() if skipped else self.owned
        given_up = [slot for slot in self.held if slot not in kept]
        for slot in given_up:
            del self.held[slot]
            self.releasing[slot] = generation
        return bool(given_up)

    def on_off(self, vms: frozenset[str], now_s: float) -> None:
        """Take the operators' word that VMs are switched off for good."""
        for vm in vms:
            self.history.off_s.setdefault(vm, now_s)

    def release_all(self, generation: int) -> None:
        """Give every slot up, because this VM stops."""
        self.stopping = True
        self.releasing.update(dict.fromkeys(self.held, generation))
        self.held.clear()

    def usable(self, now_s: float) -> bool:
        """Tell whether this VM may use the slots it possesses."""
        return self.established and self.policy.keeps(self.keep_until_s, now_s)

    def authority(
        self, slot_key: bytes, now_s: float
    ) -> OwnSlot | RemoteOwner | Failure:
        """Say who exclusively possesses the slot that a key falls into."""
        slot = slot_of_key(slot_key, SHARE_SLOTS)
        if not self.members:
            return Failure(SHARES_SUSPENDED, "no VM list is known yet", 1.0)
        owner = self.slot_map.owner(slot)
        if owner != self.own_vm:
            return RemoteOwner(owner)
        since_s = self.held.get(slot)
        if since_s is None or not self.usable(now_s):
            return Failure(
                SHARES_SUSPENDED,
                f"share slot {slot} is not in possession",
                self.timing.heartbeat_s,
            )
        return OwnSlot(slot, since_s)

    def step(self, pledges_over: Callable[[int], bool], now_s: float) -> None:
        """Establish, renew and take what the latest heartbeats allow.

        Args:
            pledges_over: Tells whether all pledges older than a generation ended.
            now_s: Time on this VM's clock.
        """
        if self.own_vm not in self.members:
            self._finish_releases(pledges_over)
            return
        if self.young and now_s > self.start_s + self.timing.restart_s:
            self.young = False
        if not self.established:
            self._establish(now_s)
        self.founder = self.founder and now_s < self.established_s + FOUNDER_S
        self._renew(now_s)
        self.history.step(self.version, self.members, self.peers, now_s)
        self._finish_releases(pledges_over)
        self._take(now_s)

    def _establish(self, now_s: float) -> None:
        rows = [self.peers.confirmed(vm) for vm in self.others]
        current = [
            row.heartbeat
            for row in rows
            if row is not None and row.heartbeat.version == self.version
        ]
        informed = sum(beat.established and not beat.open_versions for beat in current)
        fresh = sum(beat.founder or not beat.established for beat in current)
        cold_start = fresh == len(self.others)
        if informed < quorum_of(len(self.members)) and not cold_start:
            return
        self.established_s = now_s
        self.founder = cold_start

    def _renew(self, now_s: float) -> None:
        if not self.established:
            return
        acks = sorted(
            (
                row.ack_s
                for vm in self.others
                if (row := self.peers.rows.get(vm)) and row.ack_version == self.version
            ),
            reverse=True,
        )
        wanted = quorum_of(len(self.members)) - 1
        if len(acks) < wanted:
            return
        oldest_s = acks[wanted - 1] if wanted else now_s
        self.keep_until_s = max(self.keep_until_s, oldest_s + self.timing.keep_s)

    def _finish_releases(self, pledges_over: Callable[[int], bool]) -> None:
        for slot, generation in list(self.releasing.items()):
            if pledges_over(generation):
                del self.releasing[slot]

    def _take(self, now_s: float) -> None:
        missing = self.owned - self.held.keys() - self.releasing.keys()
        if not missing or self.young or self.stopping or not self.established:
            return
        if not self.policy.older_lists_closed(self.history):
            return
        rows = [self.peers.confirmed(vm) for vm in self.others]
        if None in rows:
            return
        for slot in missing:
            if all(
                self.policy.lacks_slot(row, slot, self.version) for row in rows if row
            ):
                self.held[slot] = now_s
                for callback in self.on_slot_taken:
                    callback(slot, now_s)
