"""Limits the retries that a service gets from all VMs together.

Answers the load of upstreams that reject or fail a large part of their requests for
seconds, while VMs are cut off and brokers change: each request is worth another attempt
then, and more attempts than the bound would overload upstreams that recover.

For each service a holder of a share of the budget adds up retries with the requests that
it counts, and with the time for which it holds the share. A share that it gets brings
nothing at first. Some retries can be saved up. What is saved and what is added within a
window come to less than the bound of the requests counted and of the share. So the sum
over all holders keeps to the bound, whoever holds the shares in turn, without knowledge
of what earlier holders have used.
"""

from __future__ import annotations

import math
from collections import deque

import attrs

ADDED_FRACTION = 0.6
"""Part of the bound that is added in a window: less than the rest would be used up in the
first seconds of a failure, and later requests of that window would get none."""
SAVED_FRACTION = 0.35
"""Part of the bound that can be saved up. With the part added it leaves a twentieth of
the bound: a request that its VM places itself, after a broker counted it, counts twice."""
MIN_RATE_PER_S = 0.01
"""Lowest rate at which retries are added (count per second); keeps waits finite."""


@attrs.frozen
class RetryBudgetPolicy:
    """Configured bound on the retries of a service within a window."""

    ratio: float = 0.2
    """Retries allowed per request."""
    slack: float = 50.0
    """Retries allowed in addition, whatever the number of requests (count)."""
    window_s: float = 10.0
    """Length of the sliding window (seconds)."""


@attrs.define
class _Account:
    """Retries of one service that are not used yet."""

    earned: float = 0.0
    """Those that the requests of the service brought (count)."""
    spare: float = 0.0
    """Those that the share of the slack brought (count)."""
    share_s: float = 0.0
    """Integral of the share over time when ``spare`` was last brought up to date
    (seconds)."""
    requests_s: deque[float] = attrs.field(factory=deque)
    """Times of the first attempts of the last window (seconds)."""


@attrs.define
class RetryBudget:
    """Counts the retries that each service may still get."""

    policy: RetryBudgetPolicy = attrs.field(factory=RetryBudgetPolicy)
    """Bound on the retries."""
    _unused: _Account = attrs.field(factory=lambda: _Account(spare=math.inf))
    _accounts: dict[str, _Account] = attrs.field(factory=dict)
    _share: float = 1.0
    _share_s: float = 0.0
    _updated_s: float | None = None
    _valid_until_s: float = math.inf

    def set_share(self, share: float, now_s: float, valid_s: float = math.inf) -> None:
        """Set the part of the slack that this budget may use.

        Args:
            share: The part, 0 to 1.
            now_s: Current time (seconds).
            valid_s: Time after which the part ends unless it is set again (seconds).
        """
        self._advance(now_s)
        if share != self._share:
            for account in (self._unused, *self._accounts.values()):
                self._fill(account)
                account.spare = min(account.spare, self._most_spare(share))
            self._share = share
        self._valid_until_s = now_s + valid_s

    def count_request(self, service: str, now_s: float) -> None:
        """Count the first attempt of a request."""
        account = self._account(service, now_s)
        account.requests_s.append(now_s)
        account.earned += self.policy.ratio * ADDED_FRACTION
        account.earned = min(account.earned, self._most_earned(account))

    def left(self, service: str, now_s: float) -> float:
        """Return the retries that may be sent now (count)."""
        account = self._account(service, now_s)
        return account.earned + account.spare

    def is_full(self, service: str, now_s: float) -> bool:
        """Tell whether no more can be saved, so that a retry takes none from later ones."""
        account = self._account(service, now_s)
        most = self._most_earned(account) + self._most_spare(self._share)
        return account.earned + account.spare >= max(most - 1, 1)

    def try_acquire(self, service: str, now_s: float) -> bool:
        """Count a retry if the budget allows it."""
        account = self._account(service, now_s)
        if account.earned + account.spare < 1:
            return False
        account.earned -= 1
        if account.earned < 0:
            account.spare += account.earned
            account.earned = 0.0
        return True

    def refund(self, service: str, now_s: float) -> None:
        """Undo the count of a retry that no upstream got."""
        account = self._account(service, now_s)
        room = min(max(self._most_earned(account) - account.earned, 0.0), 1.0)
        account.earned += room
        most_spare = self._most_spare(self._share)
        account.spare = min(account.spare + 1 - room, most_spare)

    def wait_s(self, service: str, ahead: int, now_s: float) -> float:
        """Return the time until a retry may be sent at the present load (seconds).

        Args:
            service: The service.
            ahead: Retries that are sent first (count).
            now_s: Current time (seconds).
        """
        account = self._account(service, now_s)
        missing = ahead + 1 - account.earned - account.spare
        if missing <= 0:
            return 0.0
        per_window = self.policy.ratio * len(account.requests_s)
        per_window += self.policy.slack * self._share
        rate_per_s = ADDED_FRACTION * per_window / self.policy.window_s
        return missing / max(rate_per_s, MIN_RATE_PER_S)

    def _account(self, service: str, now_s: float) -> _Account:
        """Return the account of a service, brought up to date."""
        self._advance(now_s)
        account = self._accounts.get(service)
        if account is None:
            self._fill(self._unused)
            account = _Account(spare=self._unused.spare, share_s=self._share_s)
            self._accounts[service] = account
        self._fill(account)
        requests_s = account.requests_s
        while requests_s and requests_s[0] < now_s - self.policy.window_s:
            requests_s.popleft()
        account.earned = min(account.earned, self._most_earned(account))
        return account

    def _advance(self, now_s: float) -> None:
        """Integrate the share up to now, or to the end of its validity.

        The first call only starts the clock: before it the share was not held.
        """
        if self._updated_s is None:
            self._updated_s = now_s
        elapsed_s = min(now_s, self._valid_until_s) - self._updated_s
        if elapsed_s > 0:
            self._share_s += self._share * elapsed_s
        self._updated_s = max(self._updated_s, now_s)

    def _fill(self, account: _Account) -> None:
        held_s = self._share_s - account.share_s
        account.share_s = self._share_s
        added = ADDED_FRACTION * self.policy.slack * held_s / self.policy.window_s
        account.spare = min(account.spare + added, self._most_spare(self._share))

    def _most_spare(self, share: float) -> float:
        return SAVED_FRACTION * self.policy.slack * share

    def _most_earned(self, account: _Account) -> float:
        return SAVED_FRACTION * self.policy.ratio * len(account.requests_s)
