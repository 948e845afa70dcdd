from __future__ import annotations

import anyio
import anyio.lowlevel
import pytest
from ledger_world import Authority, LedgerWorld, WholeRoster

from gentianfold.clock import ManualClock
from gentianfold.codes.requests import OUTCOME_UNKNOWN, UPSTREAM_SHED
from gentianfold.errors import Failure
from gentianfold.requests.once.gate import OnceGate
from gentianfold.requests.once.ledger import OnceLedger
from gentianfold.requests.once.records import CopyRule, Member, StoredAnswer
from gentianfold.requests.proxy_request import Answer, ForwardResult

pytestmark = pytest.mark.anyio


def lone_gate() -> OnceGate:
    world = LedgerWorld()
    world.members, world.ledgers = [], {}
    ledger = OnceLedger(
        Member("vm0", 1, "zone0"),
        Authority(world, "vm0"),
        WholeRoster(world, 1e9),
        CopyRule(holders=1, zones=1),
    )
    return OnceGate(ledger, ManualClock(), lambda vm, message: None)


class Upstream:
    def __init__(self, result: ForwardResult) -> None:
        self.result = result
        self.runs = 0

    async def __call__(self, before_delivery) -> ForwardResult:
        self.runs += 1
        await anyio.lowlevel.checkpoint()
        if self.result.answer is not None:
            before_delivery(self.result.answer)
        return self.result


ANSWERED = ForwardResult(answer=Answer(200, [], b"booked"), status=200)


@pytest.mark.parametrize(
    "result, runs, repeat",
    [
        (ANSWERED, 1, StoredAnswer(200, (), b"booked")),
        (ForwardResult(failure=Failure(UPSTREAM_SHED)), 2, None),
        (ForwardResult(failure=Failure(OUTCOME_UNKNOWN)), 1, "keyed-outcome-unknown"),
        (ForwardResult(status=200), 1, "keyed-outcome-unknown"),
    ],
)
async def test_repeat_runs_only_if_the_first_did_not(result, runs, repeat):
    gate, upstream = lone_gate(), Upstream(result)
    first = await gate.run("stall", b"k", b"d", 1.0, upstream)
    second = await gate.run("stall", b"k", b"d", 1.0, upstream)
    assert first == result
    assert upstream.runs == runs
    found = second.code.name if isinstance(second, Failure) else second
    assert found == (repeat or result)


async def test_concurrent_repeats_run_once():
    gate, upstream = lone_gate(), Upstream(ANSWERED)
    found = []

    async def ask() -> None:
        found.append(await gate.run("stall", b"k", b"d", 1.0, upstream))

    async with anyio.create_task_group() as tasks:
        for _ in range(5):
            tasks.start_soon(ask)
    assert upstream.runs == 1
    refused = [one.code.name for one in found if isinstance(one, Failure)]
    assert refused == ["keyed-in-progress"] * 4


async def test_broken_delivery_leaves_the_outcome_unknown():
    gate = lone_gate()

    async def fail(before_delivery) -> ForwardResult:
        raise ConnectionError

    with pytest.raises(ConnectionError):
        await gate.run("stall", b"k", b"d", 1.0, fail)
    again = await gate.run("stall", b"k", b"d", 1.0, Upstream(ANSWERED))
    assert again.code.name == "keyed-outcome-unknown"
