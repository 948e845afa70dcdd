"""The active keys: which customer a presented key belongs to."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

import attrs

from gentianfold.keys.key import digest_key, is_key

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianfold.keys.publication import KeyEntry


@attrs.frozen
class KeyTable:
    """Customers by the digest of their keys.

    The table is looked up by digest. The time of a dictionary lookup depends on the
    digest of what was presented, which a caller can't steer towards a stored digest
    without inverting SHA-256, so it tells nothing of use. The final comparison takes
    constant time nonetheless.
    """

    entries: dict[str, KeyEntry] = attrs.field(factory=dict)
    """Published entries by key digest."""

    @classmethod
    def from_entries(cls, entries: Iterable[KeyEntry]) -> KeyTable:
        """Build the table of published entries."""
        return cls({entry.key_sha256: entry for entry in entries})

    def find_customer(self, key: str) -> str | None:
        """Return the customer that holds ``key``, or ``None`` if nobody does.

        A text without the shape of a key is never looked up, so what is removed by
        its shape before a request is forwarded includes every key.
        """
        if not is_key(key):
            return None
        return self.find_by_digest(digest_key(key))

    def find_by_digest(self, digest: str) -> str | None:
        """Return the customer whose key has ``digest``, or ``None``.

        Whoever holds a request for long keeps the digest in place of the key, and
        looks it up again to see whether the key was withdrawn.
        """
        entry = self.entries.get(digest)
        if entry is None or not hmac.compare_digest(entry.key_sha256, digest):
            return None
        return entry.customer
