"""Groups with any seeds, restarted or not, serve a part each and keep limits together.

The machine must fail when a part of ``SeedParts`` is larger, when a group that misses a
seed refills bursts, and when a minority of the seeds uses nothing. By hand, longer and
with a seed of choice: ``DIVIDED_EXAMPLES=200 python -m pytest
tests/fleet/test_divided_fleet.py --hypothesis-seed=1``
"""

from __future__ import annotations

import os
from collections import Counter, defaultdict

import attrs
import pytest
from fleet.test_quota_fleet import SEED_COUNT, WINDOW_S, Fleet
from hypothesis import Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from loguru import logger

from gentianfold.fleet.membership import Role
from gentianfold.fleet.seed_parts import MINORITY_WAIT_S, SeedParts
from gentianfold.model import Customer, RateLimit

EXAMPLES = int(os.environ.get("DIVIDED_EXAMPLES", "0"))
LIMITS = {"even": (20.0, 100.0), "steady": (40.0, 10.0), "bursty": (4.0, 300.0)}
"""Rate per second and burst; where both bring as much in a window, a change of the
broker grants most."""
OVERSHOOT = 0.25
LEAST_TOKENS = 8
"""Requests by which holders of small parts exceed them, by one each."""
PRESS_PER_S = 450
RECOVER_S = 15.0
MEASURED_S = 10.0
SERVED_SHARE = 0.25
"""Share of the requests near a limit that each group with a seed serves at least."""


@attrs.define(eq=False)
class CountedFleet(Fleet):
    """Fleet that tells which VMs were asked and which sent requests."""

    asked_by: Counter = attrs.field(factory=Counter)
    sent_by: Counter = attrs.field(factory=Counter)

    def pick_vm(self, names):
        """Return a VM of any group, so that small ones get as much as large ones."""
        by_group = defaultdict(list)
        for vm in names:
            by_group[self.groups.get(vm)].append(vm)
        return self.random.choice(self.random.choice(list(by_group.values())))

    def request(self, vm, customer):
        self.asked_by[vm, customer] += 1
        super().request(vm, customer)

    def count(self, vm, slot_request_id):
        customer = self.asked.get((vm, slot_request_id))
        super().count(vm, slot_request_id)
        if customer is not None:
            self.sent_by[vm, customer] += 1


def make_fleet(size, network_seed=1):
    logger.disable("gentianfold")
    customers = {
        name: Customer(name, limit=RateLimit(*limit)) for name, limit in LIMITS.items()
    }
    return CountedFleet(size, network_seed, customers, overshoot=OVERSHOOT)


def assert_limits_are_kept(fleet):
    for name, (rate_per_s, burst) in LIMITS.items():
        allowed = (rate_per_s * WINDOW_S + burst) * (1 + OVERSHOOT)
        assert fleet.most_in_window(name) <= allowed + LEAST_TOKENS, name


