"""Reads a configuration document of the platform entry by entry, for operators.

A VM refuses a document at its first error and keeps the last of two entries with one
name; an operator is told of all of them.
"""

from __future__ import annotations

import itertools
from collections import Counter
from typing import TYPE_CHECKING, Any

import msgspec

from gentianfold.codes.configuration import (
    ENTRY_DUPLICATE,
    ENTRY_INVALID,
    LIMITS_CONTRADICT,
)
from gentianfold.errors import Failure, Location
from gentianfold.platform import wire

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from gentianfold.model import Configuration

MAX_SHOWN = 60
"""Longest name of an entry in a message (characters)."""


def read_configuration(
    document: bytes, source: str
) -> Configuration | tuple[Failure, ...]:
    """Decode a configuration document.

    Args:
        document: The document, or an item of the store that holds it.
        source: Name of the file or VM, for messages.

    Returns:
        The configuration, or all reasons for which a VM refuses the document.
    """
    document = _unwrap(document)
    failures = tuple(_find_invalid(document))
    if not failures:
        configuration = wire.decode_configuration(document)
        if not isinstance(configuration, Failure):
            return configuration
        failures = (configuration,)
    return _locate(failures, source)


def find_ignored(document: bytes, source: str) -> tuple[Failure, ...]:
    """Return what VMs ignore of a valid document: duplicates and incomplete limits.

    Keys are secrets: messages name their customers alone.
    """
    decoded = msgspec.json.decode(
        _unwrap(document), type=wire.ConfigurationDocument, strict=True
    )
    failures = [
        Failure(ENTRY_DUPLICATE, f"{count} {kind}s have the name {name[:MAX_SHOWN]!r}")
        for kind, entries in (
            ("route", decoded.routes),
            ("service", decoded.services),
            ("customer", decoded.tenants),
        )
        for name, count in Counter(entry.name for entry in entries).items()
        if count > 1
    ]
    customers_by_key: dict[str, dict[str, None]] = {}
    for tenant in decoded.tenants:
        for key in tenant.api_keys:
            customers_by_key.setdefault(key, {})[tenant.name] = None
    shared = {
        tuple(customers)
        for customers in customers_by_key.values()
        if len(customers) > 1
    }
    failures += [
        Failure(ENTRY_DUPLICATE, f"customers {_join(names)} hold the same key")
        for names in sorted(shared)
    ]
    failures += [
        Failure(LIMITS_CONTRADICT, reason) for reason in _find_incomplete(decoded)
    ]
    return _locate(failures, source)


def _find_incomplete(decoded: wire.ConfigurationDocument) -> Iterator[str]:
    """Yield the limits that lack their other half, or that are below what they count."""
    for tenant in decoded.tenants:
        if tenant.burst_size > 0 and not tenant.rate_per_s > 0:
            yield f"customer {tenant.name!r}: a burst without a rate is no limit"
    for service in decoded.services:
        if (service.warmup_per_s > 0) != (service.warmup_s > 0):
            yield f"service {service.name!r}: warm-up and its rate need each other"
    for route in decoded.routes:
        if route.max_attempts < 1:
            yield f"route {route.name!r}: it allows no attempt"


def _unwrap(document: bytes) -> bytes:
    """Return the value of a document that is an item of the store."""
    item = wire.decode_item(document)
    value = wire.decode_value(item) if item and item.value else None
    return document if value is None else value


def _find_invalid(document: bytes) -> Iterator[Failure]:
    """Yield the fields that can't be decoded, at most one for each entry."""
    try:
        fields = msgspec.json.decode(document, type=dict[str, Any])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        yield Failure(ENTRY_INVALID, str(error)[:200])
        return
    entries_by_field: dict[str, list[Any]] = {
        name: entries
        for name in ("routes", "services", "tenants")
        if isinstance(entries := fields.get(name), list)
    }
    # Lists are decoded entry by entry, so that one error doesn't hide the others.
    rest = fields | {field: [] for field in entries_by_field}
    problem = _find_problem(rest, wire.ConfigurationDocument)
    if problem:
        yield Failure(ENTRY_INVALID, problem)
    entry_types: dict[str, type] = {
        "routes": wire.RouteDocument,
        "services": wire.ServiceDocument,
        "tenants": wire.TenantDocument,
    }
    for field, number, entry in itertools.chain.from_iterable(
        ((field, number, entry) for number, entry in enumerate(entries))
        for field, entries in entries_by_field.items()
    ):
        problem = _find_problem(entry, entry_types[field])
        if problem:
            name = entry.get("name") if isinstance(entry, dict) else None
            shown = f" {name[:MAX_SHOWN]!r}" if isinstance(name, str) else ""
            yield Failure(ENTRY_INVALID, f"{field}[{number}]{shown}: {problem}")


def _find_problem(value: Any, entry_type: type) -> str:
    """Return why a value can't be converted; empty if it can."""
    try:
        msgspec.convert(value, entry_type)
    except msgspec.ValidationError as error:
        return str(error)[:200]
    return ""


def _locate(failures: Iterable[Failure], source: str) -> tuple[Failure, ...]:
    """Return the failures with the source as their location."""
    return tuple(
        Failure(failure.code, failure.reason, location=Location(source, 1))
        for failure in failures
    )


def _join(names: tuple[str, ...]) -> str:
    return " and ".join(repr(name[:MAX_SHOWN]) for name in names)
