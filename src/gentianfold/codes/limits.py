"""Result codes of rate limits that count over all VMs."""

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
BURST_TOO_SMALL = define_code(
    5002,
    "burst-too-small",
    "The share of the burst that this part of the fleet holds is below one token.",
    "Retry later; operators check the links between VMs or raise the burst.",
    429,
    RunState.NOT_RUN,
    Retry.LATER,
)
SHARE_UNREACHABLE = define_code(
    5003,
    "share-unreachable",
    "The home of the customer's bucket holds no pledged share at the moment.",
    "Retry after the time in `Retry-After`.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
SHARES_SUSPENDED = define_code(
    5004,
    "shares-suspended",
    "This VM can't prove that its share slots are still its own.",
    "Retry; operators check the links of this VM.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
HOME_SILENT = define_code(
    5005,
    "home-silent",
    "The home of the customer's bucket gave no answer in time.",
    "Retry after the time in `Retry-After`.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
MESSAGE_MALFORMED = define_code(
    5006,
    "limit-message-malformed",
    "A message of another VM's limiter could not be decoded.",
    "Check that all VMs run the same version.",
)
