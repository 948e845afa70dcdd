"""Writes messages to bytes and reads them back within bounds."""

from __future__ import annotations

import attrs
import msgspec

from gentianfold.codes.peers import (
    MESSAGE_MALFORMED,
    MESSAGE_TOO_LARGE,
    PROTOCOL_UNSUPPORTED,
)
from gentianfold.errors import Failure
from gentianfold.peers.incarnation import Incarnation
from gentianfold.peers.messages import (
    MAX_EXTENSIONS,
    MAX_MESSAGE_BYTES,
    MAX_RELAYED_ROWS,
    PROTOCOL,
    Body,
    Envelope,
    Heartbeat,
)

MAX_NAME_BYTES = 200
"""Longest name of a VM."""

_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE = msgspec.msgpack.Decoder(Envelope)
_BODY = msgspec.msgpack.Decoder(Body)
_FAULTS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, OverflowError)


@attrs.frozen
class Received:
    """A message that was read."""

    sender: str
    """Name of the sending VM."""
    incarnation: Incarnation
    """Its incarnation."""
    seq: int
    """Number of the message."""
    body: Body
    """The message."""


@attrs.frozen
class Unreadable:
    """A message whose envelope alone was read."""

    sender: str
    """Name of the sending VM."""
    failure: Failure
    """Why the message was not read."""


def encode_message(
    sender: str, incarnation: Incarnation, seq: int, body: Body
) -> bytes | Failure:
    """Write one message."""
    raw = msgspec.Raw(_ENCODER.encode(body))
    started_ms, nonce = incarnation.started_ms, incarnation.nonce
    data = _ENCODER.encode(Envelope(PROTOCOL, sender, started_ms, nonce, seq, raw))
    if len(data) > MAX_MESSAGE_BYTES:
        return Failure(MESSAGE_TOO_LARGE, f"{len(data)} bytes")
    return data


def decode_message(data: bytes) -> Received | Unreadable | Failure:
    """Read one message; nothing that a peer sends raises an exception."""
    if len(data) > MAX_MESSAGE_BYTES:
        return Failure(MESSAGE_TOO_LARGE, f"{len(data)} bytes")
    try:
        envelope = _ENVELOPE.decode(data)
    except _FAULTS as error:
        return Failure(MESSAGE_MALFORMED, str(error))
    if not 0 < len(envelope.sender) <= MAX_NAME_BYTES or envelope.seq < 0:
        return Failure(MESSAGE_MALFORMED, "the envelope is out of bounds")
    if envelope.protocol > PROTOCOL:
        reason = f"{envelope.sender} speaks version {envelope.protocol}"
        return Unreadable(envelope.sender, Failure(PROTOCOL_UNSUPPORTED, reason))
    try:
        body = _BODY.decode(envelope.body)
    except _FAULTS as error:
        failure = Failure(MESSAGE_MALFORMED, f"from {envelope.sender}: {error}")
        return Unreadable(envelope.sender, failure)
    if isinstance(body, Heartbeat) and not _within_bounds(body):
        failure = Failure(MESSAGE_MALFORMED, f"heartbeat of {envelope.sender}")
        return Unreadable(envelope.sender, failure)
    incarnation = Incarnation(envelope.started_ms, envelope.nonce)
    return Received(envelope.sender, incarnation, envelope.seq, body)


def _within_bounds(body: Heartbeat) -> bool:
    return (
        len(body.relayed) <= MAX_RELAYED_ROWS
        and len(body.extensions) <= MAX_EXTENSIONS
        and len(body.hears) <= 1024
        and body.config_version >= 0
        and body.vm_list_version >= 0
        and abs(body.sent_s) < 1e12
    )
