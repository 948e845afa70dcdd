"""Wire format of the platform's store: keys, query parameters and JSON documents.

Decoders convert the documents to the types of ``model`` and ``fleet``; the encoders of
the stand-ins are in ``wire_encoding``. No other module names a wire field.
"""

from __future__ import annotations

import base64
import binascii
import ipaddress
from typing import Annotated, Literal, TypeAlias

import msgspec

from gentianfold.codes.platform import CONFIGURATION_MALFORMED
from gentianfold.errors import Failure
from gentianfold.fleet.messages import UpstreamEntry
from gentianfold.fleet.store_revision import StoreRevision
from gentianfold.model import (
    CallerLimits,
    Configuration,
    Customer,
    PathKind,
    RateLimit,
    Route,
    Warmup,
    WeightedService,
)

UPSTREAM_KEY_PREFIX = "servers/"
"""Prefix of the keys under which upstreams register."""
OPERATOR_KEY_PREFIX = "op/"
"""Prefix of all keys that operators write."""
CONFIGURATION_KEY = "op/config"
"""Key of the published configuration."""
EVACUATION_KEY_PREFIX = "op/evacuate/"
"""Prefix of the keys by which operators evacuate an availability zone."""
ITEM_PATH = "/-/kv-key"
"""Path that returns one item."""
KEY_PARAMETER = "key"
"""Query parameter: key of the item."""
LIST_PATH = "/-/kv-range"
"""Path that returns a page of items."""
CHANGES_PATH = "/-/kv-watch"
"""Path that returns the changes after a revision."""
PREFIX_PARAMETER = "path_prefix"
"""Query parameter: prefix of the keys."""
AFTER_PARAMETER = "after"
"""Query parameter: last key already read (items) or last revision (changes)."""
WAIT_PARAMETER = "wait_ms"
"""Query parameter: longest time the store waits for a change (milliseconds)."""
ERA_HEADER = b"store-era"
"""Response header: how often the store was restored from a copy."""
_IDEMPOTENT_KINDS = frozenset({"idempotent", "download"})
"""Kinds of routes whose requests may run more than once; any other kind may not."""
MAX_ERA_DIGITS = 18
"""Longest era that is accepted (digits): it fits into 64 bits."""
MAX_PORT = 65_535
"""Highest TCP port."""
MAX_PORT_DIGITS = 5
"""Longest port that is accepted (digits)."""
MAX_VERSION = (1 << 63) - 1
"""Highest version of a configuration; it must fit into messages between VMs."""
MAX_SLOTS = 100_000
"""Most slots of an upstream that are accepted (count)."""
MAX_WARMUP_MS = 3_600_000.0
"""Longest warm-up that is accepted (milliseconds): an hour."""
MAX_NAME_LENGTH = 200
"""Longest name of a service or zone (characters): as long as a key; entries must fit
into a datagram."""
DEFAULT_TIMEOUT_S = 120.0
"""Timeout of a route that sets none (seconds): longer than any caller waits."""


# Fits into the integers of messages between VMs.
_Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
_Name: TypeAlias = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
_UNREADABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, ValueError)
"""Errors of decoders: invalid JSON, wrong types, too deep nesting, too long numbers."""


class _UpstreamInfo(msgspec.Struct):
    service: _Name
    zone: _Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]


class _UpstreamStatus(msgspec.Struct):
    state: Literal["ready", "draining"]
    # Time until the upstream has warmed up and responds at its usual speed.
    warmup_left_ms: Annotated[float, msgspec.Meta(le=MAX_WARMUP_MS)] = 0
    sequence: _Count = 0


class _UpstreamDocument(msgspec.Struct):
    address: str
    born: _Count
    info: _UpstreamInfo
    status: _UpstreamStatus


class WeightedServiceDocument(msgspec.Struct):
    service: str
    weight: float


