"""The broker's work for the fleet's upkeep grows with the fleet, not with its square."""

from __future__ import annotations

from collections import Counter

import attrs
import pytest
from loguru import logger

from gentianfold.fleet.broker import Broker
from gentianfold.fleet.membership import capacity_of
from gentianfold.fleet.messages import Heartbeat, HeartbeatReply
from gentianfold.fleet.node_view import NodeView
from gentianfold.fleet.store_revision import NO_REVISION
from gentianfold.model import Configuration
from gentianfold.placement.slot_scheduler import SlotScheduler

ZONES = 6


@attrs.define
class CountingTransport:
    counts: Counter = attrs.field(factory=Counter)
    sources: dict = attrs.field(factory=dict)

    def send(self, vm, message):
        self.counts[type(message)] += 1
        if isinstance(message, HeartbeatReply) and message.configuration_source:
            self.sources[vm] = message.configuration_source


def heartbeat(number, version):
    zone = f"z{number % ZONES}"
    return Heartbeat(1, zone, 0.4, 20.0, version, 0, NO_REVISION, ())


@pytest.mark.parametrize("size", (30, 290))
def test_a_change_of_the_configuration_takes_a_few_messages_for_each_member(size):
    # Each member that had the change made the broker tell all others again.
    logger.disable("gentianfold")
    view, transport = NodeView(), CountingTransport()
    broker = Broker("broker", 1, (), SlotScheduler(), transport, view)
    broker.start(0, 100.0)
    for number in range(size):
        broker.handle_heartbeat(f"vm{number}", heartbeat(number, 0), 100.0, 100.0)
    view.routing.update_configuration(Configuration(7, (), frozenset(), {}, {}))
    transport.counts.clear()
    broker.distribute_configuration(100.1, 100.1)
    now_s, holders = 100.1, set()
    while len(holders) < size:
        now_s += 0.01
        fetched = [vm for vm in transport.sources if vm not in holders]
        assert fetched
        for vm in fetched:
            holders.add(vm)
            number = int(vm.removeprefix("vm"))
            broker.handle_heartbeat(vm, heartbeat(number, 7), now_s, now_s)
    assert transport.counts[HeartbeatReply] <= 3 * size


@pytest.mark.parametrize(
    ("link_mbps", "stale_s", "successor"),
    ((200.0, 1.5, "vm1"), (5.0, 1.5, None), (5.0, 4.5, "vm1")),
)
def test_a_busy_broker_does_not_hand_over_to_a_weak_reader_of_the_store(
    link_mbps, stale_s, successor
):
    # It read the store late under its load; the weakest VM took over, and fell silent.
    logger.disable("gentianfold")
    view = NodeView()
    broker = Broker("broker", 1, (), SlotScheduler(), CountingTransport(), view)
    broker.start(0, 100.0)
    view.store_read_s = 100.0
    now_s = 100.0 + stale_s
    reader = Heartbeat(1, "z1", 2.0, link_mbps, 1, 100, NO_REVISION, ())
    broker.handle_heartbeat("vm1", reader, now_s, now_s)
    assert broker.advance(now_s, capacity_of(2.0, 200.0)) == successor
