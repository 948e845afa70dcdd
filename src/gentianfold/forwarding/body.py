"""Body of a message in the pieces in which it arrived; it is never held twice."""

from __future__ import annotations

SMALL_PIECE_BYTES = 4 << 10
"""Length below which a piece is added to the one before it (bytes): an object for each
chunk of a few bytes would cost many times its bytes."""
BLOCK_BYTES = 64 << 10
"""Length up to which small pieces are added to one block (bytes)."""


class Body:
    """Bytes of a message in pieces.

    Attributes:
        pieces: The bytes in order; not to be changed once they are being sent.
        size_bytes: Their total length.
    """

    __slots__ = ("pieces", "size_bytes")

    def __init__(self, data: bytes = b"") -> None:
        self.pieces: list[bytes | bytearray] = [data] if data else []
        self.size_bytes = len(data)

    def append(self, data: bytes) -> None:
        """Add bytes at the end."""
        self.size_bytes += len(data)
        if len(data) >= SMALL_PIECE_BYTES or not self.pieces:
            self.pieces.append(data)
            return
        last = self.pieces[-1]
        if isinstance(last, bytearray) and len(last) < BLOCK_BYTES:
            last += data
        else:
            self.pieces.append(bytearray(data))

    def joined(self) -> bytes:
        """Return the bytes in one piece: a copy if there are several."""
        if len(self.pieces) == 1:
            return bytes(self.pieces[0])
        return b"".join(self.pieces)

    def __len__(self) -> int:
        return self.size_bytes
