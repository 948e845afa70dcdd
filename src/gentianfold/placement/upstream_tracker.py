"""Tracks one upstream: published properties, slots in use, failures and speed."""

from __future__ import annotations

import math

import attrs

from gentianfold.model import Upstream
from gentianfold.placement.rate_limiter import RateLimiter
from gentianfold.placement.warmup_limiter import WarmupLimiter

NEVER_S = -1e9
"""Time of an event that has not happened (seconds)."""
TRIAL_BACKOFF_S = 0.25
"""First delay before a suspect upstream gets a trial request (seconds); the shortest
failure periods last about a second."""
MAX_TRIAL_BACKOFF_S = 1.0
"""Longest delay between trials (seconds): a recovered upstream is found within it."""
FAILURE_TIME_CONSTANT_S = 2.5
"""Time constant of the exponential decay of failures (seconds): half of a long failure
period, so that an upstream which fails in part is used last."""
RATIO_SMOOTHING = 0.25
"""Weight of the newest request in the success ratio: about the last seven count, as
many as the trials in one failure period."""
CONFIRMATIONS_AFTER_FAILURES = 2
"""Confirmations that end a period of several failures (count): an upstream that fails
nine in ten requests passes one trial in ten, but two in a row only one in a hundred."""
SPEED_TIME_CONSTANT_S = 3.0
"""Time constant of the decay of speed measurements (seconds): a slow period lasts five
seconds or more, so the speed is measured again once or twice within it."""
SPEED_WORK_CONSTANT_S = 2.0
"""Elapsed time of requests in which earlier speed measurements decay to 1/e (seconds):
about one timeout of each slot of a small upstream."""
SPEED_PRIOR_S = 0.3
"""Elapsed time at the usual speed that is assumed before any measurement (seconds):
about one request."""
SLOW_THRESHOLD = 3.0
"""Slowness above which an upstream is logged as slow (multiple of the usual time)."""
USUAL_SLOWNESS = 1.5
"""Slowness that is due to varying work alone (multiple of the usual time)."""
CONNECT_BLOCK_S = 1.5
"""How long a VM avoids an upstream that it could not connect to (seconds); half of the
time allowed until a recovered network path is used again."""
MIN_UNREACHABLE_VMS = 3
"""VMs that must fail to connect, while no VM succeeds, before the upstream is suspect
(count): more than a pair of VMs that share one broken link."""


