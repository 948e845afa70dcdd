"""List of upstreams, merged by revision from the store and from other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.fleet.messages import UpstreamChanges, UpstreamEntry
from gentianfold.model import Upstream, UpstreamState

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_ENTRIES_PER_DATAGRAM = 10
"""Entries in one datagram (count): keeps it below the usual packet size."""
MAX_TOMBSTONES = 500
"""Deletions that are kept (count); a VM that missed more is sent all entries."""


@attrs.define
class UpstreamList:
    """Replicated list of upstreams; of each, the entry of the highest revision is kept."""

    revision: int = 0
    """Revision up to which all changes are known."""
    _entries: dict[str, UpstreamEntry] = attrs.field(factory=dict)
    _tombstones: dict[str, UpstreamEntry] = attrs.field(factory=dict)
    _purged_revision: int = 0

    def put(self, entry: UpstreamEntry) -> bool:
        """Store an entry if it is newer than the known one.

        Returns:
            Whether the upstream changed in more than its revision.
        """
        known = self._entries.get(entry.name) or self._tombstones.get(entry.name)
        if known is not None and known.revision >= entry.revision:
            return False
        self._tombstones.pop(entry.name, None)
        old = self._entries.pop(entry.name, None)
        if entry.is_deleted:
            self._add_tombstone(entry)
            return old is not None
        if old is not None and _is_unchanged(old, entry):
            # Keep the old revision: there is no change to send to other VMs.
            self._entries[entry.name] = old
            return False
        self._entries[entry.name] = entry
        return True

    def replace(self, entries: Iterable[UpstreamEntry], revision: int) -> bool:
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
        for name in missing:
            self._add_tombstone(UpstreamEntry(name, revision, is_deleted=True))
            del self._entries[name]
        self.revision = max(self.revision, revision)
        return any(changed) or bool(missing)

    def changes_after(self, revision: int) -> UpstreamChanges:
        """Return the first changes after a revision that fit into one datagram.

        Below the revision of a forgotten deletion, changes that are no snapshot begin
        above the receiver's revision: it must read the store.
        """
        is_snapshot = revision < self._purged_revision or revision == 0
        known = [*self._entries.values()]
        if not is_snapshot:
            known += self._tombstones.values()
        newer = sorted(
            (entry for entry in known if is_snapshot or entry.revision > revision),
            key=lambda entry: entry.revision,
        )
        if is_snapshot and len(newer) > MAX_ENTRIES_PER_DATAGRAM and revision:
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
        """Merge changes from another VM; tell whether any upstream changed."""
        if changes.is_snapshot:
            if changes.through_revision < self.revision:
                return False
            return self.replace(changes.entries, changes.through_revision)
        changed = [self.put(entry) for entry in changes.entries]
        if changes.after_revision <= self.revision:
            self.revision = max(self.revision, changes.through_revision)
        return any(changed)

    def advance_revision(self, last_change_revision: int, revision: int) -> bool:
        """Record that all changes up to a revision are known.

        Args:
            last_change_revision: Revision of the last change that the broker knows.
            revision: Revision up to which the broker knows all changes.

        Returns:
            False, without effect, if this list lacks changes.
        """
        if self.revision < last_change_revision:
            return False
        self.revision = max(self.revision, revision)
        return True

    @property
    def last_change_revision(self) -> int:
        """Revision of the last known change; 0 for an empty list."""
        known = (*self._entries.values(), *self._tombstones.values())
        return max((entry.revision for entry in known), default=0)

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

    def _add_tombstone(self, entry: UpstreamEntry) -> None:
        self._tombstones[entry.name] = entry
        if len(self._tombstones) > MAX_TOMBSTONES:
            oldest = min(
                self._tombstones.values(), key=lambda tombstone: tombstone.revision
            )
            self._purged_revision = oldest.revision
            del self._tombstones[oldest.name]


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
