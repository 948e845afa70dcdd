"""A broker that can't read the store hands over to a member that carries the fleet."""

from __future__ import annotations

import attrs
from fleet.test_broker_load import CountingTransport
from loguru import logger

from gentianfold.fleet.broker import Broker
from gentianfold.fleet.messages import Heartbeat
from gentianfold.fleet.node_view import NodeView
from gentianfold.fleet.protocol import PROTOCOL
from gentianfold.fleet.store_revision import NO_REVISION, StoreRevision
from gentianfold.placement.slot_scheduler import SlotScheduler


def make_broker(*members):
    """Return a broker that read the store last at 10.0 s.

    Args:
        members: Name, processor share (cores), link (megabits per second), age of the
            store read (milliseconds) and whether it is cut off, of each member.
    """
    logger.disable("gentianfold")
    broker = Broker("b", 1, (), SlotScheduler(), CountingTransport(), NodeView())
    broker.start(0, 10.0)
    broker.view.store_read_s = 10.0
    for name, cpu_share, link_mbps, store_age_ms, is_cut_off in members:
        heartbeat = Heartbeat(
            1,
            "z1",
            cpu_share,
            link_mbps,
            0,
            store_age_ms,
            NO_REVISION,
            (),
        )
        broker.handle_heartbeat(name, heartbeat, 11.0, 11.0)
        member = broker.member_table.members[name]
        broker.member_table.members[name] = attrs.evolve(member, is_cut_off=is_cut_off)
    return broker


def test_the_strongest_member_with_a_fresh_read_follows():
    # The one with the newest read did: a VM with 0.43 cores and 10 Mbit/s, which could
    # not answer 950 slot requests a second, so that half of the members lost it.
    broker = make_broker(
        ("weak", 0.43, 10.0, 10, False),
        ("strong", 0.72, 200.0, 500, False),
        ("stale", 0.8, 200.0, 900, False),
        ("cut", 0.8, 200.0, 100, True),
    )
    assert broker.advance(11.15) is None
    assert broker.advance(11.3) == "strong"


def test_a_weak_member_follows_if_no_strong_one_reads_the_store():
    broker = make_broker(
        ("weak", 0.43, 10.0, 10, False), ("strong", 0.72, 200.0, 900, False)
    )
    assert broker.advance(11.3) is None
    assert broker.advance(11.55) == "weak"


def test_a_broker_without_upstreams_hands_over_to_a_member_that_knows_them():
    # A VM that was killed and started anew while the store was down got the heartbeats
    # of its members again, and refused all their requests.
    broker = make_broker(
        ("new", 0.8, 200.0, -1, False),
        ("weak", 0.43, 10.0, -1, False),
        ("strong", 0.72, 200.0, -1, False),
    )
    broker.view.store_read_s = None
    members = broker.member_table.members
    for name in ("weak", "strong"):
        revision = StoreRevision(1, 5)
        members[name] = attrs.evolve(members[name], upstreams_revision=revision)
    assert broker.advance(11.15) == "strong"
    broker.view.upstreams.advance(StoreRevision(1, 4))
    assert broker.advance(11.15) is None


def test_of_nearly_equal_members_one_with_this_build_follows():
    # Older builds grant upstreams of evacuated zones, and cold ones without a bound.
    broker = make_broker(
        ("older", 0.72, 200.0, 10, False), ("newer", 0.65, 200.0, 500, False)
    )
    members = broker.member_table.members
    members["newer"] = attrs.evolve(members["newer"], protocol=PROTOCOL)
    assert broker.advance(11.3) == "newer"
