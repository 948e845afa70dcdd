"""Options of each kind of rule: names, model fields and value formats."""

from __future__ import annotations

import attrs

from gentianfold.rules import _values as values


@attrs.frozen
class Option:
    """An option of a rule line."""

    field: str
    """Name of the model field that the option sets."""
    value_format: values.ValueFormat | None = None
    """Format of the value; ``None`` for flags and for the name of a service."""


ROUTE_OPTIONS = {
    "service": Option("service"),
    "open": Option("open_to_all"),
    "idempotent": Option("idempotent"),
    "idempotency-key": Option("needs_idempotency_key", values.REQUIRED),
    "timeout": Option("timeout_s", values.DURATION),
    "retries": Option("retries", values.RETRIES),
    "body": Option("body_limit_bytes", values.BYTE_SIZE),
}
SERVICE_OPTIONS = {
    "floor": Option("floor_fraction", values.PERCENT),
    "queue": Option("max_queue", values.QUEUE_LENGTH),
    "eject": Option("ejection_enabled", values.ON_OFF),
}
LIMIT_OPTIONS = {
    "rate": Option("rate_per_s", values.RATE),
    "burst": Option("burst", values.BURST),
}
CUSTOMER_OPTIONS = {"weight": Option("weight", values.WEIGHT), **LIMIT_OPTIONS}
