"""Writes the responses of a caller's connection in order and knows which have left.

A response has left the process when the transport holds no byte of it any more. Planned
stops, closing connections, the bound on pipelined requests and the counts of requests
under way all use this notion. Answers to callers on narrow links stay in the transport
for seconds after their request has run.

A long answer is handed to the transport in small pieces, each when the one before has
left; those behind it wait. It may still be coming from its upstream.
"""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios
from collections import deque
from collections.abc import Callable
from typing import Protocol, cast

import attrs

from gentianfold.forwarding.answer_stream import AnswerStream
from gentianfold.forwarding.link_pacer import LinkPacer
from gentianfold.forwarding.link_schedule import MAX_PIECE_BYTES
from gentianfold.forwarding.long_answer import HOLD_BYTES
from gentianfold.forwarding.memory_budget import Claim, Progress
from gentianfold.forwarding.messages import (
    Response,
    encode_head,
    encode_response,
    write_pieces,
)

LINGER_S = 1.0
"""Time for which an ended connection is still read, so that bytes of the caller which
cross the end don't reset the connection while the last answer is on its way (seconds).
It begins anew as long as the caller receives."""


@attrs.define(eq=False, repr=False)
class PendingResponse:
    """A response that has not been written."""

    is_head: bool
    """Whether the request's method was HEAD."""
    keep_alive: bool
    """Whether the caller allows further requests on the connection."""
    response: Response | None = None
    """The response once it is known."""
    cancel: Callable[[], None] | None = None
    """Called when the caller disconnects before the response is known."""


class WriterOwner(Protocol):
    """The connection whose responses are written."""

    def stall_timeout_s(self) -> float:
        """Return the time after which a caller that receives nothing has stalled."""
        ...

    def handle_sent(self) -> None:
        """Go on after all written responses have left."""
        ...

    def handle_written(self, close: bool) -> None:
        """Go on after the last piece of a long response was written.

        Args:
            close: Whether the connection ends behind it.
        """
        ...

    def handle_broken_off(self) -> None:
        """End the connection, as the rest of a response is missing."""
        ...

    def handle_stalled(self) -> None:
        """End the connection, as the caller does not receive."""
        ...


