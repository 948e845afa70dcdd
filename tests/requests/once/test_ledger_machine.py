"""Explores crashes, delays, repeats, reordering, splits and pauses at every step."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)
from ledger_world import VMS, LedgerWorld, WholeRoster

from gentianfold.requests.once.messages import RunResult
from gentianfold.requests.once.records import CopyRule

vms = st.sampled_from(sorted(VMS))
one_of_each_zone = st.tuples(
    *(
        st.sampled_from([vm for vm, zone in VMS.items() if zone == name])
        for name in ("zone0", "zone1", "zone2")
    )
)
keys = st.sampled_from([b"k1", b"k2"])
indexes = st.integers(0, 1 << 16)
SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=50,
    suppress_health_check=list(HealthCheck),
)


class LedgerMachine(RuleBasedStateMachine):
    """A message stays in the network for as long as its link or receiver is away."""

    copy_rule: CopyRule = CopyRule()
    roster = WholeRoster

    def __init__(self) -> None:
        super().__init__()
        self.world = LedgerWorld(self.copy_rule, self.roster)

    @rule(vm=vms, key=keys, digest=st.sampled_from([b"d", b"d", b"d", b"e"]))
    def request(self, vm, key, digest):
        if vm in self.world.ledgers:
            self.world.request(vm, key, digest)

    @precondition(lambda self: self.world.network)
    @rule(index=indexes, keep=st.sampled_from([False, False, False, True]))
    def deliver(self, index, keep):
        self.world.deliver(index % len(self.world.network), keep)

    @rule()
    def deliver_all_in_order(self):
        self.world.settle()

    @rule(vm=vms)
    def request_in_calm(self, vm):
        if vm not in self.world.ledgers:
            return
        ticket = self.world.request(vm, b"k1")
        self.world.settle()
        if ticket not in self.world.decisions:
            self.world.now_s += 1.0
            self.tick()
            self.world.settle()
        for permit in list(self.world.permits):
            self.world.forward(permit)

    @precondition(lambda self: self.world.network)
    @rule(vm=vms)
    def deliver_all_to_one(self, vm):
        waiting = [pair for pair in self.world.network if pair[1].vm == vm]
        for pair in waiting:
            self.world.deliver(self.world.network.index(pair))

    @precondition(lambda self: self.world.network)
    @rule(index=indexes)
    def lose(self, index):
        del self.world.network[index % len(self.world.network)]

    @rule(vm=vms)
    def take_slot(self, vm):
        if vm in self.world.ledgers:
            self.world.own(vm)

    @rule()
    def announce_owner(self):
        self.world.believe(self.world.owner)

    @rule(vm=vms)
    def crash(self, vm):
        self.world.crash(vm)

    @rule(leaving=one_of_each_zone)
    def stop_and_move(self, leaving):
        for vm in leaving:
            if vm in self.world.ledgers:
                self.world.stop(vm)
        left = sorted(self.world.ledgers)
        if left:
            self.world.own(left[0])
            self.world.believe(left[0])

    @rule(gone=one_of_each_zone)
    def crash_and_move(self, gone):
        for vm in gone:
            self.world.crash(vm)
        left = sorted(self.world.ledgers)
        if left:
            self.world.own(left[0])
            self.world.believe(left[0])

    @rule(vm=vms)
    def start(self, vm):
        if vm not in self.world.ledgers:
            self.world.start(vm)

    @rule(delta_s=st.sampled_from([0.01, 0.25, 0.25, 1.0, 2.5, 40.0, 610.0]))
    def pass_time(self, delta_s):
        self.world.now_s += delta_s

    @rule()
    def tick(self):
        for vm in list(self.world.ledgers):
            self.world.tick(vm)

    @precondition(lambda self: self.world.permits)
    @rule(index=indexes, shed=st.sampled_from([False, False, False, True]))
    def forward(self, index, shed):
        permits = self.world.permits
        self.world.forward(permits[index % len(permits)], shed)

    @precondition(lambda self: self.world.running)
    @rule(
        index=indexes, result=st.sampled_from([RunResult.ANSWERED, RunResult.UNKNOWN])
    )
    def finish(self, index, result):
        running = self.world.running
        self.world.finish(running[index % len(running)], result)


def test_no_key_runs_twice_and_every_refusal_is_true():
    run_state_machine_as_test(LedgerMachine, settings=SETTINGS)


class NoCopies(CopyRule):
    """Forwards without copies, and believes that none are ever lost."""

    def suffices(self, holders):
        return True

    def may_be_lost(self, missing):
        return False


class AloneRoster(WholeRoster):
    """Knows of nobody who could hold records."""

    def recent(self, now_s):
        return []


@pytest.mark.parametrize(
    "copy_rule, roster",
    [(NoCopies(), WholeRoster), (CopyRule(), AloneRoster)],
    ids=["no copies", "no collection"],
)
def test_machine_catches_a_faulty_policy(copy_rule, roster):
    class FaultyMachine(LedgerMachine):
        pass

    FaultyMachine.copy_rule = copy_rule
    FaultyMachine.roster = roster
    find = settings(SETTINGS, max_examples=1000, phases=[Phase.generate])
    with pytest.raises(AssertionError, match="ran twice"):
        run_state_machine_as_test(FaultyMachine, settings=find)
