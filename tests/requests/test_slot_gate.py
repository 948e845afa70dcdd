from __future__ import annotations

import anyio
import anyio.lowlevel
import pytest

from gentianfold.clock import ManualClock
from gentianfold.requests.fair_queue import Waiting
from gentianfold.requests.slot_gate import SlotGate

pytestmark = pytest.mark.anyio


def gate(slots: int = 1) -> tuple[SlotGate, ManualClock]:
    clock = ManualClock()
    made = SlotGate(clock)
    made.set_service("s", slots, 10)
    return made, clock


async def test_slots_are_handed_on_fairly_and_none_is_lost():
    made, _ = gate(slots=2)
    order: list[str] = []
    inside = 0

    async def request(customer: str) -> None:
        nonlocal inside
        assert await made.enter("s", Waiting("r", customer, 9.0)) is None
        inside += 1
        assert inside <= 2
        order.append(customer)
        await anyio.lowlevel.checkpoint()
        inside -= 1
        made.leave("s")

    async with anyio.create_task_group() as tasks:
        for _ in range(6):
            tasks.start_soon(request, "large")
        tasks.start_soon(request, "small")
    assert "small" in order[:4]
    assert await made.enter("s", Waiting("r", "a", 9.0)) is None
    assert await made.enter("s", Waiting("r", "a", 9.0)) is None


@pytest.mark.parametrize("end", ["late", "key", "customer"])
async def test_waiting_request_is_refused(end):
    made, clock = gate()
    await made.enter("s", Waiting("r1", "a", 9.0))
    found = []

    async def wait() -> None:
        found.append(await made.enter("s", Waiting("r2", "a", 9.0, key="k")))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait)
        await anyio.sleep(0.01)
        if end == "late":
            clock.advance(10.0)
            made.tick()
        elif end == "key":
            made.remove_key("k")
        else:
            made.remove_customer("a")
    expected = {"late": 503}.get(end, 401)
    assert found[0].code.status == expected
    assert made.waiting_count("s") == 0


async def test_cancelled_request_leaves_the_queue_and_returns_its_slot():
    made, _ = gate()
    await made.enter("s", Waiting("r1", "a", 9.0))

    async def enter_and_leave() -> None:
        if await made.enter("s", Waiting("r3", "a", 9.0)) is None:
            made.leave("s")

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(made.enter, "s", Waiting("r2", "a", 9.0))
        await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    assert made.waiting_count("s") == 0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(enter_and_leave)
        await anyio.sleep(0.01)
        made.leave("s")
        tasks.cancel_scope.cancel()
    with anyio.fail_after(5.0):
        assert await made.enter("s", Waiting("r4", "a", 9.0)) is None
