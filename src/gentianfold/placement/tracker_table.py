"""Trackers of the listed upstreams, by name and by service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.model import Upstream, UpstreamState
from gentianfold.placement.slot_shares import VmPlace, divide_slots
from gentianfold.placement.upstream_pool import UpstreamPool
from gentianfold.placement.upstream_tracker import UpstreamTracker
from gentianfold.placement.warmup_limiter import WarmupBudget, WarmupLimiter

if TYPE_CHECKING:
    from collections.abc import Callable, ItemsView, Iterable

ACTIVE_S = 60.0
"""Time after its last use for which an upstream is looked at in each tick (seconds):
its measurements have decayed to nothing then."""


@attrs.define(eq=False, repr=False)
class TrackerTable:
    """One tracker for each start of a listed upstream."""

    warmups: WarmupBudget = attrs.field(factory=WarmupBudget)
    """Bound of the requests to cold upstreams."""
    _trackers: dict[str, UpstreamTracker] = attrs.field(factory=dict)
    _pools: dict[str, UpstreamPool] = attrs.field(factory=dict)
    _active: dict[str, UpstreamTracker] = attrs.field(factory=dict)
    _limited: dict[str, UpstreamTracker] = attrs.field(factory=dict)
    _place: VmPlace | None = None

    def replace(
        self, upstreams: Iterable[Upstream], now_s: float, draw: Callable[[], float]
    ) -> None:
        """Replace the upstreams; those that did not restart keep their trackers.

        Args:
            upstreams: The listed upstreams.
            now_s: Current time (seconds).
            draw: Returns a random number from 0 to below 1; orders new upstreams.
        """
        trackers = {}
        for upstream in upstreams:
            tracker = self._trackers.get(upstream.name)
            if (
                tracker is None
                or tracker.upstream.start_time_ms != upstream.start_time_ms
            ):
                limiter = WarmupLimiter(upstream.service, self.warmups)
                tracker = UpstreamTracker(upstream, limiter, listed_at_s=now_s)
                _start_warmup(tracker, now_s)
            elif tracker.upstream is not upstream:
                _update_warmup(tracker, upstream, now_s)
            tracker.upstream = upstream
            trackers[upstream.name] = tracker
        self._active = {
            name: tracker
            for name, tracker in trackers.items()
            if tracker is self._active.get(name)
        }
        self._limited = {
            name: tracker
            for name, tracker in trackers.items()
            if tracker.rate_limiter.is_limited
        }
        self._trackers = trackers
        live: dict[str, list[UpstreamTracker]] = {}
        for tracker in trackers.values():
            if tracker.upstream.state is UpstreamState.LIVE:
                live.setdefault(tracker.upstream.service, []).append(tracker)
        self._pools = {}
        for service, of_service in live.items():
            pool = self._pools[service] = UpstreamPool()
            pool.add_all(of_service, draw)
        self._divide_slots()

    def get(self, name: str) -> UpstreamTracker | None:
        """Return the tracker of an upstream; ``None`` if it is not listed."""
        return self._trackers.get(name)

    def all(self) -> Iterable[UpstreamTracker]:
        """Return the trackers of all listed upstreams."""
        return self._trackers.values()

    def pool(self, service: str) -> UpstreamPool:
        """Return a service's upstreams that take new requests; empty if unknown."""
        return self._pools.get(service) or UpstreamPool()

    def pools(self) -> ItemsView[str, UpstreamPool]:
        """Return the services with their upstreams that take new requests."""
        return self._pools.items()

    def file(self, tracker: UpstreamTracker, to_end: bool = False) -> None:
        """File an upstream whose state may have changed anew in its pool.

        Args:
            tracker: The upstream.
            to_end: Whether it was used or failed, and so comes last.
        """
        name = tracker.upstream.name
        if self._trackers.get(name) is not tracker:
            return
        if to_end:
            self._active[name] = tracker
        if tracker.rate_limiter.is_limited:
            self._limited[name] = tracker
        else:
            self._limited.pop(name, None)
        pool = self._pools.get(tracker.upstream.service)
        if pool is not None:
            pool.file(tracker, to_end)

    def active(self, now_s: float) -> Iterable[UpstreamTracker]:
        """Return the upstreams that were used within ``ACTIVE_S``, or are slow."""
        ended = [
            name
            for name, tracker in self._active.items()
            if not tracker.in_use
            and not tracker.is_slow
            and now_s - tracker.last_used_s > ACTIVE_S
        ]
        for name in ended:
            del self._active[name]
        return self._active.values()

    def limited(self) -> Iterable[UpstreamTracker]:
        """Return the upstreams that state a rate limit."""
        return self._limited.values()

    def __len__(self) -> int:
        return len(self._trackers)

    def set_place(self, place: VmPlace | None) -> None:
        """Set the place of this VM, by which slots are divided; ``None`` for no shares."""
        if place != self._place:
            self._place = place
            self._divide_slots()

    def _divide_slots(self) -> None:
        place = self._place
        for tracker in self._trackers.values():
            tracker.share_slots = None
        if place is not None:
            for pool in self._pools.values():
                for tracker, slots in divide_slots(pool.trackers, place):
                    tracker.share_slots = slots

    def record_pause(
        self, name: str, start_time_ms: int, vm: str, until_s: float
    ) -> None:
        """Record until when a start of an upstream wants no requests of a VM."""
        tracker = self._trackers.get(name)
        if tracker is not None and tracker.upstream.start_time_ms == start_time_ms:
            tracker.pause(vm, until_s)

    def record_cold(
        self, name: str, start_time_ms: int, until_s: float, now_s: float
    ) -> bool:
        """Record until when a start of an upstream is cold; tell whether it was not."""
        tracker = self._trackers.get(name)
        if tracker is None or tracker.upstream.start_time_ms != start_time_ms:
            return False
        if not tracker.warmup.start(until_s, now_s):
            return False
        self.file(tracker)
        return True


def _start_warmup(tracker: UpstreamTracker, now_s: float) -> None:
    tracker.warmup.start(now_s + tracker.upstream.warmup_remaining_s, now_s)


def _update_warmup(tracker: UpstreamTracker, upstream: Upstream, now_s: float) -> None:
    """Apply a warm-up that is stated anew, or unseen while its zone was evacuated.

    An upstream may have become cold shortly before its zone is taken back, and say so
    with its next write to the store only.
    """
    old = tracker.upstream
    if upstream.entry_revision != old.entry_revision and upstream.warmup_remaining_s:
        tracker.warmup.start(now_s + upstream.warmup_remaining_s, now_s)
    if old.state is UpstreamState.EVACUATED and upstream.state is UpstreamState.LIVE:
        tracker.warmup.start_unseen(now_s)
