"""One connection to a server: sends a request and reads the complete response."""

from __future__ import annotations

import asyncio
import enum
import socket
from collections.abc import Callable
from typing import TypeAlias, cast

import attrs
import httptools

from gentianfold.forwarding.answer_stream import AnswerStream
from gentianfold.forwarding.body import Body
from gentianfold.forwarding.long_answer import FIRST_BYTES, HOLD_BYTES, stated_length
from gentianfold.forwarding.memory_budget import (
    ANSWER_BYTES,
    FIELD_BYTES,
    ROOM_RETRY_S,
    Claim,
)
from gentianfold.forwarding.messages import Headers, Response, write_pieces
from gentianfold.forwarding.reading_pauses import ReadingPauses
from gentianfold.forwarding.response_head import find_head_fault, keep_alive_timeout_s

MAX_RESPONSE_BYTES = 8 << 20
"""Most bytes that are received in one exchange (bytes): a twenty-fifth of the smallest
VM's memory, as several exchanges may meet a body without end."""
MAX_RESPONSE_HEAD_BYTES = 64 << 10
"""Most bytes of interim responses and of the head of a response (bytes)."""
MAX_RESPONSE_FIELDS = 256
"""Most fields of the head of a response (count): short ones take 30 times the memory of
their text, all of it before it can be claimed."""
MAX_UNMATCHED_RESPONSES = 3
"""Responses to earlier requests after which a connection is closed (count); fewer are
skipped."""
MIN_READ_BYTES = 16 << 10
"""Claimed room below which more is claimed before the next read (bytes)."""
_RECEIVED = memoryview(bytearray(ANSWER_BYTES))
"""Buffer of all reads: what one brings is parsed before the next."""

ResponseFilter: TypeAlias = Callable[[Response], bool]
"""Returns whether a response belongs to the request."""
ProgressCallback: TypeAlias = Callable[[], None]
"""Called whenever bytes of the response have arrived."""
StreamOffer: TypeAlias = Callable[[Response], bool]
"""Called with the head of a long response that belongs to the request and its stream;
returns whether the caller takes it while it is being received."""


class ExchangeFailure(enum.Enum):
    """Why there is no complete response."""

    CLOSED = "closed before the answer"
    """The server closed or reset the connection before the first byte of a response."""
    CUT = "answer cut"
    """The connection ended in the middle of the response."""
    INVALID = "not an answer"
    """The bytes are not a valid response, or belong to another request."""
    TOO_LARGE = "answer too large"
    """The response or its head is larger than the limit."""

    @property
    def is_end_of_connection(self) -> bool:
        """Whether the server, or something on the way, ended the connection."""
        return self in (ExchangeFailure.CLOSED, ExchangeFailure.CUT)


ExchangeResult: TypeAlias = Response | ExchangeFailure
"""A complete response, or why there is none."""


class _TooManyFieldsError(Exception):
    """Stops the parser in a head with more fields than the limit."""


@attrs.define(eq=False, repr=False)
class _PendingResponse:
    """A response that is awaited or being read."""

    accept: ResponseFilter
    is_head: bool
    result: asyncio.Future[ExchangeResult]
    on_progress: ProgressCallback | None = None
    claim: Claim | None = None
    offer: StreamOffer | None = None
    stream: AnswerStream | None = None
    unmatched_count: int = 0


