"""Result codes of messages between VMs."""

from __future__ import annotations

from gentianfold.errors import Retry, RunState, define_code

MESSAGE_MALFORMED = define_code(
    4001,
    "message-malformed",
    "A message from a peer can't be read.",
    "Check that all VMs run releases that can talk to each other.",
)
BROKER_BEHIND = define_code(
    4002,
    "broker-behind",
    "The VM that assigns slots has more requests than it can decide on in time.",
    "Retry after the time in `Retry-After`; operators look at `admission:` log lines.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
