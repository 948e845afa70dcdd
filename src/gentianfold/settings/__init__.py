"""Settings of a VM, loaded from JSON with comments and validated."""

from __future__ import annotations

from gentianfold.settings._value_types import Endpoint
from gentianfold.settings.loader import load_settings, parse_settings
from gentianfold.settings.settings import (
    CallerTlsSettings,
    FleetSettings,
    LoggingSettings,
    PlacementSettings,
    RateLimitSettings,
    ResourceSettings,
    RetryBudgetSettings,
    Settings,
    ShutdownSettings,
    StoreSettings,
)

__all__ = [
    "CallerTlsSettings",
    "Endpoint",
    "FleetSettings",
    "LoggingSettings",
    "PlacementSettings",
    "RateLimitSettings",
    "ResourceSettings",
    "RetryBudgetSettings",
    "Settings",
    "ShutdownSettings",
    "StoreSettings",
    "load_settings",
    "parse_settings",
]
