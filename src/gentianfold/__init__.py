"""A proxy fleet for upstreams with gray failures."""

from __future__ import annotations

__version__ = "0.2.0"
"""The version of the package, as the command line prints it."""
