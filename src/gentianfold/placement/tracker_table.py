"""Trackers of the listed upstreams, by name and by service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.model import Upstream, UpstreamState
from gentianfold.placement.upstream_tracker import UpstreamTracker

if TYPE_CHECKING:
    from collections.abc import ItemsView, Iterable


@attrs.define(eq=False)
class TrackerTable:
    """One tracker for each start of a listed upstream."""

    _trackers: dict[str, UpstreamTracker] = attrs.field(factory=dict)
    _live: dict[str, list[UpstreamTracker]] = attrs.field(factory=dict)

    def replace(self, upstreams: Iterable[Upstream], now_s: float) -> None:
        """Replace the upstreams; those that did not restart keep their trackers."""
        trackers = {}
        for upstream in upstreams:
            tracker = self._trackers.get(upstream.name)
            if (
                tracker is None
                or tracker.upstream.start_time_ms != upstream.start_time_ms
            ):
                tracker = UpstreamTracker(
                    upstream,
                    now_s + upstream.warmup_remaining_s,
                    listed_at_s=now_s,
                )
            tracker.upstream = upstream
            trackers[upstream.name] = tracker
        self._trackers = trackers
        self._live = {}
        for tracker in trackers.values():
            if tracker.upstream.state is UpstreamState.LIVE:
                self._live.setdefault(tracker.upstream.service, []).append(tracker)

    def get(self, name: str) -> UpstreamTracker | None:
        """Return the tracker of an upstream; ``None`` if it is not listed."""
        return self._trackers.get(name)

    def all(self) -> Iterable[UpstreamTracker]:
        """Return the trackers of all listed upstreams."""
        return self._trackers.values()

    def live(self, service: str) -> list[UpstreamTracker]:
        """Return the trackers of a service's upstreams that take new requests."""
        return self._live.get(service, [])

    def live_by_service(self) -> ItemsView[str, list[UpstreamTracker]]:
        """Return the services with the trackers of their live upstreams."""
        return self._live.items()

    def record_pause(
        self, name: str, start_time_ms: int, vm: str, until_s: float
    ) -> None:
        """Record until when a start of an upstream wants no requests of a VM."""
        tracker = self._trackers.get(name)
        if tracker is not None and tracker.upstream.start_time_ms == start_time_ms:
            tracker.paused_until_s[vm] = until_s


def has_free_slot(trackers: Iterable[UpstreamTracker], now_s: float) -> bool:
    """Tell whether any of the upstreams would start a request at once."""
    return any(tracker.has_free_slot(now_s) for tracker in trackers)
