"""Wire format of the outcome sketches that VMs exchange."""

from __future__ import annotations

import msgspec

from gentianfold.codes.routing import SKETCH_MALFORMED, SKETCH_TOO_LARGE
from gentianfold.errors import Failure

LOAD_SCALE = 16
"""Load units for each slot in use."""
LATENCY_SCALE = 10_000
"""Latency units a second."""
MAX_SCOPES = 8
"""Most failure scopes in one item."""


class SketchItem(msgspec.Struct, array_like=True, omit_defaults=True, frozen=True):
    """News of one upstream."""

    key: int
    """Key of the upstream."""
    successes: int
    """Successes since the incarnation of the sender began."""
    failures: int
    """Failures since then; a late success takes one back."""
    new_successes: int = 0
    """Successes since the last sketch, for receivers that missed earlier ones."""
    new_failures: int = 0
    """Failures since the last sketch."""
    load: int = 0
    """Mean slots in use since the last sketch, times ``LOAD_SCALE``."""
    latency: int = 0
    """Sum of latencies since the last sketch, times ``LATENCY_SCALE``."""
    latencies: int = 0
    """Number of latencies in that sum."""
    scopes: tuple[tuple[int, int], ...] = ()
    """Route and customer keys of the new failures."""


class Sketch(msgspec.Struct, array_like=True, frozen=True):
    """What one VM saw since its last sketch."""

    incarnation: int
    """Incarnation of the sender; counters restart with it."""
    whole: bool
    """Whether upstreams that aren't listed have no load from the sender."""
    items: tuple[SketchItem, ...]
    """Upstreams with news."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Sketch)


def encode(sketch: Sketch) -> bytes:
    """Encode a sketch."""
    return _ENCODER.encode(sketch)


def decode(payload: bytes, max_bytes: int) -> Sketch | Failure:
    """Decode a sketch that a peer sent."""
    if len(payload) > max_bytes:
        return Failure(SKETCH_TOO_LARGE, f"{len(payload)} bytes, limit {max_bytes}")
    try:
        return _DECODER.decode(payload)
    except msgspec.MsgspecError as error:
        return Failure(SKETCH_MALFORMED, str(error))
