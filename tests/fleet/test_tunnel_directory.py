"""Which VMs may be asked for a way to upstreams, and which paths are lost."""

from __future__ import annotations

from fleet.test_membership import make_member

from gentianfold.fleet.tunnel_directory import TOKEN_TERM_S, TunnelDirectory
from gentianfold.fleet.tunnel_plan import TunnelPlan
from gentianfold.forwarding.path_state import (
    EVIDENCE_S,
    MIN_CUT_OFF_S,
    PROBE_INTERVAL_S,
    PathState,
)


def test_one_lost_upstream_does_not_make_a_vm_cut_off():
    state = PathState()
    assert not any(state.record_lost("u1", at_s / 10) for at_s in range(10))
    assert not state.is_cut_off
    assert state.record_lost("u2", 1.0)
    assert state.is_cut_off


def test_a_direct_connection_between_two_lost_ones_is_evidence_against_a_cut():
    state = PathState()
    state.record_lost("u1", 0.0)
    state.record_connected(0.1)
    assert not state.record_lost("u2", 0.2)
    assert not state.record_lost("u1", 0.2 + EVIDENCE_S)


def test_a_path_that_comes_and_goes_does_not_end_a_cut_at_once():
    state = PathState()
    state.record_lost("u1", 0.0)
    state.record_lost("u2", 0.0)
    assert not state.take_probe(0.1)
    assert state.take_probe(PROBE_INTERVAL_S)
    assert not state.take_probe(PROBE_INTERVAL_S + 0.1)
    assert not state.record_connected(PROBE_INTERVAL_S)
    assert state.record_connected(MIN_CUT_OFF_S)
    assert not state.is_cut_off


def test_a_token_is_valid_for_its_vm_and_its_time():
    directory = TunnelDirectory()
    token = directory.give_token("a", 0.0)
    assert directory.accepts("a", token, TOKEN_TERM_S - 0.1)
    assert not directory.accepts("a", token, TOKEN_TERM_S)
    assert not directory.accepts("b", token, 0.0)
    assert not directory.accepts("a", b"", 0.0)
    assert directory.give_token("a", 1.0) == token
    assert directory.give_token("a", TOKEN_TERM_S / 2) != token


def test_vms_are_asked_in_turn_and_failed_ones_last():
    directory = TunnelDirectory(("a", "b", "c"))
    assert {directory.usable((), 0.0)[0] for _ in range(3)} == {"a", "b", "c"}
    directory.record_failure("b", 0.0)
    assert {directory.usable((), 0.5)[-1] for _ in range(3)} == {"b"}
    assert TunnelDirectory().usable(("x",), 0.0) == ["x"]
    assert TunnelDirectory().usable((), 0.0) == []


def test_cut_off_vms_and_the_member_itself_are_not_named():
    members = {
        f"vm{number}": make_member(zone=f"z{number % 2}", is_cut_off=number >= 4)
        for number in range(10)
    }
    plan = TunnelPlan()
    for _ in range(20):
        named = plan.choose("vm0", members, 0.0)
        assert set(named) == {"vm1", "vm2", "vm3"}
    assert plan.choose("vm9", {"vm9": make_member(is_cut_off=True)}, 10.0) == ()
