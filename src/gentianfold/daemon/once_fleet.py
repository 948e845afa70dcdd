"""What the ledger of idempotency keys needs to know of the fleet."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from gentianfold.limits.share_table import OwnSlot
from gentianfold.peers.membership import SUSPECT_S
from gentianfold.peers.peer_row import PeerState
from gentianfold.requests.once.records import UNHEARD, Member

if TYPE_CHECKING:
    from gentianfold.configuration.store import ConfigurationStore
    from gentianfold.errors import Failure
    from gentianfold.limits.limiter import Limiter
    from gentianfold.limits.share_table import RemoteOwner
    from gentianfold.peers.membership import MembershipTable


MAX_DEPARTED = 1000
"""Members that left of which a VM remembers that they did."""


@attrs.frozen
class OwnedKeySlot:
    """A share slot that this VM possesses."""

    slot: int
    """Number of the slot."""
    since: float
    """When it was taken; differs from one possession to the next."""


@attrs.frozen
class ShareAuthority:
    """Tells which VM admits a key: the possessor of its share slot."""

    limiter: Limiter
    """Knows the share slots."""

    def authority(
        self, slot_key: bytes, now_s: float
    ) -> OwnedKeySlot | RemoteOwner | Failure:
        """Return the possessor of the slot that ``slot_key`` hashes to."""
        found = self.limiter.authority(slot_key, now_s)
        if isinstance(found, OwnSlot):
            return OwnedKeySlot(found.slot, found.since_s)
        return found


@attrs.define(eq=False)
class FleetRoster:
    """The VMs that may hold records: those heard, and those lately gone."""

    me: Member
    """This VM."""
    table: MembershipTable
    """The view of the peers."""
    store: ConfigurationStore
    """Holds the options of the fleet."""
    retention_s: float
    """How long a member that went is remembered."""
    start_s: float
    """When this VM began to listen."""
    _seen_s: dict[Member, float] = attrs.field(factory=dict)
    _departed: dict[Member, None] = attrs.field(factory=dict)

    def tick(self, now_s: float) -> None:
        """Note who is heard, and forget who went long ago."""
        self._seen_s |= dict.fromkeys(self.live(now_s), now_s)
        oldest_s = now_s - self.retention_s
        self._seen_s = {
            member: seen_s
            for member, seen_s in self._seen_s.items()
            if seen_s > oldest_s
        }

    def live(self, now_s: float) -> list[Member]:
        """Return the members that are heard and stay, this one included."""
        heard = (
            Member(name, row.incarnation.nonce, row.vm.zone)
            for name, row in self.table.rows.items()
            if row.incarnation is not None
            and row.is_heard(now_s, SUSPECT_S)
            and row.state is not PeerState.LEAVING
        )
        return [self.me, *(one for one in heard if one not in self._departed)]

    def depart(self, member: Member) -> None:
        """Forget a member on which no record depends any more."""
        self._departed[member] = None
        self._seen_s.pop(member, None)
        for oldest in list(self._departed)[:-MAX_DEPARTED]:
            del self._departed[oldest]

    def recent(self, now_s: float) -> set[Member]:
        """Return all members that may hold records, listed but unheard VMs too."""
        known = {self.me, *self._seen_s, *self.live(now_s)}
        names = {member.vm for member in known}
        unheard = {
            Member(name, UNHEARD, row.vm.zone)
            for name, row in self.table.rows.items()
            if name not in names
        }
        return known | unheard

    def history_s(self, now_s: float) -> float:
        """Return how far back ``recent`` is known to be whole."""
        snapshot = self.store.snapshot
        if snapshot is not None and snapshot.fleet.clean_start:
            return math.inf
        return now_s - self.start_s
