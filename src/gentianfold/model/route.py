"""Routes, which map requests to services."""

from __future__ import annotations

import enum

import attrs


class PathKind(enum.Enum):
    """How the path of a route is matched against the path of a request."""

    EXACT = "exact"
    """The paths are equal."""
    PREFIX = "prefix"
    """The request path begins with the route's segments; ``/a/**`` in rules files."""
    PATTERN = "pattern"
    """Each ``*`` matches one segment, others must be equal; written ``/a/*/b``."""


@attrs.frozen
class HeaderMatch:
    """A header that a request must contain to match a route."""

    name: bytes
    """Header name in lower case."""
    value: bytes
    """Exact value of the header."""


@attrs.frozen
class WeightedService:
    """A service that receives a share of a route's requests."""

    service: str
    """Name of the service."""
    weight: float
    """Share of the requests relative to the other services of the split."""


@attrs.frozen
class Route:
    """A route: match conditions, target services, and limits for its requests."""

    name: str
    """Unique name of the route."""
    methods: frozenset[str]
    """Request methods in upper case; empty for any method."""
    path: str
    """Path to match; ``path_kind`` says how."""
    path_kind: PathKind
    """How ``path`` is matched."""
    service: str
    """Name of the service that receives the requests, unless ``split`` is set."""
    headers: tuple[HeaderMatch, ...] = ()
    """Headers that a request must all contain; empty for no condition."""
    open_to_all: bool = False
    """Whether requests are accepted without an API key."""
    idempotent: bool = False
    """Whether a request may be executed more than once without harm."""
    needs_idempotency_key: bool = False
    """Whether requests without an ``Idempotency-Key`` header are rejected."""
    timeout_s: float = 10.0
    """Timeout from accepting a request to its response (seconds)."""
    retries: int = 1
    """Maximum number of attempts after the first."""
    body_limit_bytes: int = 1 << 20
    """Largest request body (bytes)."""
    host: str = ""
    """Host to match, in lower case; empty for any host."""
    split: tuple[WeightedService, ...] = ()
    """Services among which requests are divided by weight; empty to use ``service``."""
    priority: int = 0
    """Priority when requests compete for upstream slots; 0 is the most urgent."""
    homes: frozenset[str] = frozenset()
    """Regions in which requests may run; empty for any."""
    target_latency_s: float = 1.0
    """Response time up to which a response has its full value (seconds)."""
    line: int = 0
    """Line number in the rules file, from 1; 0 if not read from a file."""
    comment: str = ""
    """Comment of the rule: who requested it and why."""

    @property
    def max_attempts(self) -> int:
        """Maximum number of attempts for one request, the first included."""
        return 1 + self.retries

    def services(self) -> tuple[str, ...]:
        """Return the names of all services that may receive requests of the route."""
        if self.split:
            return tuple(part.service for part in self.split)
        return (self.service,)
