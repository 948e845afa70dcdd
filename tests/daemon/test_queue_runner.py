"""Requests wait for scarce slots; a withdrawn key reaches those that wait."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from gentianfold.clock import ManualClock
from gentianfold.codes.routing import NO_FREE_SLOT
from gentianfold.daemon.published_view import Identity, PublishedView
from gentianfold.daemon.queue_runner import QueueRunner
from gentianfold.daemon.request_context import RequestContext
from gentianfold.errors import Failure
from gentianfold.model import Customer, PathKind, Route
from gentianfold.requests.proxy_request import ForwardResult, ProxyRequest

ROUTE = Route("r", frozenset(), "/", PathKind.PREFIX, "s", timeout_s=5.0)


@attrs.define
class OneSlot:
    """A runner and router of a service with one slot."""

    busy: bool = False
    order: list[str] = attrs.field(factory=list)
    release: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def run(self, context, request, caller, body=None, before_delivery=None):
        if self.busy:
            return ForwardResult(failure=Failure(NO_FREE_SLOT))
        self.busy = True
        self.order.append(request.customer)
        await self.release.wait()
        self.busy = False
        return ForwardResult(status=200, attempts=1)

    def free_slots(self, service, now_s):
        return 0 if self.busy else 1


class EmptyCaller:
    async def read(self):
        return b""


def request_of(customer):
    context = RequestContext(
        "id", {}, 0.0, ROUTE, Identity(Customer(customer), customer)
    )
    return context, ProxyRequest(b"id", "GET", b"/", [], ROUTE, 5.0, customer)


async def start(runner, *customers):
    tasks = [
        asyncio.ensure_future(runner.run(*request_of(one), EmptyCaller()))
        for one in customers
    ]
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return tasks


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.anyio
async def test_a_large_customer_does_not_shut_out_a_small_one():
    slot = OneSlot()
    runner = QueueRunner(slot, slot, PublishedView(), ManualClock())
    tasks = await start(runner, "large", "large", "large", "large", "small")
    slot.release.set()
    results = await asyncio.gather(*tasks)
    assert [result.status for result in results] == [200] * 5
    assert slot.order.index("small") <= 2


@pytest.mark.anyio
async def test_waiting_requests_are_refused_when_late_or_withdrawn():
    slot = OneSlot()
    clock = ManualClock()
    runner = QueueRunner(slot, slot, PublishedView(), clock)
    tasks = await start(runner, "first", "gone")
    runner.drop_withdrawn()
    refused = await tasks[1]
    assert refused.failure.code.name == "withdrawn-while-waiting"
    tasks += await start(runner, "late")
    clock.advance(6.0)
    runner.tick()
    late = await tasks[2]
    assert late.failure.code.name == "queue-deadline"
    assert runner.waiting_counts() == {"s": 0}
    slot.release.set()
    assert (await tasks[0]).status == 200
