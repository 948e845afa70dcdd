"""Requests with homes use the upstreams there alone, and keep no others waiting."""

from __future__ import annotations

import random

import pytest
from placement.model import make_request, make_upstream
from placement.test_zones import ZONES, make_zoned_scheduler

from gentianfold.model import Warmup
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import Granted, Queued, Refused
from gentianfold.placement.upstream_pool import LIMITED_REFRESH_S, UpstreamPool
from gentianfold.placement.upstream_tracker import UpstreamTracker
from gentianfold.placement.warmup_limiter import WarmupPolicy


def patient(number, **changes):
    return make_request(number, time_left_s=60.0, target_left_s=30.0, **changes)


def fill(scheduler, now_s=10.0):
    """Use all slots; return the slot requests that hold them, by zone."""
    held = {zone: [] for zone in ZONES}
    for number in range(60):
        decision = scheduler.request_slot(patient(number), now_s)
        held[decision.upstream.zone].append(number)
    return held


def test_homes_that_are_full_do_not_stop_the_requests_behind(monkeypatch):
    # Trying forty requests without success ended the pass for all of their kind.
    scheduler = make_zoned_scheduler()
    held = fill(scheduler)
    for number in range(100, 400):
        request = patient(number, zones=("z1",), priority=0)
        assert isinstance(scheduler.request_slot(request, 10.0), Queued)
    for number in range(400, 404):
        assert isinstance(scheduler.request_slot(patient(number), 10.0), Queued)
    served = []
    for number, now_s in zip(held["z2"][:4], (10.1, 10.11, 10.2, 10.3), strict=True):
        scheduler.release(("vm", number), Outcome.SUCCEEDED, 0.1, now_s)
        served += [key[1] for key, _ in scheduler.advance(now_s)]
        # A tick later at the latest; one that comes meanwhile finds the slot free.
        served += [key[1] for key, _ in scheduler.advance(now_s + 0.05)]
    assert sorted(served) == [400, 401, 402, 403]
    scheduler.release(("vm", held["z1"][0]), Outcome.SUCCEEDED, 0.1, 10.5)
    ((key, granted),) = scheduler.advance(10.5)
    assert key[1] < 400 and granted.upstream.zone == "z1"


def test_requests_of_other_homes_do_not_lengthen_an_expected_wait():
    # All of the queue counted as ahead, so requests were refused for it.
    scheduler = make_zoned_scheduler()
    fill(scheduler)
    for number in range(100, 300):
        request = patient(number, zones=("z1",), priority=0)
        assert isinstance(scheduler.request_slot(request, 10.0), Queued)
    hasty = make_request(500, zones=("z2",), time_left_s=3.0)
    assert isinstance(scheduler.request_slot(hasty, 10.0), Queued)
    late = make_request(501, zones=("z1",), time_left_s=3.0)
    assert isinstance(scheduler.request_slot(late, 10.0), Refused)


def test_a_waiting_request_whose_homes_are_gone_is_refused_at_once():
    scheduler = make_zoned_scheduler()
    fill(scheduler)
    for number, zone in ((100, "z1"), (101, "z2")):
        scheduler.request_slot(patient(number, zones=(zone,)), 10.0)
    left = [make_upstream(f"z2-u{number}", 4, zone="z2") for number in range(5)]
    scheduler.replace_upstreams(left, 10.1)
    ((key, refused),) = scheduler.advance(10.1)
    assert key == ("vm", 100) and isinstance(refused, Refused)
    new = scheduler.request_slot(patient(102, zones=("z1",)), 10.1)
    assert isinstance(new, Refused)


def test_homes_without_upstreams_do_not_make_the_service_explore():
    # Their refusals counted as those of an overloaded service, whose requests that must
    # not run twice go to upstreams that were not used lately.
    scheduler = make_zoned_scheduler()
    for number in range(40):
        request = patient(number, zones=("z9",))
        assert isinstance(scheduler.request_slot(request, 10.0), Refused)
    assert not scheduler._states["desk"].demand.is_underserved(10.0)


def test_a_choice_looks_at_no_upstream_outside_of_the_homes(monkeypatch):
    scheduler = make_zoned_scheduler(per_zone=100)
    looks = []
    method = UpstreamTracker.has_free_slot
    monkeypatch.setattr(
        UpstreamTracker,
        "has_free_slot",
        lambda tracker, now_s: looks.append(tracker) or method(tracker, now_s),
    )
    for number in range(100):
        request = patient(number, zones=("z2", "z3"), idempotent=number % 2 == 0)
        assert isinstance(scheduler.request_slot(request, 10.0), Granted)
    assert {tracker.upstream.zone for tracker in looks} <= {"z2", "z3"}
    assert len(looks) <= 60 * 100


def content(pool, now_s):
    return (
        [
            {zone: sorted(getattr(groups, name)) for zone, groups in pool.zones.items()}
            for name in ("members", "others")
        ],
        list(pool.suspects),
        pool.has_healthy,
        # What was added up in the last tick is not looked at again.
        pool.held_slots(0.2, now_s + LIMITED_REFRESH_S),
        pool.may_start(now_s),
    )


@pytest.mark.parametrize("seed", range(4))
def test_the_upstreams_of_homes_are_filed_along_with_all(seed):
    rng = random.Random(seed)
    scheduler = make_zoned_scheduler(per_zone=3, slots=2, seed=seed)
    scheduler.warmups.policy = WarmupPolicy(1.5, 8.0)
    scheduler.warmups.warmups = {"desk": Warmup(3.3, 3.0)}
    homes, held, now_s = ("z1", "z3"), [], 10.0
    for number in range(600):
        now_s += 0.02
        zones = rng.choice((None, ("z1",), homes))
        request = patient(number, zones=zones, idempotent=rng.random() < 0.5)
        decision = scheduler.request_slot(request, now_s)
        if isinstance(decision, Granted):
            assert zones is None or decision.upstream.zone in zones
            held.append(number)
        if held and rng.random() < 0.9:
            key = ("vm", held.pop(rng.randrange(len(held))))
            outcome = rng.choice((Outcome.SUCCEEDED, Outcome.FAILED, Outcome.SHED))
            scheduler.release(key, outcome, 0.01, now_s)
        if rng.random() < 0.02:
            name = f"{rng.choice(ZONES)}-u{rng.randrange(3)}"
            scheduler.record_cold(name, 1, now_s + 1.0, now_s)
        held += [key[1] for key, _ in scheduler.advance(now_s)]
        if number % 3 == 0:
            scheduler.observe_running(now_s)
        if number % 7:
            continue
        pool = scheduler._trackers.pool("desk")
        fresh = UpstreamPool()
        fresh.add_all(
            [t for t in pool.trackers if t.upstream.zone in homes], rng.random
        )
        expected, found = content(fresh, now_s), content(pool.within(homes), now_s)
        order = [name for name in pool.suspects if name[:2] in homes]
        assert found[1] == order
        assert (found[0], sorted(found[1])) == (expected[0], sorted(expected[1]))
        assert found[2:] == (*expected[2:3], pytest.approx(expected[3]), expected[4])
