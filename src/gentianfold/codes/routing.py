"""Result codes of routing and upstreams."""

from __future__ import annotations

from gentianfold.errors import Retry, RunState, define_code

NO_UPSTREAM = define_code(
    6001,
    "no-upstream",
    "The service has no live upstream that was not tried yet.",
    "Retry later; operators look at `gentianfold status`.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
NO_FREE_SLOT = define_code(
    6002,
    "no-free-slot",
    "All slots of the service's upstreams seem taken.",
    "Retry later; operators add upstreams if it lasts.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
UNKNOWN_SERVICE = define_code(
    6003,
    "unknown-service",
    "The route names a service that the configuration does not define.",
    "Operators add the service or correct the route.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
SKETCH_MALFORMED = define_code(
    6004,
    "sketch-malformed",
    "A peer sent an outcome sketch that can't be decoded.",
    "Check that all VMs run compatible versions.",
)
SKETCH_TOO_LARGE = define_code(
    6005,
    "sketch-too-large",
    "A peer sent an outcome sketch above the size limit.",
    "Check that all VMs run compatible versions.",
)
