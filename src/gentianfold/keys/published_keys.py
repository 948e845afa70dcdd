"""The keys of one file, for checks before it is published."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

import attrs

from gentianfold.configuration.key_table import KeyState
from gentianfold.keys.key import digest_key, is_key

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianfold.configuration.key_table import KeyRecord


@attrs.frozen
class PublishedKeys:
    """Customers by the digest of their keys.

    The table is looked up by digest. The time of a dictionary lookup depends on the
    digest of what was presented, which a caller can't steer towards a stored digest
    without inverting SHA-256, so it tells nothing of use. The final comparison takes
    constant time nonetheless.
    """

    records: dict[str, KeyRecord] = attrs.field(factory=dict)
    """Published records by key digest."""

    @classmethod
    def from_records(cls, records: Iterable[KeyRecord]) -> PublishedKeys:
        """Build the table of published records."""
        return cls({record.digest: record for record in records})

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
        record = self.records.get(digest)
        if record is None or not hmac.compare_digest(record.digest, digest):
            return None
        return record.customer if record.state is KeyState.GRANTED else None
