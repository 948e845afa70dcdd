"""Typed messages between the limiters of two VMs, and their codec."""

from __future__ import annotations

import msgspec

from gentianfold.codes.limits import MESSAGE_MALFORMED
from gentianfold.errors import Failure


class Pledge(msgspec.Struct, array_like=True, frozen=True):
    """The share that a VM pledges to a home until a term after the home's ping.

    A bucket is pledged to the home that both views name for it.
    """

    slot_count: int
    """Share slots that are pledged."""
    view: bytes
    """Digest of the view."""
    next_view: bytes
    """Digest of the view that follows; the same when none does."""
    term_s: float
    """Duration from the home's ping to the end of the pledge."""


class Heartbeat(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Periodic state of a VM, with a ping and the echo of the peer's ping."""

    incarnation: int
    """Identifies one start of the sender."""
    sequence: int
    """Grows with each heartbeat of the incarnation."""
    ping_s: float
    """Time on the sender's clock when it sent this."""
    echo_incarnation: int
    """Incarnation of the receiver that the sender knows; 0 for none."""
    echo_s: float
    """Latest ping time that the sender received from that incarnation."""
    version: int
    """Version of the VM list that the sender stands at."""
    established: bool
    """Whether the sender knows the fleet's history and may acknowledge."""
    founder: bool
    """Whether the sender was established in a cold start just now."""
    young: bool
    """Whether pledges of an earlier incarnation may still be in use."""
    stopping: bool
    """Whether the sender is about to stop and wants no home."""
    held_count: int
    """Share slots in possession, those being released included."""
    releasing: tuple[int, ...] = ()
    """Share slots that the sender no longer owns but may still have pledged."""
    open_versions: tuple[int, ...] = ()
    """Older list versions that may still keep share slots in use."""
    generation: int = 0
    """Grows when pledged share or a view is taken back."""
    generation_ack: int = 0
    """Generation of the receiver's latest heartbeat."""
    pledge: Pledge | None = None
    """The share pledged to the receiver."""


class ViewQuery(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Asks for the members of a view."""

    digest: bytes
    """Digest of the view."""


class ViewCopy(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Answers a view query."""

    members: tuple[str, ...]
    """The VMs of the view, sorted."""


class LotReport(msgspec.Struct, array_like=True, frozen=True):
    """What became of a lot."""

    ask_id: int
    """Identifies the lot."""
    spent: int
    """Tokens spent so far."""
    closed: bool
    """Whether the rest is given back."""


class Ask(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Asks a home for tokens of one bucket."""

    ask_id: int
    """Identifies the ask within the sender's incarnation."""
    key: bytes
    """Digest of the bucket key."""
    need: int
    """Tokens for requests that wait."""
    want: int
    """Further tokens for requests that are expected soon."""
    rate_per_s: float
    """Rate of the limit."""
    burst: float
    """Burst of the limit."""
    limits_version: int
    """Configuration version that the limit comes from."""
    reports: tuple[LotReport, ...] = ()
    """Changes to earlier lots of the same bucket."""


class Grant(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Answers an ask with a lot, or with none and the reason."""

    ask_id: int
    """Identifies the ask, and the lot."""
    tokens: int
    """Tokens of the lot; 0 for a refusal."""
    time_ms: int
    """Time from the ask in which the tokens may be spent; for a refusal, the
    time after which a retry may succeed."""
    code: int = 0
    """Number of the result code of a refusal."""
    report_at_once: bool = False
    """Whether the home wants to know of each spent token without delay."""


class Report(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """Tells a home what became of lots."""

    lots: tuple[tuple[bytes, LotReport], ...]
    """Digest of the bucket key and report."""


Message = Heartbeat | ViewQuery | ViewCopy | Ask | Grant | Report
"""Any message between two limiters."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message for the wire."""
    return _ENCODER.encode(message)


def decode(payload: bytes) -> Message | Failure:
    """Decode a message, or say why it can't be."""
    try:
        return _DECODER.decode(payload)
    except msgspec.MsgspecError as error:
        return Failure(MESSAGE_MALFORMED, str(error))
