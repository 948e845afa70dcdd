"""The platform's documents: decoded once into the product's types.

The encoders beside the decoders serve the stand-ins, so that each name of the wire
is written in this module only.
"""

from __future__ import annotations

import base64
import binascii
from typing import Literal

import msgspec

from gentianfold.codes.platform import CONFIGURATION_MALFORMED
from gentianfold.errors import Failure
from gentianfold.fleet.messages import UpstreamEntry
from gentianfold.model import (
    CallerLimits,
    Configuration,
    Customer,
    PathKind,
    RateLimit,
    Route,
    Upstream,
    UpstreamState,
    WeightedService,
)

UPSTREAM_KEY_PREFIX = "servers/"
"""Prefix of the keys under which upstreams register themselves."""
CONFIGURATION_KEY = "op/config"
"""Key of the newest configuration."""
LIST_PATH = "/-/kv-range"
"""Path of a call that reads a page of items."""
CHANGES_PATH = "/-/kv-watch"
"""Path of a call that reads changes."""
PREFIX_PARAMETER = "path_prefix"
"""Field of a call: beginning of the keys."""
AFTER_PARAMETER = "after"
"""Field of a call: the last key, or the revision, that is known."""
WAIT_PARAMETER = "wait_ms"
"""Field of a call: how long it may wait for a change."""
NO_TIMEOUT_S = 120.0
"""Timeout of a route that names none (seconds): longer than any caller waits."""


class _Info(msgspec.Struct):
    service: str
    zone: str
    slots: int


class _Status(msgspec.Struct):
    state: Literal["ready", "draining"]
    # How much longer the upstream is slow after its start.
    warmup_left_ms: float = 0


class _Entry(msgspec.Struct):
    address: str
    born: int
    info: _Info
    status: _Status


