"""Load patterns of the placement model: request kinds, rates and server faults.

The rates, processing times and faults reproduce loads of production systems, from calm
operation to overload. A server is a simulated upstream.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class RequestKind:
    """Requests with the same rate, processing time and value."""

    name: str
    """Name of the kind; also the name of its route."""
    rate_per_s: float
    """Mean arrival rate (requests per second); arrivals are a Poisson process."""
    mean_processing_time_s: float
    """Mean of the log-normal processing time (seconds)."""
    target_latency_s: float
    """Latency up to which a response earns its full value (seconds)."""
    timeout_s: float
    """Latency after which a response is useless to the caller (seconds)."""
    value: float
    """Value of a response within the target latency, relative to other kinds."""
    priority: int
    """Priority of the route; 0 is most urgent."""
    idempotent: bool
    """Whether a request may be retried after a failure."""


REGISTRY_REQUESTS = (
    RequestKind("lookup", 27.4, 0.29, 1.0, 2.0, 1, 2, True),
    RequestKind("claim", 56.2, 0.38, 1.0, 2.0, 2, 1, False),
    RequestKind("booking", 10.0, 0.20, 0.5, 2.0, 3, 0, False),
)
"""Request kinds of a registry service at ordinary load."""


@attrs.frozen
class LoadPattern:
    """Load and server faults of one simulation."""

    name: str
    """Name of the load in the report."""
    load_factor: float = 1.0
    """Factor by which the arrival rates of all kinds are multiplied."""
    failing_share: float = 0.3
    """Expected share of the servers in a failure period, 0 to 1; such a server fails
    nine in ten requests at once."""
    slow_share: float = 0.0
    """Share of the servers that are slow throughout, 0 to 1."""
    slow_factor: float = 5.0
    """Factor by which the processing time of a slow server is multiplied."""
    partly_failing_share: float = 0.0
    """Share of the servers that fail one in two requests throughout, 0 to 1."""
    server_count: int = 14
    """Number of servers; ``REGISTRY_REQUESTS`` is the load of a service with 14."""
    request_kinds: tuple[RequestKind, ...] = REGISTRY_REQUESTS
    """Kinds of requests that arrive."""
    swing: float = 0.0
    """Part by which the rates rise and fall in each ``WAVE_PERIOD_S``, 0 to 1."""
    rejecting_share: float = 0.0
    """Share of its requests that each server rejects at once in ``REJECTING_S``, 0 to 1."""
    hot_customer_factor: float = 1.0
    """Factor by which one of ten customers, all equal otherwise, multiplies its
    requests; they come on top of the others."""
    customer_priority: int | None = None
    """Priority of all customers, 0 is most urgent; ``None`` if the customers have none,
    so that the priority of the route applies."""


ORDER_AND_SURVEY_REQUESTS = (
    RequestKind("order", 60.0, 0.11, 0.3, 1.2, 3, 0, False),
    RequestKind("survey", 100.0, 0.64, 2.0, 4.0, 1, 2, True),
)
"""Short urgent and long tolerant requests of an overloaded service; the rates are scaled
to the total slots of the modelled servers."""
PATIENT_REQUESTS = (
    RequestKind("status", 42.0, 0.35, 1.5, 8.0, 1, 2, True),
    RequestKind("confirm", 60.0, 0.30, 1.5, 8.0, 2, 1, False),
)
"""Requests whose deadlines are several times their target latency."""
SLOTS_PER_SERVER = 6
"""Requests that a server processes concurrently (count)."""
VM_COUNT = 32
"""VMs that receive the requests (count)."""
FAILURE_PERIOD_S = 8.0
"""Length of a failure period (seconds); failures of registry upstreams last about as
long."""
WAVE_PERIOD_S = 15.0
"""Time between two peaks of a load that swings (seconds)."""
REJECTING_S = (10.0, 18.0)
"""Start and end of the time in which servers reject requests (seconds)."""
CUSTOMER_COUNT = 10
"""Customers of a load with a hot one (count)."""
LOAD_PATTERNS = (
    LoadPattern("calm", 0.58),
    LoadPattern("ordinary"),
    LoadPattern("burst", 2.0),
    LoadPattern("half failing", 1.3, failing_share=0.5),
    LoadPattern("partly failing", 1.0, partly_failing_share=0.3),
    LoadPattern("slow servers", 1.0, slow_share=0.2),
    LoadPattern("very slow servers", 1.3, slow_share=0.2, slow_factor=12.0),
    LoadPattern(
        "long work", request_kinds=ORDER_AND_SURVEY_REQUESTS, customer_priority=1
    ),
    LoadPattern("patient", 3.0, failing_share=0.1, request_kinds=PATIENT_REQUESTS),
    LoadPattern(
        "patient waves",
        1.9,
        failing_share=0.1,
        request_kinds=PATIENT_REQUESTS,
        swing=0.55,
    ),
    LoadPattern(
        "rejecting",
        0.6,
        failing_share=0.0,
        request_kinds=PATIENT_REQUESTS,
        rejecting_share=0.55,
    ),
    LoadPattern("hot customer", 2.0, failing_share=0.1, hot_customer_factor=5.0),
)
"""Loads of ``gentianfold report placement``, in the order of its rows."""
