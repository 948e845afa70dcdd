"""Lent slots serve requests at once and go back when they are not needed."""

from __future__ import annotations

import attrs
from placement.model import make_request

from gentianfold.fleet.slot_stock import MAX_IDLE_S, LentSlot, SlotStock
from gentianfold.forwarding.placer import Placement
from gentianfold.placement.slot_request import GrantReason

TERM_S = 2.0


def lent(lease_id, upstream="u1", zone="z1", until_s=TERM_S):
    placement = Placement(lease_id, upstream, "h", 1, 0.2, GrantReason.BEST, "b")
    return LentSlot(placement, make_request(lease_id), zone, until_s)


def request(zone="z1", excluded=()):
    return make_request(1, zone=zone, excluded=excluded)


def take(stock, request, slot_request_id, now_s):
    slot = stock.find_idle(request, now_s)
    if slot is not None:
        stock.use(slot, attrs.evolve(request, slot_request_id=slot_request_id))
    return slot


def stock_with(*slots, at_s=0.0):
    stock = SlotStock()
    for _ in range(20):
        stock.record_arrival("desk", at_s)
    for slot in slots:
        stock.borrow(slot)
        assert stock.finish(slot.lease_id, True, at_s)
    return stock


def test_a_kept_slot_serves_the_next_request():
    stock = stock_with(lent(1))
    slot = take(stock, request(), 7, 0.1)
    assert slot.lease_id == 1
    assert stock.find(7) is slot
    assert take(stock, request(), 8, 0.1) is None
    assert stock.finish(7, True, 0.2)
    assert take(stock, request(), 9, 0.3) is slot


def test_a_slot_of_the_own_zone_goes_first_then_the_one_used_last():
    stock = stock_with(lent(1, "a", "z2"), lent(2, "b"), lent(3, "c"))
    assert take(stock, request(), 7, 0.1).lease_id in (2, 3)
    assert stock.finish(7, True, 0.2)
    newest = take(stock, request(), 8, 0.3)
    assert newest.idle_since_s == 0.2


def test_a_slot_is_not_used_past_its_term_or_on_an_excluded_upstream():
    stock = stock_with(lent(1))
    assert take(stock, request(excluded=("u1",)), 7, 0.1) is None
    assert take(stock, request(), 7, TERM_S) is None
    assert [slot.lease_id for slot in stock.return_due(TERM_S)] == [1]


def test_a_slot_goes_back_after_a_failure():
    stock = stock_with(lent(1))
    take(stock, request(), 7, 0.1)
    assert not stock.finish(7, False, 0.2)
    assert not list(stock.idle())


def test_a_vm_with_few_requests_keeps_no_slot():
    # 14 upstreams of 4 slots beside 115 VMs: each VM has a request in 1.3 seconds.
    stock = SlotStock()
    stock.record_arrival("desk", 0.0)
    stock.borrow(lent(1))
    assert not stock.finish(1, True, 0.2)


def test_an_idle_slot_goes_back_after_a_while():
    stock = stock_with(lent(1), lent(2))
    take(stock, request(), 7, 0.3)
    assert len(stock.return_due(MAX_IDLE_S)) == 1


def test_a_recall_of_a_service_ends_the_keeping_of_its_slots():
    stock = stock_with(lent(1), lent(2))
    take(stock, request(), 7, 0.1)
    assert len(stock.recall(("desk",), (), 0.1)) == 1
    assert not stock.finish(7, True, 0.2)


def test_a_recall_of_an_upstream_spares_others():
    stock = stock_with(lent(1, "u1"), lent(2, "u2"))
    assert [slot.lease_id for slot in stock.recall((), ("u1",), 0.1)] == [1]
    assert take(stock, request(), 7, 0.2).lease_id == 2
    assert not stock.recall((), ("u2",), 0.2)
    assert not stock.finish(7, True, 0.3)


def test_an_upstream_that_takes_no_requests_is_not_used():
    stock = stock_with(lent(1))
    stock.is_usable = lambda _: False
    assert take(stock, request(), 7, 0.1) is None
    assert len(stock.return_due(0.1)) == 1
