"""Estimated waits are corrected by those that were seen."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from gentianfold.placement.wait_table import MAX_FACTOR, WaitTable

WAIT_CLASS = ("desk", 1, False, 0)


def test_waits_that_take_longer_raise_the_estimate_and_shorter_ones_lower_it():
    table = WaitTable()
    for _ in range(30):
        table.record(WAIT_CLASS, 0.1, 0.4, 1.0)
    assert table.factor(WAIT_CLASS, 1.0) > 2.5
    for _ in range(60):
        table.record(WAIT_CLASS, 0.1, 0.1, 1.0)
    assert table.factor(WAIT_CLASS, 1.0) < 1.2


def test_a_rank_without_news_is_tried_again():
    table = WaitTable()
    for _ in range(50):
        table.record(WAIT_CLASS, 0.02, 1.0, 1.0)
    assert table.factor(WAIT_CLASS, 30.0) < 1.1
    assert table.factor(("desk", 0, False, 0), 1.0) == 1.0


@given(st.lists(st.tuples(st.floats(0, 10), st.floats(0, 10), st.floats(0, 5))))
def test_the_factor_stays_within_its_bounds(waits):
    table, now_s = WaitTable(), 0.0
    for estimated_s, waited_s, pause_s in waits:
        now_s += pause_s
        table.record(WAIT_CLASS, estimated_s, waited_s, now_s)
        assert 1.0 <= table.factor(WAIT_CLASS, now_s) <= MAX_FACTOR
