"""Log entries of a scheduler on services and upstreams."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Sequence

    from gentianfold.placement.queue_entry import QueueEntry
    from gentianfold.placement.upstream_tracker import UpstreamTracker

MAX_STATE_CHANGES = 500
"""State changes kept for the log (count): more than a fleet has between two ticks."""


@attrs.frozen
class ServiceLoad:
    """Queue and slots of a service."""

    service: str
    """Name of the service."""
    waiting: int
    """Queued requests (count)."""
    upstreams: int
    """Upstreams that accept new requests (count)."""
    suspect: int
    """Suspect upstreams (count)."""
    healthy_slots: int
    """Slots of the upstreams that are not suspect (count)."""
    healthy_in_use: int
    """Slots in use on the upstreams that are not suspect (count)."""
    shedding: int
    """Healthy upstreams that count as full since they shed a request (count)."""
    late: int
    """Queued requests that wait although they miss their target (count)."""
    below_floor: int
    """Routes and customers that get slots before more urgent ones (count)."""


def measure_load(
    service: str,
    queue: Collection[QueueEntry],
    trackers: Sequence[UpstreamTracker],
    below_floor: int,
    now_s: float,
) -> ServiceLoad:
    """Return the load of a service.

    Args:
        service: Name of the service.
        queue: Queued requests.
        trackers: Upstreams that accept new requests.
        below_floor: Routes and customers below the floor of their shares (count).
        now_s: Current time (seconds).
    """
    healthy = [tracker for tracker in trackers if tracker.suspect_since_s is None]
    return ServiceLoad(
        service,
        len(queue),
        len(trackers),
        len(trackers) - len(healthy),
        sum(tracker.upstream.slots for tracker in healthy),
        sum(tracker.in_use for tracker in healthy),
        sum(now_s < tracker.shed_until_s for tracker in healthy),
        sum(entry.is_late for entry in queue),
        below_floor,
    )


@attrs.frozen
class StateChange:
    """A change of an upstream between suspect and healthy, or slow and not slow."""

    upstream: str
    """Name of the upstream."""
    state: str
    """``suspect``, ``well``, ``slow``, ``no longer slow``, ``rate limited`` or ``not rate
    limited``."""
    cause: str
    """Outcome in lower case; ``taken`` for a running request that counts as accepted;
    ``time`` for a change of slowness; ``answer`` or ``heartbeat`` for a rate limit."""
    slowness: float
    """Elapsed time of its requests as a multiple of the usual time."""
    recent_failures: float
    """Exponentially decayed number of its failures."""
    last_accepted_age_s: float
    """Time since the last accepted request was sent (seconds)."""
    rate_limit_per_s: float
    """Rate limit that it states (requests per second); infinite for none."""


@attrs.define
class StateChangeQueue:
    """State changes that are not logged yet; the oldest are dropped beyond the limit."""

    _changes: deque[StateChange] = attrs.field(
        factory=lambda: deque(maxlen=MAX_STATE_CHANGES)
    )

    def record(
        self, tracker: UpstreamTracker, state: str, cause: str, now_s: float
    ) -> None:
        """Add a state change of an upstream."""
        self._changes.append(
            StateChange(
                tracker.upstream.name,
                state,
                cause,
                tracker.slowness(now_s),
                tracker.recent_failures(now_s),
                now_s - tracker.last_accepted_s,
                tracker.rate_limiter.rate_per_s,
            )
        )

    def take_all(self) -> Iterator[StateChange]:
        """Remove and yield the state changes, oldest first."""
        while self._changes:
            yield self._changes.popleft()
