"""A record on its way to enough holders."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.requests.once.records import Member


@attrs.define
class Pending:
    """A request that is recorded and not yet copied to enough VMs."""

    vm: str
    """VM that asked."""
    ticket: str
    """Identifies the request."""
    admission: str
    """Identifies this try to admit it."""
    since: object
    """Possession of the slot under which it was recorded."""
    asked_at_s: float
    """When the home was asked."""
    copied_at_s: float
    """When copies were last sent."""
    asked: list[Member] = attrs.field(factory=list)
    """Members that were sent a copy."""
    held: set[Member] = attrs.field(factory=set)
    """Members that confirmed it."""
