"""What the platform's settings tell of the deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping


FIRST_START_FIELD = "bootstrap"
"""Field that is true only when the whole system starts for the first time."""
LIMITS_FIELD = "limits"
"""Table of the limits of the machine."""
MAX_FILES_FIELD = "max_fds"
"""Descriptors that a process may have open (count), in that table."""


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
