"""Result codes of the rate limits that all VMs share."""

from __future__ import annotations

from gentianfold.errors import Retry, RunState, define_code

OVER_RATE = define_code(
    5001,
    "over-rate",
    "The customer's bucket is empty and refills at the customer's rate.",
    "Retry after the time in `Retry-After`, or ask the operators for a higher rate.",
    429,
    RunState.NOT_RUN,
    Retry.LATER,
)
LIMIT_ELSEWHERE = define_code(
    5002,
    "limit-elsewhere",
    "Another VM holds the customer's rate limit, and it can't be reached now.",
    "Retry after the time in `Retry-After`; operators look at `fleet:` lines in the log.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
LIMIT_MESSAGE_MALFORMED = define_code(
    5006,
    "limit-message-malformed",
    "A message of another VM's limiter could not be decoded.",
    "Check that all VMs run the same version.",
)
