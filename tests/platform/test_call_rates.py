"""The fleet stays below the platform's rate, whatever happens to all VMs at once."""

import heapq
from itertools import count
from random import Random

import pytest

from gentianfold.codes.platform import PLATFORM_REFUSED
from gentianfold.errors import Failure
from gentianfold.platform.client import Value
from gentianfold.platform.pacing import (
    BACKOFF_LIMIT_S,
    FLEET_CALLS_PER_S,
    Backoff,
    CallPacer,
)
from gentianfold.platform.watch_schedule import WATCH_S, CallKind, WatchSchedule

CALLS_PER_S = 2000
REFUSED = Failure(PLATFORM_REFUSED)


def simulate(vm_count, duration_s, up, shards=0):
    """Run two schedules a VM against a platform that is up when ``up(now_s)``.

    Returns:
        The times of all calls.
    """
    order, times, events = count(), [], []
    for number in range(vm_count):
        pacer = CallPacer(Random(number), vm_count)
        for _ in range(2):
            schedule = WatchSchedule(pacer, Backoff(pacer.random))
            heapq.heappush(events, (0.0, next(order), schedule, None))
    while events:
        now_s, _, schedule, call = heapq.heappop(events)
        if now_s > duration_s:
            break
        if call is None:
            call = schedule.next_call(now_s)
            heapq.heappush(events, (call.at_s, next(order), schedule, call))
            continue
        times.append(now_s)
        answer, done_s = REFUSED, now_s + 0.002
        if up(now_s) and call.kind is CallKind.READ:
            answer = Value("config", 1, b"")
            for _ in range(shards):
                done_s = schedule.pacer.reserve(done_s)
                times.append(done_s)
        elif up(now_s) and up(now_s + WATCH_S):
            answer, done_s = None, now_s + WATCH_S
        schedule.answered(answer, done_s)
        ready_s = max(done_s, schedule.ready_s)
        heapq.heappush(events, (ready_s, next(order), schedule, None))
    return sorted(times)


def most_in_a_second(times):
    first, most = 0, 0
    for last, time_s in enumerate(times):
        while times[first] <= time_s - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


@pytest.mark.parametrize("vm_count", [40, 550])
@pytest.mark.parametrize(
    ("up", "shards"),
    [
        (lambda now_s: True, 32),
        (lambda now_s: False, 0),
        (lambda now_s: not 30 < now_s < 90, 2),
        (lambda now_s: now_s % 50 > 25, 32),
    ],
    ids=["mass restart", "down", "return", "flapping"],
)
def test_calls_and_waiting_watches_stay_below_the_rate(vm_count, up, shards):
    most = most_in_a_second(simulate(vm_count, 150, up, shards))
    assert most <= 1.1 * FLEET_CALLS_PER_S
    assert most + 2 * vm_count < CALLS_PER_S


@pytest.mark.parametrize(("vm_count", "steady"), [(40, 6), (550, 70)])
def test_a_quiet_fleet_makes_few_calls(vm_count, steady):
    times = simulate(vm_count, 400, lambda now_s: True)
    late = [time_s for time_s in times if time_s > 100]
    assert len(late) / 300 < steady


def test_backoff_grows_to_its_limit_and_starts_over():
    backoff = Backoff(Random(1))
    waits = [backoff.failed() for _ in range(200)]
    assert max(waits[:3]) <= 2.0 and 15 < max(waits) <= BACKOFF_LIMIT_S
    backoff.succeeded()
    assert backoff.failed() <= 0.5
