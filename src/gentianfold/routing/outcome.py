"""The outcome of one attempt at an upstream, as health evidence."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from gentianfold.errors import Failure
    from gentianfold.routing.choice import Choice


class OutcomeKind(enum.Enum):
    """What came of one attempt."""

    OK = "ok"
    """A whole answer below status 500."""
    ERROR = "error"
    """A whole answer with status 500 or above, but for SHED."""
    SHED = "shed"
    """The upstream said that it did not run the request."""
    CONNECT_FAILED = "connect-failed"
    """No connection could be made; nothing was sent."""
    TIMEOUT = "timeout"
    """No whole answer within the time for it."""
    BROKEN = "broken"
    """The connection broke, or the answer was cut short or malformed."""
    CANCELLED = "cancelled"
    """The caller went away; says nothing of the upstream."""


@attrs.frozen
class Outcome:
    """One attempt at one upstream."""

    upstream: str
    """Name of the upstream."""
    kind: OutcomeKind
    """What came of it."""
    latency_s: float
    """Time from placement to the end of the answer."""
    route: str = ""
    """Name of the route."""
    customer: str = ""
    """Name of the customer; empty on open routes."""


class Placer(Protocol):
    """Chooses upstreams and learns from the outcomes."""

    def choose(
        self,
        service: str,
        exclude: frozenset[str],
        now_s: float,
        *,
        route: str = "",
        customer: str = "",
        idempotent: bool = True,
    ) -> Choice | Failure:
        """Choose the upstream for one attempt, none of ``exclude``.

        Only idempotent requests test upstreams that may be sick.
        """
        ...

    def started(
        self, upstream: str, now_s: float, *, route: str = "", customer: str = ""
    ) -> None:
        """Count an attempt in flight."""
        ...

    def finished(self, outcome: Outcome, now_s: float) -> None:
        """Take an attempt out of flight and learn from its outcome."""
        ...
