"""The work for a queue of requests is not repeated for each event."""

from __future__ import annotations

from placement.model import make_request, make_scheduler

from gentianfold.placement.choice import Chooser
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import Granted, Queued


def test_a_released_slot_costs_one_choice_however_long_the_queue(monkeypatch):
    # Each release tried to place all waiting requests: a broker fell silent in a crowd.
    choices = []
    choose = Chooser.choose

    def counted(chooser, *args):
        choices.append(1)
        return choose(chooser, *args)

    monkeypatch.setattr(Chooser, "choose", counted)
    scheduler = make_scheduler(upstream_count=20, slots=3)
    scheduler.elapsed.record("desk", "r", 0.2)
    decisions = [
        scheduler.request_slot(
            make_request(number, time_left_s=60.0, target_left_s=30.0), 10.0
        )
        for number in range(300)
    ]
    assert [type(decision) for decision in decisions[:60]] == [Granted] * 60
    assert all(isinstance(decision, Queued) for decision in decisions[60:])
    for number in range(50):
        choices.clear()
        scheduler.release(("vm", number), Outcome.SUCCEEDED, 0.2, 10.5)
        granted = list(scheduler.advance(10.5))
        assert len(granted) == 1
        assert len(choices) == 1
    choices.clear()
    assert list(scheduler.advance(10.6)) == []
    assert not choices
