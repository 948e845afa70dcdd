"""Routes: which requests go to which service, and how."""

from __future__ import annotations

import enum

import attrs


class PathKind(enum.Enum):
    """How the path of a route is compared with the path of a request."""

    EXACT = "exact"
    """The whole path is equal."""
    PREFIX = "prefix"
    """The path starts with whole segments of the route; written ``/a/**``."""
    PATTERN = "pattern"
    """Segments are equal or match one ``*`` each; written ``/a/*/b``."""


@attrs.frozen
class HeaderMatch:
    """A header that a request must carry."""

    name: bytes
    """Header name in lower case."""
    value: bytes
    """Exact value."""


@attrs.frozen
class WeightedService:
    """A service that takes part of a route's requests."""

    service: str
    """Name of the service."""
    weight: float
    """Share of the requests, relative to the other parts."""


@attrs.frozen
class Route:
    """One route rule."""

    name: str
    """The unique name."""
    methods: frozenset[str]
    """Upper-case methods; empty for any method."""
    path: str
    """The path as written."""
    path_kind: PathKind
    """How ``path`` is compared."""
    service: str
    """Name of the service that runs the request."""
    headers: tuple[HeaderMatch, ...] = ()
    """Headers that must all be present."""
    open_to_all: bool = False
    """Whether requests need no key."""
    idempotent: bool = False
    """Whether running a request twice does no harm."""
    needs_idempotency_key: bool = False
    """Whether requests without an ``Idempotency-Key`` header are refused."""
    timeout_s: float = 10.0
    """Time from accepting a request to its answer."""
    retries: int = 1
    """Most further attempts after the first."""
    body_limit_bytes: int = 1 << 20
    """Largest request body."""
    host: str = ""
    """Host in lower case whose requests match; empty for any host."""
    split: tuple[WeightedService, ...] = ()
    """Services that share the requests by weight; empty to use ``service``."""
    priority: int = 0
    """Rank before scarce slots; 0 is the most urgent."""
    target_latency_s: float = 1.0
    """Time within which an answer has its full value."""
    line: int = 0
    """Line in the rules file."""
    comment: str = ""
    """Who asked for the rule and why."""

    @property
    def max_attempts(self) -> int:
        """Most upstreams that one request is sent to."""
        return 1 + self.retries

    def services(self) -> tuple[str, ...]:
        """Return the names of all services that may run its requests."""
        if self.split:
            return tuple(part.service for part in self.split)
        return (self.service,)
