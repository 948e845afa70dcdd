"""A distributed reverse proxy for upstreams with gray failures."""

from __future__ import annotations

__version__ = "0.2.0"
"""Package version, printed by ``gentianfold --version``."""