class UpstreamConnection(asyncio.BufferedProtocol):
    """A connection that carries one exchange at a time. Implements ``AnswerSource``.

    One read brings ``ANSWER_BYTES`` at most, and no more than is claimed before it.

    Attributes:
        idle_since_s: Time at which the connection became idle (event loop time,
            seconds); set by the connection pool.
        keep_alive_s: Idle timeout that the last response states (seconds); ``None`` if
            it states none.
        is_reusable: Whether another request may follow the current exchange.
        exchanged_bytes: Bytes sent and received in the last exchange.
        pauses: When the last exchange was not read.
        fault: Why the last response was not valid; empty if it was or if there was none.
        vm: Address of the VM through which it goes, which carries one exchange; empty
            if it is direct.
    """

    def __init__(self) -> None:
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None
        self.is_reusable = True
        self.exchanged_bytes = 0
        self.fault = ""
        self.vm = ""
        self._received_bytes = 0
        self._head_bytes = 0
        self._loop = asyncio.get_running_loop()
        self._room_timer: asyncio.TimerHandle | None = None
        self._is_held_back = False
        self.pauses = ReadingPauses()
        self._transport: asyncio.Transport | None = None
        self._pending: _PendingResponse | None = None
        self._reset_parser()

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._reset_response()

    def _reset_response(self) -> None:
        self._headers: Headers = []
        self._body = Body()
        self._has_begun = False
        self._has_headers = False
        self._has_final_head = False
        self._is_close_delimited = False
        self._stated_bytes: int | None = None

    # Exchange

    @property
    def is_open(self) -> bool:
        """Whether the connection can carry another request."""
        return (
            self.is_reusable
            and self._transport is not None
            and not self._transport.is_closing()
        )

    async def exchange(
        self,
        request: bytes | list[bytes | bytearray],
        accept: ResponseFilter,
        is_head: bool = False,
        on_progress: ProgressCallback | None = None,
        claim: Claim | None = None,
        offer: StreamOffer | None = None,
    ) -> ExchangeResult:
        """Send a request and wait for its response.

        A cancelled exchange closes the connection. A response that is passed on while it
        is received is returned with its stream when it is complete.

        Args:
            request: The encoded request, whole or in pieces.
            accept: Returns whether a response belongs to the request.
            is_head: Whether the method is HEAD, whose response has no body.
            on_progress: Called whenever bytes have arrived.
            claim: Memory of the response, which gets it; reading pauses while there is
                none. ``None`` for a response that is not counted.
            offer: Called when a long response may be passed on while it is received,
                until it returns True; ``None`` to receive any response whole.
        """
        self.pauses = ReadingPauses.begin(self._loop.time())
        if self._transport is None or self._transport.is_closing():
            return ExchangeFailure.CLOSED
        result: asyncio.Future[ExchangeResult] = (
            asyncio.get_running_loop().create_future()
        )
        pending = _PendingResponse(accept, is_head, result, on_progress, claim, offer)
        self._pending = pending
        self._received_bytes = self._head_bytes = 0
        self.fault = ""
        pieces = request if isinstance(request, list) else [request]
        self.exchanged_bytes = write_pieces(self._transport, pieces)
        try:
            return await result
        finally:
            self._pending = None
            if pending.stream is not None:
                pending.stream.break_off()
            self._resume_reading()
            # Unsent bytes would reach the server in front of the next request.
            is_sent = self._transport.get_write_buffer_size() == 0
            if not result.done() or result.cancelled() or not is_sent:
                self.close()

    def close(self) -> None:
        """Reset the connection, so that the server can cancel the request."""
        self.is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and disable Nagle's algorithm."""
        self._transport = cast("asyncio.Transport", transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which all connections share."""
        pending = self._pending
        if pending is None or pending.claim is None or pending.stream is not None:
            return _RECEIVED
        room_bytes = pending.claim.size_bytes - self._held_bytes(pending)
        return _RECEIVED[: max(room_bytes, MIN_READ_BYTES)]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read into the buffer; the parser keeps copies only."""
        self.data_received(_RECEIVED[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse received bytes; unexpected ones close the connection."""
        if self._pending is None:
            self.close()
            return
        self.pauses.record_read(self._loop.time())
        self.exchanged_bytes += len(data)
        self._received_bytes += len(data)
        if self._pending.on_progress is not None:
            self._pending.on_progress()
        if self._received_bytes > MAX_RESPONSE_BYTES:
            # Heads, chunk extensions and trailers count too: the parser buffers them.
            self._fail(ExchangeFailure.TOO_LARGE)
            return
        while data:
            piece, data = self._take_piece(data)
            if not piece:
                self._fail(ExchangeFailure.TOO_LARGE)
                return
            try:
                self._parser.feed_data(piece)
            except httptools.HttpParserUpgrade:
                # The head is refused before, as no request asks for another protocol.
                return
            except httptools.HttpParserError as error:
                # No effect on an exchange that a callback has failed.
                self._refuse(str(error))
                return
        self._pass_on()
        self._claim_received()

    def _pass_on(self) -> None:
        """Pass on what has come of a long response, or offer to."""
        pending = self._pending
        if pending is None or pending.result.done():
            return
        if pending.stream is not None:
            pending.stream.flush()
            return
        size_bytes = self._stated_bytes or 0
        rest_bytes = size_bytes - self._body.size_bytes
        if (
            pending.offer is None
            or size_bytes <= HOLD_BYTES
            or self._body.size_bytes < FIRST_BYTES
            # It will turn out to be too large: the caller had better get none of it.
            or self._received_bytes + rest_bytes > MAX_RESPONSE_BYTES
        ):
            return
        stream = AnswerStream(size_bytes, pending.claim)
        status = self._parser.get_status_code()
        head = Response(status, self._headers, claim=pending.claim, stream=stream)
        if pending.accept(head) and pending.offer(head):
            pending.stream = stream
            stream.begin(self, self._body)
            self._body = Body()
            stream.flush()

    def _claim_received(self) -> None:
        """Claim room for the next read; stop to read while there is none."""
        pending = self._pending
        if pending is None or pending.claim is None:
            return
        claim, held_bytes = pending.claim, self._held_bytes(pending)
        if pending.result.done():
            # The bytes are here, and go to the caller.
            claim.force_to(held_bytes)
        elif not self._claim_next_read(pending, claim):
            claim.force_to(max(held_bytes, claim.size_bytes))
            self._pause_reading()

    def _claim_next_read(self, pending: _PendingResponse, claim: Claim) -> bool:
        """Claim what is held and what the next read may bring; tell if there was room.

        What is held of an answer that the caller takes has a bound of its own.
        """
        size_bytes = self._held_bytes(pending)
        if pending.stream is None and claim.size_bytes - size_bytes < MIN_READ_BYTES:
            size_bytes += ANSWER_BYTES
        return claim.grow_to(size_bytes, self._loop.time())

    def _held_bytes(self, pending: _PendingResponse) -> int:
        if pending.stream is not None:
            return pending.stream.claimed_bytes
        return self._received_bytes + FIELD_BYTES * len(self._headers)

    def hold_back(self, is_held_back: bool) -> None:
        """Stop to read from the upstream while the caller is slower, or read on."""
        self._is_held_back = is_held_back
        self._update_reading()

    def _pause_reading(self) -> None:
        if self._room_timer is None:
            self._await_room()
            self._update_reading()

    def _await_room(self) -> None:
        self._room_timer = self._loop.call_later(ROOM_RETRY_S, self._read_if_room)

    def _read_if_room(self) -> None:
        self._room_timer = None
        pending = self._pending
        claim = pending.claim if pending is not None else None
        if pending is None or claim is None:
            has_room = True
        elif pending.stream is not None:
            has_room = claim.has_room(ANSWER_BYTES, self._loop.time())
        else:
            has_room = self._claim_next_read(pending, claim)
        if has_room:
            self._update_reading()
        else:
            self._await_room()

    def _resume_reading(self) -> None:
        if self._room_timer is not None:
            self._room_timer.cancel()
            self._room_timer = None
        self._is_held_back = False
        self._update_reading()

    def _update_reading(self) -> None:
        is_paused = self._is_held_back or self._room_timer is not None
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if is_paused == self.pauses.is_paused:
            return
        if is_paused:
            self.pauses.pause(self._loop.time())
            transport.pause_reading()
        else:
            self.pauses.resume(self._loop.time())
            transport.resume_reading()

    def _take_piece(
        self, data: bytes | memoryview
    ) -> tuple[bytes | memoryview, bytes | memoryview]:
        """Split off the bytes to parse next; none if the head is too large.

        A read may hold the head and a long part of the body, which is not limited as
        heads are.
        """
        if self._has_final_head:
            return data, b""
        room = MAX_RESPONSE_HEAD_BYTES - self._head_bytes
        piece = data[:room]
        self._head_bytes += len(piece)
        return piece, data[room:]

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the connection."""
        self.is_reusable = False
        if self._is_close_delimited and self._has_headers and not self.vm:
            # The end of a tunnel does not tell whether the upstream ended the response.
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the current exchange."""
        self.is_reusable = False
        if self._room_timer is not None:
            self._room_timer.cancel()
        if self._pending is not None:
            failure = ExchangeFailure.CUT if self._has_begun else ExchangeFailure.CLOSED
            self._fail(failure)
        self._reset_response()
        # The parser and this object refer to each other.
        del self._parser

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Reset the state of the previous response."""
        if self._pending is None or self._pending.result.done():
            # An additional response behind the expected one belongs to no request.
            self.is_reusable = False
        self._reset_response()
        self._has_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are dropped."""
        if self._has_headers:
            return
        if len(self._headers) >= MAX_RESPONSE_FIELDS:
            self._fail(ExchangeFailure.TOO_LARGE)
            raise _TooManyFieldsError
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determine how the end of the response is marked."""
        self._has_headers = True
        status = self._parser.get_status_code()
        fault = find_head_fault(self._parser.get_http_version(), status, self._headers)
        if fault:
            self._refuse(fault)
            return
        names = {name for name, _ in self._headers}
        has_framing = b"content-length" in names or b"transfer-encoding" in names
        self._has_final_head = status >= 200
        if self._has_final_head:
            self._head_bytes = 0
            self._stated_bytes = stated_length(self._headers)
        self._is_close_delimited = (
            not has_framing and status >= 200 and status not in (204, 304)
        )
        pending = self._pending
        if pending is not None and pending.is_head and status >= 200:
            # The parser would wait for a body, which a response to HEAD lacks.
            self.is_reusable = False
            self._complete()

    def on_body(self, data: bytes) -> None:
        """Append a chunk of the body."""
        pending = self._pending
        if pending is None or pending.stream is None or pending.result.done():
            self._body.append(data)
        else:
            pending.stream.append(data)

    def on_message_complete(self) -> None:
        """Complete the response."""
        if self._is_close_delimited:
            # The parser can't tell a close from a reset; eof_received completes it.
            return
        self._complete()

    # Steps

    def _complete(self) -> None:
        pending = self._pending
        status = self._parser.get_status_code()
        if pending is None or pending.result.done():
            self.is_reusable = False
            return
        if status < 200:
            # An interim response; the final one follows.
            return
        keep_alive = self._parser.should_keep_alive() and not self._is_close_delimited
        response = Response(
            status,
            self._headers,
            self._body,
            claim=pending.claim,
            stream=pending.stream,
        )
        if not pending.accept(response):
            self.is_reusable = False
            pending.unmatched_count += 1
            if pending.unmatched_count >= MAX_UNMATCHED_RESPONSES or not keep_alive:
                self._refuse("answer to another request")
            self._has_begun = False
            return
        self.is_reusable = self.is_reusable and keep_alive
        self.keep_alive_s = keep_alive_timeout_s(response)
        # An idle connection holds no bytes of its last response.
        self._headers, self._body = [], Body()
        pending.result.set_result(response)
        if pending.stream is not None:
            pending.stream.complete()

    def _refuse(self, fault: str) -> None:
        """Fail the exchange, as the bytes are no valid response."""
        if self._pending is not None and not self._pending.result.done():
            self.fault = fault
        self._fail(ExchangeFailure.INVALID)

    def _fail(self, failure: ExchangeFailure) -> None:
        self.is_reusable = False
        if self._pending is not None and not self._pending.result.done():
            self._pending.result.set_result(failure)
        if self._transport is not None:
            self._transport.abort()
