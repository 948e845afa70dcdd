"""Requests of one caller connection are bounded and answered in order."""

from __future__ import annotations

import pytest
from conftest import wait_until
from forwarding.fake_transport import FakeTransport

from gentianfold.forwarding import caller_connection
from gentianfold.forwarding.caller_connection import MAX_PIPELINED, CallerConnection
from gentianfold.forwarding.messages import Response
from gentianfold.model import CallerLimits

pytestmark = pytest.mark.anyio


class Handler:
    """Keeps the reply functions of started requests."""

    def __init__(self):
        self.replies = []
        self.started = []
        self.cancelled = []
        self.cuts = []
        self.idle_timeout_s = 15.0
        self.header_timeout_s = 3.0

    def limits(self):
        return CallerLimits(
            header_timeout_s=self.header_timeout_s, idle_timeout_s=self.idle_timeout_s
        )

    def record_cut(self, count, cause):
        self.cuts.append((count, cause))

    def is_stopping(self):
        return False

    def start(self, request, reply):
        self.started.append(request.target)
        self.replies.append(reply)
        return lambda: self.cancelled.append(request.target)


async def test_one_chunk_starts_no_more_requests_than_may_run_at_once():
    handler = Handler()
    connection = CallerConnection(handler, set())
    transport = FakeTransport()
    connection.connection_made(transport)
    count = 3 * MAX_PIPELINED
    targets = [b"/%d" % number for number in range(count)]
    connection.data_received(
        b"".join(b"GET %b HTTP/1.1\r\nhost: a\r\n\r\n" % row for row in targets)
    )
    assert len(handler.started) == MAX_PIPELINED
    for number in range(count):
        assert len(handler.started) <= number + MAX_PIPELINED
        handler.replies[number](Response(200, [], targets[number]))
    assert handler.started == targets
    bodies = [part.rpartition(b"\r\n\r\n")[2] for part in transport.written]
    assert bodies == targets
    assert not transport.is_paused
    connection.connection_lost(None)


async def test_answers_that_have_not_left_count_as_under_way():
    handler = Handler()
    connection = CallerConnection(handler, set())
    transport = FakeTransport()
    connection.connection_made(transport)
    request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
    # The caller sends requests and reads no answer.
    transport.is_stuck = True
    for number in range(MAX_PIPELINED):
        assert not transport.is_paused
        connection.data_received(request)
        handler.replies[number](Response(200, [], b"answer"))
    assert transport.is_paused and connection.unsent_count == MAX_PIPELINED
    assert not connection.is_awaiting
    transport.is_stuck = False
    connection.resume_writing()
    assert not transport.is_paused and connection.unsent_count == 0
    connection.connection_lost(None)


async def test_the_end_of_a_caller_that_still_receives_cancels_its_other_requests():
    handler = Handler()
    connection = CallerConnection(handler, set())
    transport = FakeTransport()
    connection.connection_made(transport)
    transport.is_stuck = True
    connection.data_received(b"GET /0 HTTP/1.1\r\nhost: a\r\n\r\n" * 2)
    handler.replies[0](Response(200, [], b"answer"))
    connection.eof_received()
    assert handler.cancelled == [b"/0"]
    connection.connection_lost(None)
    assert handler.cancelled == [b"/0"] and handler.cuts == [(1, "caller")]


async def test_a_caller_that_receives_nothing_for_the_idle_timeout_is_cut(monkeypatch):
    monkeypatch.setattr(caller_connection, "MIN_STALL_TIMEOUT_S", 0.0)
    handler = Handler()
    handler.idle_timeout_s = 0.01
    connection = CallerConnection(handler, set())
    transport = FakeTransport()
    connection.connection_made(transport)
    transport.is_stuck = True
    connection.data_received(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
    handler.replies[0](Response(200, [], b"answer"))
    await wait_until(lambda: transport.is_aborted)
    connection.connection_lost(None)
    assert handler.cuts == [(1, "stalled")]


async def test_a_connection_ends_behind_its_last_answer_and_an_idle_one_at_once():
    request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
    for has_request in (False, True):
        handler = Handler()
        connection = CallerConnection(handler, set())
        transport = FakeTransport()
        connection.connection_made(transport)
        if has_request:
            connection.data_received(request)
            connection.close_if_idle()
            assert not transport.is_half_closed
            handler.replies[0](Response(200, [], b"answer"))
            # What crosses the end is discarded.
            connection.data_received(b"\0 no request")
        else:
            connection.close_if_idle()
        assert transport.is_half_closed == has_request
        assert transport.is_aborted == (not has_request)
        assert len(transport.written) == has_request
        connection.connection_lost(None)
