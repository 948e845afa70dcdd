"""Result codes of internal errors."""

from __future__ import annotations

from gentianfold.errors import Retry, RunState, define_code

INTERNAL_ERROR = define_code(
    7901,
    "internal-error",
    "The VM failed in a way that no part expected.",
    "Look up whether the request took effect; operators read the log of the VM.",
    500,
    RunState.UNKNOWN,
    Retry.IF_IDEMPOTENT,
)
