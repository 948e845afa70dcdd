"""What a scheduler believes of services and upstreams, for the log."""

from __future__ import annotations

import attrs


@attrs.frozen
class ServiceLoad:
    """How crowded a service is."""

    service: str
    """Its name."""
    waiting: int
    """Requests that wait."""
    upstreams: int
    """Upstreams that take new work."""
    suspect: int
    """Those among them that are in a failing spell."""
    healthy_slots: int
    """Slots of the others."""
    healthy_in_use: int
    """Those slots that are held."""
    shedding: int
    """Upstreams that are taken for full, after they shed a request."""


@attrs.frozen
class StateChange:
    """A change of what is believed of an upstream."""

    upstream: str
    """Its name."""
    state: str
    """``suspect``, ``well``, ``slow`` or ``no longer slow``."""
    cause: str
    """The outcome that turned it, or ``time``."""
    slowness: float
    """Multiple of the usual time that its requests take."""
    recent_failures: float
    """Its failures, each fading with time."""
    last_accepted_age_s: float
    """Age of its last proof (seconds)."""
