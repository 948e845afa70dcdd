"""Decides which slot requests a broker works on while it is behind.

Answers a crowd of more slot requests than a broker can decide on, such as 950 a second
at one that decides on 600. Served in the order of arrival, each of them would wait
until it is of no use, so that all decisions come too late, and repeated and withdrawn
requests would add to the work. So a broker that is behind decides on the newest request
first, which can still be in time, and refuses those that waited for ``MAX_WAIT_S``.
Nothing remains to be done once the crowd ends, and no decision is made for a request
that was withdrawn.
"""

from __future__ import annotations

import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.slot_request import RefusalReason, Refused

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianfold.placement.slot_request import SlotRequest
    from gentianfold.placement.waiting_requests import SlotRequestKey

BEHIND_S = 0.03
"""Wait of the oldest request from which a broker is behind (seconds): more than the
work between two looks at the requests, and little beside the shortest targets."""
MAX_WAIT_S = 0.2
"""Longest wait for a decision (seconds): less than a VM waits before it decides by
itself, and half of the shortest targets."""
MAX_REQUESTS = 5_000
"""Requests that await a decision (count); the oldest is refused beyond it."""
RETRY_AFTER_S = 0.5
"""Shortest retry delay of a request that was not decided on (seconds); the longest is
twice that, so that those refused together don't return together."""
UNCOUNTED_WAIT_S = 0.002
"""Wait that is not taken off the times left (seconds): less than they are exact to."""
RECENT_TIME_CONSTANT_S = 0.3
"""Time constant with which the told delay decays (seconds)."""


@attrs.define(eq=False, repr=False)
class _Arrival:
    """A request that awaits its decision."""

    request: SlotRequest
    arrived_s: float


@attrs.define(eq=False, repr=False)
class AdmissionQueue:
    """Slot requests that await a decision, bounded by the time that they wait."""

    draw: Callable[[], float] = random.random
    """Returns a random number from 0 to below 1."""
    counts: Counter[str] = attrs.field(factory=Counter)
    """Requests by what became of them: ``decided``, ``refused`` for a wait that was too
    long, ``repeated``, ``withdrawn``, and ``expired`` past their deadlines."""
    _arrivals: dict[SlotRequestKey, _Arrival] = attrs.field(factory=dict)
    _recent_s: float = 0.0
    _recorded_s: float = -math.inf

    def add(self, request: SlotRequest, now_s: float) -> bool:
        """Add a request; tell whether it is new.

        Args:
            request: The request, with the times left as of now.
            now_s: Current time (seconds).
        """
        key = (request.vm, request.slot_request_id)
        if key in self._arrivals:
            self.counts["repeated"] += 1
            return False
        self._arrivals[key] = _Arrival(request, now_s)
        return True

    def withdraw(self, key: SlotRequestKey) -> bool:
        """Remove a request that its VM gave up; tell whether it was waiting."""
        if self._arrivals.pop(key, None) is None:
            return False
        self.counts["withdrawn"] += 1
        return True

    def remove_vm(self, vm: str) -> None:
        """Remove the requests of a VM, as when its process has ended."""
        for key in [key for key in self._arrivals if key[0] == vm]:
            del self._arrivals[key]

    def clear(self) -> None:
        """Remove all requests, as when another VM becomes the broker."""
        self._arrivals.clear()

    def take(self, now_s: float) -> SlotRequest | None:
        """Remove and return the request to decide on next, with its times as of now.

        Returns:
            The oldest request, or the newest while the broker is behind; ``None`` if
            none waits.
        """
        while self._arrivals:
            if self._oldest_wait_s(now_s) > BEHIND_S:
                _, arrival = self._arrivals.popitem()
            else:
                arrival = self._arrivals.pop(next(iter(self._arrivals)))
            waited_s = max(now_s - arrival.arrived_s, 0.0)
            self._record(waited_s, now_s)
            request = arrival.request
            if waited_s >= request.time_left_s:
                self.counts["expired"] += 1
                continue
            self.counts["decided"] += 1
            if waited_s < UNCOUNTED_WAIT_S:
                return request
            return attrs.evolve(
                request,
                time_left_s=request.time_left_s - waited_s,
                target_left_s=request.target_left_s - waited_s,
            )
        return None

    def refuse_late(self, now_s: float) -> Iterator[tuple[SlotRequestKey, Refused]]:
        """Remove and yield the requests that waited too long, with their refusals."""
        excess = len(self._arrivals) - MAX_REQUESTS
        late = [
            key
            for key, arrival in itertools.takewhile(
                lambda item: now_s - item[1].arrived_s >= MAX_WAIT_S,
                self._arrivals.items(),
            )
        ]
        if excess > len(late):
            late = list(itertools.islice(self._arrivals, excess))
        for key in late:
            self._record(now_s - self._arrivals.pop(key).arrived_s, now_s)
            self.counts["refused"] += 1
            retry_after_s = RETRY_AFTER_S * (1 + self.draw())
            yield key, Refused(RefusalReason.BROKER_BEHIND, retry_after_s)

    def behind_s(self, now_s: float) -> float:
        """Return how far the decisions are behind the requests (seconds).

        This is the longest recent wait, which decays, or the wait of the oldest request.
        """
        age_s = max(now_s - self._recorded_s, 0.0)
        recent_s = self._recent_s * math.exp(-age_s / RECENT_TIME_CONSTANT_S)
        return max(recent_s, self._oldest_wait_s(now_s))

    def _oldest_wait_s(self, now_s: float) -> float:
        oldest = next(iter(self._arrivals.values()), None)
        return now_s - oldest.arrived_s if oldest is not None else 0.0

    def _record(self, waited_s: float, now_s: float) -> None:
        self._recent_s = max(self.behind_s(now_s), waited_s)
        self._recorded_s = now_s

    def __len__(self) -> int:
        return len(self._arrivals)
