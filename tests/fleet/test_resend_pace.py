"""A VM repeats its slot requests less often to a broker that is behind."""

from __future__ import annotations

import asyncio

import pytest
from placement.model import make_request, make_scheduler

from gentianfold.fleet.membership import Membership, Role
from gentianfold.fleet.messages import AcquireSlot, SlotRefused, decode, encode
from gentianfold.fleet.resend_pace import MAX_RESEND_TOKENS, ResendPace
from gentianfold.fleet.slot_client import SlotClient
from gentianfold.forwarding.placer import Placement
from gentianfold.placement.slot_request import RefusalReason


def test_a_broker_that_is_behind_is_given_more_time():
    # Each request was repeated after 50, 100 and 200 ms, whatever the broker's delay.
    pace = ResendPace(draw=lambda: 0.5)
    usual_s, queued_s = pace.delay_s(0, 10.0), pace.queued_delay_s(10.0)
    pace.record_behind(0.15, 10.0)
    assert pace.delay_s(0, 10.1) >= 2 * 0.15
    assert pace.queued_delay_s(10.1) > 2 * queued_s
    assert pace.delay_s(0, 12.0) == usual_s


def test_repeats_are_spread_and_bounded():
    pace = ResendPace()
    assert len({pace.delay_s(1, 10.0) for _ in range(20)}) > 10
    sent = 0
    for _ in range(200):
        pace.count_request()
        sent += sum(pace.try_resend() for _ in range(3))
    assert sent <= 0.5 * 200 + MAX_RESEND_TOKENS


class BusyBroker:
    """Refuses each slot request for want of time."""

    def __init__(self):
        self.client = None
        self.asked = []

    def send(self, vm, message):
        if isinstance(message, AcquireSlot):
            self.asked.append(decode(encode(message)))
            refused = SlotRefused(
                message.slot_request_id, RefusalReason.BROKER_BEHIND, 500, 0, 200
            )
            self.client.handle_reply("broker", refused, 10.0)


@pytest.mark.anyio
async def test_a_vm_places_what_its_broker_had_no_time_for():
    membership = Membership("vm", ("broker",))
    membership.role, membership.broker = Role.MEMBER, "broker"
    membership.last_reply_s = asyncio.get_running_loop().time()
    broker = BusyBroker()
    client = SlotClient("vm", make_scheduler(), membership, broker, lambda _: False)
    broker.client = client
    placement = await client.place(make_request(client.next_slot_request_id()))
    assert isinstance(placement, Placement)
    assert placement.granted_by == "member"
    assert len(broker.asked) == 1
