"""Older list versions close only when their VMs surely hold nothing."""

from __future__ import annotations

import pytest

from gentianfold.limits.list_history import ListHistory
from gentianfold.limits.messages import Heartbeat
from gentianfold.limits.peer_table import PeerTable

OLD, NEW = frozenset({"vm1", "vm2", "vm3"}), frozenset({"vm1", "vm2"})


def history_after(**state):
    """Return the open versions after the departed VM said a state."""
    peers = PeerTable(incarnation=1)
    history = ListHistory("vm1")
    history.add(1, OLD, 1, now_s=10.0)
    defaults = {
        "established": True,
        "founder": False,
        "young": False,
        "stopping": False,
        "held_count": 0,
        "version": 1,
    }
    for sequence in (1, 2):
        beat = Heartbeat(
            incarnation=9,
            sequence=sequence,
            ping_s=0.0,
            echo_incarnation=1,
            echo_s=10.0 + sequence,
            **(defaults | state),
        )
        peers.on_heartbeat("vm3", beat, now_s=10.5)
    history.step(2, NEW, peers, now_s=13.0)
    return list(history.open_lists)


@pytest.mark.parametrize(
    "state",
    [
        {"established": False},
        {"version": 2, "held_count": 3},
        {"version": 2, "young": True},
        {"stopping": True, "held_count": 1},
        {},
    ],
)
def test_departed_vm_that_may_hold_or_take_slots_keeps_a_list_open(state):
    assert history_after(**state) == [1]


@pytest.mark.parametrize("state", [{"version": 2}, {"stopping": True}])
def test_departed_vm_that_holds_nothing_for_good_closes_a_list(state):
    assert history_after(**state) == []


def test_word_that_a_vm_is_off_counts_after_its_pledges_ended():
    history = ListHistory("vm1")
    history.add(1, OLD, 1, now_s=10.0)
    history.off_s["vm3"] = 11.0
    history.step(2, NEW, PeerTable(1), now_s=12.0)
    assert list(history.open_lists) == [1]
    history.step(2, NEW, PeerTable(1), now_s=15.0)
    assert not history.open_lists
