"""Single decisions of the limiter, on a small fleet without faults."""

from __future__ import annotations

import pytest

from gentianfold.codes import limits as codes
from gentianfold.errors import Failure, RunState
from gentianfold.limits import Admitted, OwnSlot, RemoteOwner
from gentianfold.limits.messages import Ask, decode, encode
from gentianfold.model import RateLimit
from gentianfold.reports.limits_fleet import Fleet

WIDE = ("all", RateLimit(100.0, 50.0))
NARROW = ("route", RateLimit(1.0, 2.0))
VMS = ["vm1", "vm2", "vm3", "vm4"]


@pytest.fixture
def fleet():
    fleet = Fleet(seed=3)
    for vm in VMS:
        fleet.start(vm)
    fleet.publish(1, VMS, VMS)
    fleet.run_until(12.0)
    return fleet


def request(fleet, vm, limits, times=1):
    first = len(fleet.outcomes)
    for _ in range(times):
        fleet.request(vm, "fitters", limits)
        fleet.run_until(fleet.now_s + 0.005)
    fleet.run_until(fleet.now_s + 0.3)
    return [outcome.failure for outcome in fleet.outcomes[first:]]


def test_request_passes_both_limits_or_spends_neither(fleet):
    failures = request(fleet, "vm1", [WIDE, NARROW], times=6)
    assert failures[:2] == [None, None]
    assert {failure.code for failure in failures[2:]} == {codes.OVER_RATE}
    # Refused requests gave the tokens of the wide limit back.
    fleet.run_until(fleet.now_s + 1.0)
    assert request(fleet, "vm2", [WIDE], times=50) == [None] * 50


def test_refusals_name_cause_and_time(fleet):
    failure = request(fleet, "vm1", [NARROW], times=4)[-1]
    assert failure.code is codes.OVER_RATE
    assert failure.code.status == 429
    assert failure.code.run_state is RunState.NOT_RUN
    assert 0.5 < failure.retry_after_s <= 1.1


def test_vm_without_list_refuses_as_suspended():
    fleet = Fleet(seed=1)
    fleet.start("vm1")
    (failure,) = request(fleet, "vm1", [WIDE])
    assert failure.code is codes.SHARES_SUSPENDED
    answer = fleet.vms["vm1"].limiter.authority(b"key", 0.0)
    assert isinstance(answer, Failure)


def test_unreachable_home_is_named(fleet):
    alone = {"vm1", "vm2", "vm3", "vm4"}
    fleet.connected = lambda sender, receiver: not {sender, receiver} <= alone
    failures = [f for vm in VMS for f in request(fleet, vm, [WIDE])]
    assert failures.count(None) == 1
    assert {f.code for f in failures if f} == {codes.HOME_SILENT}


def test_each_slot_key_has_one_authority(fleet):
    for number in range(50):
        key = b"claim-%d" % number
        answers = [
            vm.limiter.authority(key, vm.local_s(fleet.now_s))
            for vm in fleet.vms.values()
        ]
        owner = next(x.vm for x in answers if isinstance(x, RemoteOwner))
        assert sum(isinstance(x, OwnSlot) for x in answers) == 1
        own = answers[VMS.index(owner)]
        assert isinstance(own, OwnSlot)


def test_late_waker_holds_no_authority_and_no_tokens(fleet):
    owned = next(iter(fleet.vms["vm1"].limiter.shares.held))
    fleet.pause("vm1")
    fleet.run_until(fleet.now_s + 20.0)
    vm = fleet.vms["vm1"]
    assert owned in vm.limiter.shares.held
    assert not vm.limiter.shares.usable(vm.local_s(fleet.now_s))
    outcome = vm.limiter.admit("fitters", [WIDE], vm.local_s(fleet.now_s))
    assert not isinstance(outcome, Admitted)


def test_departed_vm_is_replaced_only_after_its_slots_ran_out(fleet):
    fleet.connected = lambda sender, receiver: "vm4" not in (sender, receiver)
    rest = [vm for vm in VMS if vm != "vm4"]
    fleet.publish(2, rest, rest)
    for _ in range(150):
        fleet.run_until(fleet.now_s + 0.1)
        held = [
            slot
            for vm in fleet.vms.values()
            if vm.limiter.shares.usable(vm.local_s(fleet.now_s))
            for slot in vm.limiter.shares.held
        ]
        assert len(held) == len(set(held))
    assert len(held) == 1024


def test_ask_carries_the_version_of_its_own_limit(fleet):
    limiter = fleet.vms["vm1"].limiter
    now_s = fleet.vms["vm1"].local_s(fleet.now_s)
    row = limiter.admission.table.row("fitters", *WIDE, 1, now_s)
    limiter.limits_version = 2
    row.waiting[1] = None
    limiter.admission._ask(row, now_s)
    limiter._run_loopback(now_s)
    asks = [m for _, m in limiter.take_outbox() if isinstance(m, Ask)]
    assert all(ask.limits_version == 1 for ask in asks)


def test_messages_survive_the_wire_and_bad_ones_are_named(fleet):
    ask = Ask(5, b"12345678", 1, 0, 3, 0.5, 7)
    assert decode(encode(ask)) == ask
    assert decode(b"\x93\x04").code is codes.MESSAGE_MALFORMED


def test_planned_stop_hands_all_slots_on(fleet):
    vm = fleet.vms["vm2"]
    vm.limiter.on_stop(vm.local_s(fleet.now_s))
    fleet.run_until(fleet.now_s + 1.5)
    assert vm.limiter.stopped()
    fleet.crash("vm2")
    rest = [name for name in VMS if name != "vm2"]
    fleet.publish(2, rest, rest)
    fleet.run_until(fleet.now_s + 3.0)
    held = [s for name in rest for s in fleet.vms[name].limiter.shares.held]
    assert sorted(held) == list(range(1024))
