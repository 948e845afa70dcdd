"""Builds the values that operators publish for one version."""

from __future__ import annotations

from itertools import groupby
from typing import TYPE_CHECKING

import msgspec

from gentianfold.configuration.assembly import FLEET_NAME, RULES_NAME, UPSTREAMS_NAME
from gentianfold.configuration.fleet import FleetOptions
from gentianfold.configuration.key_table import (
    KeyRecord,
    encode_key_shard,
    key_shard_count,
    key_shard_name,
)
from gentianfold.configuration.root import (
    ROOT_NAME,
    Root,
    ShardReference,
    digest_of,
    encode_root,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from gentianfold.model import Upstream

RULES_SHARD_BYTES = 500_000
"""Size above which the rules are split into further shards."""


def publish_configuration(
    publish: Callable[[str, bytes], object],
    *,
    version: int,
    rules_text: str,
    upstreams: Sequence[Upstream],
    keys: Iterable[KeyRecord] = (),
    fleet: FleetOptions | None = None,
    previous: Root | None = None,
) -> Root:
    """Publish one version: the changed shards first, then the root.

    Args:
        publish: Writes a value given its name and bytes.
        version: Must be higher than all versions published before.
        rules_text: The text of the rules file.
        upstreams: All upstream servers.
        keys: All keys, withdrawn ones included or left out.
        fleet: Options of the whole fleet.
        previous: The root published before; its shards are not written again.

    Returns:
        The root that was published.
    """
    shards, key_shards = build_shards(rules_text, upstreams, keys, fleet)
    references = tuple(
        ShardReference(name, digest_of(data), len(data))
        for name, data in shards.items()
    )
    held = set(previous.shards) if previous else set()
    for reference in references:
        if reference not in held:
            publish(reference.name, shards[reference.name])
    root = Root(version, references, key_shards)
    publish(ROOT_NAME, encode_root(root))
    return root


def build_shards(
    rules_text: str,
    upstreams: Sequence[Upstream],
    keys: Iterable[KeyRecord],
    fleet: FleetOptions | None,
) -> tuple[dict[str, bytes], int]:
    """Build the shards by name and return them with the number of key shards."""
    records = sorted(keys, key=lambda record: record.digest)
    count = key_shard_count(len(records))
    grouped = groupby(records, key=lambda record: key_shard_name(record.digest, count))
    shards = {
        **split_rules(rules_text),
        UPSTREAMS_NAME: msgspec.json.encode(tuple(upstreams)),
        FLEET_NAME: msgspec.json.encode(fleet or FleetOptions()),
    }
    shards |= {name: encode_key_shard(group) for name, group in grouped}
    return shards, count


def split_rules(text: str) -> dict[str, bytes]:
    """Split the text of the rules at line ends into shards of bounded size."""
    parts: list[list[bytes]] = [[]]
    size = 0
    for line in text.encode().splitlines(keepends=True):
        if size + len(line) > RULES_SHARD_BYTES and parts[-1]:
            parts.append([])
            size = 0
        parts[-1].append(line)
        size += len(line)
    names = [RULES_NAME, *(f"{RULES_NAME}-{n:03}" for n in range(1, len(parts)))]
    return {name: b"".join(lines) for name, lines in zip(names, parts, strict=True)}
