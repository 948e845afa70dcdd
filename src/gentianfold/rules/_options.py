"""The options of each kind of rule: names, fields and forms of the values."""

from __future__ import annotations

import attrs

from gentianfold.rules import _values as values


@attrs.frozen
class Option:
    """An option of a rule."""

    field: str
    """The model's field that it sets."""
    form: values.ValueForm | None = None
    """The form of its value; ``None`` for a flag without value."""


ROUTE_OPTIONS = {
    "service": Option("service"),
    "open": Option("open_to_all"),
    "idempotent": Option("idempotent"),
    "idempotency-key": Option("needs_idempotency_key", values.REQUIRED),
    "timeout": Option("timeout_s", values.DURATION),
    "retries": Option("retries", values.RETRIES),
    "body": Option("body_limit_bytes", values.SIZE),
}
SERVICE_OPTIONS = {
    "floor": Option("floor_fraction", values.PERCENT),
    "queue": Option("max_queue", values.QUEUE),
    "eject": Option("ejection_enabled", values.SWITCH),
}
LIMIT_OPTIONS = {
    "rate": Option("rate_per_s", values.RATE),
    "burst": Option("burst", values.BURST),
}
CUSTOMER_OPTIONS = {"weight": Option("weight", values.WEIGHT), **LIMIT_OPTIONS}
