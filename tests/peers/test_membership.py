"""The table follows peers through silence, one-way cuts, restarts and pauses."""

from itertools import pairwise

import pytest

from gentianfold.configuration.vm_list import Vm, VmList, VmState
from gentianfold.peers.incarnation import Incarnation
from gentianfold.peers.membership import (
    GONE_S,
    PAUSE_S,
    RELAYED_ROWS,
    SUSPECT_S,
    MembershipTable,
)
from gentianfold.peers.membership_events import Paused, PeerRestarted, StateChanged
from gentianfold.peers.messages import Heartbeat
from gentianfold.peers.neighbours import FULL_MESH_VMS, choose_neighbours
from gentianfold.peers.peer_row import PeerState

OLD, NEW = Incarnation(1, 1), Incarnation(2, 1)


def vm_list(version=1, names="abc", state=VmState.LIVE):
    vms = tuple(Vm(name, "127.0.0.1", 1, "zone", state=state) for name in names)
    return VmList(version, vms)


@pytest.fixture
def table():
    table = MembershipTable("a", Incarnation(1, 9))
    table.adopt_vm_list(vm_list())
    table.on_tick(0.0)
    return table


def beat(table, now_s, echo_s=None, seq=None, incarnation=OLD, **options):
    seq = round(now_s * 1000) if seq is None else seq
    events = table.accept("b", incarnation, seq, now_s)
    if events is None:
        return None
    fields = {"config_version": 1, "vm_list_version": 1, "hears": b"\x05"} | options
    heartbeat = Heartbeat(500.0 + now_s, echo_s, 0.01, **fields)
    return events + table.on_heartbeat("b", heartbeat, now_s)


def pass_time(table, start_s, end_s):
    steps = round((end_s - start_s) / 0.5)
    ticks = (table.on_tick(start_s + 0.5 * i) for i in range(1, steps + 1))
    return [event for events in ticks for event in events]


def test_a_silent_peer_becomes_suspect_and_then_gone(table):
    assert beat(table, 1.0) == (StateChanged("b", PeerState.UNHEARD, PeerState.LIVE),)
    assert table.live() == {"b"} and table.rows["b"].hears == {"a", "c"}
    states = [event.new for event in pass_time(table, 0.0, GONE_S + 5)]
    assert states == [PeerState.SUSPECT, PeerState.GONE]
    assert table.rows["c"].state is PeerState.UNHEARD
    assert beat(table, GONE_S + 6)[0].new is PeerState.LIVE


def test_hearing_a_peer_doesn_t_mean_being_heard(table):
    beat(table, 1.0)
    assert table.heard(1.0) == {"b"} and table.acknowledging(1.0, SUSPECT_S) == set()
    beat(table, 2.0, echo_s=1.5)
    assert table.acknowledging(2.0, SUSPECT_S) == {"b"}
    for now_s in (3.0, 4.0, 5.0):
        beat(table, now_s, echo_s=1.5)
    assert table.heard(5.0) == {"b"} and table.acknowledging(5.0, SUSPECT_S) == set()


@pytest.mark.parametrize("echo_s", [-1.0, 99.0])
def test_an_echo_of_another_incarnation_or_the_future_proves_nothing(table, echo_s):
    beat(table, 1.0, echo_s=echo_s)
    assert table.acknowledging(1.0, SUSPECT_S) == set()


def test_a_restarted_peer_is_a_new_one(table):
    beat(table, 1.0, echo_s=0.5, config_version=9)
    events = beat(table, 2.0, seq=0, incarnation=NEW)
    assert events == (PeerRestarted("b", OLD, NEW),)
    assert table.acknowledging(2.0, SUSPECT_S) == set()
    assert table.rows["b"].config_version == 1
    assert beat(table, 2.1, incarnation=OLD) is None
    assert beat(table, 2.2, seq=0, incarnation=NEW) is None


def test_a_vm_whose_wall_clock_went_back_is_accepted_after_silence(table):
    beat(table, 1.0, incarnation=NEW)
    assert beat(table, 2.0, incarnation=OLD) is None
    assert beat(table, 60.0, incarnation=OLD)[0].new == OLD


def test_a_pause_is_reported_before_anything_that_came_during_it(table):
    beat(table, 0.5)
    (paused,) = table.check_pause(0.5 + PAUSE_S + 10)
    assert isinstance(paused, Paused) and paused.gap_s > PAUSE_S
    resumed_s = 0.5 + PAUSE_S + 10
    assert table.on_tick(resumed_s) == () and table.live() == {"b"}
    states = [e.new for e in pass_time(table, resumed_s, resumed_s + 4)]
    assert states == [PeerState.SUSPECT]


def test_leaving_peers_and_a_changed_list(table):
    assert beat(table, 1.0, leaving=True)[0].new is PeerState.LEAVING
    beat(table, 1.2)
    table.adopt_vm_list(vm_list(2, "abd", VmState.LEAVING))
    assert table.rows.keys() == {"b", "d"}
    assert table.on_tick(1.4)[0].new is PeerState.LEAVING
    table.adopt_vm_list(vm_list(1))
    assert table.vm_list_version == 2


def test_a_sender_that_is_not_listed_is_dropped(table):
    assert table.accept("x", OLD, 1, 1.0) is None


def test_a_restarted_peer_is_not_relayed_before_its_first_heartbeat():
    table = MembershipTable("vm-0", Incarnation(1, 9))
    table.adopt_vm_list(vm_list(names=[f"vm-{number}" for number in range(100)]))
    table.on_tick(0.0)
    first, *others = sorted(table.neighbours)
    for name in others:
        table.accept(name, OLD, 0, 1.0)
        table.on_heartbeat(name, Heartbeat(1.0, None, 0.0, 1, 1, b""), 1.0)
    assert len(table.compose(first, 1.0).relayed) == RELAYED_ROWS
    for name in others:
        table.accept(name, NEW, 0, 1.0)
    assert table.compose(first, 1.0).relayed == ()


@pytest.mark.parametrize("size", [1, 2, FULL_MESH_VMS, 65, 160, 550])
def test_neighbours_are_few_mutual_and_reach_the_whole_fleet(size):
    names = [f"vm-{number}" for number in range(size)]
    neighbours = {name: choose_neighbours(name, names) for name in names}
    assert all(name in neighbours[n] for name in names for n in neighbours[name])
    assert max(map(len, neighbours.values())) <= FULL_MESH_VMS
    reached = [{names[0]}]
    for _ in range(4):
        reached.append(reached[-1].union(*(neighbours[n] for n in reached[-1])))
    assert len(reached[-1]) == size
    assert all(a <= b for a, b in pairwise(reached))
