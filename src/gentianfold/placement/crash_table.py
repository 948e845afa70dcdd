"""Requests under which upstreams crashed, and which of them are still sent.

A request that runs while its upstream crashes may be the cause, or may only have run
beside it. Requests are told apart by a fingerprint of their content. One that was sent
anew after a crash and met another one is blocked; a success clears it.
"""

from __future__ import annotations

import enum
import math
from collections import Counter
from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.crash_record import CrashRecord
from gentianfold.placement.slot_request import FINAL_RETRY_S

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

BLOCKING_CRASHES = 2
"""Successive crashes after which a request is blocked (count): the first retry, which
saves a request that only ran beside the cause, is allowed."""
FIRST_TRIAL_DELAY_S = 1.0
"""Time after the last crash until a blocked request is tried once (seconds): short, as
one that only ran beside the cause may be blocked too."""
TRIAL_OUTCOME_S = 3.0
"""Time after a trial without an outcome until the next one (seconds), such as one that
an upstream shed; doubles with each of them."""
MAX_TRIAL_OUTCOME_S = 60.0
"""Upper bound of that time (seconds)."""
LATE_TRIAL_DELAYS_S = (60.0, 600.0)
"""Time after the last crash or trial until a request that crashed an upstream in a trial
is tried again (seconds). After the last one it stays blocked, since each trial may cost
an upstream."""
AWAITED_RETRY_S = 0.3
"""Retry delay just after a trial (seconds)."""
AWAITED_S = 1.0
"""Time for which the outcome of a trial usually is awaited (seconds)."""
SUSPECT_RETENTION_S = 60.0
"""Time after which crashes that did not block a request are forgotten (seconds)."""
BLOCKED_RETENTION_S = 7200.0
"""Time after the last crash or trial at which a blocked request is forgotten
(seconds)."""
EXPIRY_INTERVAL_S = 1.0
"""Time between two searches for old entries (seconds): a broker makes a report for each
heartbeat of each member."""
MAX_FINGERPRINTS = 256
"""Requests in the table (count); the customer with most of them loses its oldest."""
MAX_CRASHES = 4
"""Crashes kept for one request (count)."""
SAME_S = 0.5
"""Difference below which two times of a crash of one upstream are of the same crash
(seconds): an upstream needs longer to start again."""
NEWEST_REPORTED = 6
"""Records in one report that are the newest (count)."""
OTHERS_REPORTED = 2
"""Further records in one report, which take turns (count)."""


class RequestStanding(enum.Enum):
    """Whether a request may be sent."""

    CLEAR = "clear"
    """No crash is known."""
    SUSPECT = "suspect"
    """An upstream crashed under it; it may be sent again."""
    BLOCKED = "blocked"
    """Upstreams crashed under it in succession; only a trial may be sent."""
    CONFIRMED = "confirmed"
    """A trial crashed an upstream too."""

    @property
    def is_blocked(self) -> bool:
        """Whether only a trial may be sent."""
        return self in (RequestStanding.BLOCKED, RequestStanding.CONFIRMED)


@attrs.frozen
class Crash:
    """A crash of an upstream while it ran a request; times are monotonic (seconds)."""

    upstream: str
    """Name of the upstream."""
    sent_s: float
    """When the request was sent."""
    crashed_s: float
    """When the connection ended."""
    is_trial: bool = False
    """Whether the request was sent as a trial."""


@attrs.define(eq=False, repr=False)
class _Entry:
    customer: str
    crashes: list[Crash] = attrs.field(factory=list)
    success_sent_s: float = -math.inf
    trials: int = 0
    late_trials: int = 0
    trial_s: float = -math.inf
    is_confirmed: bool = False
    changed_s: float = -math.inf

    @property
    def last_crash_s(self) -> float:
        return max((crash.crashed_s for crash in self.crashes), default=-math.inf)

    def count_successive(self) -> int:
        """Count the crashes under requests that were sent after the one before."""
        count, last_s = 0, -math.inf
        for crash in sorted(self.crashes, key=lambda crash: crash.crashed_s):
            if crash.sent_s >= last_s:
                count += 1
                last_s = crash.crashed_s
        return count

    def drop_cleared(self) -> None:
        """Drop the crashes before a success, which show that it was not the cause."""
        self.crashes = [
            crash for crash in self.crashes if crash.crashed_s > self.success_sent_s
        ]
        if not self.crashes:
            self.trials = self.late_trials = 0
            self.is_confirmed = False


