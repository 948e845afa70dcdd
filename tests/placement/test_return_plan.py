"""Replays a crowd that is refused at one moment, and comes back as it is told."""

from __future__ import annotations

from placement.model import make_request, make_scheduler

from gentianfold.placement.return_plan import ReturnPlan
from gentianfold.placement.slot_request import Refused


def refuse_crowd(scheduler, now_s, numbers, time_left_s=6.0):
    """Send requests within 20 ms; return the delays of those that are refused."""
    delays_s = []
    for number in numbers:
        now_s += 0.0001
        request = make_request(number, time_left_s=time_left_s, target_left_s=0.3)
        decision = scheduler.request_slot(request, now_s)
        if isinstance(decision, Refused):
            delays_s.append(decision.retry_after_s)
    return delays_s


def test_a_crowd_is_asked_to_return_by_and_by():
    # All of it was told nearly the same delay, and returned as a crowd.
    scheduler = make_scheduler(upstream_count=4, slots=3)
    scheduler.elapsed.record("desk", "r", 0.2)
    delays_s = refuse_crowd(scheduler, 10.0, range(200))
    assert len(delays_s) > 100
    for start_s in delays_s:
        count = sum(start_s <= delay_s < start_s + 0.1 for delay_s in delays_s)
        assert count <= 0.15 * len(delays_s)


def test_a_place_that_a_caller_would_not_wait_for_is_left_to_others():
    plan = ReturnPlan()
    assert plan.next_delay_s(1.0, 10.0, 0.0, 2.0, 0.0) == 1.0
    assert plan.next_delay_s(1.0, 10.0, 0.0, 9.0, 0.0) == 1.0
    assert plan.next_delay_s(1.0, 10.0, 0.0, 9.0, 0.0) == 1.1


def test_places_stay_finite_under_a_lasting_overload():
    plan = ReturnPlan()
    delays_s = [
        plan.next_delay_s(0.2, 10.0, 50.0, 6.0, tick / 100) for tick in range(3000)
    ]
    assert 1.9 <= max(delays_s) <= 2.0
    assert plan.next_delay_s(0.2, 10.0, 5.0, 6.0, 60.0) == 0.2


def test_places_begin_at_the_expected_wait_at_another_keeper():
    first, second = (make_scheduler(upstream_count=4, slots=3) for _ in range(2))
    for scheduler in (first, second):
        scheduler.elapsed.record("desk", "r", 0.2)
    late_s = refuse_crowd(first, 10.0, range(200))[-1]
    assert refuse_crowd(second, 10.5, range(200, 260))[0] < late_s / 2
