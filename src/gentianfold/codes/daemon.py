"""Result codes of the daemon's start and of the load tool."""

from __future__ import annotations

from gentianfold.errors import Retry, RunState, define_code

ADDRESS_UNUSABLE = define_code(
    1201,
    "address-unusable",
    "A port of the daemon can't be bound.",
    "Check the addresses in the settings and what else listens on them.",
)
SECRET_UNUSABLE = define_code(
    1202,
    "secret-unusable",
    "A certificate, a private key or the keys of the peer link can't be used.",
    "Check the files named in the settings, and `peer_keys`.",
)
LOAD_REFUSED = define_code(
    1203,
    "load-refused",
    "The load tool does not run this plan.",
    "Name loopback addresses, and a rate and length within the tool's bounds.",
)
INTERNAL_ERROR = define_code(
    7901,
    "internal-error",
    "The VM failed in a way that no part expected.",
    "Look up whether the request took effect; operators read the log of the VM.",
    500,
    RunState.UNKNOWN,
    Retry.IF_IDEMPOTENT,
)
KEYED_BODY_TOO_LARGE = define_code(
    7902,
    "keyed-body-too-large",
    "A request with an idempotency key has a body too large to be compared.",
    "Send a smaller body with the key, or a reference to the content.",
    413,
    RunState.NOT_RUN,
)
ONCE_MESSAGE_MALFORMED = define_code(
    7903,
    "once-message-malformed",
    "A message of another VM's ledger could not be decoded.",
    "Check that all VMs run the same version.",
)
