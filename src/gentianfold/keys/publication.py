"""The published keys: one JSON object a line, with digests and no key."""

from __future__ import annotations

import re
from collections import Counter
from typing import TYPE_CHECKING

import attrs
import msgspec

from gentianfold.codes import keys as codes
from gentianfold.errors import Code, Failure, Location
from gentianfold.keys.key_table import KeyTable

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_KEYS_BYTES = 1 << 20
"""Largest keys text, which is also the largest published value."""
MAX_KEYS_PER_CUSTOMER = 2
"""Active keys of one customer: the one in use, and the next one in a rotation."""

_DIGEST = re.compile(r"[0-9a-f]{64}", re.ASCII)
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", re.ASCII)
_EXAMPLE = '{"customer": "NAME", "key_sha256": "64 hexadecimal digits"}'


@attrs.frozen
class KeyEntry:
    """A published key."""

    customer: str
    """Name of the customer that holds it."""
    key_sha256: str
    """Its digest in lower-case hexadecimal."""


def format_entry(entry: KeyEntry) -> str:
    """Write an entry as the line to publish."""
    return msgspec.json.encode(attrs.asdict(entry)).decode()


def parse_keys(text: str, source: str) -> KeyTable | tuple[Failure, ...]:
    """Parse the published keys.

    Blank lines, and lines that start with ``//`` or ``#``, are skipped.

    Args:
        text: The whole text.
        source: Its name, for locations.

    Returns:
        The table of keys, or every fault in the order of the lines.
    """
    if len(text.encode(errors="replace")) > MAX_KEYS_BYTES:
        reason = f"the text is larger than {MAX_KEYS_BYTES} bytes"
        return (_failure(codes.KEYS_TOO_LARGE, reason, source, 1),)
    lines = [
        (number, _parse_entry(line, source, number))
        for number, line in enumerate(text.split("\n"), start=1)
        if line.strip() and not line.lstrip().startswith(("//", "#"))
    ]
    failures = [entry for _, entry in lines if isinstance(entry, Failure)]
    entries = [
        (number, entry) for number, entry in lines if isinstance(entry, KeyEntry)
    ]
    failures += _check_entries(entries, source)
    if failures:
        return tuple(failures)
    return KeyTable.from_entries(entry for _, entry in entries)


def _parse_entry(line: str, source: str, number: int) -> KeyEntry | Failure:
    """Parse one line."""
    try:
        entry = msgspec.json.decode(line.encode(errors="replace"), type=KeyEntry)
    except (msgspec.DecodeError, RecursionError):
        # The line isn't quoted: it may hold a key that was published by mistake.
        reason = f"the line isn't of the form {_EXAMPLE}"
        return _failure(codes.KEY_LINE_INVALID, reason, source, number)
    if not _NAME.fullmatch(entry.customer):
        reason = "the customer's name has characters that names don't have"
        return _failure(codes.KEY_LINE_INVALID, reason, source, number)
    if not _DIGEST.fullmatch(entry.key_sha256):
        reason = "key_sha256 isn't 64 lower-case hexadecimal digits"
        return _failure(codes.KEY_LINE_INVALID, reason, source, number)
    return entry


def _check_entries(
    entries: list[tuple[int, KeyEntry]], source: str
) -> Iterator[Failure]:
    """Find keys that stand twice, and customers with too many keys."""
    first_lines: dict[str, int] = {}
    counts: Counter[str] = Counter()
    for number, entry in entries:
        first = first_lines.setdefault(entry.key_sha256, number)
        if first != number:
            reason = f"the key already stands in line {first}"
            yield _failure(codes.KEY_DUPLICATE, reason, source, number)
            continue
        counts[entry.customer] += 1
        if counts[entry.customer] > MAX_KEYS_PER_CUSTOMER:
            reason = (
                f"customer {entry.customer!r} has key {counts[entry.customer]}; "
                f"{MAX_KEYS_PER_CUSTOMER} may be active"
            )
            yield _failure(codes.TOO_MANY_KEYS, reason, source, number)


def _failure(code: Code, reason: str, source: str, line: int) -> Failure:
    """Return a failure with its place."""
    return Failure(code, reason, location=Location(source, line))
