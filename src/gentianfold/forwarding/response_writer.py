"""Writes the responses of a caller's connection in order and knows which have left.

A response has left the process when the transport holds no byte of it any more. Planned
stops, closing connections, the bound on pipelined requests and the counts of requests
under way all use this notion. Answers to callers on narrow links stay in the transport
for seconds after their request has run.
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

from gentianfold.forwarding.memory_budget import Claim, Progress
from gentianfold.forwarding.messages import Response, encode_response, write_pieces

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

    def handle_stalled(self) -> None:
        """End the connection, as the caller does not receive."""
        ...


class ResponseWriter:
    """Writes responses in the order of their requests and ends the connection."""

    def __init__(self, transport: asyncio.Transport, owner: WriterOwner) -> None:
        self._transport = transport
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._waiting: deque[PendingResponse] = deque()
        # Ends of the unsent responses in all that was written, and their memory.
        self._unsent: deque[tuple[int, Claim | None]] = deque()
        self._reading: Progress | None = None
        self._written_bytes = 0
        self._is_finishing = False
        self._timer: asyncio.TimerHandle | None = None
        self._progress_bytes = 0
        self._reading_bytes = 0
        # The protocol is told when the buffer is empty again.
        transport.set_write_buffer_limits(high=1)

    # State

    @property
    def waiting_count(self) -> int:
        """Number of responses that have not been written."""
        return len(self._waiting)

    @property
    def unsent_count(self) -> int:
        """Number of responses that were written and have not left the process."""
        sent_bytes = self._sent_bytes()
        while self._unsent and self._unsent[0][0] <= sent_bytes:
            self._unsent.popleft()
        return len(self._unsent)

    @property
    def under_way_count(self) -> int:
        """Number of responses that have not left the process."""
        return self.waiting_count + self.unsent_count

    @property
    def can_write(self) -> bool:
        """Whether further responses can be written."""
        return not self._is_finishing and not self._transport.is_closing()

    # Responses

    def add(self, pending: PendingResponse) -> None:
        """Add the response to the next request."""
        self._waiting.append(pending)

    def take_ready(self) -> PendingResponse | None:
        """Remove and return the next response if it is known."""
        if not self._waiting or self._waiting[0].response is None:
            return None
        return self._waiting.popleft()

    def write(self, pending: PendingResponse, close: bool) -> None:
        """Write a response; ``close`` tells whether the connection ends behind it."""
        response = cast("Response", pending.response)
        pieces = encode_response(response, pending.is_head, close)
        self._written_bytes += write_pieces(self._transport, pieces)
        self._unsent.append((self._written_bytes, response.claim))
        self._watch_progress()

    def write_bytes(self, data: bytes) -> None:
        """Write bytes that are no final response."""
        self._written_bytes += len(data)
        self._transport.write(data)

    def cancel_waiting(self) -> None:
        """Cancel the requests whose responses are not known."""
        for pending in self._waiting:
            if pending.cancel is not None:
                pending.cancel()
        self._waiting.clear()

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
        cut_count = len(self._unsent)
        self._unsent.clear()
        self._stop_timer()
        return cut_count

    # Progress

    def stalled_since_s(self, now_s: float) -> float | None:
        """Return since when a caller reads that has stalled; ``None`` if none has."""
        if not self.unsent_count:
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
        if self._timer is None and (self.unsent_count or self._is_finishing):
            self._progress_bytes = self._received_bytes()
            delay_s = self._owner.stall_timeout_s() if self.unsent_count else LINGER_S
            self._timer = self._loop.call_later(delay_s, self._check_progress)

    def handle_drained(self) -> None:
        """Go on, or wait for the caller's end, as the transport holds no bytes."""
        self._stop_timer()
        self._watch_progress()
        self._owner.handle_sent()

    def _check_progress(self) -> None:
        self._timer = None
        if not self.unsent_count and not self._is_finishing:
            self._owner.handle_sent()
        elif self._received_bytes() > self._progress_bytes:
            self._watch_progress()
        elif self.unsent_count:
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
