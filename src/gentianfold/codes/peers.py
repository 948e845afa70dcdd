"""Result codes of messages between VMs."""

from __future__ import annotations

from gentianfold.errors import define_code

MESSAGE_MALFORMED = define_code(
    4001,
    "message-malformed",
    "A message from a peer can't be read.",
    "Check that all VMs run releases that can talk to each other.",
)
