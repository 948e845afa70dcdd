"""Sets of VMs as bitmaps over the VM list."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence


def encode_bitmap(members: Collection[str], order: Sequence[str]) -> bytes:
    """Return a bitmap with bit ``i`` set for each ``order[i]`` in ``members``."""
    bits = sum(1 << i for i, name in enumerate(order) if name in members)
    return bits.to_bytes(-(-len(order) // 8), "little")


def decode_bitmap(bitmap: bytes, order: Sequence[str]) -> Iterable[str]:
    """Return the names whose bits are set; bits beyond the list are ignored."""
    bits = int.from_bytes(bitmap, "little")
    return (name for i, name in enumerate(order) if bits >> i & 1)