@attrs.define(eq=False, repr=False)
class UpstreamTracker:
    """State and statistics of one upstream; all times are monotonic.

    A failure makes the upstream suspect. Requests that it accepts or completes later
    confirm its recovery, and enough confirmations end the failure period.
    """

    upstream: Upstream
    """Published properties."""
    warmup: WarmupLimiter = attrs.field(factory=WarmupLimiter)
    """Keeps its requests to the rate that it tolerates while it is cold."""
    in_use: int = 0
    """Slots held by granted requests (count)."""
    last_accepted_s: float = NEVER_S
    """When the last accepted request was sent (seconds): one that succeeded, or that
    was still running after a failing upstream would have responded."""
    last_failure_s: float = NEVER_S
    """When a request last failed (seconds)."""
    failed_quickly: bool = True
    """Whether requests fail at once in the current failure period, not by timeout."""
    failure_score: float = 0.0
    """Exponentially decaying number of failures, as of ``last_failure_s``."""
    success_ratio: float = 1.0
    """Smoothed fraction of requests that succeed, 0 to 1."""
    confirmations_needed: int = 1
    """Confirmations still needed to end the current failure period (count)."""
    suspect_since_s: float | None = None
    """When the current failure period was detected (seconds); ``None`` if healthy."""
    next_trial_s: float = 0.0
    """When a suspect upstream is due for a trial (seconds)."""
    trial_backoff_s: float = TRIAL_BACKOFF_S
    """Delay of the trial after the next failure (seconds)."""
    trials_in_use: int = 0
    """Running trial requests (count)."""
    decayed_elapsed_s: float = 0.0
    """Sum of the elapsed times of finished requests, decaying (seconds)."""
    decayed_expected_s: float = 0.0
    """Sum of the expected times of those that succeeded, decaying (seconds)."""
    running_s: float = 0.0
    """Elapsed time of running requests that exceed their expected time, as of the last
    update (seconds)."""
    decayed_at_s: float = 0.0
    """When the decaying sums were last updated (seconds)."""
    is_slow: bool = False
    """Whether it was last logged as slow."""
    shed_until_s: float = 0.0
    """Until when it counts as full after it shed or misdirected a request (seconds)."""
    blocked_until_s: dict[str, float] | None = None
    """Until when each VM avoids it (seconds), by address of the VM; ``None`` for none: a
    dictionary for each of thousands of upstreams takes megabytes."""
    paused_until_s: dict[str, float] | None = None
    """Until when it wants no requests of each VM (seconds), by address of the VM; ``None``
    for none."""
    connect_failed_s: dict[str, float] | None = None
    """When each VM last failed to connect (seconds), by address of the VM; ``None`` for
    none."""
    last_used_s: float = NEVER_S
    """When one of its slots was last granted (seconds)."""
    listed_at_s: float = 0.0
    """When it was first listed (seconds)."""
    in_working_set: bool = False
    """Whether it belongs to the working set of its zone."""
    rate_limiter: RateLimiter = attrs.field(factory=RateLimiter)
    """Keeps its requests to the rate that it states."""
    share_slots: int | None = None
    """Slots that are the share of this VM (count); ``None`` if none are divided."""

    def is_cold(self, now_s: float) -> bool:
        """Tell whether it is warming up, so that its rate is bounded in the fleet."""
        return now_s < self.warmup.until_s

    @property
    def is_share_used_up(self) -> bool:
        """Whether a further request would use a slot that is another VM's share."""
        return self.share_slots is not None and self.in_use >= self.share_slots

    def count_request(self, now_s: float) -> None:
        """Count a granted request towards its bounds."""
        self.rate_limiter.count_request(now_s)
        self.warmup.count_request(now_s)

    def capacity_slots(self, slot_time_s: float, now_s: float) -> float:
        """Return how many of its slots can be in use within its bounds.

        Args:
            slot_time_s: Usual time for which a request holds a slot (seconds).
            now_s: Current time (seconds).
        """
        stated = self.rate_limiter.capacity_slots(self.upstream.slots, slot_time_s)
        if not self.is_cold(now_s):
            return stated
        return min(stated, self.warmup.capacity_slots(slot_time_s, now_s))

    def held_slots(self, slot_time_s: float, now_s: float) -> float:
        """Return how many of its slots are held under load (count).

        Args:
            slot_time_s: Usual time for which a request holds a slot (seconds).
            now_s: Current time (seconds).
        """
        if self.rate_limiter.is_limited or self.warmup.is_bounded(now_s):
            return self.capacity_slots(slot_time_s, now_s)
        return self.in_use

    def is_blocked_for(self, vm: str, now_s: float) -> bool:
        """Tell whether a VM failed to connect recently, or was told to pause."""
        if not self.blocked_until_s and not self.paused_until_s:
            return False
        if self.pause_s(vm, now_s) > 0:
            return True
        blocked = self.blocked_until_s or {}
        until_s = blocked.get(vm)
        if until_s is None:
            return False
        if until_s <= now_s:
            del blocked[vm]
            return False
        return True

    def pause_s(self, vm: str, now_s: float) -> float:
        """Return the time for which it wants no requests of a VM (seconds)."""
        paused = self.paused_until_s
        until_s = paused.get(vm) if paused else None
        if not paused or until_s is None:
            return 0.0
        if until_s <= now_s:
            del paused[vm]
            return 0.0
        return until_s - now_s

    def pause(self, vm: str, until_s: float) -> None:
        """Record until when it wants no requests of a VM (seconds)."""
        self.paused_until_s = self.paused_until_s or {}
        self.paused_until_s[vm] = until_s

    def has_free_slot(self, now_s: float) -> bool:
        """Tell whether the upstream would start a request at once."""
        return (
            self.in_use < self.upstream.slots
            and now_s >= self.shed_until_s
            and (
                not self.rate_limiter.is_limited
                or self.rate_limiter.allows_request(now_s)
            )
            and (now_s >= self.warmup.until_s or self.warmup.allows_request(now_s))
        )

    def recent_failures(self, now_s: float) -> float:
        """Return the exponentially decayed number of failures."""
        if not self.failure_score:
            return 0.0
        age_s = now_s - self.last_failure_s
        return self.failure_score * math.exp(-age_s / FAILURE_TIME_CONSTANT_S)

    def record_elapsed(self, elapsed_s: float, expected_s: float, now_s: float) -> None:
        """Record the elapsed time of a finished request.

        Args:
            elapsed_s: Elapsed time (seconds).
            expected_s: Expected time if the request succeeded, else 0 (seconds): a
                cancelled request has taken time and completed no work.
            now_s: Current time (seconds).
        """
        decay = self._decay_factor(now_s) * math.exp(-elapsed_s / SPEED_WORK_CONSTANT_S)
        self.decayed_elapsed_s = self.decayed_elapsed_s * decay + elapsed_s
        self.decayed_expected_s = self.decayed_expected_s * decay + expected_s
        self.decayed_at_s = now_s

    def slowness(self, now_s: float) -> float:
        """Return the ratio of elapsed to expected time; 1.0 is the usual speed.

        Running requests count with their elapsed time so far once that exceeds their
        expected time, and add no expected time until they succeed.
        """
        if not self.decayed_elapsed_s and not self.running_s:
            return 1.0
        decay = self._decay_factor(now_s)
        decayed_elapsed_s = self.decayed_elapsed_s * decay + self.running_s
        return (SPEED_PRIOR_S + decayed_elapsed_s) / (
            SPEED_PRIOR_S + self.decayed_expected_s * decay
        )

    def is_timely(self, expected_s: float, time_left_s: float, now_s: float) -> bool:
        """Tell whether a request would end in its time left at the present speed.

        Args:
            expected_s: Expected elapsed time at the usual speed (seconds).
            time_left_s: Time until the deadline of the request (seconds).
            now_s: Current time (seconds).
        """
        most_s = SPEED_PRIOR_S + self.decayed_elapsed_s + self.running_s
        if expected_s * most_s <= time_left_s * SPEED_PRIOR_S:
            # Measurements only decay, so the slowness is at most this.
            return True
        return expected_s * self.slowness(now_s) <= time_left_s

    def update_slow(self, now_s: float) -> bool:
        """Update ``is_slow``, which only the log uses, and tell whether it changed."""
        threshold = USUAL_SLOWNESS if self.is_slow else SLOW_THRESHOLD
        was_slow, self.is_slow = self.is_slow, self.slowness(now_s) > threshold
        return was_slow != self.is_slow

    def _decay_factor(self, now_s: float) -> float:
        return math.exp(-max(now_s - self.decayed_at_s, 0.0) / SPEED_TIME_CONSTANT_S)

    def record_accepted(self, sent_s: float) -> None:
        """Record that a request sent at ``sent_s`` was accepted."""
        self.last_accepted_s = max(self.last_accepted_s, sent_s)

    def record_success(self, sent_s: float, is_uncounted: bool = True) -> None:
        """Record a complete response: the upstream was healthy at ``sent_s``.

        Args:
            sent_s: When the request was sent (seconds).
            is_uncounted: Whether the request has not been recorded as accepted yet.
        """
        self.record_accepted(sent_s)
        self.success_ratio += RATIO_SMOOTHING * (1 - self.success_ratio)
        if sent_s >= self.last_failure_s and (is_uncounted or not self.failed_quickly):
            self.confirm_recovery()

    def confirm_recovery(self) -> None:
        """Count a confirmation; the last one needed ends the failure period."""
        if self.suspect_since_s is None:
            return
        self.confirmations_needed -= 1
        self.next_trial_s = 0.0
        if self.confirmations_needed <= 0:
            self.suspect_since_s = None
            self.trial_backoff_s = TRIAL_BACKOFF_S

    def record_failure(self, now_s: float, was_quick: bool) -> None:
        """Record a failed request, which starts or continues a failure period.

        Args:
            now_s: Current time (seconds).
            was_quick: Whether the request failed at once, not by timeout.
        """
        self.failure_score = self.recent_failures(now_s) + 1
        self.last_failure_s = now_s
        self.failed_quickly = was_quick
        self.success_ratio -= RATIO_SMOOTHING * self.success_ratio
        if self.suspect_since_s is None:
            self.suspect_since_s = now_s
            self.trial_backoff_s = TRIAL_BACKOFF_S
            self.confirmations_needed = 1
        else:
            self.confirmations_needed = CONFIRMATIONS_AFTER_FAILURES
        self.next_trial_s = now_s + self.trial_backoff_s
        self.trial_backoff_s = min(self.trial_backoff_s * 2, MAX_TRIAL_BACKOFF_S)

    def record_connect_failure(self, vm: str, now_s: float) -> None:
        """Block the upstream for a VM; suspect it if several VMs can't connect."""
        self.blocked_until_s = self.blocked_until_s or {}
        self.blocked_until_s[vm] = now_s + CONNECT_BLOCK_S
        self.connect_failed_s = self.connect_failed_s or {}
        self.connect_failed_s[vm] = now_s
        recent = sum(
            now_s - at_s < CONNECT_BLOCK_S for at_s in self.connect_failed_s.values()
        )
        is_reachable = now_s - self.last_accepted_s < CONNECT_BLOCK_S
        if recent >= MIN_UNREACHABLE_VMS and not is_reachable:
            self.record_failure(now_s, was_quick=False)
