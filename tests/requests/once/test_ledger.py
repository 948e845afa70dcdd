from __future__ import annotations

import pytest
from ledger_world import ANSWER, OPTIONS, VMS, LedgerWorld

from gentianfold.errors import Failure
from gentianfold.requests.once.messages import RunResult
from gentianfold.requests.once.records import CopyRule
from gentianfold.requests.once.tickets import Permission


def run(world: LedgerWorld, vm: str, key: bytes, result: RunResult) -> str:
    ticket = world.request(vm, key)
    world.settle()
    assert world.decisions[ticket] is Permission.RUN
    (permit,) = world.permits
    world.forward(permit)
    world.finish(permit, result)
    world.settle()
    return ticket


def ask(world: LedgerWorld, vm: str, key: bytes = b"k", digest: bytes = b"d") -> object:
    ticket = world.request(vm, key, digest)
    world.settle()
    decision = world.decisions.get(ticket)
    return decision.code.name if isinstance(decision, Failure) else decision


def test_record_is_on_three_vms_in_two_zones_before_the_request_runs():
    world = LedgerWorld()
    world.request("vm1", b"k")
    world.settle()
    assert len(world.permits) == 1
    holders = [vm for vm, ledger in world.ledgers.items() if len(ledger)]
    assert len(holders) == 3
    assert len({VMS[vm] for vm in holders}) == 3


@pytest.mark.parametrize(
    "result, repeat",
    [
        (RunResult.ANSWERED, ANSWER),
        (RunResult.UNKNOWN, "keyed-outcome-unknown"),
        (RunResult.NOT_RUN, Permission.RUN),
    ],
)
@pytest.mark.parametrize("moved", [False, True])
def test_repeat_gets_what_the_first_got(result, repeat, moved):
    world = LedgerWorld()
    run(world, "vm1", b"k", result)
    if moved:
        world.crash("vm0")
        world.own("vm5")
        world.believe("vm5")
        world.request("vm2", b"other")
        world.settle()
        world.now_s += OPTIONS.collect_timeout_s
        world.tick("vm5")
        world.settle()
    assert ask(world, "vm2") == repeat


def test_repeat_while_running_and_with_another_body():
    world = LedgerWorld()
    world.request("vm1", b"k")
    world.settle()
    assert ask(world, "vm2") == "keyed-in-progress"
    assert ask(world, "vm2", digest=b"e") == "idempotency-key-reused"
    world.now_s += OPTIONS.ticket_limit_s
    assert ask(world, "vm2") == "keyed-outcome-unknown"
    world.forward(world.permits[0])
    assert not world.ran, "the permission is over"


def test_zone_loss_loses_no_record():
    world = LedgerWorld()
    run(world, "vm1", b"k", RunResult.ANSWERED)
    for vm in ("vm0", "vm3"):
        world.crash(vm)
    world.own("vm4")
    world.believe("vm4")
    ask(world, "vm2")
    world.now_s += OPTIONS.collect_timeout_s
    world.tick("vm4")
    world.settle()
    assert ask(world, "vm2") == ANSWER
    assert ask(world, "vm2", b"new") is Permission.RUN


class LossesIgnored(CopyRule):
    """Copies as it should, and admits keys though all their holders may be gone."""

    def may_be_lost(self, missing):
        return False


def lose_all_holders(world: LedgerWorld) -> None:
    run(world, "vm1", b"k", RunResult.ANSWERED)
    for vm in ("vm0", "vm1", "vm2"):
        world.crash(vm)
        world.start(vm)
    world.own("vm3")
    world.believe("vm3")
    ask(world, "vm4")
    world.now_s += OPTIONS.collect_timeout_s
    world.tick("vm3")
    world.settle()


def test_second_run_follows_if_losses_are_ignored():
    world = LedgerWorld(LossesIgnored())
    lose_all_holders(world)
    with pytest.raises(AssertionError, match="ran twice"):
        world.forward(world.permits[0])


def test_lost_records_refuse_new_keys_for_the_retention_period():
    world = LedgerWorld()
    lose_all_holders(world)
    assert ask(world, "vm4", b"new") == "records-lost"
    world.now_s += OPTIONS.retention_s
    assert ask(world, "vm4", b"new") is Permission.RUN


def test_nothing_runs_without_a_home_or_copies():
    world = LedgerWorld()
    world.own("")
    world.believe("")
    assert ask(world, "vm1") == "key-home-in-doubt"
    world.own("vm0")
    world.believe("vm0")
    ask(world, "vm1", b"earlier")
    world.permits.clear()
    for vm in ("vm2", "vm3", "vm4", "vm5"):
        world.crash(vm)
    world.now_s += 1
    ticket = world.request("vm1", b"k")
    world.settle()
    for _ in range(3):
        world.now_s += 1
        for vm in ("vm0", "vm1"):
            world.tick(vm)
        world.settle()
    assert world.decisions[ticket].code.name in ("copies-missing", "key-home-in-doubt")
    assert not world.permits


def test_full_home_refuses_new_keys_and_forgets_none():
    world = LedgerWorld()
    run(world, "vm1", b"k", RunResult.ANSWERED)
    world.ledgers["vm0"]._table.max_records = 1
    assert ask(world, "vm1", b"new") == "ledger-full"
    assert ask(world, "vm1") == ANSWER
