"""The list of upstreams, merged by revision from the store and from other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.fleet.messages import UpstreamEntry, Upstreams
from gentianfold.model import Upstream, UpstreamState

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_ENTRIES = 10
"""Entries in one datagram (count): stays below the usual packet size."""
MAX_TOMBSTONES = 500
"""Ends of upstreams that are remembered (count); a VM that missed more gets all."""


@attrs.define
class UpstreamList:
    """Entries by name; the highest revision of each wins."""

    revision: int = 0
    """Revision up to which all changes are known."""
    _entries: dict[str, UpstreamEntry] = attrs.field(factory=dict)
    _tombstones: dict[str, UpstreamEntry] = attrs.field(factory=dict)
    _forgotten_revision: int = 0

    def put(self, entry: UpstreamEntry) -> bool:
        """Take an entry if it is newer than the one that is known."""
        known = self._entries.get(entry.name) or self._tombstones.get(entry.name)
        if known is not None and known.revision >= entry.revision:
            return False
        self._tombstones.pop(entry.name, None)
        old = self._entries.pop(entry.name, None)
        if entry.is_deleted:
            self._bury(entry)
            return old is not None
        if old is not None and _same(old, entry):
            # Only the revision rose: nothing that others must learn.
            self._entries[entry.name] = old
            return False
        self._entries[entry.name] = entry
        return True

    def replace(self, entries: Iterable[UpstreamEntry], revision: int) -> bool:
        """Take a full list as it was at a revision."""
        listed = {entry.name: entry for entry in entries}
        changed = [self.put(entry) for entry in listed.values()]
        gone = [
            name
            for name, entry in self._entries.items()
            if name not in listed and entry.revision <= revision
        ]
        for name in gone:
            self._bury(UpstreamEntry(name, revision, is_deleted=True))
            del self._entries[name]
        self.revision = max(self.revision, revision)
        return any(changed) or bool(gone)

    def changes_after(self, revision: int) -> Upstreams:
        """Return the first changes after a revision, for one datagram."""
        is_full = revision < self._forgotten_revision or revision == 0
        known = [*self._entries.values()]
        if not is_full:
            known += self._tombstones.values()
        newer = sorted(
            (entry for entry in known if is_full or entry.revision > revision),
            key=lambda entry: entry.revision,
        )
        if len(newer) <= MAX_ENTRIES:
            return Upstreams(revision, self.revision, is_full, tuple(newer))
        # The rest follows as changes after the last revision of this part.
        part = newer[:MAX_ENTRIES]
        return Upstreams(revision, part[-1].revision, False, tuple(part))

    def merge(self, changes: Upstreams) -> bool:
        """Take changes from another VM; tell whether anything changed."""
        if changes.is_full:
            if changes.upto_revision < self.revision:
                return False
            return self.replace(changes.entries, changes.upto_revision)
        changed = [self.put(entry) for entry in changes.entries]
        if changes.after_revision <= self.revision:
            self.revision = max(self.revision, changes.upto_revision)
        return any(changed)

    def advance_revision(self, changed_revision: int, revision: int) -> bool:
        """Note that nothing changed up to a revision; false if changes are missing."""
        if self.revision < changed_revision:
            return False
        self.revision = max(self.revision, revision)
        return True

    @property
    def changed_revision(self) -> int:
        """Revision of the last change."""
        rows = (*self._entries.values(), *self._tombstones.values())
        return max((row.revision for row in rows), default=0)

    def is_usable(self, name: str) -> bool:
        """Tell whether an upstream is not known to be draining or gone."""
        if name in self._tombstones:
            return False
        entry = self._entries.get(name)
        return entry is None or not entry.is_draining

    def upstreams(self) -> list[Upstream]:
        """Return all upstreams."""
        return [_to_upstream(entry) for entry in self._entries.values()]

    def names(self) -> frozenset[str]:
        """Return the names of all upstreams."""
        return frozenset(self._entries)

    def _bury(self, entry: UpstreamEntry) -> None:
        self._tombstones[entry.name] = entry
        if len(self._tombstones) > MAX_TOMBSTONES:
            oldest = min(self._tombstones.values(), key=lambda row: row.revision)
            self._forgotten_revision = oldest.revision
            del self._tombstones[oldest.name]


def _same(old: UpstreamEntry, new: UpstreamEntry) -> bool:
    """Tell whether two entries differ only in revision and remaining cold time."""
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
