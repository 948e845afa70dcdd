"""The parts of all groups add up to what the limits allow, whoever holds which seeds."""

from __future__ import annotations

import pytest

from gentianfold.fleet.lease_table import LeaseTable
from gentianfold.fleet.seed_parts import MINORITY_WAIT_S, SeedParts
from gentianfold.fleet.share_lease import (
    LEASE_TERM_S,
    MATURITY_S,
    NO_SEED_PART,
    SHARE_VALIDITY_S,
    SOME_SEEDS_PART,
    seed_part,
    unknown_part,
)

SEEDS = ("a", "b", "c")
OVERSHOOT = 0.25
ALONE, LENT = (1.0, 0.0), (0.0, 0.0)


def partitions(count):
    """Yield the sizes of all groups into which seeds can be divided."""
    if not count:
        yield ()
    for first in range(1, count + 1):
        for rest in partitions(count - first):
            if not rest or rest[0] <= first:
                yield first, *rest


@pytest.mark.parametrize("overshoot", [0.0, 0.1, 0.25])
@pytest.mark.parametrize("seed_count", range(1, 8))
def test_all_parts_that_exist_at_a_time_are_within_the_limit(seed_count, overshoot):
    parts = SeedParts(seed_count, overshoot)
    for restarted in range(seed_count + 1):
        for groups in partitions(restarted):
            unknown = sum(map(parts.unknown, groups))
            for held in range(seed_count - restarted + 1):
                whole = unknown + parts.known(held, 0.0)
                assert whole <= 1 + overshoot + 1e-9, (groups, held)


@pytest.mark.parametrize("seed_count", range(1, 8))
def test_parts_without_overshoot_are_those_of_limits_that_tolerate_nothing(seed_count):
    parts = SeedParts(seed_count)
    for held in range(seed_count + 1):
        assert parts.known(held, 0.0) == seed_part(held, seed_count, 0.0)
        assert parts.unknown(held) == unknown_part(held, seed_count)
        assert parts.may_mature(held)


def test_a_quarter_of_overshoot_serves_more_than_a_quarter_with_one_seed_of_three():
    parts = SeedParts(3, OVERSHOOT)
    assert parts.unknown(1) == pytest.approx(0.3)
    assert parts.known(2, 0.0) == pytest.approx(0.95)
    assert (parts.known(1, 0.0), parts.known(0, 0.0)) == (SOME_SEEDS_PART, NO_SEED_PART)


def test_a_minority_waits_until_the_others_know_that_they_miss_its_seed():
    assert MINORITY_WAIT_S >= LEASE_TERM_S + SHARE_VALIDITY_S + MATURITY_S


# The broker


def make_leases(known_size=0, members=(), vm="a"):
    leases = LeaseTable(vm, SEEDS, known_size, 100.0, 100.0, overshoot=OVERSHOOT)
    for member in members:
        leases.join(member, known_size, is_first_start=False)
    return leases


def run(leases, members, from_s, until_s, own):
    """Let members renew their leases; return shares of limits, of customers' ones too."""
    now_s = from_s
    while now_s < until_s:
        for member in members:
            size = leases.told_size(member)
            leases.record(member, int(now_s * 1000 - 1), now_s, size)
        shares = leases.shares(own, now_s)
        now_s += 0.4
    return shares.strict, shares.of_customers


@pytest.mark.parametrize("vm", ["a", "x"])
def test_a_minority_of_restarted_seeds_uses_a_part_after_its_wait(vm):
    # Two of three seeds were lost and all processes killed: it used nothing for good.
    members = [name for name in ("a", "m") if name != vm]
    leases = make_leases(members=members, vm=vm)
    own = ALONE if vm == "a" else LENT
    shares = run(leases, members, 100.4, 100.0 + MINORITY_WAIT_S, own)
    assert shares == (LENT, LENT)
    later_s = 101.0 + MINORITY_WAIT_S
    shares, customer_shares = run(leases, members, later_s - 1.2, later_s + 30.0, own)
    assert shares == LENT
    assert customer_shares == pytest.approx((0.3, 0.0))


def test_vms_without_any_seed_use_nothing_after_a_restart():
    leases = make_leases(members=("m",), vm="x")
    assert run(leases, ("m",), 100.4, 150.0, LENT) == (LENT, LENT)


def test_a_fleet_that_misses_a_seed_spares_a_part_and_refills_no_burst():
    leases = make_leases(8, ("b", "m"))
    own = (1 / 8, 1 / 8)
    shares, customer_shares = run(leases, ("b", "m"), 100.4, 120.0, own)
    assert shares == (3 / 8, 3 / 8)
    assert customer_shares == pytest.approx((0.95 * 3 / 8, 0.0))


def test_bursts_are_refilled_once_all_seeds_have_been_back_for_a_window():
    leases = make_leases(8, ("b", "m"))
    own = (1 / 8, 1 / 8)
    run(leases, ("b", "m"), 100.4, 110.0, own)
    leases.join("c", 8, is_first_start=False)
    present = ("b", "c", "m")
    _, early = run(leases, present, 110.0, 109.9 + MATURITY_S, own)
    assert early == (4 / 8, 0.0)
    _, late = run(leases, present, 110.0 + MATURITY_S, 112.0 + MATURITY_S, own)
    assert late == (4 / 8, 4 / 8)


def test_first_seeds_without_one_of_them_leave_a_part_to_it():
    leases = make_leases(members=())
    leases.is_first_start = True
    leases.join("b", 0, is_first_start=True)
    shares, customer_shares = run(leases, ("b",), 100.4, 103.0, ALONE)
    assert shares == (1.0, 0.0)
    assert customer_shares == pytest.approx((0.95, 0.0))


def test_restarted_seeds_without_one_of_them_refill_no_burst():
    leases = make_leases(members=("b",))
    shares, customer_shares = run(leases, ("b",), 100.4, 120.0, (1.0, 1.0))
    part = unknown_part(2, 3)
    assert shares == (part, part)
    assert customer_shares == (part, 0.0)
