"""VMs that leave in turn take no record with them."""

from __future__ import annotations

import pytest
from ledger_world import LedgerWorld

from gentianfold.requests.once.handover import Handover


def leave_in_turn() -> LedgerWorld:
    """Run a request, stop every VM that holds its record, and repeat it."""
    world = LedgerWorld()
    home, *others = sorted(world.ledgers)
    world.own(home)
    world.believe(home)
    claim(world, others[0])
    holders = [vm for vm, ledger in world.ledgers.items() if len(ledger)]
    assert len(holders) == 3
    for vm in holders:
        world.stop(vm)
    heir = next(vm for vm in sorted(world.ledgers) if vm not in holders)
    world.own(heir)
    world.believe(heir)
    claim(world, heir)
    return world


def claim(world: LedgerWorld, vm: str) -> None:
    world.request(vm, b"k1")
    world.settle()
    for permit in list(world.permits):
        world.forward(permit)


def test_a_repeat_finds_the_record_after_all_its_holders_left():
    world = leave_in_turn()
    assert len(world.runs["stall", b"k1"]) == 1


def test_leaving_without_handing_records_over_is_caught(monkeypatch):
    monkeypatch.setattr(Handover, "_is_safe", lambda self, record: True)
    with pytest.raises(AssertionError, match="ran twice"):
        leave_in_turn()
