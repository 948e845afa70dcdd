"""The settings that apply while a VM runs: at its start and after each reload."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianfold.placement.choice import ChoicePolicy
from gentianfold.placement.retry_budget import RetryBudgetPolicy
from gentianfold.placement.warmup_limiter import WarmupPolicy

if TYPE_CHECKING:
    from gentianfold.fleet.node import Node
    from gentianfold.settings import Settings


def apply_settings(settings: Settings, node: Node) -> None:
    """Apply seeds, limits, retries, warm-up, prices and regions to a VM."""
    seeds = tuple(seed.host for seed in settings.fleet.seeds)
    node.membership.seeds = node.broker.seeds = seeds
    scheduler = node.scheduler
    scheduler.quota.window_s = settings.limits.window_s
    budget = settings.retries
    scheduler.budget.policy = RetryBudgetPolicy(
        budget.ratio, budget.slack, budget.window_s
    )
    scheduler.chooser.policy = ChoicePolicy(
        zone_price_per_kb=settings.placement.zone_price_per_kb
    )
    warmup = settings.warmup
    scheduler.warmups.policy = WarmupPolicy(warmup.overshoot, warmup.slack)
    node.view.routing.regions = settings.zones
