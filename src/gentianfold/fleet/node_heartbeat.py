"""Builds the heartbeat of a VM to its broker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianfold.fleet.messages import Heartbeat
from gentianfold.fleet.protocol import PROTOCOL, is_older
from gentianfold.fleet.token_ask import TokenAsk
from gentianfold.placement.rate_limit_report import report_rate_limits

if TYPE_CHECKING:
    from gentianfold.fleet.node import Node


def make_heartbeat(node: Node, now_s: float) -> Heartbeat:
    """Return the heartbeat of a VM at an event loop time (seconds)."""
    scheduler, view, own_share = node.scheduler, node.view, node.shares.own
    broker = node.membership.broker or ""
    # A broker that is not known yet lends from its first reply on.
    has_lender = not is_older(node.membership.broker_protocol)
    return Heartbeat(
        node.incarnation,
        node.zone,
        node.cpu_share,
        node.link_mbps,
        view.configuration_version,
        view.store_age_ms(now_s),
        view.upstreams.revision,
        tuple(node.loans.held_slots(node.vm)),
        tuple(report_rate_limits(scheduler.trackers(), now_s)),
        tuple(scheduler.crashes.report(now_s)),
        tuple(view.leaving.report(now_s)),
        tuple(node.notices.pauses.report(now_s)),
        own_share.stamp_ms(broker),
        own_share.fleet_size,
        node.paths.is_cut_off,
        view.evacuations.report(),
        node.broker.is_first_start,
        node.loans.ask(broker) if has_lender else TokenAsk(),
        node.tunnels.link_used_mbps(now_s),
        PROTOCOL,
    )
