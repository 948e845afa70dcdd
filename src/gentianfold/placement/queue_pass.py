"""Selects the requests of a queue that are tried when slots may be free.

Answers a long queue beside suspect upstreams with free slots: few requests may be sent
there as trials, and trying all the others for each released slot costs more than the
decisions themselves.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from gentianfold.placement.queue_entry import QueueEntry
    from gentianfold.placement.queue_index import QueueIndex
    from gentianfold.placement.queue_order import QueueOrder
    from gentianfold.placement.slot_request import SlotRequest
    from gentianfold.placement.upstream_pool import UpstreamPool
    from gentianfold.placement.waiting_requests import SlotRequestKey

MAX_PASSED_OVER = 8
"""Requests for which no upstream is found, while healthy ones have free slots, after
which a pass ends unless it is the one of a tick (count)."""


@attrs.define(eq=False)
class QueuePass:
    """One pass over the queue of a service."""

    pool: UpstreamPool
    """Upstreams of the service that accept new requests."""
    index: QueueIndex
    """Order of the queue."""
    is_whole: bool
    """Whether the pass tries all requests that could start."""
    now_s: float
    """Current time (seconds)."""
    _passed_over: int = 0
    _not_tried: set[bool] = attrs.field(factory=lambda: {True, False})

    def entries(
        self, queue: Mapping[SlotRequestKey, QueueEntry], order: QueueOrder
    ) -> Iterator[tuple[SlotRequestKey, QueueEntry]]:
        """Yield the requests to try, those to serve first at the front."""
        if not self.pool.may_start(self.now_s):
            return
        for key, entry in self.index.ordered(queue, order, self.now_s):
            if entry.request.may_explore not in self._not_tried:
                continue
            yield key, entry
            if not self._goes_on or not self.pool.may_start(self.now_s):
                break

    def pass_over(self, request: SlotRequest) -> None:
        """Record that no upstream was found for a request.

        Without a healthy upstream only a trial was possible, which other requests of
        the same kind don't get either.
        """
        self._passed_over += 1
        if not self.pool.has_free_slot(self.now_s):
            self._not_tried.discard(request.may_explore)

    def finish(self) -> None:
        """Record whether the requests left wait for something else than slots."""
        self.index.is_stalled = self._goes_on and self.pool.has_free_slot(self.now_s)

    @property
    def _goes_on(self) -> bool:
        is_bounded = not self.is_whole and self._passed_over >= MAX_PASSED_OVER
        return bool(self._not_tried) and not is_bounded
