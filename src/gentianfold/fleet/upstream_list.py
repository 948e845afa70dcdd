"""List of upstreams, merged by revision from the store and from other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from gentianfold.fleet.messages import UpstreamChanges, UpstreamEntry
from gentianfold.fleet.store_revision import NO_REVISION, StoreRevision
from gentianfold.model import Upstream, UpstreamState

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_ENTRIES_PER_DATAGRAM = 10
"""Entries in one datagram (count): keeps it below the usual packet size."""
WARMUP_JITTER_MS = 100
"""Growth of a remaining warm-up that is no new one (milliseconds)."""
MAX_TOMBSTONES = 500
"""Deletions that are kept (count); a VM that missed more is sent all entries."""


@attrs.define
class UpstreamList:
    """Replicated list of upstreams; of each, the entry of the highest revision is kept.

    An entry of a later era may stem from the copy from which the store was restored. It
    replaces a known one only if it is newer by the upstream's own count.
    """

    revision: StoreRevision = NO_REVISION
    """Revision up to which all changes are known."""
    _entries: dict[str, UpstreamEntry] = attrs.field(factory=dict)
    _tombstones: dict[str, UpstreamEntry] = attrs.field(factory=dict)
    # Entries of the copy for upstreams that are known to be deleted.
    _withheld: dict[str, UpstreamEntry] = attrs.field(factory=dict)
    # Below it, VMs may know upstreams whose deletion is forgotten here.
    _purged_revision: StoreRevision = NO_REVISION
    # A list of all items tells no deletions: between the revision that was known before
    # and that of the list, VMs may know upstreams whose deletion was never seen here.
    _known_before_list: StoreRevision = NO_REVISION
    _listed_revision: StoreRevision = NO_REVISION

    def put(self, entry: UpstreamEntry, is_listed: bool = False) -> bool:
        """Store an entry if it is newer than the known one.

        Args:
            entry: The entry or deletion.
            is_listed: Whether it stems from a list of all items, so that other VMs may
                have seen a deletion before it that was not seen here.

        Returns:
            Whether the upstream changed in more than its revision.
        """
        known = self._entries.get(entry.name) or self._tombstones.get(entry.name)
        if known is not None and known.revision >= entry.revision:
            return False
        self._withheld.pop(entry.name, None)
        if known is not None and _is_from_copy(known, entry):
            if known.is_deleted:
                self._withheld[entry.name] = entry
            return False
        self._tombstones.pop(entry.name, None)
        old = self._entries.pop(entry.name, None)
        if entry.is_deleted:
            self._add_tombstone(_to_tombstone(entry.name, entry.revision, known))
            return old is not None
        if old is not None and _is_unchanged(old, entry):
            # With the old revision, the entry is not sent to other VMs again.
            may_be_new = is_listed or entry.revision.era > old.revision.era
            revision = entry.revision if may_be_new else old.revision
            self._entries[entry.name] = msgspec.structs.replace(
                old,
                revision=revision,
                sequence=entry.sequence,
                warmup_remaining_ms=entry.warmup_remaining_ms,
            )
            return False
        self._entries[entry.name] = entry
        return True

    def replace(
        self, entries: Iterable[UpstreamEntry], revision: StoreRevision
    ) -> bool:
        """Replace the list by a snapshot; entries newer than its revision stay.

        Args:
            entries: All upstreams.
            revision: Revision of the snapshot.

        Returns:
            Whether any upstream was added, changed or deleted.
        """
        listed = {entry.name: entry for entry in entries}
        has_changed = self.add_listed(listed.values(), revision)
        missing = [
            name
            for name, entry in self._entries.items()
            if name not in listed and entry.revision <= revision
        ]
        # VMs that did not know of an earlier deletion may use a withheld entry.
        expired = [name for name in self._withheld if name not in listed]
        for name in (*missing, *expired):
            withheld = self._withheld.pop(name, None)
            known = self._entries.pop(name, None) or self._tombstones.get(name)
            self.advance(self.revision.next_step())
            self._add_tombstone(_to_tombstone(name, self.revision, known or withheld))
        return has_changed or bool(missing)

    def add_listed(
        self, entries: Iterable[UpstreamEntry], revision: StoreRevision
    ) -> bool:
        """Add the entries of a snapshot without deleting those that it lacks.

        Returns:
            Whether any upstream was added or changed.
        """
        changed = [self.put(entry, is_listed=True) for entry in entries]
        self._record_list(revision)
        self.advance(revision)
        return any(changed)

    def advance(self, revision: StoreRevision) -> None:
        """Record that all changes up to a revision are known."""
        self.revision = max(self.revision, revision)

    def accept_withheld(self) -> bool:
        """Accept the upstreams that the store still lists long after it was restored.

        An upstream that drained before its deletion stays deleted until it restarts.

        Returns:
            Whether any upstream was added.
        """
        withheld, self._withheld = self._withheld, {}
        accepted = [
            entry
            for name, entry in withheld.items()
            if name not in self._tombstones or not self._tombstones[name].is_draining
        ]
        for entry in accepted:
            self._tombstones.pop(entry.name, None)
            self.advance(self.revision.next_step())
            self._entries[entry.name] = msgspec.structs.replace(
                entry, revision=self.revision
            )
        return bool(accepted)

    def changes_after(self, revision: StoreRevision) -> UpstreamChanges:
        """Return the first changes after a revision that fit into one datagram.

        If deletions after the receiver's revision may be unknown here, changes that are
        no snapshot begin above it: the receiver must read the store.
        """
        complete_from = self._complete_from(revision)
        is_new = revision == NO_REVISION
        is_snapshot = is_new or revision < complete_from
        known = [*self._entries.values()]
        if not is_snapshot:
            known += self._tombstones.values()
        newer = sorted(
            (entry for entry in known if is_snapshot or entry.revision > revision),
            key=lambda entry: entry.revision,
        )
        listed = self._listed_revision
        if is_snapshot and len(newer) > MAX_ENTRIES_PER_DATAGRAM and not is_new:
            newer = [entry for entry in newer if entry.revision > revision]
            part = newer[:MAX_ENTRIES_PER_DATAGRAM]
            through_revision = max([complete_from] + [row.revision for row in part])
            return UpstreamChanges(
                complete_from, through_revision, False, tuple(part), listed
            )
        if len(newer) <= MAX_ENTRIES_PER_DATAGRAM:
            return UpstreamChanges(
                revision, self.revision, is_snapshot, tuple(newer), listed
            )
        # Later calls return the rest, as changes after the last revision of this part.
        part = newer[:MAX_ENTRIES_PER_DATAGRAM]
        return UpstreamChanges(revision, part[-1].revision, False, tuple(part), listed)

    def merge(self, changes: UpstreamChanges) -> bool:
        """Merge changes from another VM; tell whether any upstream changed.

        Changes of an earlier era are ignored: the store may have lost them.
        """
        if changes.through_revision.era < self.revision.era:
            return False
        if changes.is_snapshot:
            if changes.through_revision < self.revision:
                return False
            return self.replace(changes.entries, changes.through_revision)
        changed = [
            self.put(entry)
            for entry in changes.entries
            if entry.revision > self.revision or self._is_known(entry.name)
        ]
        if changes.after_revision <= self.revision:
            self._inherit_list(changes)
            self.advance(changes.through_revision)
        return any(changed)

    def advance_revision(
        self, last_change_revision: StoreRevision, revision: StoreRevision
    ) -> bool:
        """Record that all changes up to a revision are known.

        Args:
            last_change_revision: Revision of the last change that the broker knows.
            revision: Revision up to which the broker knows all changes.

        Returns:
            False, without effect, if this list lacks changes.
        """
        if self.revision < last_change_revision:
            return False
        self.advance(revision)
        return True

    @property
    def last_change_revision(self) -> StoreRevision:
        """Revision of the last known change; the last list counts as one."""
        known = (*self._entries.values(), *self._tombstones.values())
        return max([entry.revision for entry in known] + [self._listed_revision])

    def is_usable(self, name: str) -> bool:
        """Tell whether an upstream may get requests.

        False if the upstream is draining or was deleted; true if it is unknown.
        """
        if name in self._tombstones:
            return False
        entry = self._entries.get(name)
        return entry is None or not entry.is_draining

    def zone(self, name: str) -> str | None:
        """Return the availability zone of an upstream; ``None`` if it is not listed."""
        entry = self._entries.get(name)
        return entry.zone if entry is not None else None

    def upstreams(self) -> list[Upstream]:
        """Return all upstreams, draining ones included."""
        return [_to_upstream(entry) for entry in self._entries.values()]

    def names(self) -> frozenset[str]:
        """Return the names of all upstreams, draining ones included."""
        return frozenset(self._entries)

    def _complete_from(self, revision: StoreRevision) -> StoreRevision:
        """Return the lowest revision from which all changes are known here.

        It is above the given revision if deletions after that may be unknown.
        """
        if self._known_before_list < revision < self._listed_revision:
            return self._listed_revision
        return self._purged_revision

    def _record_list(self, revision: StoreRevision) -> None:
        """Record that the state at a revision was obtained without its deletions."""
        self._purged_revision = max(self._purged_revision, self._listed_revision)
        self._known_before_list, self._listed_revision = self.revision, revision

    def _inherit_list(self, changes: UpstreamChanges) -> None:
        """Record which deletions the sender of changes can't have told."""
        listed = changes.listed_revision
        if self.revision == NO_REVISION:
            # The first entries come without deletions.
            listed = max(listed, changes.through_revision)
        if listed > max(self.revision, self._listed_revision):
            self._record_list(listed)

    def _is_known(self, name: str) -> bool:
        """Tell whether an upstream is listed, or was and its deletion is remembered.

        An entry of a known revision that is neither was deleted before.
        """
        return name in self._entries or name in self._tombstones

    def _add_tombstone(self, entry: UpstreamEntry) -> None:
        self._tombstones[entry.name] = entry
        if len(self._tombstones) > MAX_TOMBSTONES:
            oldest = min(
                self._tombstones.values(), key=lambda tombstone: tombstone.revision
            )
            self._purged_revision = max(self._purged_revision, oldest.revision)
            del self._tombstones[oldest.name]


