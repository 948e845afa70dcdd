"""Published keys: digests of keys and the customers that hold them."""

from __future__ import annotations

import enum
import re
from collections.abc import Iterable, Iterator, Mapping

import attrs
import msgspec

from gentianfold.codes.platform import KEY_DUPLICATED, KEY_MISPLACED, SHARD_MALFORMED
from gentianfold.errors import Failure, Location

KEYS_PER_SHARD = 1000
"""Keys in one shard above which publishers use more shards."""
MAX_KEY_SHARDS = 256
"""Most key shards."""


class KeyState(enum.Enum):
    """Whether a key may be used."""

    GRANTED = "granted"
    """Requests with it are admitted."""
    WITHDRAWN = "withdrawn"
    """Requests with it are refused."""


@attrs.frozen
class KeyRecord:
    """One published key."""

    customer: str
    """Name of the customer that holds it."""
    digest: str
    """SHA-256 of the key in lower-case hexadecimal digits."""
    state: KeyState = KeyState.GRANTED
    """Whether it may be used."""


@attrs.frozen(eq=False)
class KeyTable(Mapping[str, str]):
    """Granted keys: customer by digest, kept in shards so that changes are cheap."""

    shards: Mapping[str, Mapping[str, str]] = attrs.field(factory=dict)
    """Granted keys by shard name."""
    shard_count: int = 1
    """Number of shards that digests are spread over."""

    def __getitem__(self, digest: str) -> str:
        """Return the customer that holds the key with this digest."""
        try:
            name = key_shard_name(digest, self.shard_count)
        except ValueError:
            raise KeyError(digest) from None
        return self.shards.get(name, {})[digest]

    def __iter__(self) -> Iterator[str]:
        """Iterate over all digests."""
        return (digest for shard in self.shards.values() for digest in shard)

    def __len__(self) -> int:
        """Return the number of granted keys."""
        return sum(map(len, self.shards.values()))


def key_shard_count(key_count: int) -> int:
    """Return the number of shards for this many keys, a power of two."""
    needed = -(-key_count // KEYS_PER_SHARD)
    return min(MAX_KEY_SHARDS, 1 << max(0, needed - 1).bit_length())


def key_shard_name(digest: str, shard_count: int) -> str:
    """Return the name of the shard that a digest belongs to."""
    return f"keys-{int(digest[:2], 16) * shard_count // 256:02x}"


def encode_key_shard(records: Iterable[KeyRecord]) -> bytes:
    """Write the records of one shard, one JSON object a line."""
    ordered = sorted(records, key=lambda record: record.digest)
    return msgspec.json.Encoder().encode_lines(ordered)


def parse_key_shard(
    name: str, data: bytes, shard_count: int
) -> dict[str, str] | Failure:
    """Read one shard and return its granted keys."""
    granted: dict[str, str] = {}
    seen: set[str] = set()
    for line, text in enumerate(data.splitlines(), 1):
        record = _parse_record(text, name, shard_count)
        if isinstance(record, Failure):
            return attrs.evolve(record, location=Location(name, line))
        if record.digest in seen:
            reason = f"the key of {record.customer} stands twice"
            return Failure(KEY_DUPLICATED, reason, location=Location(name, line))
        seen.add(record.digest)
        if record.state is KeyState.GRANTED:
            granted[record.digest] = record.customer
    return granted


_DECODER = msgspec.json.Decoder(KeyRecord)
_DIGEST = re.compile("[0-9a-f]{64}")


def _parse_record(text: bytes, name: str, shard_count: int) -> KeyRecord | Failure:
    try:
        record = _DECODER.decode(text)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(SHARD_MALFORMED, str(error))
    if not _DIGEST.fullmatch(record.digest):
        reason = "the digest isn't 64 lower-case hexadecimal digits"
        return Failure(SHARD_MALFORMED, reason)
    if key_shard_name(record.digest, shard_count) != name:
        reason = f"the key of {record.customer} belongs to another shard"
        return Failure(KEY_MISPLACED, reason)
    return record
