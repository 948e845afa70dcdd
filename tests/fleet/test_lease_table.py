"""A broker uses the shares that it was lent, and knows the fleet only by evidence."""

from __future__ import annotations

import pytest

from gentianfold.fleet.lease_table import (
    FORMING_S,
    GROWTH_S,
    MISSING_RETENTION_S,
    SEEDS_SETTLED_S,
    LeaseTable,
)
from gentianfold.fleet.share_lease import (
    LEASE_TERM_S,
    MATURITY_S,
    NO_SEED_PART,
    SEED_TERM_S,
    SOME_SEEDS_PART,
    unknown_part,
)

SEEDS = ("a", "b", "c")
ALONE, LENT = (1.0, 0.0), (0.0, 0.0)


def make_leases(known_size=0, members=(), vm="x", **changes):
    """Return the table of a broker since 100 s whose members know the same size."""
    leases = LeaseTable(vm, SEEDS, known_size, 100.0, 100.0, **changes)
    for member in members:
        leases.join(member, known_size, is_first_start=False)
    lend(leases, members, 100.4)
    return leases


def lend(leases, members, now_s, told_size=None):
    for member in members:
        size = leases.told_size(member) if told_size is None else told_size
        leases.record(member, int(now_s * 1000 - 399), now_s, size)


def run(leases, members, until_s, own=LENT):
    """Let members renew their leases, as long as they live."""
    now_s = 100.4
    while now_s < until_s:
        now_s += 0.4
        lend(leases, members, now_s)
        shares = leases.shares(own, now_s).strict
    return shares


def test_a_broker_uses_the_shares_that_it_was_lent_until_they_end():
    leases = make_leases(8, ("a", "b", "m"))
    assert leases.known_size == 8
    assert leases.shares(LENT, 100.4).strict == (3 / 8, 0.0)
    assert leases.shares((1 / 8, 1 / 8), 101.1).strict == (4 / 8, 1 / 8)
    assert leases.shares(LENT, 100.1 + LEASE_TERM_S).strict == (0.0, 0.0)


def test_a_broker_that_lost_its_seeds_uses_a_part_and_later_nothing():
    leases = make_leases(8, ("a", "m1", "m2", "m3"))
    assert leases.shares(LENT, 100.4).strict == (SOME_SEEDS_PART * 4 / 8, 0.0)
    assert run(leases, ("m1", "m2", "m3"), 108.0)[0] == NO_SEED_PART * 3 / 8
    assert run(leases, ("m1", "m2", "m3"), 103.0 + SEED_TERM_S)[0] == 0.0


def test_stamps_of_another_start_of_the_broker_extend_no_lease():
    leases = make_leases(8, ("a", "b"))
    leases.join("m", 8, is_first_start=False)
    for stamp_ms in (0, 99_999, 100_900):
        leases.record("m", stamp_ms, 100.5, 8)
    assert leases.shares(LENT, 100.5).strict[0] == 2 / 8


def test_missing_vms_keep_their_shares_for_as_long_as_an_outage_lasts():
    leases = make_leases(8, ("a", "b", "m"))
    for now_s in (100.0 + MISSING_RETENTION_S, 101.0 + MISSING_RETENTION_S):
        lend(leases, ("a", "b", "m"), now_s)
        leases.shares((1 / 8, 0.0), now_s)
        assert leases.known_size == (8 if now_s < 100.5 + MISSING_RETENTION_S else 4)


@pytest.mark.parametrize("is_first_start", [False, True])
def test_a_broker_that_knows_no_fleet_uses_nothing_without_a_majority(is_first_start):
    # It took the VMs that it saw for the whole fleet after 5 s: a seed that was cut off
    # and restarted used the whole limits beside the others.
    leases = make_leases(vm="a", is_first_start=is_first_start)
    members = ["m1", "m2", "m3"]
    for member in members:
        leases.join(member, 0, is_first_start)
    assert run(leases, members, 100.0 + 5 * SEEDS_SETTLED_S, ALONE) == (0.0, 0.0)
    assert leases.told_size("m1") == 0


def test_a_majority_of_seeds_that_never_ran_before_is_the_fleet():
    leases = make_leases(vm="a", is_first_start=True)
    leases.join("m1", 0, is_first_start=True)
    leases.join("b", 0, is_first_start=True)
    assert run(leases, ("b", "m1"), 101.0, ALONE) == (1.0, 0.0)
    assert leases.told_size("b") == 0
    assert run(leases, ("b", "m1"), 101.0 + FORMING_S, ALONE)[0] == 1.0
    assert leases.known_size == 3
    assert leases.ends_forming()
    assert not leases.ends_forming()


