"""Published entities: services, upstreams, routes and customers."""

from __future__ import annotations

from gentianfold.model.configuration import CallerLimits, Configuration
from gentianfold.model.customer import Customer, RateLimit
from gentianfold.model.route import HeaderMatch, PathKind, Route, WeightedService
from gentianfold.model.service import Service, Upstream, UpstreamState, Warmup

__all__ = [
    "CallerLimits",
    "Configuration",
    "Customer",
    "HeaderMatch",
    "PathKind",
    "RateLimit",
    "Route",
    "Service",
    "Upstream",
    "UpstreamState",
    "Warmup",
    "WeightedService",
]
