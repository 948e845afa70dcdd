"""Tests that estimated waits are corrected by measured waits."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from gentianfold.placement.wait_table import MAX_FACTOR, WaitTable

WAIT_CLASS = ("desk", 1, False, 0)


def test_long_waits_raise_the_factor_and_short_waits_lower_it():
    table = WaitTable()
    for _ in range(30):
        table.record(WAIT_CLASS, 0.1, 0.4, 1.0)
    assert table.factor(WAIT_CLASS, 1.0) > 2.5
    for _ in range(60):
        table.record(WAIT_CLASS, 0.1, 0.1, 1.0)
    assert table.factor(WAIT_CLASS, 1.0) < 1.2


def test_factor_decays_to_one_without_measurements():
    table = WaitTable()
    for _ in range(50):
        table.record(WAIT_CLASS, 0.02, 1.0, 1.0)
    assert table.factor(WAIT_CLASS, 30.0) < 1.1
    assert table.factor(("desk", 0, False, 0), 1.0) == 1.0


@given(st.lists(st.tuples(st.floats(0, 10), st.floats(0, 10), st.floats(0, 5))))
def test_factor_stays_within_its_bounds(waits):
    table, now_s = WaitTable(), 0.0
    for estimated_s, waited_s, pause_s in waits:
        now_s += pause_s
        table.record(WAIT_CLASS, estimated_s, waited_s, now_s)
        assert 1.0 <= table.factor(WAIT_CLASS, now_s) <= MAX_FACTOR
