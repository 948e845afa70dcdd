"""A weighted fair queue of the requests that wait for slots of one service.

Start-time fair queueing: each request gets a start tag, the later of the queue's
virtual time and the end of its customer's previous request, and the smallest tag goes
first. A customer that sends many requests only makes its own tags run ahead.
"""

from __future__ import annotations

import itertools
from collections import deque
from typing import TYPE_CHECKING

import attrs

from gentianfold.codes.requests import (
    QUEUE_DEADLINE,
    QUEUE_FULL,
    WITHDRAWN_WHILE_WAITING,
)
from gentianfold.errors import Code, Failure

if TYPE_CHECKING:
    from collections.abc import Callable

RATE_SMOOTHING = 0.05
"""Weight of the newest gap between two departures in their moving average."""
MIN_RETRY_AFTER_S = 1.0
"""Least time that a refused caller is asked to wait."""


@attrs.frozen(eq=False)
class Waiting:
    """A request that waits for a slot."""

    request_id: str
    """Identifies the request."""
    customer: str
    """Name of the customer; requests of open routes share the empty name."""
    deadline_s: float
    """When its caller stops waiting."""
    weight: float = 1.0
    """Share of the customer relative to others."""
    key: str = ""
    """Identifies the key that it came with."""
    work_s: float = 0.0
    """Time that its upstream is expected to need."""


@attrs.frozen
class Refused:
    """A request that left the queue without a slot."""

    waiting: Waiting
    """The request."""
    failure: Failure
    """Why it was refused; it was not run."""


@attrs.define
class _Line:
    """The requests of one customer with their start tags."""

    entries: deque[tuple[float, Waiting]] = attrs.field(factory=deque)

    @property
    def weight(self) -> float:
        return self.entries[0][1].weight

    @property
    def excess(self) -> float:
        return len(self.entries) / self.weight


class FairQueue:
    """Orders waiting requests by customer and refuses early what can't be served."""

    def __init__(self, max_queue: int) -> None:
        self.max_queue = max_queue
        self._lines: dict[str, _Line] = {}
        self._end_tags: dict[str, float] = {}
        self._count = 0
        self._virtual_time = 0.0
        self._gap_s: float | None = None
        self._last_departure_s: float | None = None

    def __len__(self) -> int:
        return self._count

    def push(self, waiting: Waiting, now_s: float) -> list[Refused]:
        """Add a request; return what is refused for it, itself perhaps.

        When the queue is full, the newest request of the customer with the longest
        line for its weight goes, so that a small customer is never shut out.
        """
        wait_s = self._expected_wait_s(waiting)
        if now_s + wait_s + waiting.work_s > waiting.deadline_s:
            return [refuse(waiting, QUEUE_DEADLINE, wait_s)]
        self._append(waiting)
        if self._count <= self.max_queue:
            return []
        worst = max(self._lines, key=lambda name: self._lines[name].excess)
        dropped = self._drop_newest(worst)
        return [refuse(dropped, QUEUE_FULL, self._expected_wait_s(dropped))]

    def pop(self, now_s: float) -> tuple[Waiting | None, list[Refused]]:
        """Return the next request for a free slot, and those that came too late."""
        refused: list[Refused] = []
        while self._count:
            waiting = self._take_next()
            if now_s + waiting.work_s <= waiting.deadline_s:
                self._note_departure(now_s)
                return waiting, refused
            wait_s = self._expected_wait_s(waiting)
            refused.append(refuse(waiting, QUEUE_DEADLINE, wait_s))
        self._last_departure_s = None
        return None, refused

    def expire(self, now_s: float) -> list[Refused]:
        """Remove and return the requests that can't be served in time any more."""
        late = self._remove(lambda one: now_s + one.work_s > one.deadline_s)
        return [
            refuse(waiting, QUEUE_DEADLINE, self._expected_wait_s(waiting))
            for waiting in late
        ]

    def remove_customer(self, customer: str) -> list[Refused]:
        """Remove and return the requests of a customer that lost its access."""
        removed = self._remove(lambda one: one.customer == customer)
        return [refuse(waiting, WITHDRAWN_WHILE_WAITING, 0.0) for waiting in removed]

    def remove_key(self, key: str) -> list[Refused]:
        """Remove and return the requests that came with a withdrawn key."""
        removed = self._remove(lambda one: one.key == key)
        return [refuse(waiting, WITHDRAWN_WHILE_WAITING, 0.0) for waiting in removed]

    def cancel(self, waiting: Waiting) -> None:
        """Remove a request whose caller hung up."""
        self._remove(lambda one: one is waiting)

    def _append(self, waiting: Waiting) -> None:
        line = self._lines.setdefault(waiting.customer, _Line())
        start = max(self._virtual_time, self._end_tags.get(waiting.customer, 0.0))
        self._end_tags[waiting.customer] = start + 1.0 / waiting.weight
        line.entries.append((start, waiting))
        self._count += 1
        if len(self._end_tags) > 4 * self.max_queue:
            self._forget_past_tags()

    def _forget_past_tags(self) -> None:
        self._end_tags = {
            customer: tag
            for customer, tag in self._end_tags.items()
            if tag > self._virtual_time
        }

    def _take_next(self) -> Waiting:
        customer = min(self._lines, key=lambda name: self._lines[name].entries[0][0])
        line = self._lines[customer]
        start, waiting = line.entries.popleft()
        self._virtual_time = max(self._virtual_time, start)
        self._count -= 1
        if not line.entries:
            del self._lines[customer]
        return waiting

    def _drop_newest(self, customer: str) -> Waiting:
        line = self._lines[customer]
        start, waiting = line.entries.pop()
        self._end_tags[customer] = start
        self._count -= 1
        if not line.entries:
            del self._lines[customer]
        return waiting

    def _remove(self, matches: Callable[[Waiting], bool]) -> list[Waiting]:
        entries = itertools.chain.from_iterable(
            line.entries for line in self._lines.values()
        )
        ordered = [waiting for _, waiting in sorted(entries, key=lambda one: one[0])]
        removed = [waiting for waiting in ordered if matches(waiting)]
        if not removed:
            return []
        self._lines.clear()
        self._end_tags.clear()
        self._count = 0
        for waiting in ordered:
            if not matches(waiting):
                self._append(waiting)
        return removed

    def _note_departure(self, now_s: float) -> None:
        last_s = self._last_departure_s
        # A gap tells the rate of the service only if requests waited all through it.
        self._last_departure_s = now_s if self._count else None
        if last_s is None:
            return
        gap_s = now_s - last_s
        known_s = gap_s if self._gap_s is None else self._gap_s
        self._gap_s = known_s + RATE_SMOOTHING * (gap_s - known_s)

    def _expected_wait_s(self, waiting: Waiting) -> float:
        if self._gap_s is None or not self._count:
            return 0.0
        line = self._lines.get(waiting.customer)
        own = len(line.entries) if line else 0
        others = sum(
            one.weight for name, one in self._lines.items() if name != waiting.customer
        )
        share = waiting.weight / (waiting.weight + others)
        return min(self._count, own / share) * self._gap_s


def refuse(waiting: Waiting, code: Code, wait_s: float) -> Refused:
    """Return the refusal of a request that was not run."""
    if code is WITHDRAWN_WHILE_WAITING:
        return Refused(waiting, Failure(code))
    failure = Failure(code, retry_after_s=max(MIN_RETRY_AFTER_S, wait_s))
    return Refused(waiting, failure)
