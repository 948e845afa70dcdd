"""What the platform's settings tell of the deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping


FIRST_START_FIELD = "bootstrap"
"""Field that is true only when the whole system starts for the first time."""


def is_first_start(fields: Mapping[str, Any]) -> bool:
    """Tell whether the whole system starts for the first time; false if not stated."""
    return fields.get(FIRST_START_FIELD) is True
