"""Caller keys and their digests.

A key is 256 random bits, so nobody finds it by trying: neither from its digest nor
by asking the fleet. Slow password hashes exist to make guessing a human's choice
expensive; for a uniformly random key they'd add nothing but a cost to each request.
SHA-256 is one-way, and a digest that leaks lets nobody in.
"""

from __future__ import annotations

import hashlib
import re
import secrets

KEY_PREFIX = "gf_"
"""Starts each key, so that secret scanners find keys in logs and repositories."""
KEY_BYTES = 32
"""Random bytes of a key."""
KEY_SHAPE = re.compile(rb"gf_[A-Za-z0-9_-]{43}")
"""Matches any text with the shape of a key."""


def new_key() -> str:
    """Return a new random key."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def is_key(text: str) -> bool:
    """Tell whether ``text`` has the shape of a key."""
    return KEY_SHAPE.fullmatch(text.encode(errors="surrogateescape")) is not None


def digest_key(key: str) -> str:
    """Return the SHA-256 digest of a key in hexadecimal, as it is published."""
    return hashlib.sha256(key.encode(errors="surrogateescape")).hexdigest()
