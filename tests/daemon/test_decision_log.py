"""Decisions are kept in order, bounded, and written once."""

from __future__ import annotations

from loguru import logger

from gentianfold.daemon import decision_log
from gentianfold.daemon.decision import Decision
from gentianfold.daemon.decision_log import DecisionLog


def test_lines_are_written_once_and_numbered(monkeypatch):
    monkeypatch.setattr(decision_log, "MAX_DECISIONS", 5)
    written: list[str] = []
    logger.remove()
    sink = logger.add(written.append, format="{message}")
    log = DecisionLog()
    for number in range(3):
        log.add(Decision(f"r{number}", "place", "{braces} stay"))
    log.flush()
    log.flush()
    text = "".join(written)
    assert text.count("decide: request=") == 3
    assert 'reason="{braces} stay"' in text
    for number in range(3, 12):
        log.add(Decision(f"r{number}", "place", "later"))
    log.flush()
    logger.remove(sink)
    assert log.lost == 4
    assert [seq for seq, _ in log.after(0)] == [8, 9, 10, 11, 12]
    assert [seq for seq, _ in log.after(10, limit=1)] == [11]
    assert log.after(12) == []
