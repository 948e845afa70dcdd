"""One connection of a caller: parses requests and writes responses in order."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import TYPE_CHECKING, cast

import httptools

from gentianfold.codes.requests import (
    HEADERS_TOO_LARGE,
    REQUEST_MALFORMED,
    REQUEST_TIMEOUT,
)
from gentianfold.errors import Failure
from gentianfold.forwarding.incoming_request import (
    IncomingRequest,
    memory_failure,
    split_to_parse,
)
from gentianfold.forwarding.memory_budget import (
    CONNECTION_BYTES,
    ROOM_RETRY_S,
    ROOM_WAIT_S,
    Claim,
    MemoryBudget,
    Use,
)
from gentianfold.forwarding.messages import CallerRequest, Response
from gentianfold.forwarding.pausable_reading import PausableReading
from gentianfold.forwarding.response_writer import PendingResponse, ResponseWriter

if TYPE_CHECKING:
    from gentianfold.forwarding.caller_handler import RequestHandler
    from gentianfold.forwarding.hangup_watcher import HangupWatcher
    from gentianfold.forwarding.link_pacer import LinkPacer
    from gentianfold.forwarding.memory_budget import ConnectionLimit

MAX_PIPELINED = 16
"""Requests of one connection whose answers have not left the process (count); at this
number reading pauses, and further requests stay in the socket buffer."""
MIN_STALL_TIMEOUT_S = 15.0
"""Shortest time without a byte received after which a caller is cut (seconds): a link may
be cut for some seconds while the operators allow short idle times only."""


class CallerConnection(asyncio.Protocol):
    """Parses requests, writes responses in order, cancels on disconnection.

    Implements ``Holder``.
    """

    def __init__(
        self,
        handler: RequestHandler,
        open_connections: set[CallerConnection],
        hangups: HangupWatcher | None = None,
        memory: MemoryBudget | None = None,
        limit: ConnectionLimit | None = None,
        link: LinkPacer | None = None,
    ) -> None:
        """Handle a connection that is about to be made.

        Args:
            handler: Answers the requests.
            open_connections: Holds the connection while it is open.
            hangups: Notices the end of the caller while it is not read; without it, the
                end is noticed when reading goes on.
            memory: Memory of the process; ``None`` for no limit.
            limit: Limit on the connections of callers; ``None`` for none.
            link: Gives long answers their turns on the link; ``None`` if it is wide.
        """
        self._handler = handler
        self._open_connections = open_connections
        self._hangups = hangups
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._writer: ResponseWriter | None = None
        self._backlog: deque[tuple[CallerRequest, PendingResponse]] = deque()
        self._is_closing = False
        self._cut_cause = "caller"
        self._reading: PausableReading | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._incoming: IncomingRequest | None = None
        self._head_bytes = 0
        self._parser = httptools.HttpRequestParser(self)
        self._memory = memory or MemoryBudget.unlimited()
        self._limit = limit
        self._link = link
        self._claim = Claim(self._memory, Use.REQUEST)
        self._unread_claim = Claim(self._memory, Use.REQUEST)
        self._room_timer: asyncio.TimerHandle | None = None
        self._room_until_s = 0.0
        self._idle_since_s = self._loop.time()

    # State of the connection

    @property
    def is_awaiting(self) -> bool:
        """Whether a request is being read or its response is not known."""
        waiting_count = self._writer.waiting_count if self._writer is not None else 0
        return self._incoming is not None or waiting_count > 0

    @property
    def unsent_count(self) -> int:
        """Number of answers that were written and have not left the process."""
        return self._writer.unsent_count if self._writer is not None else 0

    def close_if_idle(self) -> None:
        """End the connection unless a request is being read or awaits its response."""
        if not self.is_awaiting:
            self.finish(lingers=False)

    def finish(self, lingers: bool = True) -> None:
        """End the connection behind what was written; discard what is received.

        Args:
            lingers: Whether an answer has been written just now.
        """
        self._stop_parsing()
        self._idle_since_s = self._loop.time()
        if self._timer is not None:
            self._timer.cancel()
        self._cancel_pending()
        if self._writer is not None:
            self._writer.finish(lingers)
            self._resume_reading()

    def cut(self, cause: str) -> None:
        """Reset the connection; answers that have not left are lost."""
        if self._transport is not None:
            self._cut_cause = cause
            self._transport.abort()

    # Holder

    def idle_since_s(self) -> float | None:
        """Return since when nothing is read, answered or sent; ``None`` if it is."""
        return None if self.is_awaiting or self.unsent_count else self._idle_since_s

    def stalled_since_s(self, now_s: float) -> float | None:
        """Return since when the caller reads or sends too slowly; ``None`` if not."""
        if self._writer is None:
            return None
        if self._writer.is_sending:
            return self._writer.stalled_since_s(now_s)
        incoming = self._incoming
        if incoming is None or self._writer.waiting_count:
            return None
        return incoming.stalled_since_s(now_s)

    def end_for_room(self, at_once: bool) -> None:
        """End a request that has stalled, or the connection of one who doesn't read."""
        if at_once and self.idle_since_s() is not None and self._transport is not None:
            self._stop_parsing()
            self._transport.close()
        elif at_once or (self._writer is not None and self._writer.is_sending):
            self.cut("room")
            self._drop_all()
        else:
            self._reject(Failure(REQUEST_TIMEOUT, "it stalled while memory was short"))

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the idle timeout; refuse one too many."""
        self._transport = cast("asyncio.Transport", transport)
        now_s = self._loop.time()
        if (
            self._limit is not None and not self._limit.try_open(self, now_s)
        ) or not self._claim.grow_to(CONNECTION_BYTES, now_s):
            self._is_closing = True
            self._transport.abort()
            return
        self._memory.add_holder(self)
        self._writer = ResponseWriter(self._transport, self, self._link)
        self._reading = PausableReading(
            self._transport, self._unread_claim, self._hangups, self._handle_hangup
        )
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open_connections.add(self)
        self._restart_timer()

    def eof_received(self) -> bool:
        """Cancel the pending requests; answers that are complete are still sent."""
        self._cancel_pending()
        return self._finish_sending()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the pending requests."""
        self._open_connections.discard(self)
        self._memory.remove_holder(self)
        if self._limit is not None:
            self._limit.close(self)
        if self._reading is not None:
            self._reading.end()
        for timer in (self._timer, self._room_timer):
            if timer is not None:
                timer.cancel()
        self._stop_parsing()
        self._drop_all()
        self._claim.release()
        # The parser and this object refer to each other.
        del self._parser

    def _drop_all(self) -> None:
        self._cancel_pending()
        cut_count = self._writer.handle_lost() if self._writer is not None else 0
        if cut_count:
            self._handler.record_cut(cut_count, self._cut_cause)

    def resume_writing(self) -> None:
        """Go on, as all written answers have left."""
        if self._writer is not None:
            self._writer.handle_drained()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._is_closing:
            return
        now_s = self._loop.time()
        incoming = self._incoming
        if incoming is not None:
            incoming.progress.record(len(data), now_s)
        for part in split_to_parse(data, incoming):
            self._parse(part, now_s)
        incoming = self._incoming
        if incoming is not None and incoming.progress.is_too_slow(now_s):
            self._reject(Failure(REQUEST_TIMEOUT, "the body comes too slowly"))
        elif incoming is not None and incoming.is_held:
            self._await_room(now_s)
        self._restart_timer()

    def _parse(self, data: bytes | memoryview, now_s: float) -> None:
        """Parse bytes; check and claim what is held of an unfinished request."""
        if self._is_closing:
            return
        if self._incoming is None or not self._incoming.has_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is handled, the protocol upgrade is ignored.
            self._is_closing = True
        except httptools.HttpParserError:
            self._reject(Failure(REQUEST_MALFORMED))
        incoming, limits = self._incoming, self._handler.limits()
        failure = None
        if incoming is None:
            if self._head_bytes > 2 * limits.max_header_bytes:
                failure = Failure(HEADERS_TOO_LARGE)
        else:
            head_bytes = self._head_bytes
            failure = incoming.check_unfinished(head_bytes, len(data), limits, now_s)
        self._reject_if(failure)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Begin a request."""
        if self._is_closing:
            return
        now_s = self._loop.time()
        self._incoming = IncomingRequest(self._memory, now_s)
        self._reject_if(self._incoming.begin(now_s))

    def on_url(self, data: bytes) -> None:
        """Append a chunk of the request target."""
        if self._incoming is not None:
            self._incoming.add_target(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are dropped."""
        incoming = self._incoming
        if incoming is not None and not incoming.has_head:
            self._reject_if(incoming.add_header(name, value, self._handler.limits()))

    def on_headers_complete(self) -> None:
        """Validate the head before the body is read."""
        self._head_bytes = 0
        incoming = self._incoming
        if incoming is None or self._writer is None:
            return
        version, limits = self._parser.get_http_version(), self._handler.limits()
        failure = incoming.finish_head(version, limits, self._loop.time())
        if failure is not None:
            self._reject(failure)
        else:
            self._write_continue()

    def on_body(self, data: bytes) -> None:
        """Append a chunk of the body."""
        if self._incoming is not None:
            self._reject_if(self._incoming.add_body(data, self._handler.limits()))

    def on_message_complete(self) -> None:
        """Start to handle the complete request."""
        incoming = self._incoming
        if incoming is None or self._writer is None:
            return
        self._incoming, self._head_bytes = None, 0
        request = CallerRequest(
            self._parser.get_method(),
            incoming.target,
            incoming.headers,
            incoming.body,
            self._loop.time(),
            self._parser.should_keep_alive(),
            claims=incoming.claims,
        )
        pending = PendingResponse(request.method == b"HEAD", request.keep_alive)
        self._writer.add(pending)
        if self._writer.is_receiving or self._writer.under_way_count > MAX_PIPELINED:
            # Behind an answer that may break off, or read before reading paused.
            self._backlog.append((request, pending))
        else:
            self._start(request, pending)
        if self._writer.under_way_count >= MAX_PIPELINED:
            self._pause_reading()

    # WriterOwner

    def stall_timeout_s(self) -> float:
        """Return the time after which a caller that receives nothing has stalled."""
        return max(self._handler.limits().idle_timeout_s, MIN_STALL_TIMEOUT_S)

    def handle_sent(self) -> None:
        """Start delayed requests, read on or begin the idle timeout."""
        writer = self._writer
        if writer is None or not writer.can_write:
            return
        while self._backlog and not writer.is_receiving:
            if writer.under_way_count - len(self._backlog) >= MAX_PIPELINED:
                break
            self._start(*self._backlog.popleft())
        self._write_continue()
        if self._room_timer is None and writer.under_way_count < MAX_PIPELINED:
            self._resume_reading()
        self._restart_timer()

    def handle_written(self, close: bool) -> None:
        """Go on behind a long answer, or end the connection."""
        if close:
            self.finish()
        else:
            self._write_responses()

    def handle_broken_off(self) -> None:
        """End the connection: the length that was stated shows that bytes are missing."""
        self._handler.record_broken_off()
        self.finish()

    def handle_stalled(self) -> None:
        """Reset the connection of a caller that does not receive."""
        self.cut("stalled")

    # Steps

    def _start(self, request: CallerRequest, pending: PendingResponse) -> None:
        def reply(response: Response) -> None:
            pending.response = response
            pending.cancel = None
            self._write_responses()

        def pass_on(response: Response) -> bool:
            if self._writer is None or not self._writer.is_next(pending):
                return False
            pending.response = response
            self._write_responses()
            return True

        request.pass_on = pass_on
        pending.cancel = self._handler.start(request, reply)

    def _write_continue(self) -> None:
        """Ask for a body that the caller holds back, behind all earlier answers."""
        incoming, writer = self._incoming, self._writer
        if incoming is None or writer is None or not writer.is_free:
            return
        if incoming.take_continue(self._loop.time()):
            writer.write_bytes(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _pause_reading(self) -> None:
        if self._reading is not None:
            self._reading.pause()

    def _resume_reading(self) -> None:
        if self._reading is not None:
            self._reading.resume()

    def _handle_hangup(self) -> None:
        """Do what the transport does at the end of a connection that is read."""
        self._cancel_pending()
        if self._transport is not None and not self._finish_sending():
            self._transport.close()

    def _finish_sending(self) -> bool:
        """End the connection behind the rest of a complete answer; tell if there is one.

        The transport holds a part of it only, so it must stay open until then.
        """
        writer = self._writer
        if writer is None or not writer.has_rest:
            return False
        self.finish()
        return True

    def _cancel_pending(self) -> None:
        if self._writer is not None:
            self._writer.cancel_waiting()
        self._backlog.clear()

    def _await_room(self, now_s: float) -> None:
        """Stop to read a body without a stated length until there is memory for it."""
        if self._room_timer is None:
            self._room_until_s = now_s + ROOM_WAIT_S
            self._pause_reading()
            self._room_timer = self._loop.call_later(ROOM_RETRY_S, self._retry_room)

    def _retry_room(self) -> None:
        self._room_timer = None
        incoming, now_s = self._incoming, self._loop.time()
        if incoming is None or incoming.claim_more(now_s):
            self.handle_sent()
        elif now_s >= self._room_until_s:
            self._reject(memory_failure())
            self.handle_sent()
        else:
            # Not the caller's pause.
            incoming.progress.last_s = now_s
            self._room_timer = self._loop.call_later(ROOM_RETRY_S, self._retry_room)

    def _stop_parsing(self) -> None:
        """Discard what is being read and all that follows."""
        self._is_closing = True
        if self._incoming is not None:
            self._incoming.drop()
            self._incoming = None
            # The parser may hold a part of it.
            self._parser = httptools.HttpRequestParser(self)

    def _reject_if(self, failure: Failure | None) -> None:
        if failure is not None:
            self._reject(failure)

    def _reject(self, failure: Failure) -> None:
        """Queue an error response behind the pending ones and stop reading requests."""
        if self._is_closing or self._writer is None:
            return
        self._stop_parsing()
        self._writer.add(PendingResponse(False, False, self._handler.reject(failure)))
        self._write_responses()

    def _write_responses(self) -> None:
        writer = self._writer
        if writer is None or not writer.can_write:
            return
        while (pending := writer.take_ready()) is not None:
            response = cast("Response", pending.response)
            close = (
                not pending.keep_alive
                or response.ends_connection
                or (self._handler.is_stopping() and not writer.waiting_count)
                or (self._is_closing and not writer.waiting_count)
            )
            if not writer.write(pending, close):
                if close:
                    # The caller takes what it sent behind this answer as not read.
                    self._stop_parsing()
                return
            if close:
                self.finish()
                return
        self.handle_sent()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._writer is None or self._writer.under_way_count or self._is_closing:
            return
        limits, now_s = self._handler.limits(), self._loop.time()
        due_s = now_s + limits.idle_timeout_s
        if self._incoming is None:
            self._idle_since_s = now_s
        elif not self._incoming.has_head:
            due_s = self._incoming.progress.started_s + limits.header_timeout_s
        self._timer = self._loop.call_at(due_s, self._handle_timeout)

    def _handle_timeout(self) -> None:
        if self._writer is None or self._writer.under_way_count:
            return
        if self._incoming is not None:
            self._reject(Failure(REQUEST_TIMEOUT))
        else:
            self.finish(lingers=False)
