"""Internal responses of one VM: readiness, configuration, status document, gauges."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from gentianfold.fleet.membership import Role
from gentianfold.forwarding.messages import Response
from gentianfold.placement.load_spread import measure_spreads
from gentianfold.vm.configuration_fetcher import compress_document

if TYPE_CHECKING:
    from gentianfold.fleet.node import Node
    from gentianfold.fleet.node_evacuations import EvacuationProgress
    from gentianfold.fleet.node_view import NodeView
    from gentianfold.settings import Settings
    from gentianfold.vm.configuration_fetcher import ConfigurationFetcher
    from gentianfold.vm.metrics import Metrics
    from gentianfold.vm.request_handler import CallerRequestHandler
    from gentianfold.vm.resource_limits import ResourceLimits


def build_readiness_response(view: NodeView, handler: CallerRequestHandler) -> Response:
    """Return 200, or 503 if the VM is stopping or has no published state yet."""
    is_ready = (
        not handler.stopping
        and view.routing.configuration is not None
        and view.routing.upstreams_current_at_s is not None
    )
    return Response(200 if is_ready else 503, [], b"")


def build_configuration_response(view: NodeView) -> Response:
    """Return the configuration for another VM, or 404 if there is none.

    Each version is compressed once.
    """
    if not view.configuration_document:
        return Response(404, [], b"")
    if not view.compressed_document:
        view.compressed_document = compress_document(view.configuration_document)
    return Response(200, [], view.compressed_document)


def build_status_response(
    node: Node, handler: CallerRequestHandler, settings: Settings
) -> Response:
    """Return the state of the VM as a JSON response."""
    now_s = asyncio.get_running_loop().time()
    upstreams = [
        {
            "name": tracker.upstream.name,
            "service": tracker.upstream.service,
            "state": tracker.upstream.state.value,
            "slots": tracker.upstream.slots,
            "in_use": tracker.in_use,
            "is_suspect": tracker.suspect_since_s is not None,
            "is_leaving": node.view.leaving.is_leaving(
                tracker.upstream.name, tracker.upstream.start_time_ms
            ),
            "pause_s": round(tracker.pause_s(node.vm, now_s), 3),
            "slowness": round(tracker.slowness(now_s), 2),
            "warmup_left_s": round(max(tracker.warmup.until_s - now_s, 0.0), 3),
            "rate_limit_per_s": (
                tracker.rate_limiter.rate_per_s
                if tracker.rate_limiter.is_limited
                else None
            ),
        }
        for tracker in node.scheduler.trackers()
    ]
    evacuations = [
        {
            "zone": progress.zone,
            "revision": str(progress.revision),
            "requests_running": progress.running,
            "waiting_vms": progress.waiting_vms,
        }
        for progress in _evacuation_progress(node)
    ]
    body = {
        "vm": settings.vm,
        "standing": node.membership.role.value,
        "broker": node.membership.broker,
        "members": node.fleet_size,
        "configuration": node.view.configuration_version,
        "is_cut_off": node.paths.is_cut_off,
        "store_era": node.view.upstreams.revision.era,
        "upstreams_revision": node.view.upstreams.revision.number,
        "upstreams_age_s": min(node.view.upstreams_age_s(now_s), 1e9),
        "requests_under_way": handler.under_way_count,
        "answers_unsent": handler.unsent_count,
        "requests_waiting": node.scheduler.waiting_count,
        "slots_borrowed_idle": sum(1 for _ in node.loans.slots.idle()),
        "blocked_requests": [
            {
                "fingerprint": fingerprint.hex(),
                "standing": standing.value,
                "crashes": crash_count,
            }
            for fingerprint, standing, crash_count in node.scheduler.crashes.blocked()
        ],
        "evacuations": evacuations,
        "upstreams": upstreams,
    }
    headers = [(b"content-type", b"application/json")]
    return Response(200, headers, msgspec.json.encode(body))


def _evacuation_progress(node: Node) -> list[EvacuationProgress]:
    is_broker = node.membership.role is Role.BROKER
    members = node.broker.member_table.members if is_broker else {}
    return node.evacuations.progress(members)


def update_gauges(
    metrics: Metrics,
    node: Node,
    handler: CallerRequestHandler,
    fetcher: ConfigurationFetcher,
    resources: ResourceLimits,
) -> None:
    """Set all gauges to the current state of the VM."""
    now_s = asyncio.get_running_loop().time()
    trackers = list(node.scheduler.trackers())
    gauges = {
        "requests_under_way": handler.under_way_count,
        "answers_unsent": handler.unsent_count,
        "requests_waiting": node.scheduler.waiting_count,
        "retries_waiting": len(node.scheduler.retries),
        "slots_in_use": node.scheduler.granted_count,
        "slots_of_own_share": sum(tracker.share_slots or 0 for tracker in trackers),
        "slots_lent_idle": node.scheduler.lent.idle_count,
        "slots_recalled": node.broker.loans.recall_count,
        "tokens_lent": node.broker.loans.lender.lent_count,
        "broker_load": node.broker.loans.lender.load(now_s),
        "requests_placed_on_loans": node.loans.placed_count,
        "members": node.fleet_size,
        "members_older_build": node.broker.member_table.older_count,
        "has_older_broker": node.membership.has_older_broker,
        "upstreams": len(trackers),
        "upstreams_suspect": sum(
            tracker.suspect_since_s is not None for tracker in trackers
        ),
        "upstreams_pausing": sum(
            tracker.pause_s(node.vm, now_s) > 0 for tracker in trackers
        ),
        "upstreams_leaving": sum(
            node.view.leaving.is_leaving(
                tracker.upstream.name, tracker.upstream.start_time_ms
            )
            for tracker in trackers
        ),
        "upstreams_rate_limited": sum(
            tracker.rate_limiter.is_limited for tracker in trackers
        ),
        "upstreams_cold": sum(tracker.is_cold(now_s) for tracker in trackers),
        "is_cut_off": node.paths.is_cut_off,
        "tunnels_opened": handler.forwarder.paths.tunnel_count,
        "store_era": node.view.upstreams.revision.era,
        "zones_evacuated": len(node.view.evacuations.zones),
        "evacuations_unconfirmed": sum(
            len(progress.waiting_vms) for progress in _evacuation_progress(node)
        ),
        "requests_blocked": sum(1 for _ in node.scheduler.crashes.blocked()),
        "upstreams_age_seconds": min(node.view.upstreams_age_s(now_s), 1e9),
        "configuration_version": node.view.configuration_version,
        "configuration_announced_version": node.announced.version,
        "answers_passed_on": handler.forwarder.passed_on.answers,
        "answers_passed_on_bytes": handler.forwarder.passed_on.received_bytes,
        "answers_passed_on_paused_seconds": handler.forwarder.passed_on.paused_s,
        "store_calls": fetcher.synchronizer.client.call_count,
        "store_polls_failed": fetcher.synchronizer.failure_count,
        "is_broker": node.membership.role.value == "broker",
        "quota_share": node.scheduler.quota.share,
        "broker_behind_seconds": node.broker.decisions.queue.behind_s(now_s),
        "upstream_connections_opened": handler.forwarder.pool.opened_count,
    }
    for name, level in (gauges | resources.gauges(now_s)).items():
        metrics.set_gauge(name, float(level))
    for service, spread in measure_spreads(trackers):
        metrics.set_gauge("upstream_use_mean", spread.mean_use, service=service)
        metrics.set_gauge("upstream_use_busiest", spread.busiest_use, service=service)
        metrics.set_gauge("upstreams_full_share", spread.full_share, service=service)
    for service, count in node.scheduler.retries.rejections.counts.items():
        metrics.set_gauge("attempts_rejected", float(count), service=service)
    for zone, count in handler.forwarder.exchanged_bytes.items():
        metrics.set_gauge("request_bytes", float(count), zone=zone)
    for outcome, count in fetcher.outcome_counts.items():
        metrics.set_gauge("configuration_fetches", float(count), outcome=outcome)
    for outcome, count in node.broker.decisions.queue.counts.items():
        metrics.set_gauge("slot_requests", float(count), outcome=outcome)
    rejected = {**node.slots.rejected, "unsent": handler.forwarder.misplaced_count}
    for cause, count in rejected.items():
        metrics.set_gauge("grants_rejected", float(count), cause=cause)
    for cause, count in resources.refusals().items():
        metrics.set_gauge("resource_refusals", float(count), cause=cause)
    for message, count in node.transport.sent_bytes.items():
        metrics.set_gauge("datagram_bytes", float(count), message=message)
