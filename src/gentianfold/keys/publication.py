"""The published keys: one JSON object a line, with digests and no key."""

from __future__ import annotations

import re
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from gentianfold.codes import keys as codes
from gentianfold.configuration.key_table import KeyRecord, KeyState
from gentianfold.errors import Code, Failure, Location
from gentianfold.keys.published_keys import PublishedKeys

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_KEYS_BYTES = 1 << 20
"""Largest keys text, which is also the largest published value."""
MAX_KEYS_PER_CUSTOMER = 2
"""Active keys of one customer: the one in use, and the next one in a rotation."""

_DIGEST = re.compile(r"[0-9a-f]{64}", re.ASCII)
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", re.ASCII)
_EXAMPLE = '{"customer":"NAME","digest":"64 hexadecimal digits","state":"granted"}'


def format_record(record: KeyRecord) -> str:
    """Write a record as the line to publish."""
    return msgspec.json.encode(record).decode()


def parse_keys(text: str, source: str) -> PublishedKeys | tuple[Failure, ...]:
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
        (number, _parse_record(line, source, number))
        for number, line in enumerate(text.split("\n"), start=1)
        if line.strip() and not line.lstrip().startswith(("//", "#"))
    ]
    failures = [record for _, record in lines if isinstance(record, Failure)]
    records = [
        (number, record) for number, record in lines if isinstance(record, KeyRecord)
    ]
    failures += _check_records(records, source)
    if failures:
        return tuple(failures)
    return PublishedKeys.from_records(record for _, record in records)


def _parse_record(line: str, source: str, number: int) -> KeyRecord | Failure:
    """Parse one line."""
    try:
        record = msgspec.json.decode(line.encode(errors="replace"), type=KeyRecord)
    except (msgspec.DecodeError, RecursionError):
        # The line isn't quoted: it may hold a key that was published by mistake.
        reason = f"the line isn't like {_EXAMPLE}"
        return _failure(codes.KEY_LINE_INVALID, reason, source, number)
    if not _NAME.fullmatch(record.customer):
        reason = "the customer's name has characters that names don't have"
        return _failure(codes.KEY_LINE_INVALID, reason, source, number)
    if not _DIGEST.fullmatch(record.digest):
        reason = "digest isn't 64 lower-case hexadecimal digits"
        return _failure(codes.KEY_LINE_INVALID, reason, source, number)
    return record


def _check_records(
    records: list[tuple[int, KeyRecord]], source: str
) -> Iterator[Failure]:
    """Find keys that stand twice, and customers with too many keys."""
    first_lines: dict[str, int] = {}
    counts: Counter[str] = Counter()
    for number, record in records:
        first = first_lines.setdefault(record.digest, number)
        if first != number:
            reason = f"the key already stands in line {first}"
            yield _failure(codes.KEY_DUPLICATE, reason, source, number)
            continue
        if record.state is KeyState.WITHDRAWN:
            continue
        counts[record.customer] += 1
        if counts[record.customer] > MAX_KEYS_PER_CUSTOMER:
            reason = (
                f"customer {record.customer!r} has key {counts[record.customer]}; "
                f"{MAX_KEYS_PER_CUSTOMER} may be active"
            )
            yield _failure(codes.TOO_MANY_KEYS, reason, source, number)


def _failure(code: Code, reason: str, source: str, line: int) -> Failure:
    """Return a failure with its place."""
    return Failure(code, reason, location=Location(source, line))
