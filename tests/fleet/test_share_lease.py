"""A VM's share of a limit has one user at a time."""

from __future__ import annotations

import pytest

from gentianfold.fleet.share_lease import (
    FORMING_S,
    LEASE_TERM_S,
    MATURITY_S,
    MISSING_RETENTION_S,
    SHARE_VALIDITY_S,
    LeaseTable,
    LentShare,
)

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


def make_leases(members=3, now_s=100.0, **changes):
    leases = LeaseTable(("a", "b"), started_s=now_s, **changes)
    for number in range(members):
        leases.record(f"m{number}", int(now_s * 1000) + 1, now_s + 0.4)
    return leases


def test_a_broker_uses_the_shares_that_it_was_lent_until_they_end():
    leases = make_leases(known_size=8)
    assert leases.size(4, 100.4) == 8
    assert leases.shares("x", (0.0, 0.0), 8, 100.4) == (3 / 8, 0.0)
    assert leases.shares("x", (1 / 8, 1 / 8), 8, 101.1) == (4 / 8, 1 / 8)
    assert leases.shares("x", (0.0, 0.0), 8, 100.1 + LEASE_TERM_S) == (0.0, 0.0)


def test_stamps_of_another_start_of_the_broker_extend_no_lease():
    leases = LeaseTable(started_s=100.0)
    for stamp_ms in (0, 99_999, 100_900):
        leases.record("m", stamp_ms, 100.5)
    assert leases.shares("x", (0.0, 0.0), 1, 100.5)[0] == 0.0


def test_missing_vms_keep_their_shares_for_as_long_as_an_outage_lasts():
    leases = make_leases(known_size=8)
    assert leases.size(4, 100.0 + MISSING_RETENTION_S) == 8
    assert leases.size(4, 101.0 + MISSING_RETENTION_S) == 4


def test_brokers_of_a_new_fleet_divide_the_limits_by_its_seeds():
    leases = make_leases(members=0)
    assert leases.is_forming(100.4)
    assert leases.shares("a", (1.0, 0.0), 1, 100.4)[0] == 0.5
    leases.record("b", 100_001, 100.4)
    assert leases.shares("a", (0.5, 0.0), 2, 100.5)[0] == 1.0
    assert leases.shares("x", (0.5, 0.0), 2, 100.5)[0] == pytest.approx(0.5)
    assert not leases.is_forming(100.0 + FORMING_S)


def test_a_member_that_knows_an_earlier_fleet_ends_the_forming():
    leases = make_leases(members=0)
    leases.record_known_size(40)
    assert not leases.is_forming(100.4)
    assert leases.size(2, 100.4) == 40
