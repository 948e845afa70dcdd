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
    _purged_revision: StoreRevision = NO_REVISION
    # Revision in the previous era up to which this list knows all changes.
    _previous_era_revision: StoreRevision = NO_REVISION

    def put(self, entry: UpstreamEntry) -> bool:
        """Store an entry if it is newer than the known one.

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
            # Keep the old revision: there is no change to send to other VMs.
            self._entries[entry.name] = msgspec.structs.replace(
                old, sequence=entry.sequence
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
        changed = [self.put(entry) for entry in listed.values()]
        missing = [
            name
            for name, entry in self._entries.items()
            if name not in listed and entry.revision <= revision
        ]
        self._withheld = {
            name: entry for name, entry in self._withheld.items() if name in listed
        }
        self.advance(revision)
        for name in missing:
            known = self._entries.pop(name)
            self.advance(self.revision.next_step())
            self._add_tombstone(_to_tombstone(name, self.revision, known))
        return any(changed) or bool(missing)

    def advance(self, revision: StoreRevision) -> None:
        """Record that all changes up to a revision are known."""
        if revision.era > self.revision.era:
            self._previous_era_revision = self.revision
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

        Below the revision of a forgotten deletion, and above what this list knows of an
        earlier era, changes that are no snapshot begin above the receiver's revision:
        it must read the store.
        """
        if self._lacks_changes_before(revision):
            revision = StoreRevision(self.revision.era)
        is_snapshot = revision < self._purged_revision or revision == NO_REVISION
        known = [*self._entries.values()]
        if not is_snapshot:
            known += self._tombstones.values()
        newer = sorted(
            (entry for entry in known if is_snapshot or entry.revision > revision),
            key=lambda entry: entry.revision,
        )
        is_new = revision == NO_REVISION
        if is_snapshot and len(newer) > MAX_ENTRIES_PER_DATAGRAM and not is_new:
            newer = [entry for entry in newer if entry.revision > revision]
            part = newer[:MAX_ENTRIES_PER_DATAGRAM]
            through_revision = max(self._purged_revision, part[-1].revision)
            return UpstreamChanges(
                self._purged_revision, through_revision, False, tuple(part)
            )
        if len(newer) <= MAX_ENTRIES_PER_DATAGRAM:
            return UpstreamChanges(revision, self.revision, is_snapshot, tuple(newer))
        # Later calls return the rest, as changes after the last revision of this part.
        part = newer[:MAX_ENTRIES_PER_DATAGRAM]
        return UpstreamChanges(revision, part[-1].revision, False, tuple(part))

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
        changed = [self.put(entry) for entry in changes.entries]
        if changes.after_revision <= self.revision:
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
        """Revision of the last known change; the start of its era counts as one."""
        known = (*self._entries.values(), *self._tombstones.values())
        start = StoreRevision(self.revision.era)
        return max([entry.revision for entry in known] + [start])

    def is_usable(self, name: str) -> bool:
        """Tell whether an upstream may get requests.

        False if the upstream is draining or was deleted; true if it is unknown.
        """
        if name in self._tombstones:
            return False
        entry = self._entries.get(name)
        return entry is None or not entry.is_draining

    def upstreams(self) -> list[Upstream]:
        """Return all upstreams, draining ones included."""
        return [_to_upstream(entry) for entry in self._entries.values()]

    def names(self) -> frozenset[str]:
        """Return the names of all upstreams, draining ones included."""
        return frozenset(self._entries)

    def _lacks_changes_before(self, revision: StoreRevision) -> bool:
        """Tell whether a VM at a revision may know changes that this list lacks."""
        if revision == NO_REVISION or revision.era >= self.revision.era:
            return False
        previous = self._previous_era_revision
        return revision.era < previous.era or revision > previous

    def _add_tombstone(self, entry: UpstreamEntry) -> None:
        self._tombstones[entry.name] = entry
        if len(self._tombstones) > MAX_TOMBSTONES:
            oldest = min(
                self._tombstones.values(), key=lambda tombstone: tombstone.revision
            )
            self._purged_revision = oldest.revision
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
        return known.is_deleted or known.is_draining
    return count < known_count


def _is_unchanged(old: UpstreamEntry, new: UpstreamEntry) -> bool:
    """Tell whether two entries differ only in revision and remaining warm-up time.

    The end of the warm-up counts as a difference.
    """
    return (
        old.service == new.service
        and old.host == new.host
        and old.port == new.port
        and old.zone == new.zone
        and old.slots == new.slots
        and old.is_draining == new.is_draining
        and old.start_time_ms == new.start_time_ms
        and (old.warmup_remaining_ms == 0 or new.warmup_remaining_ms > 0)
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
    )
