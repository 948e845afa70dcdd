import heapq
import itertools
import random
from collections import Counter

import attrs
import pytest
from placement.model import DRAINING, make_request, make_upstream

from gentianfold.placement.choice import Chooser
from gentianfold.placement.load_spread import measure_spreads
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import Granted, Queued
from gentianfold.placement.slot_scheduler import SlotScheduler
from gentianfold.placement.slot_shares import VmPlace

SLOTS = 4
VM_COUNT = 24
WORK_S = 0.2
TICK_S = 0.02
RETRY_BUDGET_RATIO = 0.2
"""Retries that a service allows for each request (count)."""
RETRY_SHARE_FOR_FULL = 1 / 8
"""Part of them that full upstreams may use while most slots are free: the rest is for
those that fail."""
START_S = 2.0
"""Time after which the load is measured (seconds): upstreams are no longer new."""


@attrs.define
class Fleet:
    """VMs that send to the same upstreams, which reject requests while they are full."""

    schedulers: list
    upstream_names: list
    random: random.Random
    sent: int = 0
    met_full: int = 0
    full_seen: int = 0
    moments: int = 0
    _busy: Counter = attrs.field(factory=Counter)
    _running: list = attrs.field(factory=list)
    _ids: object = attrs.field(factory=lambda: itertools.count(1))

    def run(self, rate_per_s, end_s):
        now_s, next_s = 0.0, 0.0
        while now_s < end_s:
            now_s = round(now_s + TICK_S, 4)
            while self._running and self._running[0][0] <= now_s:
                self._end(*heapq.heappop(self._running)[2:], now_s)
            while next_s <= now_s:
                next_s += self.random.expovariate(rate_per_s)
                scheduler = self.random.choice(self.schedulers)
                self._send(scheduler, self.random.random() < 0.3, (), now_s)
            for scheduler in self.schedulers:
                scheduler.observe_running(now_s)
            if now_s > START_S:
                self.moments += len(self.upstream_names)
                self.full_seen += sum(
                    self._busy[name] >= SLOTS for name in self.upstream_names
                )

    def _send(self, scheduler, idempotent, excluded, now_s):
        request = make_request(
            next(self._ids),
            idempotent=idempotent,
            attempt=1 + len(excluded),
            excluded=excluded,
        )
        decision = scheduler.request_slot(request, now_s)
        if isinstance(decision, Queued):
            scheduler.release(request.key, Outcome.CANCELLED, 0.0, now_s)
        if not isinstance(decision, Granted):
            return
        name = decision.upstream.name
        is_full = self._busy[name] >= SLOTS
        if now_s > START_S:
            self.sent += 1
            self.met_full += is_full
        self._busy[name] += not is_full
        elapsed_s = 0.002 if is_full else self.random.expovariate(1 / WORK_S)
        outcome = Outcome.SHED if is_full else Outcome.SUCCEEDED
        end = (now_s + elapsed_s, request.slot_request_id, scheduler, request)
        heapq.heappush(self._running, (*end, name, outcome, elapsed_s))

    def _end(self, scheduler, request, name, outcome, elapsed_s, now_s):
        scheduler.release(request.key, outcome, elapsed_s, now_s)
        if outcome is Outcome.SUCCEEDED:
            self._busy[name] -= 1
        elif request.attempt < 3:
            excluded = (*request.excluded, name)
            self._send(scheduler, request.idempotent, excluded, now_s)


def make_fleet(scheduler_count, seed, upstream_count=VM_COUNT):
    upstreams = [make_upstream(f"u{index}", SLOTS) for index in range(upstream_count)]
    schedulers = []
    for rank in range(scheduler_count):
        chooser = Chooser(random=random.Random(seed * 100 + rank))
        scheduler = SlotScheduler(chooser=chooser)
        if scheduler_count > 1:
            scheduler.set_place(VmPlace("z1", rank, scheduler_count))
        scheduler.replace_upstreams(upstreams, 0.0)
        schedulers.append(scheduler)
    names = [upstream.name for upstream in upstreams]
    return Fleet(schedulers, names, random.Random(seed))