def test_a_majority_of_seeds_that_were_restarted_uses_a_part():
    leases = make_leases(vm="a", is_first_start=True)
    leases.join("b", 0, is_first_start=False)
    assert run(leases, ("b",), 100.0 + 5 * SEEDS_SETTLED_S, ALONE)[0] == unknown_part(
        2, 3
    )


def test_all_seeds_that_were_restarted_use_all_when_other_parts_have_stopped():
    leases = make_leases(vm="a")
    for member in ("b", "c", "m"):
        leases.join(member, 0, is_first_start=False)
    own = (1.0, 1.0)
    assert run(leases, ("b", "c", "m"), 99.0 + SEEDS_SETTLED_S, own) == (0.875, 0.875)
    assert SEEDS_SETTLED_S > SEED_TERM_S + LEASE_TERM_S
    assert run(leases, ("b", "c", "m"), 102.0 + SEEDS_SETTLED_S, own)[0] == 1.0
    assert leases.known_size == 4


def test_only_seeds_are_told_the_size_until_a_majority_of_them_knows_it():
    leases = make_leases(vm="x", is_first_start=True)
    for member in ("a", "b", "m"):
        leases.join(member, 0, is_first_start=True)
    now_s = 100.0
    while not leases.known_size:
        now_s += 0.4
        lend(leases, ("a", "b", "m"), now_s, told_size=0)
        leases.shares(ALONE, now_s)
    assert (leases.told_size("a"), leases.told_size("m")) == (4, 0)
    lend(leases, ("a", "b"), now_s + 0.4, told_size=4)
    leases.shares((0.25, 0.0), now_s + 0.4)
    assert leases.told_size("m") == 4


def test_a_member_that_knows_an_earlier_fleet_ends_the_forming():
    leases = make_leases(vm="a", is_first_start=True)
    leases.join("m", 40, is_first_start=False)
    assert leases.known_size == 40
    lend(leases, ("m",), 100.8)
    assert leases.shares((1 / 40, 0.0), 100.8).strict[0] == SOME_SEEDS_PART * 2 / 40
    assert not leases.ends_forming()


def test_new_vms_get_shares_when_all_owners_know_that_theirs_are_less():
    owners = ("a", "b", "c")
    leases = make_leases(4, owners)
    leases.join("new", 0, is_first_start=False)
    own = (0.25, 0.0)
    lend(leases, (*owners, "new"), 100.8)
    assert leases.shares(own, 100.8).strict[0] == 1.0
    assert (leases.told_size("a"), leases.told_size("new")) == (5, 0)
    lend(leases, ("a", "b", "new"), 101.2)
    assert leases.shares(own, 101.2).strict[0] == 1.0
    assert leases.told_size("new") == 0
    lend(leases, (*owners, "new"), 101.6)
    assert leases.shares(own, 101.6).strict[0] == 1.0
    assert leases.told_size("new") == 5


def test_new_vms_take_no_shares_of_owners_that_are_missing():
    # 4 of 8 VMs were cut off, 4 new ones joined, and the broker used the whole limits.
    leases = make_leases(8, [*SEEDS, "m1", "m2", "m3", "m4"])
    new = [f"new{number}" for number in range(4)]
    for vm in new:
        leases.join(vm, 0, is_first_start=False)
    present = [*SEEDS, *new]
    assert run(leases, present, 130.0, (1 / 8, 0.0))[0] == 4 / 8
    assert leases.told_size("new1") == 0


def test_a_new_broker_counts_vms_that_know_nothing_as_owners_that_restarted():
    leases = make_leases(4, ("a", "b"))
    leases.join("c", 0, is_first_start=False)
    assert run(leases, SEEDS, 100.0 + GROWTH_S - 0.5, (0.25, 0.0))[0] == 0.75
    assert run(leases, SEEDS, 101.0 + GROWTH_S + MATURITY_S, (0.25, 0.25))[0] == 1.0


def test_a_stated_size_needs_no_seeds():
    leases = make_leases(8, ("m1", "m2"), is_size_stated=True)
    assert leases.shares((1 / 8, 0.0), 100.5).strict[0] == 3 / 8
    assert run(leases, ("m1", "m2"), 150.0, (1 / 8, 0.0))[0] == 3 / 8
