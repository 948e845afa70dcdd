"""Builds a snapshot from the shards of one root, or says what is wrong."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TypeAlias

import attrs
import msgspec

from gentianfold.codes.platform import (
    SHARD_ABSENT,
    SHARD_MALFORMED,
    UPSTREAM_DUPLICATED,
)
from gentianfold.configuration.fleet import FleetOptions
from gentianfold.configuration.key_table import KeyTable, parse_key_shard
from gentianfold.configuration.root import ROOT_NAME, Root, digest_of
from gentianfold.configuration.snapshot import Snapshot
from gentianfold.errors import Failure, Location
from gentianfold.model import Service, Upstream

RulesParser: TypeAlias = Callable[[str, str], object | tuple[Failure, ...]]
"""Parses the text of the rules, given the text and the name of its source."""

RULES_NAME = "rules"
"""First shard of the operators' rules; ``rules-001`` and so on go on with the text."""
UPSTREAMS_NAME = "upstreams"
"""Shard with the upstream servers."""
FLEET_NAME = "fleet"
"""Shard with the options of the whole fleet."""
KEYS_PREFIX = "keys-"
"""Start of the names of key shards."""


@attrs.define(eq=False)
class Assembler:
    """Parses shards, keeping the parsed form of those that did not change."""

    parse_rules: RulesParser
    """Parser of the ``rules`` shard."""
    _parsed: dict[tuple[str, str, int], object] = attrs.field(factory=dict, init=False)

    def assemble(
        self, root: Root, shards: Mapping[str, bytes]
    ) -> Snapshot | tuple[Failure, ...]:
        """Build the snapshot of ``root`` from its shards by name."""
        parts = [(ref.name, ref.digest, shards[ref.name]) for ref in root.shards]
        parsed = {
            (name, digest, root.key_shards): self._parse(root, name, digest, data)
            for name, digest, data in join_rules(parts)
        }
        by_name = {key[0]: value for key, value in parsed.items()}
        failures = _collect_failures(by_name)
        if failures:
            return failures
        self._parsed = parsed
        return _build(root, by_name)

    def _parse(self, root: Root, name: str, digest: str, data: bytes) -> object:
        known = self._parsed.get((name, digest, root.key_shards))
        if known is not None:
            return known
        if name.startswith(KEYS_PREFIX):
            return parse_key_shard(name, data, root.key_shards)
        match name:
            case "rules":
                return self._parse_rules(data)
            case "upstreams":
                return _decode(name, data, tuple[Upstream, ...])
            case "fleet":
                return _decode(name, data, FleetOptions)
        # A later release may publish more shards; they are carried, not read.
        return data

    def _parse_rules(self, data: bytes) -> object:
        try:
            text = data.decode()
        except UnicodeDecodeError as error:
            line = data.count(b"\n", 0, error.start) + 1
            location = Location(RULES_NAME, line)
            return Failure(SHARD_MALFORMED, "not UTF-8 text", location=location)
        return self.parse_rules(text, RULES_NAME)


def join_rules(
    parts: list[tuple[str, str, bytes]],
) -> list[tuple[str, str, bytes]]:
    """Join the shards of the rules into one, so that line numbers are the file's.

    Args:
        parts: Name, digest and bytes of each shard.
    """
    rules = sorted(part for part in parts if part[0].split("-")[0] == RULES_NAME)
    if len(rules) < 2:
        return parts
    text = b"".join(data for _, _, data in rules)
    others = [part for part in parts if part not in rules]
    return [(RULES_NAME, digest_of(text), text), *others]


def _collect_failures(parsed: Mapping[str, object]) -> tuple[Failure, ...]:
    absent = tuple(
        Failure(SHARD_ABSENT, f"no shard {name}", location=Location(ROOT_NAME, 1))
        for name in (RULES_NAME, UPSTREAMS_NAME)
        if name not in parsed
    )
    flat = (item for value in parsed.values() for item in _as_tuple(value))
    found = tuple(item for item in flat if isinstance(item, Failure))
    return absent + found + _find_duplicates(parsed.get(UPSTREAMS_NAME))


def _as_tuple(value: object) -> tuple[object, ...]:
    return value if isinstance(value, tuple) else (value,)


def _find_duplicates(upstreams: object) -> tuple[Failure, ...]:
    names: set[str] = set()
    failures: list[Failure] = []
    for upstream in _as_tuple(upstreams):
        if not isinstance(upstream, Upstream):
            continue
        if upstream.name in names:
            location = Location(UPSTREAMS_NAME, 1)
            reason = f"two upstreams are named {upstream.name}"
            failures.append(Failure(UPSTREAM_DUPLICATED, reason, location=location))
        names.add(upstream.name)
    return tuple(failures)


def _build(root: Root, parsed: Mapping[str, object]) -> Snapshot:
    rules = parsed[RULES_NAME]
    listed = _as_tuple(parsed[UPSTREAMS_NAME])
    upstreams = {item.name: item for item in listed if isinstance(item, Upstream)}
    fleet = parsed.get(FLEET_NAME)
    keys = {
        name: value
        for name, value in parsed.items()
        if name.startswith(KEYS_PREFIX) and isinstance(value, dict)
    }
    defaults = {item.service: Service(item.service) for item in upstreams.values()}
    return Snapshot(
        version=root.version,
        rules=rules,
        services=defaults | _services_of(rules),
        upstreams=upstreams,
        keys=KeyTable(keys, root.key_shards),
        fleet=fleet if isinstance(fleet, FleetOptions) else FleetOptions(),
    )


def _services_of(rules: object) -> dict[str, Service]:
    services = getattr(rules, "services", ())
    listed = services.values() if isinstance(services, Mapping) else services
    return {item.name: item for item in listed if isinstance(item, Service)}


def _decode(name: str, data: bytes, kind: object) -> object:
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Failure(SHARD_MALFORMED, str(error), location=Location(name, 1))
