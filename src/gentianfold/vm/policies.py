"""Derives policies of the decisions from the settings of a VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianfold.placement.choice import ChoicePolicy
from gentianfold.placement.retry_budget import RetryBudgetPolicy
from gentianfold.placement.warmup_limiter import WarmupPolicy
from gentianfold.platform.deployment import (
    stated_quota_overshoot,
    stated_quota_slack,
    stated_regions,
    stated_warmup,
)

if TYPE_CHECKING:
    from gentianfold.settings.settings import Settings


START_ALLOWANCE_FRACTION = 0.2
"""Part of the slack of the limits that a seed may grant once when it was restarted: three
seeds, each of them alone, stay within it, and leave room for parts of a request that are
rounded up."""


MAX_OVERSHOOT = 0.25
"""Most of what is tolerated beyond the limits that parts of the fleet lean on."""


def start_allowance(settings: Settings) -> int:
    """Return the requests of each customer that a restarted seed may grant (count)."""
    slack = settings.limits.slack
    if slack is None:
        slack = stated_quota_slack(settings.platform) or 0.0
    return int(slack * START_ALLOWANCE_FRACTION)


def limit_overshoot(settings: Settings) -> float:
    """Return the part of the limits of customers that may be exceeded."""
    overshoot = settings.limits.overshoot
    if overshoot is None:
        overshoot = stated_quota_overshoot(settings.platform) or 0.0
    return min(overshoot, MAX_OVERSHOOT)


def retry_policy(settings: Settings) -> RetryBudgetPolicy:
    """Return the bound of the retries."""
    budget = settings.retries
    return RetryBudgetPolicy(budget.ratio, budget.slack, budget.window_s)


def warmup_policy(settings: Settings) -> WarmupPolicy:
    """Return the bound of the requests to cold upstreams."""
    own = (settings.warmup.overshoot, settings.warmup.slack)
    stated = stated_warmup(settings.platform)
    overshoot, slack = (
        value if value is not None else other
        for value, other in zip(own, stated, strict=True)
    )
    return WarmupPolicy(
        1.0 if overshoot is None else overshoot, 0.0 if slack is None else slack
    )


def choice_policy(settings: Settings) -> ChoicePolicy:
    """Return the prices of the choice of upstreams."""
    return ChoicePolicy(zone_price_per_kb=settings.placement.zone_price_per_kb)


def zone_regions(settings: Settings) -> dict[str, str]:
    """Return the region of each availability zone; the VM's own table goes first."""
    stated = {} if settings.zones else stated_regions(settings.platform)
    return stated or settings.zones
