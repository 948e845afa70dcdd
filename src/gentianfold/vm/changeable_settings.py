"""The settings that apply while a VM runs: at its start and after each reload."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianfold.vm.policies import (
    choice_policy,
    limit_overshoot,
    retry_policy,
    warmup_policy,
    zone_regions,
)

if TYPE_CHECKING:
    from gentianfold.fleet.node import Node
    from gentianfold.settings import Settings


def apply_settings(settings: Settings, node: Node) -> None:
    """Apply seeds, limits, retries, warm-up, prices and regions to a VM."""
    seeds = tuple(seed.host for seed in settings.fleet.seeds)
    node.membership.seeds = node.broker.seeds = seeds
    node.broker.overshoot = limit_overshoot(settings)
    scheduler = node.scheduler
    scheduler.quota.window_s = settings.limits.window_s
    scheduler.budget.policy = retry_policy(settings)
    scheduler.chooser.policy = choice_policy(settings)
    scheduler.warmups.policy = warmup_policy(settings)
    node.view.routing.regions = zone_regions(settings)
