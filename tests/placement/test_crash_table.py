"""The table of requests under which upstreams crashed."""

from __future__ import annotations

import itertools
import math
import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gentianfold.fleet.messages import CrashReport, decode, encode
from gentianfold.placement.crash_table import (
    BLOCKED_RETENTION_S,
    FIRST_TRIAL_DELAY_S,
    LATE_TRIAL_DELAYS_S,
    MAX_FINGERPRINTS,
    SUSPECT_RETENTION_S,
    Crash,
    CrashTable,
    RequestStanding,
)
from gentianfold.placement.slot_request import FINAL_RETRY_S

F = b"fingerprint1"


def crash(
    table, upstream, sent_s, crashed_s, fingerprint=F, customer="c", is_trial=False
):
    crash = Crash(upstream, sent_s, crashed_s, is_trial)
    table.record_crash(fingerprint, customer, crash, crashed_s)


def exchange(source, target, now_s):
    report = decode(encode(CrashReport(tuple(source.report(now_s)))))
    return target.merge(report.crash_records, now_s)


def block(table):
    crash(table, "u1", 0.0, 1.0)
    crash(table, "u2", 1.1, 2.0)


def test_a_request_is_blocked_after_two_successive_crashes():
    table = CrashTable()
    crash(table, "u1", 0.0, 1.0)
    assert table.standing(F) is RequestStanding.SUSPECT and table.try_acquire(F, 1.1)
    crash(table, "u2", 1.1, 2.0)
    assert table.standing(F) is RequestStanding.BLOCKED
    assert not table.try_acquire(F, 2.1)


def test_upstreams_that_crash_at_the_same_time_do_not_block_a_request():
    table = CrashTable()
    for number in range(5):
        crash(table, f"u{number}", 0.1 * number, 1.0 + 0.01 * number)
    assert table.standing(F) is RequestStanding.SUSPECT


def test_a_success_after_a_crash_clears_the_request():
    table = CrashTable()
    crash(table, "u1", 0.0, 1.0)
    table.record_success(F, 0.5, 1.5)
    assert table.standing(F) is RequestStanding.SUSPECT
    table.record_success(F, 1.1, 1.5)
    assert table.standing(F) is RequestStanding.CLEAR
    crash(table, "u2", 2.0, 3.0)
    assert table.standing(F) is RequestStanding.SUSPECT


def test_a_blocked_request_gets_three_trials_at_most():
    table = CrashTable(grants_trials=True)
    block(table)
    now_s, trials = 2.0, 0
    while now_s < BLOCKED_RETENTION_S - 10:
        now_s += 1.0
        if table.try_acquire(F, now_s):
            trials += 1
            crash(table, f"v{trials}", now_s, now_s + 0.1, is_trial=True)
            assert table.standing(F) is RequestStanding.CONFIRMED
    assert trials == 1 + len(LATE_TRIAL_DELAYS_S) == 3
    assert table.trial_due_in_s(F, now_s) == math.inf
    assert table.retry_after_s(F, now_s) == FINAL_RETRY_S


def test_callers_retry_soon_while_the_outcome_of_a_trial_is_awaited():
    # They were told that the request is refused for good.
    table = CrashTable(grants_trials=True)
    block(table)
    now_s = 2.0 + FIRST_TRIAL_DELAY_S
    assert table.retry_after_s(F, 2.1) <= FIRST_TRIAL_DELAY_S
    assert table.try_acquire(F, now_s)
    assert table.retry_after_s(F, now_s + 0.1) < 1.0
    assert not table.try_acquire(F, now_s + 0.1)
    crash(table, "u3", now_s, now_s + 0.2, is_trial=True)
    assert table.retry_after_s(F, now_s + 0.3) == FINAL_RETRY_S


def test_a_trial_without_an_outcome_is_repeated_soon():
    # An upstream shed it, and the request stayed blocked for a minute.
    table = CrashTable(grants_trials=True)
    block(table)
    now_s, trials_s = 2.0, []
    while now_s < 20.0:
        now_s += 0.1
        if table.try_acquire(F, now_s):
            trials_s.append(now_s)
            assert table.standing(F) is RequestStanding.BLOCKED
    assert len(trials_s) == 3 and trials_s[1] - trials_s[0] < 4.0
    table.record_success(F, now_s, now_s)
    assert table.standing(F) is RequestStanding.CLEAR


def test_a_failed_trial_stays_known_whatever_the_delay_of_reports():
    # Ages grew by the delay of each report, and the trial seemed later than its crash.
    broker, member = CrashTable(grants_trials=True), CrashTable()
    block(broker)
    assert broker.try_acquire(F, 4.0)
    crash(broker, "u3", 4.001, 4.002, is_trial=True)
    for step in range(40):
        at_s = 4.1 + step / 10
        report = list(broker.report(at_s))
        member.merge(report, at_s + 0.01 * step)
        assert member.standing(F) is RequestStanding.CONFIRMED


def test_a_successful_trial_clears_the_request_on_other_vms():
    broker, member = CrashTable(grants_trials=True), CrashTable()
    block(broker)
    assert exchange(broker, member, 2.5)
    assert member.standing(F) is RequestStanding.BLOCKED
    now_s = 2.0 + FIRST_TRIAL_DELAY_S
    assert not member.try_acquire(F, now_s) and broker.try_acquire(F, now_s)
    assert not broker.try_acquire(F, now_s + 0.1)
    member.record_success(F, now_s, now_s + 0.2)
    assert exchange(member, broker, now_s + 0.3)
    assert broker.standing(F) is RequestStanding.CLEAR


