"""Selects the requests of a queue that are tried when slots may be free.

Answers a long queue beside suspect upstreams with free slots: few requests may be sent
there as trials, and trying all the others for each released slot costs more than the
decisions themselves.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, TypeAlias

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from gentianfold.placement.queue_entry import QueueEntry
    from gentianfold.placement.queue_index import QueueIndex
    from gentianfold.placement.queue_order import QueueOrder
    from gentianfold.placement.slot_request import SlotRequest
    from gentianfold.placement.upstream_pool import UpstreamPool
    from gentianfold.placement.waiting_requests import SlotRequestKey

Kind: TypeAlias = "tuple[bool, tuple[str, ...] | None]"
"""Whether requests may explore, and the zones of their homes; ``None`` for any."""
KINDS_OF_ANY_ZONE: frozenset[Kind] = frozenset({(True, None), (False, None)})
"""Kinds of requests without homes: when these have ended, so have all others."""
MAX_PASSED_OVER = 8
"""Requests of a kind for which no upstream is found, after which a pass tries no more
of them (count)."""
MAX_PASSED_OVER_IN_TICK = 40
"""The same for the first pass in a tick (count)."""
MAX_AWAY = 200
"""Requests without a free slot in their homes that a pass leaves out, unless it is the
first in a tick (count): each costs little, but thousands may wait."""


@attrs.define(eq=False, repr=False)
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
    _passed_over: Counter[Kind] = attrs.field(factory=Counter)
    _ended: set[Kind] = attrs.field(factory=set)
    _away: int = 0

    def entries(
        self, queue: Mapping[SlotRequestKey, QueueEntry], order: QueueOrder
    ) -> Iterator[tuple[SlotRequestKey, QueueEntry]]:
        """Yield the requests to try, those to serve first at the front."""
        if not self.pool.may_start(self.now_s):
            return
        for key, entry in self.index.ordered(queue, order, self.now_s):
            if (entry.request.may_explore, None) in self._ended:
                continue
            if entry.request.zones is not None and self._is_away(entry.request):
                self._away += 1
                if self._away > MAX_AWAY and not self.is_first:
                    break
                continue
            yield key, entry
            if self._ended >= KINDS_OF_ANY_ZONE or not self.pool.may_start(self.now_s):
                break

    def _is_away(self, request: SlotRequest) -> bool:
        """Tell whether a request with homes gets no slot there in this pass."""
        kind = (request.may_explore, request.zones)
        if kind in self._ended:
            return True
        if self.pool.within(request.zones).may_start(self.now_s):
            return False
        self._ended.add(kind)
        return True

    def pass_over(self, request: SlotRequest) -> None:
        """Record that no upstream was found for a request.

        Without a healthy upstream only a trial was possible, which few other requests
        of the same kind get. For requests with homes that says nothing of others.
        """
        kind = (request.may_explore, request.zones)
        self._passed_over[kind] += 1
        if self.is_first:
            limit = MAX_PASSED_OVER_IN_TICK
        else:
            pool = self.pool.within(request.zones)
            limit = MAX_PASSED_OVER if pool.has_free_slot(self.now_s) else 1
        if self._passed_over[kind] >= limit:
            self._ended.add(kind)

    def finish(self) -> None:
        """Record whether the requests left wait for something else than slots."""
        has_ended = not self._ended.isdisjoint(KINDS_OF_ANY_ZONE)
        self.index.is_stalled = not has_ended and self.pool.has_free_slot(self.now_s)
