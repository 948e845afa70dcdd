"""Which answers are passed on in pieces, and how long a slow caller holds one back."""

from __future__ import annotations

import pytest

from gentianfold.forwarding.long_answer import (
    HOLD_BYTES,
    MAX_PAUSE_S,
    RESUME_BYTES,
    Backpressure,
    may_pass_on,
    stated_length,
)
from gentianfold.forwarding.messages import Response
from gentianfold.platform.headers import HEADERS

SEALED = [(HEADERS.seal, b"s")]
LINKS_BYTES_PER_S = {"caller": 625_000, "upstream": 12_500_000}


@pytest.mark.parametrize(
    ("status", "headers", "is_passed_on"),
    [
        (200, SEALED, True),
        (200, [], False),
        (200, [*SEALED, (b"content-encoding", b"gzip")], False),
        (200, [*SEALED, (HEADERS.not_run, b"1")], False),
        *((status, SEALED, False) for status in (304, 404, 421, 429, 500, 503, 504)),
    ],
)
def test_only_a_sealed_success_leaves_before_it_is_whole(status, headers, is_passed_on):
    assert may_pass_on(Response(status, headers), HEADERS) == is_passed_on


@pytest.mark.parametrize(
    ("headers", "length"),
    [
        ([(b"content-length", b"540000")], 540_000),
        ([], None),
        ([(b"content-length", b"+5")], None),
        ([(b"content-length", b"5"), (b"content-length", b"5")], None),
        ([(b"content-length", b"5"), (b"transfer-encoding", b"chunked")], None),
    ],
)
def test_the_stated_length(headers, length):
    assert stated_length(headers) == length


def test_an_upstream_is_held_back_until_its_caller_has_caught_up():
    pressure = Backpressure()
    assert not pressure.update(HOLD_BYTES - 1, 0.0)
    assert pressure.update(HOLD_BYTES, 1.0)
    assert pressure.update(RESUME_BYTES + 1, 1.25)
    assert not pressure.update(RESUME_BYTES, 1.375)
    assert pressure.paused_s(9.0) == 0.375
    assert pressure.update(HOLD_BYTES, 2.0) and pressure.left_s(2.0) == 0.125


def test_a_caller_that_takes_nothing_holds_back_its_upstream_for_a_bounded_time():
    pressure = Backpressure()
    assert pressure.update(HOLD_BYTES, 0.0)
    assert not pressure.update(HOLD_BYTES, MAX_PAUSE_S)
    assert not pressure.update(4 * HOLD_BYTES, 7.0)
    assert pressure.paused_s(9.0) == MAX_PAUSE_S


def test_the_load_540_kb_on_a_narrow_link_are_held_in_part():
    # A caller on 5 Mbit/s, an upstream on 100 Mbit/s, in steps of a millisecond.
    pressure, step_s, size_bytes = Backpressure(), 0.001, 540_000
    received = sent = peak = now_s = 0.0
    while sent < size_bytes:
        now_s += step_s
        if not pressure.update(int(received - sent), now_s):
            received += LINKS_BYTES_PER_S["upstream"] * step_s
            received = min(received, size_bytes)
        sent = min(sent + LINKS_BYTES_PER_S["caller"] * step_s, received)
        peak = max(peak, received - sent)
        if received == size_bytes:
            pressure.end(now_s)
    assert pressure.paused_s(now_s) < MAX_PAUSE_S + 2 * step_s
    # It was held whole; now only what is left when the longest pause has ended.
    assert HOLD_BYTES <= peak < 0.4 * size_bytes
