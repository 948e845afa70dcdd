"""A request for a slot, and the answers to it."""

from __future__ import annotations

import enum

import attrs

from gentianfold.model import Upstream


class GrantReason(enum.IntEnum):
    """Why an upstream was chosen; the numbers are sent between VMs."""

    BEST = 0
    """Lowest cost of all upstreams that are well and have a free slot."""
    TRIAL = 1
    """A suspect upstream is due for a trial."""
    LAST_RESORT = 2
    """No upstream that is well has room in time; this one fails in part."""


class RefusalReason(enum.IntEnum):
    """Why a request gets no slot; the numbers are sent between VMs."""

    NO_ROOM = 0
    """No slot becomes free in time."""
    NO_UPSTREAM = 1
    """The service has no upstream that may be used."""
    OVER_RATE = 2
    """The customer is over its rate."""
    RETRY_BUDGET = 3
    """The service's budget of further attempts is used up."""


@attrs.frozen
class SlotRequest:
    """What is needed to place one attempt of one request."""

    vm: str
    """Address of the VM that asks."""
    number: int
    """Number of the attempt; unique on its VM."""
    service: str
    """The service that is to run it."""
    route: str
    """Name of the route; times are learned by route."""
    customer: str
    """Name of the customer; empty if the route is open to all."""
    priority: int
    """Rank of its customer if that has one, else of its route; 0 is the most urgent."""
    route_priority: int
    """Rank of its route: the order of requests that are equal by ``priority``."""
    idempotent: bool
    """Whether it may be tried on a doubtful upstream."""
    attempt: int
    """1 for the first upstream, 2 for the next."""
    excluded: tuple[str, ...]
    """Names of upstreams that must not be used."""
    time_left_s: float
    """Time until the answer is of no use (seconds)."""
    target_left_s: float
    """Time until the answer loses value (seconds); negative when it has."""
    zone: str
    """Availability zone of the VM."""


@attrs.frozen
class Granted:
    """The attempt may be sent to an upstream."""

    upstream: Upstream
    """The upstream whose slot it holds."""
    reason: GrantReason
    """Why this upstream."""
    expected_s: float = 0.0
    """Usual time of such a request (seconds)."""
    candidate_count: int = 0
    """Upstreams that it was chosen from."""


@attrs.frozen
class Queued:
    """The attempt waits for a slot."""

    position: int
    """Requests that are served before it."""


@attrs.frozen
class Refused:
    """The attempt gets no slot."""

    reason: RefusalReason
    """Why."""
    retry_after_s: float
    """When room is expected (seconds)."""
    ahead: int = 0
    """Requests of its service that would have been served before it."""