@attrs.define(eq=False, repr=False)
class CrashTable:
    """Bounded table of requests that may crash upstreams; all times are monotonic."""

    grants_trials: bool = False
    """Whether this table decides on trials; only one table of a fleet should."""
    _entries: dict[bytes, _Entry] = attrs.field(factory=dict)
    _turn: int = 0
    _expired_s: float = -math.inf

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspect, so that no fingerprint is needed."""
        return not self._entries

    def standing(self, fingerprint: bytes) -> RequestStanding:
        """Return whether a request may be sent."""
        entry = self._entries.get(fingerprint)
        if entry is None or not entry.crashes:
            return RequestStanding.CLEAR
        if entry.count_successive() < BLOCKING_CRASHES:
            return RequestStanding.SUSPECT
        if entry.is_confirmed:
            return RequestStanding.CONFIRMED
        return RequestStanding.BLOCKED

    def trial_due_in_s(self, fingerprint: bytes, now_s: float) -> float:
        """Return the time until the next trial of a blocked request (seconds).

        Infinite if it is not tried again.
        """
        entry = self._entries[fingerprint]
        last_s = max(entry.last_crash_s, entry.trial_s)
        if entry.is_confirmed:
            if entry.late_trials >= len(LATE_TRIAL_DELAYS_S):
                return math.inf
            due_s = last_s + LATE_TRIAL_DELAYS_S[entry.late_trials]
        elif entry.trial_s > entry.last_crash_s:
            backoff_s = TRIAL_OUTCOME_S * 2 ** min(entry.trials - 1, 10)
            due_s = last_s + min(backoff_s, MAX_TRIAL_OUTCOME_S)
        else:
            due_s = last_s + FIRST_TRIAL_DELAY_S
        return max(due_s - now_s, 0.0)

    def retry_after_s(self, fingerprint: bytes, now_s: float) -> float:
        """Return when the caller of a blocked request should retry (seconds).

        ``FINAL_RETRY_S`` once a trial has crashed an upstream.
        """
        if self.standing(fingerprint) is RequestStanding.CONFIRMED:
            return FINAL_RETRY_S
        if now_s - self._entries[fingerprint].trial_s < AWAITED_S:
            return AWAITED_RETRY_S
        due_in_s = self.trial_due_in_s(fingerprint, now_s)
        return min(max(due_in_s, AWAITED_RETRY_S), FINAL_RETRY_S)

    def try_acquire(self, fingerprint: bytes, now_s: float) -> bool:
        """Tell whether a request may be sent now; a blocked one takes a due trial."""
        standing = self.standing(fingerprint)
        if not standing.is_blocked:
            return True
        entry = self._entries[fingerprint]
        if not self.grants_trials or self.trial_due_in_s(fingerprint, now_s) > 0:
            return False
        if entry.is_confirmed:
            entry.late_trials += 1
        else:
            entry.trials += 1
        entry.trial_s = entry.changed_s = now_s
        return True

    def record_crash(
        self, fingerprint: bytes, customer: str, crash: Crash, now_s: float
    ) -> None:
        """Record that an upstream crashed while it ran a request."""
        entry = self._entries.get(fingerprint)
        if entry is None:
            entry = self._entries[fingerprint] = _Entry(customer)
        if self._add_crash(entry, crash):
            entry.changed_s = now_s
            entry.is_confirmed |= crash.is_trial
        self._evict(now_s)

    def record_success(self, fingerprint: bytes, sent_s: float, now_s: float) -> None:
        """Record that a request sent at ``sent_s`` succeeded."""
        entry = self._entries.get(fingerprint)
        if entry is not None and sent_s > entry.success_sent_s:
            entry.success_sent_s = sent_s
            entry.changed_s = now_s
            entry.drop_cleared()

    def blocked(self) -> Iterator[tuple[bytes, RequestStanding, int]]:
        """Yield fingerprint, standing and crashes of the blocked requests."""
        for fingerprint, entry in self._entries.items():
            standing = self.standing(fingerprint)
            if standing.is_blocked:
                yield fingerprint, standing, len(entry.crashes)

    def age(self, elapsed_s: float) -> None:
        """Age all times by a suspension, in which the clock stood still (seconds)."""
        for entry in self._entries.values():
            entry.crashes = [
                Crash(
                    crash.upstream,
                    crash.sent_s - elapsed_s,
                    crash.crashed_s - elapsed_s,
                )
                for crash in entry.crashes
            ]
            entry.success_sent_s -= elapsed_s
            entry.trial_s -= elapsed_s
            entry.changed_s -= elapsed_s

    # Exchange between VMs

    def report(self, now_s: float) -> Iterator[CrashRecord]:
        """Yield the newest records, and some of the others in turn."""
        self._evict(now_s)
        order = sorted(
            self._entries, key=lambda name: self._entries[name].changed_s, reverse=True
        )
        others = order[NEWEST_REPORTED:]
        self._turn += OTHERS_REPORTED
        turn = self._turn % len(others) if others else 0
        chosen = order[:NEWEST_REPORTED] + others[turn : turn + OTHERS_REPORTED]
        for fingerprint in chosen:
            entry = self._entries[fingerprint]
            yield CrashRecord(
                fingerprint,
                entry.customer,
                tuple(
                    (
                        crash.upstream,
                        _age_ms(crash.sent_s, now_s),
                        _age_ms(crash.crashed_s, now_s),
                    )
                    for crash in entry.crashes
                ),
                _age_ms(entry.success_sent_s, now_s),
                entry.trials,
                entry.late_trials,
                _age_ms(entry.trial_s, now_s),
                entry.is_confirmed,
            )

    def merge(self, records: Iterable[CrashRecord], now_s: float) -> bool:
        """Merge records of another VM; tell whether any standing changed."""
        has_changed = False
        for record in records:
            before = self.standing(record.fingerprint)
            entry = self._entries.get(record.fingerprint)
            if entry is None:
                if not record.crashes:
                    continue
                entry = self._entries[record.fingerprint] = _Entry(record.customer)
                entry.changed_s = now_s
            success_s = _time_s(record.success_age_ms, now_s)
            entry.success_sent_s = max(entry.success_sent_s, success_s)
            entry.trials = max(entry.trials, record.trials)
            entry.late_trials = max(entry.late_trials, record.late_trials)
            entry.is_confirmed |= record.is_confirmed
            entry.trial_s = max(entry.trial_s, _time_s(record.trial_age_ms, now_s))
            for upstream, sent_age_ms, crash_age_ms in record.crashes:
                sent_s = _time_s(sent_age_ms, now_s)
                crash = Crash(upstream, sent_s, _time_s(crash_age_ms, now_s))
                self._add_crash(entry, crash)
            entry.drop_cleared()
            if self.standing(record.fingerprint) is not before:
                entry.changed_s = now_s
                has_changed = True
        self._evict(now_s)
        return has_changed

    def _add_crash(self, entry: _Entry, crash: Crash) -> bool:
        """Add a crash unless it is known; tell whether it was added."""
        for known in entry.crashes:
            is_same_upstream = known.upstream == crash.upstream
            if is_same_upstream and abs(known.crashed_s - crash.crashed_s) < SAME_S:
                return False
        if crash.crashed_s <= entry.success_sent_s:
            return False
        entry.crashes.append(crash)
        entry.crashes.sort(key=lambda crash: crash.crashed_s)
        del entry.crashes[:-MAX_CRASHES]
        return True

    def _evict(self, now_s: float) -> None:
        if now_s - self._expired_s >= EXPIRY_INTERVAL_S:
            self._expired_s = now_s
            for fingerprint, entry in list(self._entries.items()):
                is_blocked = entry.count_successive() >= BLOCKING_CRASHES
                limit_s = BLOCKED_RETENTION_S if is_blocked else SUSPECT_RETENTION_S
                if now_s - entry.changed_s > limit_s:
                    del self._entries[fingerprint]
        while len(self._entries) > MAX_FINGERPRINTS:
            counts = Counter(entry.customer for entry in self._entries.values())
            largest = counts.most_common(1)[0][0]
            oldest = min(
                (
                    fingerprint
                    for fingerprint, entry in self._entries.items()
                    if entry.customer == largest
                ),
                key=lambda fingerprint: self._entries[fingerprint].changed_s,
            )
            del self._entries[oldest]


def _age_ms(at_s: float, now_s: float) -> int:
    """Return an age in milliseconds; -1 for an event that has not happened."""
    return max(int((now_s - at_s) * 1000), 0) if at_s > -math.inf else -1


def _time_s(age_ms: int, now_s: float) -> float:
    """Return the time of an event of a given age; minus infinity for -1."""
    return now_s - age_ms / 1000 if age_ms >= 0 else -math.inf
