"""A VM's share of a limit has one user at a time."""

from __future__ import annotations

import pytest

from gentianfold.clock import ManualClock
from gentianfold.fleet.broker import Broker
from gentianfold.fleet.membership import Membership
from gentianfold.fleet.node_shares import NodeShares
from gentianfold.fleet.node_view import NodeView
from gentianfold.fleet.share_lease import (
    LEASE_TERM_S,
    MATURITY_S,
    NO_SEED_PART,
    SEED_TERM_S,
    SHARE_VALIDITY_S,
    SOME_SEEDS_PART,
    LentShare,
    seed_part,
    unknown_part,
)
from gentianfold.placement.slot_scheduler import SlotScheduler

TERM_S = LEASE_TERM_S + SHARE_VALIDITY_S


def test_a_lent_share_is_used_neither_by_the_vm_nor_by_another_broker():
    share = LentShare()
    share.record_reply("a", 1000, 4, 100.0)
    assert share.stamp_ms("a") == 1000
    share.record_reply("b", 500, 4, 100.0 + LEASE_TERM_S)
    assert share.stamp_ms("b") == 0
    assert share.own_share(4, 100.0 + LEASE_TERM_S) == (0.0, 0.0)
    share.record_reply("b", 900, 4, 100.1 + TERM_S)
    assert (share.stamp_ms("a"), share.stamp_ms("b")) == (0, 900)


def test_a_share_matures_only_while_the_vm_holds_it_itself():
    share = LentShare()
    assert share.own_share(0, 0.0) == (0.0, 0.0)
    share.record_reply("a", 1000, 4, 100.0)
    assert share.own_share(4, 100.1 + TERM_S) == (0.25, 0.0)
    assert share.own_share(4, 100.2 + TERM_S + MATURITY_S) == (0.25, 0.25)
    share.record_reply("a", 9000, 4, 120.0)
    assert share.own_share(4, 120.1) == (0.0, 0.0)


def test_only_the_broker_that_holds_a_lease_ends_it():
    share = LentShare()
    share.record_reply("a", 1000, 4, 100.0)
    share.end_lease("b", 2000)
    share.end_lease("a", 999)
    assert share.is_lent(100.1)
    share.end_lease("a", 1000)
    assert not share.is_lent(100.1)


def test_a_restarted_vm_leaves_its_share_alone_while_its_lease_may_run():
    # The broker of the process before may go on to use the share.
    share = LentShare(unused_until_s=101.2)
    share.record_reply("b", 1000, 4, 101.0)
    assert share.stamp_ms("b") == 0
    assert share.own_share(4, 101.0) == (0.0, 0.0)
    share.record_reply("b", 1500, 4, 101.3)
    assert share.stamp_ms("b") == 1500


def test_what_is_left_of_a_fleet_uses_less_as_its_seeds_may_serve_it_anew():
    assert seed_part(2, 3, 0.0) == 1.0
    assert seed_part(1, 3, 0.0) == SOME_SEEDS_PART
    assert seed_part(0, 3, SEED_TERM_S - 0.1) == NO_SEED_PART
    assert seed_part(0, 3, SEED_TERM_S) == 0.0
    assert seed_part(0, 0, SEED_TERM_S) == 1.0


@pytest.mark.parametrize("seed_count", (1, 2, 3, 4, 5))
def test_restarted_seeds_and_what_is_left_of_a_fleet_use_one_whole_at_most(seed_count):
    for restarted in range(seed_count + 1):
        for held in range(seed_count - restarted + 1):
            anew = unknown_part(restarted, seed_count)
            left = seed_part(held, seed_count, 0.0)
            assert anew + left <= 1.0


def test_the_wait_for_an_earlier_lease_counts_from_the_start_of_the_process():
    # Loading took a second of the wait again, in which customers were refused.
    waits = []
    for process_started_s in (None, 99.2):
        scheduler = SlotScheduler()
        broker = Broker("b", 1, (), scheduler, None, NodeView())
        membership = Membership("b", ())
        clock = ManualClock(100.0)
        shares = NodeShares(membership, broker, scheduler, clock, clock.now_s)
        shares.start(False, process_started_s)
        waits.append(shares.own.unused_until_s - 100.0)
    assert LEASE_TERM_S <= waits[0] <= 1.01 * LEASE_TERM_S
    assert waits[1] == pytest.approx(waits[0] - 0.8)
