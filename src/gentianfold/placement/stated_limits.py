"""Records the rate limits that upstreams state."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.rate_limiter import UNLIMITED

if TYPE_CHECKING:
    from gentianfold.placement.log_entries import StateChangeQueue
    from gentianfold.placement.tracker_table import TrackerTable
    from gentianfold.placement.upstream_tracker import UpstreamTracker


@attrs.define(eq=False, repr=False)
class StatedLimits:
    """Passes what upstreams state to their rate limiters."""

    trackers: TrackerTable
    """The upstreams."""
    state_changes: StateChangeQueue
    """Gets the changes to log."""

    def record_answer(
        self,
        tracker: UpstreamTracker,
        rate_limit_per_s: float | None,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Record what an answer states.

        Args:
            tracker: The upstream.
            rate_limit_per_s: The limit (requests per second); infinite if it states
                none, ``None`` if there is no answer.
            sent_s: When its request was sent (seconds).
            now_s: Current time (seconds).
        """
        if rate_limit_per_s == UNLIMITED:
            if tracker.rate_limiter.record_no_limit(sent_s):
                self.trackers.file(tracker)
                self.state_changes.record(tracker, "not rate limited", "answer", now_s)
        elif rate_limit_per_s is not None:
            self._record(tracker, rate_limit_per_s, now_s, now_s, "answer")

    def record_report(
        self, name: str, rate_per_s: float, stated_s: float, now_s: float
    ) -> None:
        """Record a rate limit that an upstream stated to another VM.

        Args:
            name: Name of the upstream; one that is not listed is ignored.
            rate_per_s: The limit (requests per second).
            stated_s: When it was stated (seconds); a statement from before the upstream
                was listed is ignored, as it may be of an earlier start.
            now_s: Current time (seconds).
        """
        tracker = self.trackers.get(name)
        if tracker is not None and stated_s > tracker.listed_at_s:
            self._record(tracker, rate_per_s, stated_s, now_s, "heartbeat")

    def _record(
        self,
        tracker: UpstreamTracker,
        rate_per_s: float,
        stated_s: float,
        now_s: float,
        cause: str,
    ) -> None:
        tracker.rate_limiter.share = self.trackers.warmups.share
        if tracker.rate_limiter.record_limit(rate_per_s, stated_s, now_s):
            self.trackers.file(tracker)
            self.state_changes.record(tracker, "rate limited", cause, now_s)
