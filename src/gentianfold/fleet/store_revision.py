"""Revision of the published state, ordered across restorations of the store."""

from __future__ import annotations

import msgspec


class StoreRevision(msgspec.Struct, array_like=True, frozen=True, order=True, gc=False):
    """A point in the history of the store.

    The store gives out the numbers of an earlier era again after it was restored from a
    copy, so revisions are ordered by era first.
    """

    era: int = 0
    """Number of restorations of the store, as it states them; 0 if it states none."""
    number: int = 0
    """Revision within the era; 0 before the first change."""
    step: int = 0
    """Number of changes that a VM made after this revision, such as a deletion that it
    had held back: VMs that know the revision must still learn of them."""

    def next_step(self) -> StoreRevision:
        """Return the revision of the next change without one of the store's own."""
        return StoreRevision(self.era, self.number, self.step + 1)

    def __str__(self) -> str:
        return f"{self.era}.{self.number}" + (f"+{self.step}" if self.step else "")


NO_REVISION = StoreRevision()
"""Revision of a list before its first entry."""