class DividedFleet(RuleBasedStateMachine):
    """Customers far above their limits at groups of known and of restarted VMs."""

    @initialize(size=st.sampled_from([5, 8, 12, 32]), network_seed=st.integers(0, 99))
    def start(self, size, network_seed):
        self.fleet = make_fleet(size, network_seed)
        self.run(12.0)

    def run(self, seconds, per_s=PRESS_PER_S):
        self.fleet.run(seconds, per_s, greedy=tuple(LIMITS))

    def restart(self, vms, dark_s):
        for vm in vms:
            self.fleet.nodes.pop(vm, None)
        self.run(dark_s)
        for vm in vms:
            self.fleet.start(vm)

    @rule(
        seeds=st.lists(
            st.tuples(
                st.sampled_from(["known", "restarted", "dead"]), st.integers(0, 2)
            ),
            min_size=SEED_COUNT,
            max_size=SEED_COUNT,
        ),
        restarts_others=st.booleans(),
        idle_s=st.sampled_from([0.0, 7.0]),
        dark_s=st.sampled_from([0.1, 0.8]),
        after_s=st.sampled_from([3.0, MINORITY_WAIT_S + 1.0, RECOVER_S]),
    )
    def divide(self, seeds, restarts_others, idle_s, dark_s, after_s):
        """Cut the fleet into three groups, with seeds that restart or are lost."""
        fleet = self.fleet
        self.run(idle_s, 0)
        self.run(1.0, 3 * PRESS_PER_S)
        states = dict(zip(fleet.seeds, seeds, strict=True))
        fleet.groups = {
            vm: states[vm][1] if vm in states else fleet.random.randrange(3)
            for vm in fleet.names
        }
        restarted = [vm for vm, (kind, _) in states.items() if kind == "restarted"]
        if restarts_others:
            homes = {fleet.groups[vm] for vm in restarted}
            restarted += [
                vm
                for vm in fleet.names
                if vm not in states and fleet.groups[vm] in homes
            ]
        for vm, (kind, _) in states.items():
            if kind == "dead":
                fleet.nodes.pop(vm, None)
        self.restart([vm for vm in restarted if vm in fleet.nodes], dark_s)
        self.run(after_s)

    @rule(index=st.integers(0, SEED_COUNT - 1), is_cut=st.booleans())
    def restart_seed(self, index, is_cut):
        """Restart a seed, cut off from all others or not, and let tokens add up."""
        fleet = self.fleet
        vm = fleet.seeds[index]
        fleet.groups = {vm: "cut"} if is_cut else {}
        self.restart([vm], 0.5)
        self.run(RECOVER_S, 0)
        self.run(2.5, 3 * PRESS_PER_S)

    @rule(after_s=st.sampled_from([0.0, 2.0, RECOVER_S]))
    def restart_all(self, after_s):
        """Kill all processes that run, groups or not."""
        self.run(1.0, 3 * PRESS_PER_S)
        self.restart(list(self.fleet.nodes), 0.8)
        self.run(after_s)

    @rule(
        index=st.integers(0, 2),
        is_planned=st.booleans(),
        idle_s=st.sampled_from([0.0, 7.0]),
        spent_s=st.sampled_from([0.5, 2.5]),
    )
    def change_broker(self, index, is_planned, idle_s, spent_s):
        """Stop one broker or kill it, after it has granted bursts."""
        fleet = self.fleet
        self.run(idle_s, 0)
        self.run(spent_s, 3 * PRESS_PER_S)
        brokers = sorted(fleet.brokers())
        if not brokers or len(fleet.nodes) <= SEED_COUNT:
            return
        broker = brokers[index % len(brokers)]
        if is_planned:
            fleet.nodes[broker].begin_stop()
        fleet.nodes.pop(broker)
        self.run(0.5, 3 * PRESS_PER_S)
        if broker in fleet.seeds:
            fleet.start(broker)
        self.run(WINDOW_S, 3 * PRESS_PER_S)

    @rule(starts_dead=st.booleans(), after_s=st.sampled_from([0.0, 6.0]))
    def join(self, starts_dead, after_s):
        """End all cuts."""
        fleet = self.fleet
        self.run(0.5, 3 * PRESS_PER_S)
        fleet.groups = {}
        if starts_dead:
            for vm in set(fleet.names) - set(fleet.nodes):
                fleet.start(vm)
        self.run(after_s)

    def known_size(self, vm):
        """Return the size of the fleet that a VM knows."""
        node = self.fleet.nodes[vm]
        if node.membership.role is Role.BROKER:
            return node.broker.leases.known_size
        return node.shares.own.fleet_size

    @rule()
    def serve(self):
        """Let some time pass; then each group with a seed serves a part."""
        fleet = self.fleet
        self.run(RECOVER_S)
        brokers = {vm: fleet.groups.get(vm) for vm in fleet.brokers()}
        fleet.asked_by.clear()
        fleet.sent_by.clear()
        self.run(MEASURED_S)
        for group in set(brokers.values()):
            vms = {vm for vm in fleet.nodes if fleet.groups.get(vm) == group}
            seeds = vms.intersection(fleet.seeds)
            sizes = list(map(self.known_size, vms))
            if not seeds:
                continue
            whole = 1.0
            if max(sizes):
                whole = sum(map(bool, sizes)) / max(sizes)
            for name, (rate_per_s, _) in LIMITS.items():
                asked = sum(fleet.asked_by[vm, name] for vm in vms)
                sent = sum(fleet.sent_by[vm, name] for vm in vms)
                due = min(asked, rate_per_s * MEASURED_S)
                assert sent >= SERVED_SHARE * whole * due - 1, (name, group)

    @invariant()
    def keeps_the_limits(self):
        if hasattr(self, "fleet"):
            assert_limits_are_kept(self.fleet)


