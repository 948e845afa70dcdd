"""Encoders of the platform's documents, for the stand-ins of the store and of upstreams."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING

import msgspec

from gentianfold.model import UpstreamState, Warmup
from gentianfold.platform.wire import (
    ConfigurationDocument,
    Item,
    LimitsDocument,
    RouteDocument,
    ServiceDocument,
    TenantDocument,
    WeightedServiceDocument,
)

if TYPE_CHECKING:
    from gentianfold.model import Configuration, Route, Upstream
    from gentianfold.platform.wire import EventPage, ItemPage


def encode_item(key: str, value: bytes, revision: int) -> Item:
    """Return an item with its value encoded in base64."""
    return Item(key, revision, base64.b64encode(value).decode())


def encode_page(page: Item | ItemPage | EventPage) -> bytes:
    """Encode an item, a page of items or a page of changes."""
    return msgspec.json.encode(page)


def encode_upstream(upstream: Upstream, sequence: int = 1) -> bytes:
    """Encode the entry of an upstream.

    Args:
        upstream: The upstream that registers.
        sequence: Number of times that the upstream has written its entry.
    """
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
    """Encode a configuration."""
    limits = configuration.caller_limits
    keys_by_customer: dict[str, list[str]] = {}
    for key, customer in configuration.customer_by_key.items():
        keys_by_customer.setdefault(customer, []).append(key)
    wire = ConfigurationDocument(
        version=f"r{configuration.version}",
        routes=[_encode_route(route) for route in configuration.routes],
        services=[
            ServiceDocument(
                name,
                warmup_s=warmup.duration_s,
                warmup_per_s=warmup.rate_per_s,
            )
            for name in sorted(configuration.service_names)
            for warmup in (configuration.warmups.get(name, Warmup(0, 0)),)
        ],
        limits=LimitsDocument(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s * 1000,
            limits.idle_timeout_s * 1000,
        ),
        tenants=[
            TenantDocument(
                customer.name,
                keys_by_customer.get(customer.name, []),
                customer.priority,
                customer.limit.rate_per_s if customer.limit else 0,
                customer.limit.burst if customer.limit else 0,
                sorted(customer.homes),
            )
            for customer in configuration.customers.values()
        ],
    )
    return msgspec.json.encode(wire)


def _encode_route(route: Route) -> RouteDocument:
    return RouteDocument(
        name=route.name,
        host=route.host,
        path_prefix=route.path,
        kind="idempotent" if route.idempotent else "non_idempotent",
        service=route.service or None,
        traffic_split=[
            WeightedServiceDocument(part.service, part.weight) for part in route.split
        ]
        or None,
        timeout_ms=route.timeout_s * 1000,
        target_latency_ms=route.target_latency_s * 1000,
        priority=route.priority,
        max_attempts=route.retries + 1,
        auth_exempt=route.open_to_all,
        allowed_regions=sorted(route.homes),
    )
