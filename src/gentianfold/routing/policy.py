"""Constants of outlier detection, ejection and placement."""

from __future__ import annotations

import attrs


@attrs.frozen
class RoutingPolicy:
    """Thresholds and periods that all systems of this package share."""

    sick_failure_rate: float = 0.3
    """Failure rate of an upstream that is worth ejecting."""
    min_baseline_rate: float = 0.005
    """Least failure rate that is taken as normal for a service."""
    max_baseline_rate: float = 0.25
    """Failure rate of a service above which no upstream is an outlier."""
    ejection_score: float = 11.0
    """Log-likelihood ratio at which an upstream is ejected."""
    zone_ejection_score: float = 16.0
    """The same for the VMs of a zone, by evidence of that zone alone."""
    scope_score: float = 3.5
    """Log-likelihood ratio that other customers, routes and zones must show."""
    avoid_s: float = 12.0
    """Time for which a failing customer or route is kept away."""
    max_failures_per_observer: int = 2
    """Failures of one VM that count in one episode."""
    min_observers: int = 3
    """VMs that must have seen failures, if the fleet has as many."""
    evidence_half_life_s: float = 10.0
    """Half-life of counts that set weights and baselines."""
    confirm_s: float = 1.0
    """Time from the first failure to an ejection; a short pause ends in it."""
    max_successes_per_sketch: int = 3
    """Successes of one sketch that count against a suspicion; older ones don't."""
    episode_s: float = 20.0
    """Time without a failure after which an episode is over."""
    local_pause_s: float = 2.0
    """Pause of an upstream on this VM after a failure there."""
    verify_share: float = 0.25
    """Share of a service's idempotent requests that verify a suspect."""
    verify_s: float = 3.0
    """Time after a failure during which a suspect is verified."""
    min_backoff_s: float = 3.0
    """First delay before trial traffic."""
    max_backoff_s: float = 120.0
    """Largest delay before trial traffic, for upstreams that flap."""
    max_trial_backoff_s: float = 30.0
    """Largest delay that failed trials lead to."""
    forgive_s: float = 300.0
    """Time in service after which former ejections are forgotten."""
    trial_successes: int = 12
    """Successes over all VMs that readmit an upstream."""
    warm_up_s: float = 10.0
    """Length of the slow start."""
    min_weight: float = 0.1
    """Least weight of an upstream in service."""
    slow_ratio: float = 2.0
    """Latency relative to the median above which the weight drops."""
    min_overdue_s: float = 0.1
    """Least age of an attempt that counts as overdue."""
    default_overdue_s: float = 1.0
    """Age of an overdue attempt while too few latencies are known."""
    overdue_ratio: float = 2.0
    """Age of an overdue attempt relative to the 95th latency percentile."""
    zone_penalty: float = 0.1
    """Load difference up to which zone and news decide between two upstreams."""
    fresh_s: float = 0.6
    """Age of the news of an upstream up to which the zone decides."""
    load_max_age_s: float = 3.0
    """Age above which the load that a peer reported is dropped."""
    peer_max_age_s: float = 30.0
    """Silence after which a peer is forgotten."""
    max_sketch_bytes: int = 4096
    """Largest encoded sketch."""
    peer_bytes_per_s: float = 4000.0
    """Heartbeat bytes a second that a VM sends to all its peers together."""
    max_sketch_items: int = 100
    """Most upstreams in one sketch."""
    min_subset: int = 8
    """Least upstreams of a service that a VM connects to."""
