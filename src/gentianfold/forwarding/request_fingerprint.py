"""Fingerprint by which equal requests are recognized, whatever their identifiers."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.forwarding.messages import CallerRequest

DIGEST_BYTES = 12
"""Length of a fingerprint (bytes): no two of a day's requests share one by chance."""


@attrs.define(eq=False, repr=False)
class RequestFingerprint:
    """Digest of method, host, target, customer and body, computed on first use."""

    request: CallerRequest
    """The request."""
    customer: str
    """Name of the customer; empty if there is none."""
    _digest: bytes = b""

    def digest(self) -> bytes:
        """Return the digest; it does not reveal the content."""
        if not self._digest:
            request = self.request
            hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
            for field in (
                request.method,
                (request.header(b"host") or b"").lower(),
                request.target,
                self.customer.encode(),
            ):
                hasher.update(b"%d:" % len(field))
                hasher.update(field)
            hasher.update(b"%d:" % request.body.size_bytes)
            for piece in request.body.pieces:
                hasher.update(piece)
            self._digest = hasher.digest()
        return self._digest
