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
    line: int = 0
    """Line in the rules file."""
    comment: str = ""
    """Who asked for the rule and why."""
