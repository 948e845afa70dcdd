"""Requests of one caller connection are bounded and answered in order."""

from __future__ import annotations

import pytest
from forwarding.fake_transport import FakeTransport

from gentianfold.forwarding.caller_connection import MAX_PIPELINED, CallerConnection
from gentianfold.forwarding.messages import Response
from gentianfold.model import CallerLimits

pytestmark = pytest.mark.anyio


class Handler:
    """Keeps the reply functions of started requests."""

    def __init__(self):
        self.replies = []
        self.started = []

    def limits(self):
        return CallerLimits()

    def is_stopping(self):
        return False

    def start(self, request, reply):
        self.started.append(request.target)
        self.replies.append(reply)
        return lambda: None


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