class ResponseWriter:
    """Writes responses in the order of their requests and ends the connection.

    Implements ``AnswerSink``.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        owner: WriterOwner,
        link: LinkPacer | None = None,
    ) -> None:
        """Write to a connection.

        Args:
            transport: The connection.
            owner: Is told what has been written and sent.
            link: Gives long responses their turns on the link; ``None`` if it is wide.
        """
        self._transport = transport
        self._owner = owner
        self._link = link
        self._loop = asyncio.get_running_loop()
        self._waiting: deque[PendingResponse] = deque()
        # Ends of the unsent responses in all that was written, and their memory.
        self._unsent: deque[tuple[int, Claim | None]] = deque()
        self._reading: Progress | None = None
        self._written_bytes = 0
        # The long response of which pieces are missing in the transport.
        self._long: tuple[PendingResponse, AnswerStream] | None = None
        self._closes_behind_long = False
        self._is_finishing = False
        self._timer: asyncio.TimerHandle | None = None
        self._progress_bytes = 0
        self._reading_bytes = 0
        # The protocol is told when the buffer is empty again.
        transport.set_write_buffer_limits(high=1)

    # State

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a response has left of which more is to come."""
        return self._long is not None and self._long[1].is_receiving

    @property
    def waiting_count(self) -> int:
        """Number of responses that have not been received completely."""
        return len(self._waiting) + self.is_receiving

    @property
    def unsent_count(self) -> int:
        """Number of complete responses that have not left the process."""
        sent_bytes = self._sent_bytes()
        while self._unsent and self._unsent[0][0] <= sent_bytes:
            _, claim = self._unsent.popleft()
            if claim is not None:
                claim.release()
        return len(self._unsent) + self.has_rest

    @property
    def is_sending(self) -> bool:
        """Whether bytes of a response have left and others have not."""
        return self._long is not None or self.unsent_count > 0

    @property
    def has_rest(self) -> bool:
        """Whether the transport lacks a part of a complete response."""
        return self._long is not None and not self._long[1].is_receiving

    @property
    def under_way_count(self) -> int:
        """Number of responses that have not left the process."""
        return self.waiting_count + self.unsent_count

    @property
    def can_write(self) -> bool:
        """Whether further responses can be written."""
        return not self._is_finishing and not self._transport.is_closing()

    @property
    def is_free(self) -> bool:
        """Whether all responses to the requests so far have been written."""
        return self.can_write and self._long is None and not self._waiting

    # Responses

    def add(self, pending: PendingResponse) -> None:
        """Add the response to the next request."""
        self._waiting.append(pending)

    def is_next(self, pending: PendingResponse) -> bool:
        """Tell whether a response can be written before it is complete.

        Not if others are awaited behind it: they would be lost if it breaks off.
        """
        is_alone = len(self._waiting) == 1 and self._waiting[0] is pending
        return self.can_write and self._long is None and is_alone

    def take_ready(self) -> PendingResponse | None:
        """Remove and return the next response if it is known and its turn has come."""
        is_ready = self._waiting and self._waiting[0].response is not None
        return self._waiting.popleft() if is_ready and self._long is None else None

    def write(self, pending: PendingResponse, close: bool) -> bool:
        """Write a response; ``close`` tells whether the connection ends behind it.

        Returns:
            Whether it is written; if not, ``handle_written`` is called later.
        """
        response = cast("Response", pending.response)
        if response.stream is not None:
            self._begin_long(pending, response.stream, close)
        elif response.size_bytes > HOLD_BYTES and not pending.is_head:
            stream = AnswerStream.of_whole(response.content, response.claim)
            self._begin_long(pending, stream, close)
        else:
            pieces = encode_response(response, pending.is_head, close)
            self._record_written(write_pieces(self._transport, pieces))
            self._unsent.append((self._written_bytes, response.claim))
            self._watch_progress()
            return True
        return False

    def write_bytes(self, data: bytes) -> None:
        """Write bytes that are no final response."""
        self._record_written(len(data))
        self._transport.write(data)

    def _record_written(self, size_bytes: int) -> None:
        self._written_bytes += size_bytes
        if self._link is not None:
            self._link.record(size_bytes)

    def cancel_waiting(self) -> None:
        """Cancel the requests whose responses are not complete."""
        waiting = [*self._waiting]
        if self._long is not None and self.is_receiving:
            waiting.append(self._long[0])
        self._waiting.clear()
        for pending in waiting:
            # The request refers to its pending response, which must not refer back.
            cancel, pending.cancel = pending.cancel, None
            if cancel is not None:
                cancel()

    # Long responses

    def _begin_long(
        self, pending: PendingResponse, stream: AnswerStream, close: bool
    ) -> None:
        self.write_bytes(encode_head(cast("Response", pending.response), False, close))
        self._long, self._closes_behind_long = (pending, stream), close
        stream.attach(self)
        if not stream.is_receiving:
            # The owner goes on writing in its own turn.
            self._loop.call_soon(self.continue_answer)
        self._watch_progress()

    def continue_answer(self) -> None:
        """Write the next pieces of a long response if the one before has left."""
        if self._long is None or self._transport.is_closing():
            return
        pending, stream = self._long
        stream.record_unsent(self._transport.get_write_buffer_size())
        if stream.is_broken_off:
            self._long, was_finishing = None, self._is_finishing
            self._owner.handle_broken_off()
            if was_finishing:
                self._end(lingers=True)
            return
        limit_bytes = self._piece_bytes
        while (
            stream.peek_bytes(limit_bytes)
            and not self._transport.get_write_buffer_size()
            and (self._link is None or self._link.take_turn(self))
        ):
            piece = stream.take(limit_bytes)
            self._record_written(len(piece))
            self._transport.write(piece)
            stream.record_unsent(self._transport.get_write_buffer_size())
        if stream.is_taken:
            self._end_long(cast("Response", pending.response))
        self._watch_progress()

    @property
    def _piece_bytes(self) -> int:
        """Bytes of a long response that the transport holds at most (bytes)."""
        if self._link is None:
            return MAX_PIECE_BYTES
        return self._link.schedule.piece_bytes

    def _end_long(self, response: Response) -> None:
        self._long = None
        self._unsent.append((self._written_bytes, response.claim))
        if self._is_finishing:
            self._end(lingers=True)
        else:
            self._owner.handle_written(self._closes_behind_long)

    # End of the connection

    def finish(self, lingers: bool) -> None:
        """End the connection behind the last written byte.

        Args:
            lingers: Whether the caller may not have received the last answer; without
                it, a connection on which nothing is under way ends at once.
        """
        if self._is_finishing or self._transport.is_closing():
            return
        self._is_finishing = True
        if self._long is None:
            self._end(lingers)

    def _end(self, lingers: bool) -> None:
        lingers = lingers or self._received_bytes() < self._written_bytes
        if lingers and self._transport.can_write_eof():
            self._transport.write_eof()
            self._watch_progress()
        else:
            # With TLS there are no half-closed connections.
            self._transport.close()

    def handle_lost(self) -> int:
        """Forget all responses; return how many had not left the process."""
        # The transport may have dropped its bytes, so they don't tell any more.
        cut_count = len(self._unsent) + (self._long is not None)
        self._unsent.clear()
        if self._long is not None:
            self._long[1].abandon()
            self._long = None
        self._stop_timer()
        return cut_count

    # Progress

    def stalled_since_s(self, now_s: float) -> float | None:
        """Return since when a caller reads that has stalled; ``None`` if none has."""
        is_waiting = self._long is not None and self._long[1].peek_bytes(1) > 0
        if self._link is not None and self._link.schedule.is_waiting(self):
            is_waiting = False
        if not is_waiting and not self._transport.get_write_buffer_size():
            # Neither what has not come yet nor the turn on the link is its delay.
            self._reading = None
            return None
        sent_bytes = self._sent_bytes()
        if self._reading is None:
            self._reading, self._reading_bytes = Progress.begin(now_s), sent_bytes
        elif sent_bytes > self._reading_bytes:
            self._reading.record(sent_bytes - self._reading_bytes, now_s)
            self._reading_bytes = sent_bytes
        return self._reading.started_s if self._reading.has_stalled(now_s) else None

    def _sent_bytes(self) -> int:
        return self._written_bytes - self._transport.get_write_buffer_size()

    def _watch_progress(self) -> None:
        if self._timer is None and (self.is_sending or self._is_finishing):
            self._progress_bytes = self._received_bytes()
            delay_s = self._owner.stall_timeout_s() if self.is_sending else LINGER_S
            self._timer = self._loop.call_later(delay_s, self._check_progress)

    def handle_drained(self) -> None:
        """Go on, or wait for the caller's end, as the transport holds no bytes."""
        self._stop_timer()
        self.continue_answer()
        self._watch_progress()
        self._owner.handle_sent()

    def _check_progress(self) -> None:
        self._timer = None
        received_bytes = self._received_bytes()
        if not self.is_sending and not self._is_finishing:
            self._owner.handle_sent()
        elif received_bytes > self._progress_bytes or (
            # The caller has all that came from the upstream so far.
            self._long is not None and received_bytes >= self._written_bytes
        ):
            self._watch_progress()
        elif self.is_sending:
            self._owner.handle_stalled()
        else:
            self._transport.close()

    def _received_bytes(self) -> int:
        """Return how much the caller's machine has received (bytes)."""
        sock = self._transport.get_extra_info("socket")
        if sock is None or self._transport.is_closing():
            return self._sent_bytes()
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
        return self._sent_bytes() - int(struct.unpack("i", queued)[0])

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
