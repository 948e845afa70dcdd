"""The four measures are put into one table and a plot."""

from __future__ import annotations

import pytest

from gentianfold.reports import measures
from gentianfold.reports.measures import (
    POLICIES,
    Measures,
    Policy,
    format_table,
    measure,
    plot,
)


def test_rows_show_what_was_not_detected(tmp_path):
    rows = [
        Measures("a", (0.5, None, 1.5), 0, 1.0, "stall", 0, 100),
        Measures("b", (None,), 3, 0.25, "stall", 40, 100),
    ]
    first, second = format_table(rows).splitlines()[2:]
    assert first == "| a | 1.00 / 1.50 | 1 of 3 | 0 | 1.000 (stall) | 0 of 100 |"
    assert second == "| b | - | 1 of 1 | 3 | 0.250 (stall) | 40 of 100 |"
    plot(rows, tmp_path / "measures.png")
    assert (tmp_path / "measures.png").read_bytes().startswith(b"\x89PNG")


def test_the_simple_policy_is_worse_than_the_product_must_be(monkeypatch):
    monkeypatch.setattr(measures, "SITE_NAMES", ("registry",))
    monkeypatch.setattr(measures, "MODES", (1,))
    monkeypatch.setattr(measures, "NOISE_S", 5.0)
    monkeypatch.setattr(measures, "LIMIT_CASES", ("steady",))
    alone = next(policy for policy in POLICIES if policy.limits)
    row = measure(alone, [1])
    assert row.worst_served < 0.99 and row.refused_count > 0
    again = measure(Policy(alone.name, alone.placer, alone.limits), [1])
    assert again == row


@pytest.mark.parametrize("name", measures.LIMIT_CASES)
def test_the_cases_exist(name):
    assert name in {case.name for case in measures.CASES}
