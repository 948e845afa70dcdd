"""A request keeps its place in a broker's queue while datagrams are lost or saved."""

from __future__ import annotations

import asyncio

import anyio
import pytest
from placement.model import make_request, make_scheduler

from gentianfold.fleet.membership import Membership, Role
from gentianfold.fleet.messages import AcquireSlot, ReleaseSlot, SlotGranted, SlotQueued
from gentianfold.fleet.resend_pace import ResendPace
from gentianfold.fleet.slot_client import SlotClient
from gentianfold.forwarding.placer import Placement
from gentianfold.model import Customer, RateLimit

pytestmark = pytest.mark.anyio


class QueueingBroker:
    """Queues requests, and grants a slot after some time.

    ``lost`` are the numbers of the requests, repeated ones among them, that are lost.
    """

    def __init__(self, wait_s, lost=()):
        self.client = None
        self.wait_s, self.lost = wait_s, lost
        self.asked, self.released = [], []
        self.dead = set()

    def send(self, vm, message):
        loop = asyncio.get_running_loop()
        if isinstance(message, ReleaseSlot):
            self.released.append(vm)
            return
        if not isinstance(message, AcquireSlot) or vm in self.dead:
            return
        self.asked.append((vm, message.slot_request_id))
        number = message.slot_request_id
        if len(self.asked) - 1 in self.lost:
            return
        if self.asked.count((vm, number)) == 1:
            loop.call_later(self.wait_s, self.grant, vm, number)
        self.client.handle_reply(vm, SlotQueued(number), loop.time())

    def grant(self, vm, number):
        if vm in self.dead:
            return
        now_s = asyncio.get_running_loop().time()
        granted = SlotGranted(number, "u0", "10.0.0.1", 80, 200, 0, 1)
        self.client.handle_reply(vm, granted, now_s)


def make_client(broker, pace=None):
    membership = Membership("vm", ("broker",))
    membership.role, membership.broker = Role.MEMBER, "broker"
    membership.last_reply_s = asyncio.get_running_loop().time() + 60
    scheduler = make_scheduler()
    scheduler.quota.replace_customers({"c": Customer("c", limit=RateLimit(5.0, 5.0))})
    scheduler.set_share(0.0, 0.0, asyncio.get_running_loop().time())
    broker.client = SlotClient(
        "vm", scheduler, membership, broker, lambda _: False, pace=pace or ResendPace()
    )
    return broker.client


def late_request(client, **changes):
    """Return a request that has missed its target and has time until its deadline."""
    number = client.next_slot_request_id()
    times = {"time_left_s": 8.0, "target_left_s": -0.1}
    return make_request(number, **{**times, **changes})


@pytest.mark.parametrize("customer", ["", "c"])
async def test_a_place_is_kept_without_tokens_to_confirm_it(customer):
    # Tries that were not sent counted as unanswered: with many waiting, places were
    # given up after 0.35 s.
    broker = QueueingBroker(wait_s=2.0)
    client = make_client(broker, ResendPace(tokens=0.0))
    placed = await client.place(late_request(client, customer=customer))
    assert isinstance(placed, Placement) and placed.granted_by == "broker"
    assert not broker.released
    # Without tokens places are confirmed once in a second.
    assert len(broker.asked) <= 4


async def test_one_lost_datagram_costs_no_place():
    broker = QueueingBroker(wait_s=3.0, lost={4, 7})
    client = make_client(broker)
    placed = await client.place(late_request(client, customer="c"))
    assert isinstance(placed, Placement) and placed.granted_by == "broker"


async def test_a_waiting_retry_asks_the_next_broker():
    # It asked this VM, whose part of the retry budget the broker held.
    broker = QueueingBroker(wait_s=1.0)
    client = make_client(broker)

    async def change_broker():
        await anyio.sleep(0.3)
        broker.dead.add("broker")
        client.membership.broker = "next"

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(change_broker)
        request = late_request(client, attempt=2)
        placed = await client.place(request)
    assert isinstance(placed, Placement) and placed.granted_by == "next"
