"""The work for one decision doesn't grow with the number of upstreams."""

from __future__ import annotations

import random

import attrs
import pytest
from placement.model import make_request, make_upstream

from gentianfold.placement.choice import Chooser
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import Granted
from gentianfold.placement.slot_scheduler import SlotScheduler
from gentianfold.placement.upstream_tracker import UpstreamTracker

ZONES = ("z1", "z2", "z3")


def make_large_scheduler(upstream_count, service_count=1):
    scheduler = SlotScheduler(chooser=Chooser(random=random.Random(1)))
    scheduler.replace_upstreams(
        [
            make_upstream(
                f"u{index}",
                4,
                zone=ZONES[index % 3],
                service=f"desk{index % service_count or ''}",
            )
            for index in range(upstream_count)
        ],
        0.0,
    )
    return scheduler


@attrs.define
class LoadRun:
    """Sends requests that hold their slots for a while, and counts looks at upstreams."""

    scheduler: SlotScheduler
    held: list = attrs.field(factory=list)
    now_s: float = 10.0
    number: int = 0

    def run(self, count, held_count, outcome=Outcome.SUCCEEDED):
        for _ in range(count):
            self.number += 1
            self.now_s += 0.001
            zone = ZONES[self.number % 3]
            request = make_request(
                self.number, idempotent=self.number % 5 < 3, zone=zone
            )
            if isinstance(self.scheduler.request_slot(request, self.now_s), Granted):
                self.held.append(self.number)
            if len(self.held) > held_count:
                key = ("vm", self.held.pop(0))
                self.scheduler.release(key, outcome, 0.2, self.now_s)
                list(self.scheduler.advance(self.now_s))
            if self.number % 50 == 0:
                self.scheduler.observe_running(self.now_s)


@pytest.fixture
def looks(monkeypatch):
    """Calls by which a decision looks at an upstream."""
    calls = []
    for name in ("has_free_slot", "slowness"):
        method = getattr(UpstreamTracker, name)

        def counted(tracker, now_s, method=method):
            calls.append(tracker)
            return method(tracker, now_s)

        monkeypatch.setattr(UpstreamTracker, name, counted)
    return calls


@pytest.mark.parametrize("upstream_count", (111, 1110))
def test_a_decision_looks_at_few_upstreams(looks, upstream_count):
    # Each looked at all of them: 86 us of 111 upstreams, 1.1 ms of 5,700.
    load = LoadRun(make_large_scheduler(upstream_count))
    load.run(400, held_count=200)
    looked = 0
    for _ in range(20):
        looks.clear()
        load.run(49 - load.number % 50, held_count=200)
        looked += len(looks)
        load.run(1, held_count=200)
    assert looked / (20 * 49) <= 120


def test_released_slots_of_suspects_do_not_cost_a_choice_for_each_request(monkeypatch):
    # While all upstreams of a service failed, each release tried the whole queue.
    choices = []
    choose = Chooser.choose

    def counted(chooser, *args):
        choices.append(1)
        return choose(chooser, *args)

    monkeypatch.setattr(Chooser, "choose", counted)
    scheduler = SlotScheduler(chooser=Chooser(random=random.Random(1)))
    scheduler.replace_upstreams([make_upstream(f"u{i}", 4) for i in range(20)], 0.0)
    decisions = [
        scheduler.request_slot(
            make_request(number, time_left_s=60.0, target_left_s=30.0), 10.0
        )
        for number in range(140)
    ]
    # One upstream is full and healthy; the others have failed and await their trials.
    for number, decision in enumerate(decisions[:80]):
        if decision.upstream.name != "u0":
            scheduler.release(("vm", number), Outcome.FAILED, 0.01, 10.1)
    choices.clear()
    for _ in range(10):
        assert list(scheduler.advance(10.12)) == []
    assert not choices


@pytest.mark.parametrize("service_count", (1, 260))
def test_the_ticks_of_a_second_look_a_few_times_at_each_of_many_upstreams(
    monkeypatch, service_count
):
    # Each tick sorted all upstreams: 3.5 ms of 5,700, a fourteenth of a core.
    looks = []
    recent_failures = UpstreamTracker.recent_failures

    def counted(tracker, now_s):
        looks.append(tracker)
        return recent_failures(tracker, now_s)

    monkeypatch.setattr(UpstreamTracker, "recent_failures", counted)
    scheduler = make_large_scheduler(5_700, service_count)
    looks.clear()
    for tick in range(20):
        scheduler.observe_running(10.0 + tick * 0.05)
    assert len(looks) <= 5 * 5_700


def test_a_released_slot_costs_few_choices_beside_suspects_that_are_due(monkeypatch):
    # Requests that must not be trials were all tried for each released slot: a queue of
    # 190 beside 27 suspects took a whole core.
    choices = []
    choose = Chooser.choose

    def counted(chooser, *args):
        choices.append(1)
        return choose(chooser, *args)

    monkeypatch.setattr(Chooser, "choose", counted)
    scheduler = SlotScheduler(chooser=Chooser(random=random.Random(1)))
    scheduler.replace_upstreams([make_upstream(f"u{i}", 4) for i in range(20)], 0.0)
    decisions = [
        scheduler.request_slot(
            make_request(number, time_left_s=60.0, target_left_s=30.0), 10.0
        )
        for number in range(300)
    ]
    healthy = []
    for number, decision in enumerate(decisions[:80]):
        if decision.upstream.name == "u0":
            scheduler.release(("vm", number), Outcome.FAILED, 0.01, 10.1)
        else:
            healthy.append(number)
    list(scheduler.advance(12.0))
    choices.clear()
    granted = 0
    for number in healthy[:50]:
        scheduler.release(("vm", number), Outcome.SUCCEEDED, 2.0, 12.0)
        granted += len(list(scheduler.advance(12.0)))
    assert granted == 50
    assert len(choices) <= 3 * granted
