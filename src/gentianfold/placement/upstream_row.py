"""What is known of one upstream: published facts, slots in use and evidence."""

from __future__ import annotations

import math

import attrs

from gentianfold.model import Upstream

TRIAL_BACKOFF_S = 0.25
"""First pause before a suspect upstream is tried again (seconds); failing spells of
about a second are the shortest that both sites show."""
MAX_TRIAL_BACKOFF_S = 1.0
"""Longest pause between trials (seconds): a recovered upstream returns within it."""
FAILURE_TIME_CONSTANT_S = 2.5
"""Time in which a failure fades to a third (seconds): half of the longer failing
spells of both sites, so that an upstream which fails in part is used last."""
RATIO_SMOOTHING = 0.25
"""Weight of the newest request in the part that succeeds: about the last seven count,
a failing spell at the usual rate of trials."""
CONFIRMATIONS_AFTER_FAILURES = 2
"""Proofs that end a spell of several failures (count): an upstream that fails nine in
ten passes one trial in ten, and two in a hundred."""
SPEED_TIME_CONSTANT_S = 3.0
"""Time in which what was seen of an upstream's speed fades to a third (seconds): a
slow phase lasts five seconds and more, so it is looked into once or twice."""
SPEED_WORK_CONSTANT_S = 2.0
"""Time that requests spend on an upstream in which what was seen before fades to a
third (seconds): about one timeout of each slot of the smaller servers."""
SPEED_PRIOR_S = 0.3
"""Work at the usual speed that is assumed to have been seen (seconds): one request of
the middle of both sites."""
SLOW_THRESHOLD = 3.0
"""Multiple of the usual time from which the log calls an upstream slow."""
USUAL_SLOWNESS = 1.5
"""Multiple of the usual time that differing work alone explains."""
CONNECT_BLOCK_S = 1.5
"""How long a VM avoids an upstream that it could not connect to (seconds); half of
the time that the users allow before a path counts as calm again."""


