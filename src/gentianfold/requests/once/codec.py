"""Writes and reads the messages between ledgers."""

from __future__ import annotations

import msgspec

from gentianfold.codes.daemon import ONCE_MESSAGE_MALFORMED
from gentianfold.errors import Failure
from gentianfold.requests.once.messages import (
    Admit,
    AdmitReply,
    Collect,
    Collected,
    CopyHeld,
    CopyRecord,
    Departed,
    DropCopy,
    Finish,
    Message,
)

_KINDS: tuple[type[Message], ...] = (
    Admit,
    AdmitReply,
    Finish,
    CopyRecord,
    CopyHeld,
    DropCopy,
    Collect,
    Collected,
    Departed,
)
"""Kinds of messages; the first byte on the wire is the position here."""
_NUMBERS = {kind: number for number, kind in enumerate(_KINDS)}
_ENCODER = msgspec.msgpack.Encoder()
_DECODERS = [msgspec.msgpack.Decoder(kind) for kind in _KINDS]
_FAULTS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


def encode(message: Message) -> bytes:
    """Write a message."""
    return bytes((_NUMBERS[type(message)],)) + _ENCODER.encode(message)


def decode(data: bytes) -> Message | Failure:
    """Read a message, or say why it can't be."""
    if not data or data[0] >= len(_KINDS):
        return Failure(ONCE_MESSAGE_MALFORMED, "the kind is not known")
    try:
        message: Message = _DECODERS[data[0]].decode(data[1:])
    except _FAULTS as error:
        return Failure(ONCE_MESSAGE_MALFORMED, str(error))
    return message