def test_vms_without_a_broker_rarely_send_to_full_upstreams():
    # Each VM used the few upstreams that accepted its last requests, whatever the other
    # VMs did: at a quarter of the capacity one attempt in twenty met a full upstream.
    fleets = [make_fleet(VM_COUNT, seed) for seed in (1, 2, 3)]
    for fleet in fleets:
        fleet.run(0.25 * VM_COUNT * SLOTS / WORK_S, end_s=10)
    sent = sum(fleet.sent for fleet in fleets)
    assert sent > 2000
    met_full = sum(fleet.met_full for fleet in fleets)
    assert met_full <= RETRY_SHARE_FOR_FULL * RETRY_BUDGET_RATIO * sent


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_a_broker_fills_few_upstreams_while_most_slots_are_free(seed):
    # Requests went to the upstream that accepted last until all of its slots were in use.
    fleet = make_fleet(1, seed, upstream_count=96)
    fleet.run(0.25 * 96 * SLOTS / WORK_S, end_s=10)
    assert fleet.met_full == 0
    assert fleet.full_seen <= 0.01 * fleet.moments


@pytest.mark.parametrize(("upstreams", "vms"), ((32, 38), (10, 38), (97, 5), (1, 3)))
def test_the_shares_of_a_zone_hold_each_slot_once(upstreams, vms):
    totals, held = Counter(), []
    for rank in range(vms):
        scheduler = SlotScheduler()
        scheduler.set_place(VmPlace("z1", rank, vms))
        near = [make_upstream(f"u{index}", SLOTS) for index in range(upstreams)]
        far = make_upstream("far", SLOTS, zone="z2")
        scheduler.replace_upstreams([*near, far], 0.0)
        shares = {t.upstream.name: t.share_slots for t in scheduler.trackers()}
        totals.update(shares)
        held.append(sum(shares.values()))
        assert shares["far"] == 0
    assert all(totals[f"u{index}"] == SLOTS for index in range(upstreams))
    assert max(held) - min(held) <= 1


def test_shares_follow_the_list_of_upstreams_and_end_with_the_broker_role():
    scheduler = SlotScheduler()
    scheduler.replace_upstreams([make_upstream("u0"), make_upstream("u1")], 0.0)
    scheduler.set_place(VmPlace("z1", 0, 2))
    assert scheduler.tracker("u0").share_slots == 3
    assert scheduler.tracker("u1").share_slots == 0
    draining = make_upstream("u0", state=DRAINING)
    scheduler.replace_upstreams([draining, make_upstream("u1")], 1.0)
    assert scheduler.tracker("u0").share_slots is None
    assert scheduler.tracker("u1").share_slots == 1
    scheduler.set_place(None)
    assert scheduler.tracker("u1").share_slots is None


def test_a_vm_whose_share_is_used_up_uses_other_slots():
    scheduler = SlotScheduler()
    scheduler.set_place(VmPlace("z1", 0, 2))
    scheduler.replace_upstreams([make_upstream("u0"), make_upstream("u1")], 0.0)
    granted = [
        scheduler.request_slot(make_request(number), 3.0) for number in range(1, 7)
    ]
    used = Counter(decision.upstream.name for decision in granted)
    assert used == {"u0": 3, "u1": 3}


def test_the_spread_tells_the_busiest_from_the_mean():
    scheduler = SlotScheduler()
    upstreams = [make_upstream(f"u{index}", 2) for index in range(4)]
    scheduler.replace_upstreams(upstreams, 0.0)
    for number in (1, 2):
        scheduler.register_grant(make_request(number), "u0", 1.0)
    scheduler.register_grant(make_request(3), "u1", 1.0)
    ((service, spread),) = measure_spreads(scheduler.trackers())
    assert service == "desk"
    assert (spread.mean_use, spread.busiest_use) == (3 / 8, 1.0)
    assert spread.full_share == 1 / 4
    scheduler.release(("vm", 1), Outcome.SHED, 0.01, 1.0)
    assert scheduler.retries.rejections.counts == {"desk": 1}
    ((_, spread),) = measure_spreads(scheduler.trackers())
    assert spread.full_share == 0