def test_a_customer_with_many_requests_displaces_only_its_own():
    table = CrashTable()
    block(table)
    for number in range(3 * MAX_FINGERPRINTS):
        fingerprint = b"other%d" % number
        at_s = 3.0 + number / 1000
        crash(table, "u1", at_s, at_s + 0.1, fingerprint, "flood")
        crash(table, "u2", at_s + 0.2, at_s + 0.3, fingerprint, "flood")
    assert table.standing(F) is RequestStanding.BLOCKED
    assert sum(1 for _ in table.blocked()) <= MAX_FINGERPRINTS


def test_old_entries_are_forgotten():
    table = CrashTable()
    crash(table, "u1", 0.0, 1.0)
    assert not list(table.report(SUSPECT_RETENTION_S + 2)) and table.is_empty
    block(table)
    assert list(table.report(SUSPECT_RETENTION_S + 2))
    assert not list(table.report(BLOCKED_RETENTION_S + 3))


def test_all_of_many_blocked_requests_reach_another_vm():
    table, other = CrashTable(), CrashTable()
    fingerprints = [b"f%d" % number for number in range(40)]
    for fingerprint in fingerprints:
        crash(table, "u1", 0.0, 1.0, fingerprint)
        crash(table, "u2", 1.1, 2.0, fingerprint)
    for step in range(40):
        exchange(table, other, 3.0 + step / 10)
    assert all(other.standing(name).is_blocked for name in fingerprints)


def test_reports_of_the_same_crash_count_once():
    tables = [CrashTable() for _ in range(3)]
    crash(tables[0], "u1", 0.0, 1.0)
    for step, (source, target) in enumerate(
        itertools.product(range(3), range(3), repeat=1)
    ):
        if source != target:
            exchange(tables[source], tables[target], 1.1 + step / 50)
    assert {table.standing(F) for table in tables} == {RequestStanding.SUSPECT}


@pytest.mark.parametrize("data", [b"\x92\x0b\x91\x90", b"\x92\x0b\x91\x91\xa1x"])
def test_malformed_records_are_not_decoded(data):
    assert decode(data) is None


VM_COUNT = 6
STEP_S = 0.05
STABLE_S = 3.0
FREE_TRIES = 3


class CrashingRequest(RuleBasedStateMachine):
    """One request crashes each upstream; VMs exchange reports over a lossy network."""

    @initialize(seed=st.integers(0, 9_999))
    def start(self, seed):
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.tables = [CrashTable() for _ in range(VM_COUNT)]
        self.broker = 0
        self.loss = 0.0
        self.crashes_s = []
        self.tries_s = []
        self.innocent_refused = 0
        self.set_broker()

    def set_broker(self):
        for vm, table in enumerate(self.tables):
            table.grants_trials = vm == self.broker

    @rule(seconds=st.integers(1, 8), loss=st.sampled_from([0.0, 0.3, 0.6]))
    def run(self, seconds, loss):
        self.loss = loss
        for _ in range(int(seconds / STEP_S)):
            self.now_s += STEP_S
            if self.random.random() < 0.1:
                self.send(self.random.randrange(VM_COUNT))
            if round(self.now_s / STEP_S) % 8 == 0:
                self.heartbeat()

    @rule(seconds=st.sampled_from([30, 300, 900]))
    def wait(self, seconds):
        self.now_s += seconds
        self.loss = 0.0
        self.heartbeat()

    @rule()
    def change_broker(self):
        self.broker = self.random.randrange(VM_COUNT)
        self.set_broker()

    @rule(vm=st.integers(0, VM_COUNT - 1))
    def restart(self, vm):
        self.tables[vm] = CrashTable()
        self.set_broker()
        self.loss = 0.0
        self.heartbeat()

    def heartbeat(self):
        broker = self.tables[self.broker]
        for vm, table in enumerate(self.tables):
            if vm != self.broker and self.random.random() >= self.loss:
                exchange(table, broker, self.now_s)
        for vm, table in enumerate(self.tables):
            if vm != self.broker and self.random.random() >= self.loss:
                exchange(broker, table, self.now_s)

    def send(self, vm):
        """Send the request and retry it once, as an idempotent one."""
        for _ in range(2):
            table, broker = self.tables[vm], self.tables[self.broker]
            if table.standing(F).is_blocked and table.trial_due_in_s(F, self.now_s) > 0:
                return
            if not broker.try_acquire(F, self.now_s):
                return
            is_trial = table.standing(F).is_blocked
            self.tries_s.append(self.now_s)
            crash(
                table,
                f"u{len(self.tries_s)}",
                self.now_s,
                self.now_s + 0.01,
                is_trial=is_trial,
            )
            self.crashes_s.append(self.now_s + 0.01)
            self.now_s += 0.02

    @invariant()
    def few_tries_follow_the_third_crash(self):
        crashes_s = getattr(self, "crashes_s", [])
        if len(crashes_s) >= 3:
            late = [at_s for at_s in self.tries_s if at_s > crashes_s[2] + STABLE_S]
            assert len(late) <= FREE_TRIES


CrashingRequest.TestCase.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=15, deadline=None
)
TestCrashingRequest = CrashingRequest.TestCase
