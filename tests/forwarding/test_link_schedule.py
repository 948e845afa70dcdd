"""Short answers don't wait behind long ones on the VM's link."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from conftest import wait_until
from forwarding.fake_transport import FakeTransport
from forwarding.test_caller_connection import Handler

from gentianfold.forwarding.caller_connection import CallerConnection
from gentianfold.forwarding.link_pacer import LinkPacer
from gentianfold.forwarding.link_schedule import (
    LINK_FRACTION,
    MAX_PIECE_BYTES,
    MIN_PIECE_BYTES,
    LinkSchedule,
)
from gentianfold.forwarding.messages import Response

LONG_BYTES = 540_000


class LongAnswer:
    """Writes pieces to a link that sends what it got first."""

    def __init__(self, name, link, rest=LONG_BYTES):
        self.name, self.link, self.rest = name, link, rest

    def continue_answer(self):
        while self.rest and self.link.schedule.take_turn(self, self.link.now_s):
            piece = min(self.link.schedule.piece_bytes, self.rest)
            self.rest -= piece
            self.link.write(self.name, piece)


class Link:
    """A queue in order of arrival, and the time at which each byte has left."""

    def __init__(self, mbps):
        self.schedule = LinkSchedule(mbps)
        self.bytes_per_s = mbps * 125_000
        self.now_s = self.free_s = 0.0
        self.written = Counter()

    def write(self, name, size):
        """Return after which time the last byte has left (seconds)."""
        self.schedule.record(size, self.now_s)
        self.written[name] += size
        self.free_s = max(self.free_s, self.now_s) + size / self.bytes_per_s
        return self.free_s - self.now_s

    def advance(self, step_s):
        self.now_s += step_s
        while (user := self.schedule.next_user(self.now_s)) is not None:
            user.continue_answer()


@pytest.mark.parametrize("mbps", [5, 10, 100])
def test_the_load_short_answers_beside_twelve_long_ones(mbps):
    # Written at once, a short answer waited for 12 x 540 KB: 10 s at 5 Mbit/s.
    link = Link(mbps)
    answers = [LongAnswer(f"long{number}", link) for number in range(12)]
    for answer in answers:
        answer.continue_answer()
    worst_s = 0.0
    while any(answer.rest for answer in answers):
        link.advance(0.002)
        if link.now_s % 0.05 < 0.002:
            worst_s = max(worst_s, link.write("short", 400))
            long = [link.written[answer.name] for answer in answers if answer.rest]
            # They take turns, none is left behind.
            assert not long or max(long) - min(long) <= 3 * link.schedule.piece_bytes
    own_s = (link.schedule.piece_bytes + 400) / link.bytes_per_s
    assert worst_s < own_s + 0.015
    # The link is used nevertheless.
    assert sum(link.written.values()) > 0.95 * LINK_FRACTION * link.bytes_per_s * (
        link.now_s
    )


@pytest.mark.parametrize("mbps", [5, 100])
def test_bytes_that_callers_dont_take_starve_no_long_answer(mbps):
    # Forty callers had stalled amid 128 KiB: nothing long left for 9 s at 5 Mbit/s.
    link = Link(mbps)
    for _ in range(40):
        link.schedule.record(128 << 10, 0.0)
    answers = [LongAnswer(f"long{number}", link) for number in range(2)]
    for answer in answers:
        answer.continue_answer()
    while any(answer.rest for answer in answers):
        link.advance(0.002)
        assert link.now_s < 7.5, link.written


def test_short_answers_that_fill_the_link_leave_a_part_to_long_ones():
    link = Link(10)
    answers = [LongAnswer(f"long{number}", link) for number in range(3)]
    for answer in answers:
        answer.continue_answer()
    for _ in range(2000):
        link.advance(0.002)
        link.write("short", 2500)
    assert min(link.written[answer.name] for answer in answers) > 200_000
    # A tenth of a second at the most between two pieces, so not much more either.
    long_bytes = sum(link.written[answer.name] for answer in answers)
    assert long_bytes < 0.2 * link.bytes_per_s * link.now_s


def test_pieces_grow_with_the_link():
    sizes = [LinkSchedule(mbps).piece_bytes for mbps in (5, 10, 40, 100, 1000)]
    assert sizes == sorted(sizes)
    assert (sizes[0], sizes[-1]) == (MIN_PIECE_BYTES, MAX_PIECE_BYTES)


def test_the_use_of_the_link_fades():
    schedule = LinkSchedule(10)
    for number in range(1000):
        schedule.record(1000, number / 250)
    assert 1.8 < schedule.used_mbps(4.0) < 2.1
    assert schedule.used_mbps(8.0) < 0.05


@pytest.mark.anyio
async def test_one_that_waits_is_woken_in_its_turn():
    pacer = LinkPacer(LinkSchedule(5))
    woken = []

    class User:
        def continue_answer(self):
            assert pacer.take_turn(self)
            woken.append(asyncio.get_running_loop().time())

    pacer.record(30_000)
    users = User(), User()
    assert not any(map(pacer.take_turn, users))
    await wait_until(lambda: len(woken) == 2)
    assert not pacer.schedule.is_waited_for


@pytest.mark.anyio
async def test_one_that_waits_for_its_turn_has_not_stalled():
    # Callers who took all that they got were ended for the room of others.
    handler, pacer = Handler(), LinkPacer(LinkSchedule(10))
    connection = CallerConnection(handler, set(), link=pacer)
    transport = FakeTransport()
    connection.connection_made(transport)
    connection.data_received(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
    handler.replies[0](Response(200, [], bytes(200_000)))
    await asyncio.sleep(0)
    now_s = asyncio.get_running_loop().time()
    assert pacer.schedule.is_waited_for
    assert connection.stalled_since_s(now_s) is None
    assert connection.stalled_since_s(now_s + 10) is None
    # A caller that doesn't take what it got has.
    transport.is_stuck = True
    await wait_until(lambda: not pacer.schedule.is_waited_for)
    assert connection.stalled_since_s(now_s + 20) is None
    assert connection.stalled_since_s(now_s + 30) is not None


@pytest.mark.anyio
async def test_a_short_answer_to_another_caller_passes_a_long_one():
    handler, pacer = Handler(), LinkPacer(LinkSchedule(10))
    transports = FakeTransport(), FakeTransport()
    for transport in transports:
        connection = CallerConnection(handler, set(), link=pacer)
        connection.connection_made(transport)
        connection.data_received(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
    long, short = transports
    handler.replies[0](Response(200, [], bytes(200_000)))
    await asyncio.sleep(0)
    assert sum(map(len, long.written)) < 100_000
    handler.replies[1](Response(200, [], b"short"))
    assert short.written[0].endswith(b"short")
    await wait_until(lambda: sum(map(len, long.written)) > 200_000)
    assert max(map(len, long.written)) == MIN_PIECE_BYTES