def _to_tombstone(
    name: str, revision: StoreRevision, known: UpstreamEntry | None
) -> UpstreamEntry:
    """Return the deletion of an upstream, with what is known of its last start."""
    if known is None:
        return UpstreamEntry(name, revision, is_deleted=True)
    return UpstreamEntry(
        name,
        revision,
        is_deleted=True,
        is_draining=known.is_draining,
        start_time_ms=known.start_time_ms,
        sequence=known.sequence,
    )


def _is_from_copy(known: UpstreamEntry, entry: UpstreamEntry) -> bool:
    """Tell whether an entry of a later era is older than the known one."""
    if entry.is_deleted or entry.revision.era <= known.revision.era:
        return False
    known_count = (known.start_time_ms, known.sequence)
    count = (entry.start_time_ms, entry.sequence)
    if count == known_count:
        is_gone = known.is_deleted or known.is_draining
        return is_gone or _is_unchanged(known, entry)
    return count < known_count


def _is_unchanged(old: UpstreamEntry, new: UpstreamEntry) -> bool:
    """Tell whether two entries differ only in revision and remaining warm-up time.

    The end of the warm-up counts as a difference, and so does one that begins or grows:
    an upstream may become cold at any time.
    """
    remaining_ms = old.warmup_remaining_ms
    return (
        old.service == new.service
        and old.host == new.host
        and old.port == new.port
        and old.zone == new.zone
        and old.slots == new.slots
        and old.is_draining == new.is_draining
        and old.start_time_ms == new.start_time_ms
        and (remaining_ms > 0) == (new.warmup_remaining_ms > 0)
        and new.warmup_remaining_ms <= remaining_ms + WARMUP_JITTER_MS
    )


def _to_upstream(entry: UpstreamEntry) -> Upstream:
    return Upstream(
        name=entry.name,
        service=entry.service,
        host=entry.host,
        port=entry.port,
        zone=entry.zone,
        slots=entry.slots,
        state=UpstreamState.DRAINING if entry.is_draining else UpstreamState.LIVE,
        start_time_ms=entry.start_time_ms,
        warmup_remaining_s=entry.warmup_remaining_ms / 1000,
        entry_revision=msgspec.structs.astuple(entry.revision),
    )
