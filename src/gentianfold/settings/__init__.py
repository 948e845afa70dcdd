"""The settings of one VM: JSON with comments, checked whole."""

from __future__ import annotations

from gentianfold.settings.loader import load_settings, parse_settings
from gentianfold.settings.secret import Secret
from gentianfold.settings.settings import (
    CallerTls,
    DaemonLimits,
    Logging,
    PeerKeys,
    Settings,
    UpstreamTls,
)

__all__ = [
    "CallerTls",
    "DaemonLimits",
    "Logging",
    "PeerKeys",
    "Secret",
    "Settings",
    "UpstreamTls",
    "load_settings",
    "parse_settings",
]
