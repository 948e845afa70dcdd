"""Decides on the slot requests of the members in slices of bounded work.

Between two slices the event loop reads further datagrams. So heartbeats, released slots
and withdrawn requests come before slot requests, however many of those wait, and the
time of arrival of a request is known, not hidden in the socket.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from gentianfold.placement.admission import BEHIND_S, AdmissionQueue

if TYPE_CHECKING:
    from gentianfold.placement.slot_request import Decision, SlotRequest
    from gentianfold.placement.slot_scheduler import SlotScheduler

DECISIONS_PER_SLICE = 4
"""Decisions between two reads of the socket (count): an eighth of the datagrams that
one read takes, so that the socket holds no backlog while decisions are slow."""
ACKNOWLEDGE_BEHIND_S = BEHIND_S / 2
"""Delay from which a request is acknowledged before its decision (seconds): the VM
would repeat it otherwise."""
LOG_INTERVAL_S = 1.0
"""Time between two log lines on a broker that is behind (seconds)."""


@attrs.define(eq=False, repr=False)
class DecisionLoop:
    """Decides on slot requests, and passes freed slots to the requests that wait."""

    scheduler: SlotScheduler
    """Assigns the slots."""
    answer: Callable[[str, int, Decision | None], None]
    """Sends a decision to a VM, by its address and the identifier of the slot request;
    an acknowledgement if there is no decision yet."""
    queue: AdmissionQueue = attrs.field(factory=AdmissionQueue)
    """Requests that await a decision."""
    call_soon: Callable[[Callable[[], None]], object] | None = None
    """Has a function called after the next read of the socket; all requests are decided
    on at once without it."""
    now_s: Callable[[], float] = lambda: 0.0
    """Returns the event loop time (seconds); used with ``call_soon`` only."""
    deliver: Callable[[float], None] = lambda _: None
    """Called with the event loop time to grant freed slots to waiting requests."""
    _is_scheduled: bool = False
    _has_freed: bool = False
    _logged_s: float = -1e9
    _logged_refusals: int = 0

    def request_slot(self, request: SlotRequest, now_s: float) -> None:
        """Decide on a request soon; answer a repeated one at once."""
        key = (request.vm, request.slot_request_id)
        if self.scheduler.is_known(key):
            self.queue.counts["repeated"] += 1
            self.answer(*key, self.scheduler.request_slot(request, now_s))
            return
        is_new = self.queue.add(request, now_s)
        if not is_new or self.queue.behind_s(now_s) > ACKNOWLEDGE_BEHIND_S:
            self.answer(*key, None)
        if is_new:
            self._run_soon(now_s)

    def free_slot(self, now_s: float) -> None:
        """Pass a freed slot to a waiting request soon."""
        self._has_freed = True
        self._run_soon(now_s)

    def run_slice(self, now_s: float) -> None:
        """Grant freed slots, refuse late requests, and decide on the next ones."""
        if self._has_freed:
            self._has_freed = False
            self.deliver(now_s)
        for key, refused in self.queue.refuse_late(now_s):
            self.answer(*key, refused)
        for _ in range(DECISIONS_PER_SLICE):
            request = self.queue.take(now_s)
            if request is None:
                return
            decision = self.scheduler.request_slot(request, now_s)
            self.answer(request.vm, request.slot_request_id, decision)

    @property
    def has_work(self) -> bool:
        """Whether a further slice has anything to do."""
        return self._has_freed or len(self.queue) > 0

    def log(self, now_s: float) -> None:
        """Log, once a second at most, that requests were refused without a decision."""
        counts = self.queue.counts
        if (
            counts["refused"] == self._logged_refusals
            or now_s - self._logged_s < LOG_INTERVAL_S
        ):
            return
        logger.warning(
            "admission: behind_ms={:.0f} waiting={} refused={} decided={} repeated={}"
            " withdrawn={} expired={}",
            self.queue.behind_s(now_s) * 1000,
            len(self.queue),
            counts["refused"] - self._logged_refusals,
            counts["decided"],
            counts["repeated"],
            counts["withdrawn"],
            counts["expired"],
        )
        self._logged_refusals, self._logged_s = counts["refused"], now_s

    def _run_soon(self, now_s: float) -> None:
        if self.call_soon is None:
            while self.has_work:
                self.run_slice(now_s)
        elif not self._is_scheduled:
            self._is_scheduled = True
            self.call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        now_s = self.now_s()
        self.run_slice(now_s)
        if self.has_work:
            self._run_soon(now_s)
