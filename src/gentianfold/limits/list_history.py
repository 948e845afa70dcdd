"""Older versions of the VM list and the proof that they are out of use."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.limits.timing import Timing, quorum_of

if TYPE_CHECKING:
    from gentianfold.limits.peer_table import PeerTable


@attrs.define
class OpenList:
    """An older list version whose VMs may still use share slots under it."""

    version: int
    """The list version."""
    members: frozenset[str]
    """The VMs of the list."""
    moved_s: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    """Incarnation and time at which a member was first heard at a later version."""

    @property
    def timing(self) -> Timing:
        """Return the durations that the members of this list use."""
        return Timing.for_size(len(self.members))

    def observe(self, peers: PeerTable, now_s: float) -> None:
        """Note the members that are heard at a later version."""
        for vm in self.members:
            row = peers.rows.get(vm)
            if row is None:
                continue
            heartbeat = row.heartbeat
            if heartbeat.version <= self.version:
                self.moved_s.pop(vm, None)
                continue
            known = self.moved_s.get(vm)
            if known is None or known[0] != heartbeat.incarnation:
                self.moved_s[vm] = (heartbeat.incarnation, row.heard_s)

    def keepers_gone(self, own_vm: str, peers: PeerTable, now_s: float) -> bool:
        """Tell whether no VM can use share slots under this version any more.

        That is so once too many members for a quorum have been at later versions,
        all in one incarnation, throughout a common interval that outlasts every
        acknowledgement given before it and every pledge that rested on one.
        """
        needed = len(self.members) - quorum_of(len(self.members)) + 1
        intervals = sorted(
            (moved_s, now_s if vm == own_vm else peers.rows[vm].confirmed_s)
            for vm, (_, moved_s) in self.moved_s.items()
            if vm == own_vm or vm in peers.rows
        )
        live = [pair for pair in intervals if pair[1] - pair[0] >= self.timing.fence_s]
        if len(live) < needed:
            return False
        start_s = live[needed - 1][0]
        end_s = start_s + self.timing.fence_s
        return sum(s <= start_s and e >= end_s for s, e in live) >= needed


@attrs.define
class ListHistory:
    """The older list versions that this VM stood at and that are still open."""

    own_vm: str
    """Name of this VM."""
    open_lists: dict[int, OpenList] = attrs.field(factory=dict)
    """Open list versions by number."""
    off_s: dict[str, float] = attrs.field(factory=dict)
    """VMs that operators published as switched off, and when this was learned."""

    def add(
        self, version: int, members: frozenset[str], incarnation: int, now_s: float
    ) -> None:
        """Open the version that this VM has just left."""
        moved = {self.own_vm: (incarnation, now_s)} if self.own_vm in members else {}
        self.open_lists[version] = OpenList(version, members, moved)

    def step(
        self,
        version: int,
        members: frozenset[str],
        peers: PeerTable,
        now_s: float,
    ) -> None:
        """Drop the versions that are proved to be out of use."""
        for number in list(self.open_lists):
            row = self.open_lists[number]
            row.observe(peers, now_s)
            departed = row.members - members
            if row.keepers_gone(self.own_vm, peers, now_s) or all(
                self._holds_nothing(vm, version, peers, row.timing, now_s)
                for vm in departed
            ):
                del self.open_lists[number]

    def departed(self) -> set[str]:
        """Return all VMs of open list versions."""
        return {vm for row in self.open_lists.values() for vm in row.members}

    def _holds_nothing(
        self,
        vm: str,
        version: int,
        peers: PeerTable,
        timing: Timing,
        now_s: float,
    ) -> bool:
        """Tell whether a VM that left the list has no share in use any more."""
        off_s = self.off_s.get(vm)
        if off_s is not None and now_s > off_s + timing.pledge_end_s:
            return True
        row = peers.confirmed(vm)
        if row is None or row.heartbeat.young or row.heartbeat.held_count:
            return False
        # At an older version it may still take slots by what it heard before, even
        # if it was not established yet.
        return row.heartbeat.stopping or row.heartbeat.version >= version
