"""Result codes of peer links and membership."""

from __future__ import annotations

from gentianfold.errors import define_code

MESSAGE_MALFORMED = define_code(
    4001,
    "message-malformed",
    "A message from a peer can't be read.",
    "Check that all VMs run releases that can talk to each other.",
)
MESSAGE_TOO_LARGE = define_code(
    4002,
    "message-too-large",
    "A message for or from a peer is larger than the bound.",
    "Report it; the message was dropped.",
)
PROTOCOL_UNSUPPORTED = define_code(
    4003,
    "protocol-unsupported",
    "A peer speaks a later version of the peer protocol.",
    "Upgrade this VM; the peer was told.",
)
MESSAGE_REPLAYED = define_code(
    4004,
    "message-replayed",
    "A message came twice, or from an earlier incarnation of a peer.",
    "Nothing; it was dropped.",
)
PEER_UNKNOWN = define_code(
    4005,
    "peer-unknown",
    "No VM of this name is in the VM list.",
    "Check the VM list.",
)
PEER_UNREACHABLE = define_code(
    4006,
    "peer-unreachable",
    "The message could not be queued for the peer.",
    "Check the path between the VMs; the link is redialled.",
)
PEER_TIMEOUT = define_code(
    4007,
    "peer-timeout",
    "The peer did not answer in time.",
    "Check the path between the VMs and the load of the peer.",
)
TOPIC_UNKNOWN = define_code(
    4008,
    "topic-unknown",
    "The peer has no handler for the question.",
    "Check that all VMs run releases that can talk to each other.",
)
CONTENT_ABSENT = define_code(
    4009,
    "content-absent",
    "The peer doesn't hold the configuration content asked for.",
    "Nothing; another peer is asked.",
)
