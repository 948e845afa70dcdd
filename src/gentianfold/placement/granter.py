"""Chooses the upstream of a request and books its slot."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.choice import RequestEstimate
from gentianfold.placement.grant import Grant
from gentianfold.placement.slot_request import Granted

if TYPE_CHECKING:
    from gentianfold.placement.choice import Chooser, ServiceState
    from gentianfold.placement.outcome_recorder import OutcomeRecorder
    from gentianfold.placement.quota_table import QuotaTable
    from gentianfold.placement.slot_ledger import SlotLedger
    from gentianfold.placement.slot_request import GrantReason, SlotRequest
    from gentianfold.placement.upstream_pool import UpstreamPool
    from gentianfold.placement.upstream_tracker import UpstreamTracker


@attrs.define(eq=False, repr=False)
class Granter:
    """Grants slots to requests that need not wait any more."""

    chooser: Chooser
    """Chooses the upstream of each attempt."""
    outcomes: OutcomeRecorder
    """What finished attempts tell of the time and size of others."""
    quota: QuotaTable
    """Rate limits of the customers; a first attempt takes a token."""
    ledger: SlotLedger
    """Slots in use."""
    state_of: Callable[[str], ServiceState]
    """Returns the state of a service."""

    def grant(
        self, request: SlotRequest, pool: UpstreamPool, now_s: float
    ) -> Granted | None:
        """Grant a slot of a pool; ``None`` if no upstream of it takes the request."""
        estimate = RequestEstimate(
            self.outcomes.expected_s(request),
            self.outcomes.transfers.expected_kilobytes(request.route),
        )
        state, explore = self.state_of(request.service), request.may_explore
        choice = self.chooser.choose(pool, request, now_s, explore, estimate, state)
        return self._book(request, choice, now_s) if choice else None

    def grant_degraded(
        self, request: SlotRequest, pool: UpstreamPool, now_s: float
    ) -> Granted | None:
        """Grant a slot of a partly failing upstream instead of refusing the request."""
        expected_s = self.outcomes.expected_s(request)
        choice = self.chooser.choose_degraded(pool, request, now_s, expected_s)
        return self._book(request, choice, now_s) if choice else None

    def _book(
        self,
        request: SlotRequest,
        choice: tuple[UpstreamTracker, GrantReason, int],
        now_s: float,
    ) -> Granted:
        tracker, reason, candidate_count = choice
        is_trial = tracker.suspect_since_s is not None
        has_token = request.attempt == 1 and self.quota.try_acquire(
            request.customer, now_s
        )
        grant = Grant(request, tracker, now_s, is_trial, has_token)
        self.ledger.hold(request.key, grant)
        return Granted(
            tracker.upstream,
            reason,
            self.outcomes.expected_s(request),
            candidate_count,
        )