if not EXAMPLES:
    DividedFleet = seed(5)(DividedFleet)
TestDividedFleet = DividedFleet.TestCase
TestDividedFleet.settings = settings(
    max_examples=EXAMPLES or 10,
    stateful_step_count=8,
    deadline=None,
    phases=tuple(Phase) if EXAMPLES else (Phase.explicit, Phase.generate),
    database=None,
)


# Single worlds


def divide(fleet, cut, dark_s=0.5):
    """Cut VMs off from the others, and restart them there."""
    fleet.groups = dict.fromkeys(cut, "cut")
    for vm in cut:
        fleet.nodes.pop(vm, None)
    fleet.run(dark_s, PRESS_PER_S, greedy=tuple(LIMITS))
    for vm in cut:
        fleet.start(vm)


@pytest.mark.parametrize("size", (3, 8, 40))
@pytest.mark.parametrize("load", (0.5, 1.0))
def test_a_restarted_fleet_with_one_seed_of_three_serves_a_quarter(size, load):
    # Customers with limits were refused for good.
    fleet = make_fleet(size)
    fleet.run(12, per_s=0)
    for vm in fleet.seeds[:2]:
        del fleet.nodes[vm]
    fleet.run(4, per_s=0)
    for vm in fleet.nodes:
        fleet.start(vm)
    fleet.run(RECOVER_S, per_s=0)
    fleet.asked_by.clear()
    rate_per_s, _ = LIMITS["steady"]
    fleet.run(MEASURED_S, load * rate_per_s, greedy=("steady",))
    sent, asked = fleet.sent_by.total(), fleet.asked_by.total()
    assert asked == load * rate_per_s * MEASURED_S
    assert sent >= SERVED_SHARE * asked


@pytest.mark.parametrize("size", (8, 40))
@pytest.mark.parametrize("change", ("none", "stopped", "killed", "joined"))
def test_a_seed_that_restarts_alone_serves_beside_the_others(size, change):
    # The others know the fleet, and may use all but what is spared for such a seed.
    fleet = make_fleet(size)
    press = {"per_s": 3 * PRESS_PER_S, "greedy": tuple(LIMITS)}
    fleet.run(12, **press)
    divide(fleet, ("vm0",))
    fleet.run(RECOVER_S, per_s=0)
    fleet.run(2.5, **press)
    (broker,) = [vm for vm in fleet.brokers() if vm != "vm0"]
    if change == "stopped":
        fleet.nodes[broker].begin_stop()
    if change in ("stopped", "killed"):
        del fleet.nodes[broker]
    if change == "joined":
        fleet.groups = {}
    fleet.sent_by.clear()
    fleet.run(MEASURED_S, **press)
    assert_limits_are_kept(fleet)
    if change != "joined":
        part = SeedParts(SEED_COUNT, OVERSHOOT).minority
        for name, (rate_per_s, _) in LIMITS.items():
            assert fleet.sent_by["vm0", name] >= 0.9 * part * rate_per_s * MEASURED_S
