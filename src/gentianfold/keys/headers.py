"""Keys in requests: taking them out, and keeping them from upstreams and logs."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import unquote_to_bytes

from gentianfold.codes.keys import KEY_IN_TARGET, KEYS_DIFFER
from gentianfold.errors import Failure
from gentianfold.keys.key import KEY_SHAPE

if TYPE_CHECKING:
    from collections.abc import Iterable

_AUTHORIZATION = b"authorization"
_API_KEY = b"x-api-key"
_KEY_HEADERS = frozenset((_AUTHORIZATION, _API_KEY, b"proxy-authorization"))
_BEARER = b"bearer"
_MAX_DECODINGS = 4
"""Nested percent-encodings that are undone when looking for a key."""


def extract_key(headers: Iterable[tuple[bytes, bytes]]) -> str | Failure | None:
    """Return the key of a request.

    Only the exact names ``Authorization`` (scheme Bearer) and ``X-Api-Key`` count, in
    any case.

    Args:
        headers: Names and values as received.

    Returns:
        The key, ``None`` without one, or a failure if several keys differ.
    """
    keys = {key for name, value in headers for key in _keys_of(name.lower(), value)}
    if len(keys) > 1:
        return Failure(KEYS_DIFFER, f"the request carries {len(keys)} different keys")
    return keys.pop().decode(errors="surrogateescape") if keys else None


def strip_key_headers(
    headers: Iterable[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Remove every header that could show a key to an upstream.

    Removed are the headers that carry keys, in any case and with underscores in place
    of dashes, and any header whose name or value contains a text with the shape of a
    key, percent-encoded or not. A text of another shape is never accepted as a key.

    Args:
        headers: Names and values as received.

    Returns:
        The other headers, unchanged and in their order.
    """
    return [
        (name, value)
        for name, value in headers
        if _plain_name(name) not in _KEY_HEADERS
        and not _contains_key(name)
        and not _contains_key(value)
    ]


def check_target(target: bytes | str) -> Failure | None:
    """Refuse a request target that contains a key.

    Args:
        target: Path and query string as received.

    Returns:
        A failure if the target contains a text with the shape of a key.
    """
    raw = target.encode(errors="surrogateescape") if isinstance(target, str) else target
    if _contains_key(raw):
        return Failure(KEY_IN_TARGET, "the request target contains a key")
    return None


def _keys_of(name: bytes, value: bytes) -> Iterable[bytes]:
    """Return the keys that a header carries."""
    value = value.strip()
    if name == _API_KEY:
        # A list of values is what repeated headers become when they are joined.
        return [part.strip() for part in value.split(b",") if part.strip()]
    if name != _AUTHORIZATION:
        return ()
    scheme, _, key = value.partition(b" ")
    return [key.strip()] if scheme.lower() == _BEARER and key.strip() else ()


def _plain_name(name: bytes) -> bytes:
    """Return a header name as gateways fold it: lower case, with dashes."""
    return name.strip().lower().replace(b"_", b"-")


def _contains_key(text: bytes) -> bool:
    """Tell whether a text contains a key, looking through percent-encodings."""
    for _ in range(_MAX_DECODINGS):
        if KEY_SHAPE.search(text):
            return True
        if b"%" not in text:
            return False
        text = unquote_to_bytes(text)
    return False
