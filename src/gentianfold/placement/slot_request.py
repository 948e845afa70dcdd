"""Slot requests and the decisions on them."""

from __future__ import annotations

import enum
from typing import TypeAlias

import attrs

from gentianfold.model import Upstream

FINAL_RETRY_S = 86_400.0
"""Retry delay of a refusal that is final (seconds)."""
LIMIT_ELSEWHERE_RETRY_S = 0.5
"""Retry delay while another VM holds the customer's limit (seconds): most brokers are
replaced within it."""

NO_UPSTREAM_RETRY_S = 0.5
"""Retry delay for a service without upstreams (seconds): upstreams that restart are
listed within about a second."""


class GrantReason(enum.IntEnum):
    """Why an upstream was chosen; the numbers are sent between VMs."""

    BEST = 0
    """Lowest cost of the healthy upstreams with a free slot."""
    TRIAL = 1
    """A suspect upstream is due for a trial."""
    LAST_RESORT = 2
    """No healthy upstream has a free slot in time; this one fails in part."""
    EXPLORE = 3
    """A healthy upstream outside the working set had no request for some time."""

    @classmethod
    def _missing_(cls, value: object) -> GrantReason:
        """Read a number that only newer builds know as ``BEST``."""
        return cls.BEST


class RefusalReason(enum.IntEnum):
    """Why a request gets no slot; the numbers are sent between VMs."""

    NO_ROOM = 0
    """No slot becomes free in time."""
    NO_UPSTREAM = 1
    """The service has no usable upstream."""
    OVER_RATE = 2
    """The customer is over its rate limit."""
    RETRY_BUDGET = 3
    """The retry budget of the service is used up."""
    CRASHES_UPSTREAMS = 4
    """Upstreams crashed under the request."""
    STOPPING = 5
    """The VM stops and sends no further requests."""
    LIMIT_ELSEWHERE = 6
    """Another VM holds the customer's rate limit, or most of it."""
    BROKER_BEHIND = 7
    """The broker has more requests than it can decide on in time."""

    @classmethod
    def _missing_(cls, value: object) -> RefusalReason:
        """Read a number that only newer builds know as ``NO_ROOM``."""
        return cls.NO_ROOM


@attrs.frozen
class SlotRequest:
    """Properties of one attempt by which its upstream is chosen."""

    vm: str
    """Address of the requesting VM."""
    slot_request_id: int
    """Sequence number, unique on its VM; an attempt has one for each slot requested."""
    service: str
    """Name of the service."""
    route: str
    """Name of the route; expected times are kept by route."""
    customer: str
    """Name of the customer; empty if the route is open to all."""
    priority: int
    """Priority of the customer if it has one, else of the route; 0 is most urgent."""
    route_priority: int
    """Priority of the route; orders requests that are equal by ``priority``."""
    idempotent: bool
    """Whether the request may be retried after a failure, and so may be sent to an
    upstream that is likely to fail."""
    attempt: int
    """1 for the first attempt of the request, 2 for its first retry."""
    excluded: tuple[str, ...]
    """Names of upstreams that must not be chosen."""
    time_left_s: float
    """Time until the deadline (seconds)."""
    target_left_s: float
    """Time until the target latency is exceeded (seconds); negative afterwards."""
    zone: str
    """Availability zone of the VM."""
    fingerprint: bytes = b""
    """Digest of the request's content if upstreams crashed under it, else empty."""
    zones: tuple[str, ...] | None = None
    """Availability zones in which it may run; ``None`` for any."""

    @property
    def key(self) -> tuple[str, int]:
        """Address of the VM and identifier, unique in the fleet."""
        return self.vm, self.slot_request_id

    @property
    def may_explore(self) -> bool:
        """Whether a failed attempt may be retried, and so may test an upstream."""
        return self.idempotent and self.attempt == 1


@attrs.frozen
class Granted:
    """The attempt may be sent to an upstream."""

    upstream: Upstream
    """Upstream whose slot the attempt holds."""
    reason: GrantReason
    """Why the upstream was chosen."""
    expected_s: float = 0.0
    """Expected elapsed time of the request (seconds)."""
    candidate_count: int = 0
    """Upstreams among which it was chosen (count); 0 for a repeated request."""


@attrs.frozen
class Queued:
    """The attempt waits for a slot."""

    position: int
    """Requests that are served before this one (count); for a repeated request, those
    in its queue."""


@attrs.frozen
class Refused:
    """The attempt gets no slot."""

    reason: RefusalReason
    """Why the attempt was refused."""
    retry_after_s: float
    """Time after which the caller should retry (seconds)."""
    ahead: int = 0
    """Requests of the service that would have been served first (count)."""


Decision: TypeAlias = Granted | Queued | Refused
"""Result of a request for a slot."""
