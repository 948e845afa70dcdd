"""What the platform's settings tell of the deployment."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping


FIRST_START_FIELD = "bootstrap"
"""Field that is true only when the whole system starts for the first time."""
LIMITS_FIELD = "limits"
"""Table of the limits of the machine."""
MAX_FILES_FIELD = "max_fds"
"""Descriptors that a process may have open (count), in that table."""
REGIONS_FIELD = "zones"
"""Table of the region of each availability zone."""
BOUNDS_FIELD = "bounds"
"""Table of the figures of the rules."""
QUOTA_SLACK_FIELD = "quota_slack"
"""Requests of a customer beyond its limit in a window (count), in that table."""
QUOTA_OVERSHOOT_FIELD = "quota_overshoot"
"""Part of a customer's limit in a window that may come on top, in that table."""
WARMUP_OVERSHOOT_FIELD = "warmup_overshoot"
"""Multiple of the rate that a cold upstream may get, in that table."""
WARMUP_SLACK_FIELD = "warmup_slack"
"""Requests in one second in addition (count), in that table."""


def is_first_start(fields: Mapping[str, Any]) -> bool:
    """Tell whether the whole system starts for the first time; false if not stated."""
    return fields.get(FIRST_START_FIELD) is True


def stated_max_files(fields: Mapping[str, Any]) -> int | None:
    """Return the descriptors that a process may have open; ``None`` if not stated."""
    limits = fields.get(LIMITS_FIELD)
    value = limits.get(MAX_FILES_FIELD) if isinstance(limits, dict) else None
    if not isinstance(value, int) or isinstance(value, bool) or value <= 0:
        return None
    return value


def stated_regions(fields: Mapping[str, Any]) -> dict[str, str]:
    """Return the region of each availability zone, as far as stated."""
    table = fields.get(REGIONS_FIELD)
    if not isinstance(table, dict):
        return {}
    return {
        zone: region
        for zone, region in table.items()
        if isinstance(region, str) and region
    }


def stated_warmup(fields: Mapping[str, Any]) -> tuple[float | None, float | None]:
    """Return the bound of the requests to cold upstreams.

    Returns:
        The multiple of the rate of their service, 1 or more, and the requests in one
        second in addition (count); ``None`` for what is not stated.
    """
    bounds = fields.get(BOUNDS_FIELD)
    if not isinstance(bounds, dict):
        return None, None
    overshoot = _number(bounds.get(WARMUP_OVERSHOOT_FIELD), 1.0)
    return overshoot, _number(bounds.get(WARMUP_SLACK_FIELD), 0.0)


def stated_quota_slack(fields: Mapping[str, Any]) -> float | None:
    """Return how far the requests of a customer in a window may exceed its limit.

    Returns:
        Requests of all VMs together (count); ``None`` if not stated.
    """
    bounds = fields.get(BOUNDS_FIELD)
    if not isinstance(bounds, dict):
        return None
    return _number(bounds.get(QUOTA_SLACK_FIELD), 0.0)


def stated_quota_overshoot(fields: Mapping[str, Any]) -> float | None:
    """Return the part of a customer's limit in a window that may come on top of it.

    Returns:
        Fraction, for all VMs together; ``None`` if not stated.
    """
    bounds = fields.get(BOUNDS_FIELD)
    if not isinstance(bounds, dict):
        return None
    return _number(bounds.get(QUOTA_OVERSHOOT_FIELD), 0.0)


def _number(value: Any, minimum: float) -> float | None:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return float(value) if is_number and minimum <= value < math.inf else None