class _Part(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    service: str | None = None
    traffic_split: list[_Part] | None = None
    timeout_ms: float | None = None
    target_latency_ms: float | None = None
    priority: int = 0
    # Counts the first upstream too; the product counts further ones.
    max_attempts: int = 1
    auth_exempt: bool = False


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/health"
    max_connections: int = 0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    # Zero or nothing means that there is no limit.
    rate_per_s: float = 0
    burst_size: float = 0


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 << 20
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Configuration(msgspec.Struct):
    version: str
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class Item(msgspec.Struct):
    """An item of the store as it was written, or its end."""

    key: str
    # The revision of the item's last change.
    rev: int
    value: str = ""
    # Present when the item was removed.
    tombstone: bool = False


class ItemPage(msgspec.Struct):
    """A page of items."""

    items: list[Item]
    store_revision: int
    has_more: bool = False


class EventPage(msgspec.Struct):
    """Changes after a revision."""

    events: list[Item]
    store_revision: int


_entry_decoder = msgspec.json.Decoder(_Entry)
_configuration_decoder = msgspec.json.Decoder(_Configuration)
_items_decoder = msgspec.json.Decoder(ItemPage)
_events_decoder = msgspec.json.Decoder(EventPage)


def decode_items(body: bytes) -> ItemPage | None:
    """Read a page of items; ``None`` if it is not one."""
    try:
        return _items_decoder.decode(body)
    except msgspec.MsgspecError:
        return None


def decode_events(body: bytes) -> EventPage | None:
    """Read a page of changes; ``None`` if it is not one."""
    try:
        return _events_decoder.decode(body)
    except msgspec.MsgspecError:
        return None


def decode_value(item: Item) -> bytes | None:
    """Return the bytes of an item; ``None`` if they are not encoded properly."""
    try:
        return base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        return None


def decode_upstream(item: Item) -> UpstreamEntry:
    """Read an upstream's entry; one that can't be read names no upstream to use."""
    name = item.key.removeprefix(UPSTREAM_KEY_PREFIX)
    gone = UpstreamEntry(name, item.rev, is_deleted=True)
    value = None if item.tombstone else decode_value(item)
    if value is None:
        return gone
    try:
        entry = _entry_decoder.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return gone
    host, _, port = entry.address.rpartition(":")
    if not host or not port.isdigit() or entry.info.slots < 1:
        return gone
    return UpstreamEntry(
        name=name,
        revision=item.rev,
        service=entry.info.service,
        host=host,
        port=int(port),
        zone=entry.info.zone,
        slots=entry.info.slots,
        is_draining=entry.status.state == "draining",
        start_time_ms=entry.born,
        warmup_remaining_ms=int(max(entry.status.warmup_left_ms, 0)),
    )


def decode_configuration(document: bytes) -> Configuration | Failure:
    """Read a configuration."""
    try:
        wire = _configuration_decoder.decode(document)
        version = int(wire.version.removeprefix("r"))
    except (msgspec.MsgspecError, ValueError) as error:
        return Failure(CONFIGURATION_MALFORMED, str(error)[:200])
    customers = {
        tenant.name: Customer(
            name=tenant.name,
            limit=(
                RateLimit(tenant.rate_per_s, tenant.burst_size)
                if tenant.rate_per_s > 0
                else None
            ),
            priority=tenant.priority,
        )
        for tenant in wire.tenants
    }
    keys = {key: tenant.name for tenant in wire.tenants for key in tenant.api_keys}
    limits = wire.limits
    return Configuration(
        version=version,
        routes=tuple(_to_route(route) for route in wire.routes),
        service_names=frozenset(service.name for service in wire.services),
        customers=customers,
        customer_by_key=keys,
        caller_limits=CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
        health_paths={row.name: row.health_path for row in wire.services},
        max_connections={row.name: row.max_connections for row in wire.services},
    )


def _to_route(route: _Route) -> Route:
    parts = route.traffic_split or []
    timeout_ms = route.timeout_ms
    target_ms = route.target_latency_ms
    timeout_s = timeout_ms / 1000 if timeout_ms else NO_TIMEOUT_S
    return Route(
        name=route.name,
        methods=frozenset(),
        path=route.path_prefix,
        path_kind=PathKind.PREFIX,
        service=route.service or "",
        open_to_all=route.auth_exempt,
        idempotent=route.kind == "idempotent",
        timeout_s=timeout_s,
        retries=max(route.max_attempts - 1, 0),
        host=route.host.lower(),
        split=tuple(WeightedService(part.service, part.weight) for part in parts),
        priority=route.priority,
        target_latency_s=target_ms / 1000 if target_ms else 1.0,
    )


# Encoders, for stand-ins of the store and of upstreams.


def encode_item(key: str, value: bytes, revision: int) -> Item:
    """Return an item as the store gives it."""
    return Item(key, revision, base64.b64encode(value).decode())


def encode_page(page: ItemPage | EventPage) -> bytes:
    """Write a page of items or of changes."""
    return msgspec.json.encode(page)


def encode_upstream(upstream: Upstream, sequence: int = 1) -> bytes:
    """Write an upstream's entry."""
    is_draining = upstream.state is UpstreamState.DRAINING
    status = {
        "state": "draining" if is_draining else "ready",
        "warmup_left_ms": upstream.warmup_remaining_s * 1000,
        "sequence": sequence,
    }
    info = {
        "service": upstream.service,
        "zone": upstream.zone,
        "slots": upstream.slots,
        "version": "v1",
    }
    return msgspec.json.encode(
        {
            "address": f"{upstream.host}:{upstream.port}",
            "born": upstream.start_time_ms,
            "info": info,
            "status": status,
        }
    )


def encode_configuration(configuration: Configuration) -> bytes:
    """Write a configuration."""
    limits = configuration.caller_limits
    keys_by_customer: dict[str, list[str]] = {}
    for key, customer in configuration.customer_by_key.items():
        keys_by_customer.setdefault(customer, []).append(key)
    wire = _Configuration(
        version=f"r{configuration.version}",
        routes=[_from_route(route) for route in configuration.routes],
        services=[_Service(name) for name in sorted(configuration.service_names)],
        limits=_Limits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s * 1000,
            limits.idle_timeout_s * 1000,
        ),
        tenants=[
            _Tenant(
                customer.name,
                keys_by_customer.get(customer.name, []),
                customer.priority,
                customer.limit.rate_per_s if customer.limit else 0,
                customer.limit.burst if customer.limit else 0,
            )
            for customer in configuration.customers.values()
        ],
    )
    return msgspec.json.encode(wire)


def _from_route(route: Route) -> _Route:
    return _Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path,
        kind="idempotent" if route.idempotent else "non_idempotent",
        service=route.service or None,
        traffic_split=[_Part(part.service, part.weight) for part in route.split]
        or None,
        timeout_ms=route.timeout_s * 1000,
        target_latency_ms=route.target_latency_s * 1000,
        priority=route.priority,
        max_attempts=route.retries + 1,
        auth_exempt=route.open_to_all,
    )