@attrs.define(eq=False)
class UpstreamRow:
    """One upstream as placement sees it."""

    upstream: Upstream
    """What is published of it."""
    warmup_until_s: float = 0.0
    """When it stops being slow after its start."""
    in_use: int = 0
    """Slots that granted requests hold."""
    last_accepted_s: float = -1e9
    """When a request was last sent that it took: one that succeeded, or that was still
    under way after a failing upstream would have answered."""
    last_failure_s: float = -1e9
    """When a request last failed on it."""
    failed_quickly: bool = True
    """Whether the present spell answers at once, rather than not at all."""
    failure_score: float = 0.0
    """Failures, each decay with time, as of the last one."""
    success_ratio: float = 1.0
    """Part of its requests that succeed, smoothed."""
    confirmations_needed: int = 1
    """Proofs after which the present spell is over."""
    suspect_since_s: float | None = None
    """When the present failing spell was first seen; ``None`` if it is well."""
    next_trial_s: float = 0.0
    """When a suspect may be tried again."""
    trial_backoff_s: float = TRIAL_BACKOFF_S
    """Pause after the next failed trial."""
    trials_in_use: int = 0
    """Trials that are on their way."""
    decayed_elapsed_s: float = 0.0
    """Time that its ended requests took, decay."""
    decayed_expected_s: float = 0.0
    """Time that those among them which succeeded usually take, decay."""
    running_s: float = 0.0
    """Time that its requests under way have taken, as of the last look."""
    decayed_at_s: float = 0.0
    """When the decay times were last brought up to date."""
    is_slow: bool = False
    """Whether the log was told that it is slow."""
    shed_until_s: float = 0.0
    """Until when it is taken for full, after it shed a request."""
    blocked_until_s: dict[str, float] = attrs.field(factory=dict)
    """Until when each VM avoids it, by VM."""
    connect_failed_s: dict[str, float] = attrs.field(factory=dict)
    """When each VM last failed to connect to it."""
    last_used_s: float = -1e9
    """When it was last granted."""

    def is_blocked_for(self, vm: str, now_s: float) -> bool:
        """Tell whether a VM could not connect to it a short time ago."""
        until_s = self.blocked_until_s.get(vm)
        if until_s is None:
            return False
        if until_s <= now_s:
            del self.blocked_until_s[vm]
            return False
        return True

    def has_free_slot(self, now_s: float) -> bool:
        """Tell whether a request sent now would start at once."""
        return self.in_use < self.upstream.slots and now_s >= self.shed_until_s

    def recent_failures(self, now_s: float) -> float:
        """Return the number of failures, each decay with time."""
        age_s = now_s - self.last_failure_s
        return self.failure_score * math.exp(-age_s / FAILURE_TIME_CONSTANT_S)

    def record_elapsed(self, elapsed_s: float, expected_s: float, now_s: float) -> None:
        """Count the time of an ended request.

        Args:
            elapsed_s: How long it took.
            expected_s: How long such requests take if it succeeded, else 0: a request that
                was given up has taken time and has completed no work.
            now_s: The present time.
        """
        decay = self._decay_factor(now_s) * math.exp(-elapsed_s / SPEED_WORK_CONSTANT_S)
        self.decayed_elapsed_s = self.decayed_elapsed_s * decay + elapsed_s
        self.decayed_expected_s = self.decayed_expected_s * decay + expected_s
        self.decayed_at_s = now_s

    def slowness(self, now_s: float) -> float:
        """Return how many times as long as usual it takes, from all that was seen.

        It is the time spent over the work completed, so requests under way count from
        the moment at which they take longer than usual.
        """
        decay = self._decay_factor(now_s)
        decayed_elapsed_s = self.decayed_elapsed_s * decay + self.running_s
        return (SPEED_PRIOR_S + decayed_elapsed_s) / (
            SPEED_PRIOR_S + self.decayed_expected_s * decay
        )

    def update_slow(self, now_s: float) -> bool:
        """Tell whether it has just become slow, or has stopped being so; for the log."""
        threshold = USUAL_SLOWNESS if self.is_slow else SLOW_THRESHOLD
        was_slow, self.is_slow = self.is_slow, self.slowness(now_s) > threshold
        return was_slow != self.is_slow

    def _decay_factor(self, now_s: float) -> float:
        return math.exp(-max(now_s - self.decayed_at_s, 0.0) / SPEED_TIME_CONSTANT_S)

    def record_accepted(self, sent_s: float) -> None:
        """Take it that a request which was sent at a time has been taken."""
        self.last_accepted_s = max(self.last_accepted_s, sent_s)

    def record_success(self, sent_s: float, is_uncounted: bool = True) -> None:
        """Take a whole answer as proof that it was well when the request was sent.

        Args:
            sent_s: When the request was sent.
            is_uncounted: Whether the request was not counted as a proof before.
        """
        self.record_accepted(sent_s)
        self.success_ratio += RATIO_SMOOTHING * (1 - self.success_ratio)
        if sent_s >= self.last_failure_s and (is_uncounted or not self.failed_quickly):
            self.confirm_recovery()

    def confirm_recovery(self) -> None:
        """Count a proof against the failing spell, and end it after enough of them."""
        if self.suspect_since_s is None:
            return
        self.confirmations_needed -= 1
        self.next_trial_s = 0.0
        if self.confirmations_needed <= 0:
            self.suspect_since_s = None
            self.trial_backoff_s = TRIAL_BACKOFF_S

    def record_failure(self, now_s: float, was_quick: bool) -> None:
        """Take a failed request as the start or the continuation of a spell."""
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
        """Avoid the path from a VM, and the upstream if several VMs can't reach it."""
        self.blocked_until_s[vm] = now_s + CONNECT_BLOCK_S
        self.connect_failed_s[vm] = now_s
        recent = sum(
            now_s - at_s < CONNECT_BLOCK_S for at_s in self.connect_failed_s.values()
        )
        is_reachable = now_s - self.last_accepted_s < CONNECT_BLOCK_S
        if recent >= CONNECT_FAILED_VMS_TO_SUSPECT and not is_reachable:
            self.record_failure(now_s, was_quick=False)


CONNECT_FAILED_VMS_TO_SUSPECT = 3
"""VMs that must fail to connect, while none reaches it, before the upstream itself is
suspect (count): more than a pair of VMs that share one broken link."""
