"""Selects the rate limits of upstreams that a VM reports to its broker."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from gentianfold.placement.upstream_tracker import UpstreamTracker

MAX_REPORTED_LIMITS = 20
"""Rate limits in one report (count): more than a VM learns between two reports, and
little beside the other contents of a heartbeat."""
MAX_REPORTED_AGE_S = 10.0
"""Age up to which a rate limit is reported (seconds): a broker that takes over learns
the limits of all upstreams in use, and few that have ended."""


def report_rate_limits(
    trackers: Iterable[UpstreamTracker], now_s: float
) -> Iterator[tuple[str, float, int]]:
    """Yield upstream, rate limit and its age in milliseconds, newest first."""
    limited = [
        (tracker.rate_limiter, tracker.upstream.name)
        for tracker in trackers
        if tracker.rate_limiter.is_limited
        and now_s - tracker.rate_limiter.stated_s <= MAX_REPORTED_AGE_S
    ]
    limited.sort(key=lambda item: -item[0].stated_s)
    for limiter, name in limited[:MAX_REPORTED_LIMITS]:
        yield name, limiter.rate_per_s, int((now_s - limiter.stated_s) * 1000)
