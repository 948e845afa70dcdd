"""The budget of memory and connections: ceilings, room made, slow clients."""

from __future__ import annotations

import attrs
import pytest

from gentianfold.forwarding.memory_budget import (
    END_AFTER_S,
    END_BYTES_PER_S,
    MIN_CAPACITY_BYTES,
    SCAN_INTERVAL_S,
    SLOW_AFTER_S,
    STALL_BYTES_PER_S,
    STALL_S,
    Claim,
    ConnectionLimit,
    MemoryBudget,
    Progress,
    Use,
    memory_capacity_bytes,
    socket_capacity,
)

NARROWEST_LINK_BYTES_PER_S = 625_000
MAX_BODY_BYTES = 64 << 20


@attrs.define(eq=False)
class Stalled:
    """A holder that has stalled since a time, with the claim that it holds."""

    since_s: float | None
    claim: Claim | None = None
    is_ended: bool = False
    idle_s: float | None = None

    def idle_since_s(self):
        return self.idle_s

    def stalled_since_s(self, now_s):
        return self.since_s

    def end_for_room(self, at_once):
        self.is_ended, self.since_s = True, None
        if self.claim is not None:
            self.claim.release()


def make_holder(budget, since_s, size_bytes):
    claim = Claim(budget, Use.BODY)
    assert claim.grow_to(size_bytes, 0.0)
    holder = Stalled(since_s, claim)
    budget.add_holder(holder)
    return holder


def test_bodies_leave_room_for_answers_and_answers_for_small_requests():
    budget = MemoryBudget(1000)
    claims = [Claim(budget, use) for use in Use]
    sizes = []
    for claim in claims:
        size = 0
        while claim.grow_to(size + 10, 0.0):
            size += 10
        sizes.append(size)
    assert sizes == [800, 100, 100]
    assert budget.used_bytes == 1000
    assert budget.refused_counts == {"body": 1, "answer": 1, "request": 1}
    del claims, claim
    assert budget.used_bytes == 0


def test_a_claim_is_given_back_once_when_it_is_dropped():
    budget = MemoryBudget(1000)
    claim = Claim(budget, Use.REQUEST)
    assert claim.grow_to(300, 0.0)
    claim.force_to(400)
    claim.release()
    assert budget.used_bytes == 0
    claim.force_to(2000)
    assert not claim.grow_to(2010, 0.0) and budget.used_bytes == 2000
    del claim
    assert budget.used_bytes == 0 and budget.peak_bytes == 2000


def test_room_is_made_from_the_oldest_that_have_stalled_and_only_as_needed():
    budget = MemoryBudget(1000)
    holders = [make_holder(budget, since_s, 100) for since_s in (3.0, None, 1.0, 2.0)]
    holders += [make_holder(budget, None, 400)]
    claim = Claim(budget, Use.BODY)
    assert claim.grow_to(150, 4.0)
    assert [holder.is_ended for holder in holders] == [False, False, True, True, False]
    assert budget.ended_count == 2
    other = Claim(budget, Use.BODY)
    assert not other.grow_to(150, 4.0 + SCAN_INTERVAL_S / 2)
    assert other.grow_to(100, 4.0 + 2 * SCAN_INTERVAL_S)
    assert holders[0].is_ended and not holders[1].is_ended


def test_ended_and_removed_holders_are_forgotten():
    budget = MemoryBudget(1000)
    holder = make_holder(budget, 1.0, 100)
    budget.remove_holder(holder)
    budget.remove_holder(holder)
    assert not Claim(budget, Use.BODY).grow_to(750, 5.0)
    assert not holder.is_ended


def test_a_new_connection_ends_idle_or_stalled_ones_or_is_refused():
    limit = ConnectionLimit(32)
    open_ones = [Stalled(None) for _ in range(32)]
    assert all(limit.try_open(holder, 0.0) for holder in open_ones)
    assert not limit.try_open(Stalled(None), 1.0)
    for since_s, holder in enumerate(open_ones[8:12]):
        holder.since_s = -float(since_s)
    assert limit.try_open(Stalled(None), 2.0) and limit.try_open(Stalled(None), 2.0)
    assert not limit.try_open(Stalled(None), 2.0)
    assert [holder.is_ended for holder in open_ones[8:12]] == [False, False, True, True]
    assert (limit.open_count, limit.refused_count, limit.ended_count) == (32, 2, 2)
    limit.close(open_ones[0])
    limit.close(open_ones[0])
    assert limit.open_count == 31
    open_ones[1].idle_s, open_ones[2].idle_s = 3.0, 2.0
    newest = [Stalled(None) for _ in range(3)]
    assert [limit.try_open(holder, 4.0) for holder in newest] == [True] * 3
    assert open_ones[1].is_ended and open_ones[2].is_ended


def test_clients_on_the_narrowest_link_never_count_as_slow():
    progress = Progress.begin(10.0)
    piece, now_s = 8 << 10, 10.0
    while progress.byte_count < MAX_BODY_BYTES:
        now_s += piece / NARROWEST_LINK_BYTES_PER_S
        assert not progress.has_stalled(now_s) and not progress.is_too_slow(now_s)
        progress.record(piece, now_s)


@pytest.mark.parametrize("pause_s", [0.1, 0.9, 1.1])
def test_clients_that_send_byte_by_byte_stall_and_are_ended(pause_s):
    progress = Progress.begin(0.0)
    now_s, stalled_s, slow_s = 0.0, None, None
    while slow_s is None:
        now_s += pause_s
        if stalled_s is None and progress.has_stalled(now_s):
            stalled_s = now_s
        if progress.is_too_slow(now_s):
            slow_s = now_s
        progress.record(1, now_s)
    assert stalled_s <= max(STALL_S, SLOW_AFTER_S) + pause_s
    assert END_AFTER_S <= slow_s <= END_AFTER_S + pause_s


def test_a_client_that_stops_short_of_its_end_has_stalled():
    progress = Progress.begin(0.0)
    progress.record(MAX_BODY_BYTES - 1, 1.0)
    assert not progress.has_stalled(1.0 + STALL_S / 2)
    assert progress.has_stalled(1.0 + STALL_S)
    assert not progress.is_too_slow((MAX_BODY_BYTES - 2) / END_BYTES_PER_S)
    assert STALL_BYTES_PER_S < NARROWEST_LINK_BYTES_PER_S / 10


@pytest.mark.parametrize("memory_mb", [200, 300, 552])
def test_one_body_of_the_published_limit_fits_in_calm(memory_mb):
    budget = MemoryBudget(memory_capacity_bytes(memory_mb, 38_000_000))
    claim = Claim(budget, Use.BODY)
    assert claim.grow_to(MAX_BODY_BYTES, 0.0)
    assert budget.capacity_bytes < memory_mb * 1e6 - 38_000_000


def test_capacities_of_small_machines_are_bounded_below():
    assert memory_capacity_bytes(32, 36_000_000) == MIN_CAPACITY_BYTES
    assert socket_capacity(4100, 1 << 20) == 3900
    assert socket_capacity(4100, 1024) == 824
    assert socket_capacity(4100, 100) == 64
