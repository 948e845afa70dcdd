"""Result codes of the selection of an upstream."""

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
