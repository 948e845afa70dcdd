"""Tells which services reject many of the requests that they get, and since when."""

from __future__ import annotations

from collections import Counter

import attrs

from gentianfold.placement.outcome import Outcome

SMOOTHING = 0.05
"""Weight of the newest answer; about the last forty count."""
REJECTING_SHARE = 0.25
"""Share of rejected requests from which a service counts as rejecting, 0 to 1: single
upstreams that are full or restart stay below it."""
ACCEPTING_SHARE = 0.15
"""Share below which it no longer does, 0 to 1."""
MAX_SILENCE_S = 2.0
"""Time without answers after which nothing is known of a service (seconds)."""


@attrs.define
class _Answers:
    rejected_share: float = 0.0
    since_s: float | None = None
    last_s: float = 0.0


@attrs.define
class RejectionTable:
    """Share of the requests that the upstreams of a service reject."""

    counts: Counter[str] = attrs.field(factory=Counter)
    """Attempts that upstreams rejected since the start, by service (count)."""
    _answers: dict[str, _Answers] = attrs.field(factory=dict)

    def record(self, service: str, outcome: Outcome, now_s: float) -> None:
        """Record how an attempt at an upstream ended; others are ignored."""
        if outcome in (Outcome.CONNECT_FAILED, Outcome.CANCELLED):
            return
        answers = self._answers.get(service)
        if answers is None or now_s - answers.last_s > MAX_SILENCE_S:
            answers = self._answers[service] = _Answers()
        is_rejected = outcome is Outcome.SHED
        self.counts[service] += is_rejected
        answers.rejected_share += SMOOTHING * (is_rejected - answers.rejected_share)
        answers.last_s = now_s
        if answers.rejected_share < ACCEPTING_SHARE:
            answers.since_s = None
        elif answers.since_s is None and answers.rejected_share > REJECTING_SHARE:
            answers.since_s = now_s

    def rejecting_s(self, service: str, now_s: float) -> float | None:
        """Return for how long a service has rejected many requests (seconds).

        Returns:
            The time; ``None`` if it accepts most of them.
        """
        answers = self._answers.get(service)
        if answers is None or answers.since_s is None:
            return None
        if now_s - answers.last_s > MAX_SILENCE_S:
            return None
        return now_s - answers.since_s
