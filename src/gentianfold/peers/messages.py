"""The messages between VMs, as they go over the wire."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

PROTOCOL = 1
"""Version of the peer protocol that this release writes."""
MAX_MESSAGE_BYTES = 256 * 1024
"""Largest message."""
MAX_RELAYED_ROWS = 256
"""Most relayed rows that one heartbeat may carry."""
MAX_EXTENSIONS = 16
"""Most extensions that one heartbeat may carry."""


class RelayedRow(msgspec.Struct, array_like=True, frozen=True):
    """What the sender knows of a third VM."""

    position: int
    """Position of the VM in the sender's list, ordered by name."""
    started_ms: int
    """Start of its incarnation."""
    nonce: int
    """Random part of its incarnation."""
    age_ms: int
    """Time since the VM sent the heartbeat that this rests on."""
    config_version: int
    """Configuration that it had in force."""
    vm_list_version: int
    """VM list that it had adopted."""


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag="h"):
    """Sent to each direct peer once a second."""

    sent_s: float
    """When it was sent, by the sender's clock."""
    echo_sent_s: float | None
    """``sent_s`` of the newest heartbeat heard from the receiver."""
    echo_held_s: float
    """Time between hearing that heartbeat and sending this one."""
    config_version: int
    """Configuration in force."""
    vm_list_version: int
    """VM list adopted."""
    hears: bytes
    """Bitmap of the VMs heard directly, by position in the list ordered by name."""
    leaving: bool = False
    """Whether the sender is stopping."""
    extensions: dict[str, bytes] = {}
    """Payloads of the subsystems."""
    relayed: tuple[RelayedRow, ...] = ()
    """What the sender knows of other VMs."""


class Question(msgspec.Struct, array_like=True, frozen=True, tag="q"):
    """Asks a peer; one answer is expected."""

    number: int
    """Pairs the answer with the question."""
    topic: str
    """Which handler answers."""
    payload: bytes
    """Content, as the topic defines it."""


class Answer(msgspec.Struct, array_like=True, frozen=True, tag="a"):
    """Answers a question."""

    number: int
    """Number of the question."""
    code: int
    """0 for success, otherwise a result code."""
    payload: bytes
    """Content, or the reason of the failure in UTF-8."""


class Notice(msgspec.Struct, array_like=True, frozen=True, tag="n"):
    """Tells a peer; no answer is expected."""

    topic: str
    """Which handler takes it."""
    payload: bytes
    """Content, as the topic defines it."""


class Unsupported(msgspec.Struct, array_like=True, frozen=True, tag="u"):
    """Answers a message of a later protocol version or an unknown kind."""

    protocol: int
    """Newest version that the sender can read."""


Body: TypeAlias = Heartbeat | Question | Answer | Notice | Unsupported
"""All kinds of messages."""


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """What comes before each message."""

    protocol: int
    """Version of the peer protocol that the message is written in."""
    sender: str
    """Name of the sending VM."""
    started_ms: int
    """Start of the sender's incarnation."""
    nonce: int
    """Random part of the sender's incarnation."""
    seq: int
    """Grows with each message of the sender, to whomever."""
    body: msgspec.Raw
    """The message; read only if the version is known."""
