"""Records of idempotency keys, and the rule for where their copies must be."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection


UNHEARD = 0
"""Incarnation of a listed VM that was never heard, whichever it may be."""


@attrs.frozen
class Member:
    """One incarnation of a VM; a restarted VM is another member."""

    vm: str
    """Name of the VM."""
    incarnation: int
    """Number that differs from one start of the VM to the next."""
    zone: str
    """Availability zone."""


@attrs.frozen
class StoredAnswer:
    """An answer kept for repeats of its request."""

    status: int
    """HTTP status."""
    headers: tuple[tuple[bytes, bytes], ...]
    """Headers with names in lower case."""
    body: bytes
    """The whole body."""


class RecordState(enum.Enum):
    """How far a keyed request got."""

    COPYING = "copying"
    """Copies are on their way; it may not be forwarded yet."""
    ADMITTED = "admitted"
    """It may have been forwarded."""
    ANSWERED = "answered"
    """Its answer is known."""
    UNKNOWN = "unknown"
    """It may have run, and its answer will not come."""


@attrs.frozen
class Record:
    """What is known of one idempotency key of one customer."""

    slot: int
    """Share slot that the key hashes to."""
    customer: str
    """Name of the customer."""
    key: bytes
    """The idempotency key."""
    digest: bytes
    """Digest of the request."""
    ticket: str
    """Identifies the one request that may run."""
    admission: str
    """Identifies this try of a home to admit it."""
    state: RecordState
    """How far it got."""
    created_at_s: float
    """When it was recorded, by the clock of the VM that holds it."""
    answer: StoredAnswer | None = None
    """The answer, unless it is unknown or too large to keep."""

    @property
    def name(self) -> tuple[str, bytes]:
        """The customer and key that the record is for."""
        return self.customer, self.key


@attrs.frozen
class CopyRule:
    """Where a record must be before its request is forwarded.

    The rule is the same constant on every VM: a reader relies on what the writers did.
    """

    holders: int = 3
    """VMs that hold a record, its home among them."""
    zones: int = 2
    """Zones that the holders span."""

    def suffices(self, holders: Collection[Member]) -> bool:
        """Return whether a request may be forwarded with its record there."""
        # A restarted VM forgot what its former incarnation held: it counts once.
        vms = {member.vm for member in holders}
        zones = {member.zone for member in holders}
        return len(vms) >= self.holders and len(zones) >= self.zones

    def may_be_lost(self, missing: Collection[Member]) -> bool:
        """Return whether all holders of some record may be among ``missing``."""
        return self.suffices(missing)

    def choose(
        self, home: Member, members: Collection[Member], holders: Collection[Member]
    ) -> list[Member]:
        """Return further members to copy a record to, other zones first.

        Args:
            home: The member that holds the record already.
            members: Members that are heard, in order of preference.
            holders: Members that hold a copy or were asked for one.
        """
        taken = {home.vm, *(holder.vm for holder in holders)}
        free = [one for one in members if one.vm not in taken]
        chosen = list(holders)
        while free and not self.suffices([home, *chosen]):
            zones = {home.zone, *(member.zone for member in chosen)}
            best = min(free, key=lambda member: member.zone in zones)
            free.remove(best)
            chosen.append(best)
        return [member for member in chosen if member not in holders]


def merge(first: Record | None, second: Record) -> Record:
    """Return one record for what two VMs know of the same admission."""
    if first is None:
        return second
    known = first if first.state is RecordState.ANSWERED else second
    newest_s = max(first.created_at_s, second.created_at_s)
    return attrs.evolve(known, created_at_s=newest_s)
