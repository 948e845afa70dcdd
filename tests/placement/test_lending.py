"""The broker lends more as its load grows and less as the room shrinks."""

from __future__ import annotations

from itertools import pairwise

import pytest

from gentianfold.placement.lending import LendingPolicy, ServiceRoom, TokenRoom

POLICY = LendingPolicy()
BUSY = POLICY.load(950, 0.717)
IDLE = POLICY.load(118, 0.86)


def term_s(load, in_use, slots=388, waiting=0):
    return POLICY.slot_term_s(load, ServiceRoom(slots, in_use, waiting))


def tokens(free, asking_vms, wanted=2, lent=0, load=BUSY, window=600):
    return POLICY.tokens(load, TokenRoom(free, lent, window, asking_vms), wanted)


def test_a_broker_that_keeps_up_decides_on_each_request():
    assert term_s(IDLE, 0) == 0
    assert tokens(100, 1, load=IDLE) == 0


def test_a_busy_broker_lends_slots_for_long_while_there_is_room():
    assert term_s(BUSY, 100) == POLICY.max_term_s


def test_a_busy_broker_lends_nothing_of_a_service_without_room():
    assert term_s(BUSY, 330) == 0
    assert term_s(BUSY, 100, waiting=1) == 0
    assert term_s(BUSY, 0, slots=0) == 0


def test_few_slots_beside_many_vms_stay_with_the_broker():
    # 14 upstreams of 4 slots, and 115 VMs that each would hold one.
    assert term_s(BUSY, 45, slots=56) == 0


def test_the_term_falls_steadily_with_the_room_and_rises_with_the_load():
    by_room = [term_s(BUSY, in_use) for in_use in range(0, 388, 10)]
    assert all(earlier >= later for earlier, later in pairwise(by_room))
    by_load = [term_s(load / 20, 100) for load in range(20)]
    assert all(earlier <= later for earlier, later in pairwise(by_load))


@pytest.mark.parametrize(("free", "vms"), ((100, 115), (3, 2), (0, 1), (-2, 1)))
def test_a_customer_with_less_than_a_token_for_each_vm_is_decided_by_the_broker(
    free, vms
):
    assert tokens(free, vms) == 0


def test_half_of_the_free_tokens_stay_with_the_broker():
    assert tokens(100, 10, wanted=50) == 5


def test_lent_tokens_are_bounded_by_the_part_that_a_new_broker_does_not_know():
    assert tokens(500, 1, wanted=500) == 75
    assert tokens(500, 1, wanted=500, lent=70) == 5
    assert tokens(500, 1, wanted=500, lent=80) == 0
