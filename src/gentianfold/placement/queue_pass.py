"""Selects the requests of a queue that are tried when slots may be free.

Answers a long queue beside suspect upstreams with free slots: few requests may be sent
there as trials, and trying all the others for each released slot costs more than the
decisions themselves.
"""

from __future__ import annotations

from collections import Counter
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

KINDS = 2
"""Kinds of requests: those that may explore, and the others (count)."""
MAX_PASSED_OVER = 8
"""Requests of a kind for which no upstream is found, after which a pass tries no more
of them (count)."""
MAX_PASSED_OVER_IN_TICK = 40
"""The same for the first pass in a tick (count)."""


@attrs.define(eq=False)
class QueuePass:
    """One pass over the queue of a service."""

    pool: UpstreamPool
    """Upstreams of the service that accept new requests."""
    index: QueueIndex
    """Order of the queue."""
    is_first: bool
    """Whether it is the first pass in a tick, or the queue is short."""
    now_s: float
    """Current time (seconds)."""
    _passed_over: Counter[bool] = attrs.field(factory=Counter)
    _ended: set[bool] = attrs.field(factory=set)

    def entries(
        self, queue: Mapping[SlotRequestKey, QueueEntry], order: QueueOrder
    ) -> Iterator[tuple[SlotRequestKey, QueueEntry]]:
        """Yield the requests to try, those to serve first at the front."""
        if not self.pool.may_start(self.now_s):
            return
        for key, entry in self.index.ordered(queue, order, self.now_s):
            if entry.request.may_explore in self._ended:
                continue
            yield key, entry
            if len(self._ended) == KINDS or not self.pool.may_start(self.now_s):
                break

    def pass_over(self, request: SlotRequest) -> None:
        """Record that no upstream was found for a request.

        Without a healthy upstream only a trial was possible, which few other requests
        of the same kind get.
        """
        kind = request.may_explore
        self._passed_over[kind] += 1
        if self.is_first:
            limit = MAX_PASSED_OVER_IN_TICK
        else:
            limit = MAX_PASSED_OVER if self.pool.has_free_slot(self.now_s) else 1
        if self._passed_over[kind] >= limit:
            self._ended.add(kind)

    def finish(self) -> None:
        """Record whether the requests left wait for something else than slots."""
        self.index.is_stalled = not self._ended and self.pool.has_free_slot(self.now_s)
