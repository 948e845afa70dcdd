"""Sets of VMs that buckets are spread over, known by their digests."""

from __future__ import annotations

import attrs
from xxhash import xxh3_64_digest

from gentianfold.limits.slot_map import SlotMap

MAX_VIEWS = 64
"""Most views that are remembered."""


@attrs.frozen
class View:
    """A set of VMs and the home that it names for each home slot."""

    digest: bytes
    """Digest of the member names."""
    homes: SlotMap
    """Homes by home slot."""

    @property
    def members(self) -> frozenset[str]:
        """Return the VMs of the view."""
        return self.homes.members


def digest_of(members: frozenset[str]) -> bytes:
    """Return the digest that identifies a set of VMs."""
    return xxh3_64_digest("\n".join(sorted(members)).encode())


@attrs.define
class ViewTable:
    """Views by digest, the least recently used one first."""

    views: dict[bytes, View] = attrs.field(factory=dict)
    """The known views."""

    def of(self, members: frozenset[str]) -> View:
        """Return the view with these members."""
        digest = digest_of(members)
        view = self.get(digest)
        if view is None:
            base = next(reversed(self.views.values()), None)
            view = View(digest, SlotMap(members, base.homes if base else None))
            self.views[digest] = view
            self._shrink()
        return view

    def get(self, digest: bytes) -> View | None:
        """Return a known view and mark it as used."""
        view = self.views.pop(digest, None)
        if view is not None:
            self.views[digest] = view
        return view

    def _shrink(self) -> None:
        while len(self.views) > MAX_VIEWS:
            del self.views[next(iter(self.views))]
