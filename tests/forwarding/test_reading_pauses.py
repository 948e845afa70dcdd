"""A pause of reading is neither the upstream's delay nor an excuse for a silent one."""

from __future__ import annotations

import anyio
import pytest
from forwarding.test_upstream_connection import open_connection

from gentianfold.forwarding.reading_pauses import ReadingPauses
from gentianfold.forwarding.upstream_connection import ExchangeFailure


def test_the_time_of_all_pauses_is_known_also_amid_one():
    pauses = ReadingPauses.begin(10.0)
    pauses.pause(11.0)
    pauses.resume(11.5)
    assert pauses.total_s(20.0) == 0.5
    pauses.pause(20.0)
    assert pauses.is_paused and pauses.total_s(21.0) == 1.5


def test_an_answer_that_is_late_by_less_than_the_pauses_may_be_late_for_them():
    pauses = ReadingPauses.begin(0.0)
    pauses.pause(1.0)
    assert pauses.may_be_cause(1.5)
    pauses.resume(1.5)
    assert pauses.may_be_cause(1.9)
    pauses.record_read(1.9)
    assert pauses.may_be_cause(2.3)


def test_an_upstream_that_is_silent_for_longer_than_all_pauses_is_late_itself():
    # It hung behind the first 128 KiB; a caller had been slower for a moment.
    pauses = ReadingPauses.begin(0.0)
    pauses.pause(1.0)
    pauses.resume(1.2)
    pauses.record_read(1.3)
    assert not pauses.may_be_cause(1.6)
    assert not ReadingPauses.begin(0.0).may_be_cause(0.0)


@pytest.mark.anyio
async def test_an_exchange_knows_no_pauses_of_the_one_before():
    connection = open_connection()
    connection.hold_back(True)
    await anyio.sleep(0.01)
    connection.hold_back(False)
    connection.close()
    assert await connection.exchange(b"", bool) is ExchangeFailure.CLOSED
    assert connection.pauses.total_s(anyio.current_time()) == 0