class RouteDocument(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    service: str | None = None
    traffic_split: list[WeightedServiceDocument] | None = None
    timeout_ms: float | None = None
    target_latency_ms: float | None = None
    priority: int = 0
    # Includes the first attempt; ``Route.retries`` does not.
    max_attempts: int = 1
    auth_exempt: bool = False
    # Regions; empty or absent for any.
    allowed_regions: list[str] | None = None


class ServiceDocument(msgspec.Struct):
    name: str
    health_path: str = "/health"
    max_connections: int = 0
    # 0 or absent: no bound for cold upstreams.
    warmup_s: float = 0
    warmup_per_s: float = 0


class TenantDocument(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    # 0 or absent: no rate limit.
    rate_per_s: float = 0
    burst_size: float = 0
    allowed_regions: list[str] | None = None


class LimitsDocument(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 << 20
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class ConfigurationDocument(msgspec.Struct):
    version: str
    routes: list[RouteDocument]
    services: list[ServiceDocument]
    limits: LimitsDocument = msgspec.field(default_factory=LimitsDocument)
    tenants: list[TenantDocument] = []


class Item(msgspec.Struct):
    """A key of the store with its value, or a tombstone if it was deleted."""

    key: str
    # Store revision of the last change to the item.
    rev: _Count
    # Encoded in base64; empty in a tombstone.
    value: str = ""
    # Whether the item was deleted.
    tombstone: bool = False


class ItemPage(msgspec.Struct, omit_defaults=True):
    """A page of items, in the order of their keys."""

    items: list[Item]
    store_revision: _Count
    has_more: bool = False
    # From the header of the response; the body does not hold it.
    era: int = 0


class EventPage(msgspec.Struct, omit_defaults=True):
    """Items that changed after a revision, tombstones included."""

    events: list[Item]
    store_revision: _Count
    # From the header of the response; the body does not hold it.
    era: int = 0


class _RawItemPage(msgspec.Struct):
    items: list[msgspec.Raw]
    store_revision: _Count
    has_more: bool = False


class _RawEventPage(msgspec.Struct):
    events: list[msgspec.Raw]
    store_revision: _Count


class _ItemKey(msgspec.Struct):
    key: str


_upstream_decoder = msgspec.json.Decoder(_UpstreamDocument)
_configuration_decoder = msgspec.json.Decoder(ConfigurationDocument)
_item_decoder = msgspec.json.Decoder(Item)
_items_decoder = msgspec.json.Decoder(_RawItemPage)
_events_decoder = msgspec.json.Decoder(_RawEventPage)
_key_decoder = msgspec.json.Decoder(_ItemKey)


def decode_item(body: bytes | msgspec.Raw) -> Item | None:
    """Decode an item; return ``None`` if it is malformed."""
    try:
        return _item_decoder.decode(body)
    except _UNREADABLE:
        return None


def decode_items(body: bytes, era: int) -> ItemPage | None:
    """Decode a page of items; return ``None`` if it is malformed.

    An item that can't be read is one without a value: the others hold.
    """
    try:
        page = _items_decoder.decode(body)
    except _UNREADABLE:
        return None
    revision = page.store_revision
    return ItemPage(_decode_all(page.items), revision, page.has_more, era)


def decode_events(body: bytes, era: int) -> EventPage | None:
    """Decode a page of changes; return ``None`` if it is malformed.

    A change that can't be read is one without a value: the others hold.
    """
    try:
        page = _events_decoder.decode(body)
    except _UNREADABLE:
        return None
    revision = page.store_revision
    return EventPage(_decode_all(page.events, revision), revision, era)


def _decode_all(raw_items: list[msgspec.Raw], revision: int = 0) -> list[Item]:
    """Decode items; one whose key alone can be read has no value."""
    items = []
    for raw in raw_items:
        item = decode_item(raw)
        if item is None:
            try:
                item = Item(_key_decoder.decode(raw).key, revision)
            except _UNREADABLE:
                continue
        items.append(item)
    return items


def decode_era(value: bytes | None) -> int | None:
    """Decode the era that a response states.

    Returns:
        The era, 0 if the response states none, ``None`` if it is not a number.
    """
    if value is None:
        return 0
    text = value.strip()
    return int(text) if text.isdigit() and len(text) <= MAX_ERA_DIGITS else None


def decode_value(item: Item) -> bytes | None:
    """Return the value of an item; ``None`` if it is not valid base64."""
    try:
        return base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        return None


def decode_upstream(item: Item, era: int) -> UpstreamEntry:
    """Decode the entry of an upstream that the store stated in an era.

    A tombstone or a malformed value yields an entry with ``is_deleted`` set, so that
    no requests are sent to the upstream.
    """
    name = item.key.removeprefix(UPSTREAM_KEY_PREFIX)
    revision = StoreRevision(era, item.rev)
    deleted = UpstreamEntry(name, revision, is_deleted=True)
    value = None if item.tombstone else decode_value(item)
    if value is None:
        return deleted
    try:
        entry = _upstream_decoder.decode(value)
        host, port = _decode_address(entry.address)
    except _UNREADABLE:
        return deleted
    return UpstreamEntry(
        name=name,
        revision=revision,
        service=entry.info.service,
        host=host,
        port=port,
        zone=entry.info.zone,
        slots=entry.info.slots,
        is_draining=entry.status.state == "draining",
        start_time_ms=entry.born,
        warmup_remaining_ms=int(max(entry.status.warmup_left_ms, 0)),
        sequence=entry.status.sequence,
    )


def decode_evacuation(item: Item, era: int) -> tuple[str, StoreRevision] | None:
    """Decode the request to evacuate a zone that the store stated in an era.

    The key alone is the request, whatever its value.

    Returns:
        The zone, and the revision of the request or of its end; ``None`` if the key
        names no zone.
    """
    zone = item.key.removeprefix(EVACUATION_KEY_PREFIX)
    if not zone or len(zone) > MAX_NAME_LENGTH:
        return None
    return zone, StoreRevision(era, item.rev)


def _decode_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    Raises:
        ValueError: If it is not an IPv4 address with a port.
    """
    host, _, port = address.rpartition(":")
    if len(port) > MAX_PORT_DIGITS or not (port.isascii() and port.isdigit()):
        raise ValueError("the port is not a number")
    number = int(port)
    if not 0 < number <= MAX_PORT:
        raise ValueError("the port is out of range")
    return str(ipaddress.IPv4Address(host)), number


def decode_configuration(document: bytes) -> Configuration | Failure:
    """Decode a configuration.

    Returns:
        The configuration, or a failure with the first error in the document.
    """
    try:
        wire = _configuration_decoder.decode(document)
        version = int(wire.version.removeprefix("r"))
    except _UNREADABLE as error:
        return Failure(CONFIGURATION_MALFORMED, str(error)[:200])
    if not 0 <= version <= MAX_VERSION:
        return Failure(CONFIGURATION_MALFORMED, "the version is out of range")
    customers = {
        tenant.name: Customer(
            name=tenant.name,
            limit=(
                RateLimit(tenant.rate_per_s, tenant.burst_size)
                if tenant.rate_per_s > 0
                else None
            ),
            priority=tenant.priority,
            homes=frozenset(tenant.allowed_regions or ()),
        )
        for tenant in wire.tenants
    }
    keys = {key: tenant.name for tenant in wire.tenants for key in tenant.api_keys}
    limits = wire.limits
    return Configuration(
        version=version,
        routes=tuple(_decode_route(route) for route in wire.routes),
        service_names=frozenset(service.name for service in wire.services),
        customers=customers,
        customer_by_key=keys,
        caller_limits=CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
        health_paths={service.name: service.health_path for service in wire.services},
        warmups={
            service.name: Warmup(service.warmup_per_s, service.warmup_s)
            for service in wire.services
            if service.warmup_per_s > 0
        },
        max_connections={
            service.name: service.max_connections for service in wire.services
        },
    )


def _decode_route(route: RouteDocument) -> Route:
    parts = route.traffic_split or []
    timeout_ms = route.timeout_ms
    target_ms = route.target_latency_ms
    timeout_s = timeout_ms / 1000 if timeout_ms else DEFAULT_TIMEOUT_S
    return Route(
        name=route.name,
        methods=frozenset(),
        path=route.path_prefix,
        path_kind=PathKind.PREFIX,
        service=route.service or "",
        open_to_all=route.auth_exempt,
        idempotent=route.kind in _IDEMPOTENT_KINDS,
        timeout_s=timeout_s,
        retries=max(route.max_attempts - 1, 0),
        host=route.host.lower(),
        split=tuple(WeightedService(part.service, part.weight) for part in parts),
        priority=route.priority,
        homes=frozenset(route.allowed_regions or ()),
        target_latency_s=target_ms / 1000 if target_ms else 1.0,
    )
