"""What heartbeats tell of tokens that the broker lends; part of the wire format."""

from __future__ import annotations

import msgspec


class LotReport(msgspec.Struct, array_like=True, frozen=True):
    """What a VM has used of a lot of tokens."""

    number: int
    """Number of the lot."""
    is_final: bool
    """Whether the lot has ended, so that the rest was not used and never will be."""
    used: tuple[tuple[str, int], ...]
    """Customer and tokens used."""


class TokenAsk(msgspec.Struct, array_like=True, frozen=True):
    """Reports on lots, and the wish for a further one."""

    number: int = 0
    """Number of the ask, rising; the lot that answers it has the same number."""
    lots: tuple[LotReport, ...] = ()
    """Lots whose end the broker has not acknowledged."""
    wishes: tuple[tuple[str, int], ...] = ()
    """Customer and tokens that the VM expects to use within a lot's term."""
