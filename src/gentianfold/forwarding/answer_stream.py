"""A long answer on its way from the connection of its upstream to that of its caller."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Protocol

from gentianfold.forwarding.body import BLOCK_BYTES, SMALL_PIECE_BYTES
from gentianfold.forwarding.long_answer import Backpressure
from gentianfold.forwarding.memory_budget import ANSWER_BYTES

if TYPE_CHECKING:
    from gentianfold.forwarding.body import Body
    from gentianfold.forwarding.memory_budget import Claim


class AnswerSource(Protocol):
    """The connection of the upstream."""

    def hold_back(self, is_held_back: bool) -> None:
        """Stop to read from the upstream, or read on."""
        ...


class AnswerSink(Protocol):
    """The connection of the caller."""

    def continue_answer(self) -> None:
        """Go on, as bytes or the end of the answer have come, or it broke off."""
        ...


class AnswerStream:
    """Holds the bytes that were received and that the caller has not taken.

    Each byte passes once: from the pieces in which it came to the caller's transport.

    Attributes:
        size_bytes: Length of the body that the head states.
        received_bytes: Bytes received so far.
        is_broken_off: Whether the upstream sends no more although bytes are missing, or
            the attempt was ended; the caller must not take the answer as whole.
        is_abandoned: Whether the caller takes no more.
    """

    def __init__(self, size_bytes: int, claim: Claim | None) -> None:
        """Hold an answer of which nothing has been received.

        Args:
            size_bytes: Length of the body.
            claim: Memory of the answer; ``None`` if it is not counted.
        """
        self.size_bytes = size_bytes
        self.received_bytes = 0
        self.is_broken_off = False
        self.is_abandoned = False
        self._is_complete = False
        self._claim = claim
        self._pieces: deque[bytes | bytearray] = deque()
        # Bytes of the first piece that were taken.
        self._offset = 0
        self._taken_bytes = 0
        self._sent_bytes = 0
        self._source: AnswerSource | None = None
        self._sink: AnswerSink | None = None
        self._pressure = Backpressure()
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    @classmethod
    def of_whole(cls, body: Body, claim: Claim | None) -> AnswerStream:
        """Return an answer that has been received completely."""
        stream = cls(body.size_bytes, claim)
        stream._pieces.extend(body.pieces)
        stream.received_bytes = body.size_bytes
        stream._is_complete = True
        return stream

    # State

    @property
    def is_receiving(self) -> bool:
        """Whether the upstream is still sending."""
        return not (self._is_complete or self.is_broken_off)

    @property
    def held_bytes(self) -> int:
        """Bytes that were received and that the caller has not taken."""
        return 0 if self.is_abandoned else self.received_bytes - self._sent_bytes

    @property
    def claimed_bytes(self) -> int:
        """Bytes to claim: while the upstream sends, room for one read at least."""
        if self.is_abandoned or self.is_broken_off:
            return 0
        minimum = ANSWER_BYTES if self.is_receiving else 0
        return max(self.held_bytes, minimum)

    @property
    def is_taken(self) -> bool:
        """Whether the transport of the caller has got the last byte."""
        return self._is_complete and self._taken_bytes == self.size_bytes

    def paused_s(self) -> float:
        """Return for how long the caller has held back the upstream (seconds)."""
        return self._pressure.paused_s(self._loop.time())

    # Upstream

    def begin(self, source: AnswerSource, body: Body) -> None:
        """Add what has been received of an answer that the caller's connection takes."""
        self._source = source
        for piece in body.pieces:
            self._add(piece)

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        if not self.is_abandoned:
            self._add(data)

    def flush(self) -> None:
        """Pass on what was added; hold back the upstream if it is too much."""
        if self._sink is not None:
            self._sink.continue_answer()
        self._update_pressure()

    def complete(self) -> None:
        """Note that the answer has been received completely."""
        self._is_complete = True
        self._end_receiving()
        self.flush()

    def break_off(self) -> None:
        """Note that no more will be received; no effect on a complete answer."""
        self._end_receiving()
        if not self._is_complete and not self.is_broken_off:
            self.is_broken_off = True
            self._pieces.clear()
            self.flush()

    # Caller

    def attach(self, sink: AnswerSink) -> None:
        """Set the connection that takes the answer."""
        self._sink = sink

    def peek_bytes(self, limit_bytes: int) -> int:
        """Return how many bytes the next piece has (bytes); 0 if there is none."""
        if not self._pieces:
            return 0
        return min(len(self._pieces[0]) - self._offset, limit_bytes)

    def take(self, limit_bytes: int) -> memoryview | bytes | bytearray:
        """Return the next piece, without a copy."""
        piece = self._pieces[0]
        start, end = self._offset, min(self._offset + limit_bytes, len(piece))
        if end == len(piece):
            self._pieces.popleft()
            self._offset = 0
        else:
            self._offset = end
        self._taken_bytes += end - start
        return piece if end - start == len(piece) else memoryview(piece)[start:end]

    def record_unsent(self, unsent_bytes: int) -> None:
        """Record how much of what was taken is still in the transport (bytes)."""
        sent_bytes = self._taken_bytes - min(unsent_bytes, self._taken_bytes)
        if sent_bytes <= self._sent_bytes or self.is_abandoned:
            return
        self._sent_bytes = sent_bytes
        if self._claim is not None and not self.is_broken_off:
            self._claim.force_to(self.claimed_bytes)
        self._update_pressure()

    def abandon(self) -> None:
        """Drop what is held and discard what follows, as the caller has ended."""
        self.is_abandoned = True
        self._sink = None
        self._pieces.clear()
        if self._claim is not None:
            self._claim.force_to(self.claimed_bytes)
        self._update_pressure()

    # Steps

    def _add(self, piece: bytes | bytearray) -> None:
        self.received_bytes += len(piece)
        if len(piece) >= SMALL_PIECE_BYTES:
            self._pieces.append(piece)
            return
        last = self._pieces[-1] if self._pieces else b""
        # The transport may hold a part of the first piece, which must not change then.
        is_first_taken = len(self._pieces) == 1 and self._offset > 0
        can_grow = len(last) < BLOCK_BYTES and not is_first_taken
        if isinstance(last, bytearray) and can_grow:
            last += piece
        else:
            self._pieces.append(bytearray(piece))

    def _end_receiving(self) -> None:
        self._source = None
        self._stop_timer()
        self._pressure.end(self._loop.time())

    def _update_pressure(self) -> None:
        source = self._source
        if source is None or not self.is_receiving:
            return
        was_paused, now_s = self._pressure.is_paused, self._loop.time()
        is_paused = self._pressure.update(self.held_bytes, now_s)
        if not is_paused:
            self._stop_timer()
        elif self._timer is None:
            delay_s = self._pressure.left_s(now_s)
            self._timer = self._loop.call_later(delay_s, self._handle_timer)
        if is_paused != was_paused:
            source.hold_back(is_paused)

    def _handle_timer(self) -> None:
        self._timer = None
        self._update_pressure()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
