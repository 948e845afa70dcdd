"""The root value: a version and the shards that belong to it."""

from __future__ import annotations

import hashlib

import attrs
import msgspec

from gentianfold.codes.platform import ROOT_MALFORMED
from gentianfold.errors import Failure, Location

ROOT_NAME = "config"
"""Name of the root value."""
MAX_VALUE_BYTES = 1_000_000
"""Largest value that the platform holds."""
MAX_SHARDS = 1024
"""Most shards that a root may name."""


@attrs.frozen
class ShardReference:
    """A shard as the root names it."""

    name: str
    """Name of the value that holds the shard."""
    digest: str
    """SHA-256 of its bytes in hexadecimal digits."""
    size: int
    """Its length in bytes."""


@attrs.frozen
class Root:
    """The root value of one version of the configuration."""

    version: int
    """Grows with every publication."""
    shards: tuple[ShardReference, ...]
    """All shards of this version."""
    key_shards: int = 1
    """Number of key shards that digests are spread over, a power of two."""


def digest_of(data: bytes) -> str:
    """Return the digest by which a root names a shard."""
    return hashlib.sha256(data).hexdigest()


def parse_root(data: bytes) -> Root | Failure:
    """Read a root value and check its bounds."""
    try:
        root = msgspec.json.decode(data, type=Root)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return _malformed(str(error))
    return _find_fault(root) or root


def encode_root(root: Root) -> bytes:
    """Write a root value."""
    return msgspec.json.encode(root)


def _find_fault(root: Root) -> Failure | None:
    names = {shard.name for shard in root.shards}
    if root.version < 1:
        return _malformed(f"version {root.version} is not positive")
    if len(root.shards) > MAX_SHARDS:
        return _malformed(f"{len(root.shards)} shards, over {MAX_SHARDS}")
    if len(names) != len(root.shards):
        return _malformed("two shards have the same name")
    if any(not 0 <= shard.size <= MAX_VALUE_BYTES for shard in root.shards):
        return _malformed(f"a shard is larger than {MAX_VALUE_BYTES} bytes")
    if root.key_shards not in {1 << bits for bits in range(9)}:
        return _malformed(f"key_shards {root.key_shards} is no power of two to 256")
    return None


def _malformed(reason: str) -> Failure:
    return Failure(ROOT_MALFORMED, reason, location=Location(ROOT_NAME, 1))
