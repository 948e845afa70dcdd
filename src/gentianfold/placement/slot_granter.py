"""Gives a request the slot of a chosen upstream, and takes its customer's token."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.choice import Chooser, RequestEstimate, ServiceState
from gentianfold.placement.grant import Grant
from gentianfold.placement.outcome_recorder import OutcomeRecorder
from gentianfold.placement.quota_table import QuotaTable
from gentianfold.placement.slot_ledger import SlotLedger
from gentianfold.placement.slot_request import Granted, GrantReason, SlotRequest

if TYPE_CHECKING:
    from gentianfold.placement.upstream_pool import UpstreamPool
    from gentianfold.placement.upstream_tracker import UpstreamTracker


@attrs.define(eq=False, repr=False)
class SlotGranter:
    """Grants slots of the upstreams that the chooser names."""

    chooser: Chooser
    """Chooses the upstream of each attempt."""
    quota: QuotaTable
    """Rate limits of the customers."""
    ledger: SlotLedger
    """Slots in use."""
    outcomes: OutcomeRecorder
    """Expected elapsed times and sizes of requests."""
    state_of: Callable[[str], ServiceState]
    """Returns what is kept of a service."""

    def has_token(self, request: SlotRequest, now_s: float) -> bool:
        """Tell whether the customer's limit allows to send the request now."""
        return request.attempt > 1 or self.quota.can_take(request.customer, now_s)

    def grant(
        self, request: SlotRequest, pool: UpstreamPool, now_s: float
    ) -> Granted | None:
        """Grant a slot of the best upstream, if one may get the request now."""
        estimate = RequestEstimate(
            self.outcomes.expected_s(request),
            self.outcomes.transfers.expected_kilobytes(request.route),
        )
        state, explore = self.state_of(request.service), request.may_explore
        choice = self.chooser.choose(pool, request, now_s, explore, estimate, state)
        if choice is None:
            return None
        return self._grant_choice(request, choice, now_s)

    def grant_degraded(
        self, request: SlotRequest, pool: UpstreamPool, now_s: float
    ) -> Granted | None:
        """Grant a slot of a partly failing upstream instead of refusing the request."""
        expected_s = self.outcomes.expected_s(request)
        choice = self.chooser.choose_degraded(pool, request, now_s, expected_s)
        return self._grant_choice(request, choice, now_s) if choice else None

    def _grant_choice(
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
