"""Builds of several versions read each other's messages, whatever arrives."""

from __future__ import annotations

import math
from pathlib import Path

import msgspec
import pytest
from fleet.test_quota_fleet import make_fleet
from hypothesis import given, settings
from hypothesis import strategies as st
from placement.model import make_request

from gentianfold.fleet import messages
from gentianfold.fleet.messages import (
    Evacuations,
    Heartbeat,
    HeartbeatReply,
    RecallSlots,
    SlotUse,
    SlotUses,
    UpstreamCold,
    decode,
    encode,
    to_acquire_slot,
)
from gentianfold.fleet.protocol import NO_PROTOCOL, PROTOCOL
from gentianfold.fleet.store_revision import StoreRevision
from gentianfold.fleet.token_ask import LotReport, TokenAsk

RECORDED = {
    name: bytes.fromhex(data)
    for name, data in (
        line.split()
        for line in (Path(__file__).parent / "recorded" / "messages-98ec5f8.txt")
        .read_text()
        .splitlines()
    )
}
"""Datagrams that the build 98ec5f8 has encoded, with all fields stated, by message."""
LATER = (
    SlotUses((SlotUse(7, True, True, "search", "c1", True, 0, 240),), (8,)),
    RecallSlots(("desk",), ("u1",)),
    UpstreamCold("u3", 1_700_000_000_123, 1200),
)
"""Messages that this build does not know."""
EVACUATIONS = Evacuations(StoreRevision(1, 9), (("z2", StoreRevision(1, 8)),))
ASK = TokenAsk(4, (LotReport(3, True, (("c1", 2),)),), (("c1", 5),))

ODD_NUMBERS = (math.nan, math.inf, -math.inf, -1, 2**63 - 1, 2**64 - 1)


def fields_of(data):
    return msgspec.msgpack.decode(data)


def with_later_fields(name):
    """Return a recorded message with all fields that later builds state."""
    message = decode(RECORDED[name])
    if isinstance(message, Heartbeat):
        changes = {"evacuations": EVACUATIONS, "token_ask": ASK, "protocol": PROTOCOL}
    elif isinstance(message, HeartbeatReply):
        changes = {"evacuations": EVACUATIONS, "tokens": (("c1", 3),), "protocol": 1}
    else:
        return message
    return msgspec.structs.replace(message, **changes)


@pytest.mark.parametrize("name", RECORDED)
def test_a_message_of_the_earliest_build_is_read_in_full(name):
    message, recorded = decode(RECORDED[name]), fields_of(RECORDED[name])
    assert type(message).__name__ == name
    assert fields_of(encode(message))[: len(recorded)] == recorded
    assert getattr(message, "protocol", NO_PROTOCOL) == NO_PROTOCOL


@pytest.mark.parametrize("name", RECORDED)
def test_the_earliest_build_finds_its_fields_at_the_start_of_each_message(name):
    # It skips what follows; a message of an unknown tag it drops.
    recorded = fields_of(RECORDED[name])
    sent = fields_of(encode(with_later_fields(name)))
    assert sent[: len(recorded)] == recorded


def test_messages_that_the_earliest_build_does_not_know_have_tags_of_their_own():
    known = {fields_of(data)[0] for data in RECORDED.values()}
    assert known.isdisjoint({fields_of(encode(message))[0] for message in LATER})
    names = {*RECORDED, *(type(message).__name__ for message in LATER)}
    assert names == {row.__name__ for row in messages.Message.__args__}


def test_a_repeated_request_states_the_time_that_is_left_now():
    # Brokers of the earliest build read no age: they took each copy for a new request.
    message = to_acquire_slot(make_request(time_left_s=2.0, target_left_s=1.0), 0.5)
    assert (message.time_left_ms, message.target_left_ms) == (1500, 500)
    assert message.age_ms == 0


def datagrams():
    """Yield datagrams of this and the earliest build, and of builds to come."""
    sent = [encode(with_later_fields(name)) for name in RECORDED]
    for data in (*RECORDED.values(), *sent, *map(encode, LATER)):
        tag, *fields = fields_of(data)
        yield data
        yield msgspec.msgpack.encode([tag, *fields, 1, "later", [2], None])
        yield msgspec.msgpack.encode([99, *fields])
        for length in range(len(fields)):
            yield msgspec.msgpack.encode([tag, *fields[:length]])
        for odd in ODD_NUMBERS:
            yield msgspec.msgpack.encode([tag, *with_numbers(fields, odd)])


def with_numbers(value, odd):
    """Return a value with each number of the same type as an odd one replaced."""
    if isinstance(value, list):
        return [with_numbers(row, odd) for row in value]
    return odd if type(value) is type(odd) else value


@pytest.fixture(scope="module")
def nodes():
    """Return a broker and a member that take part in a fleet."""
    fleet = make_fleet(3)
    fleet.run(12, per_s=20)
    return [fleet.nodes[vm] for vm in ("vm0", "vm2")]


@pytest.mark.parametrize("sender", ("vm0", "vm1", "vm9"))
def test_longer_shorter_and_unknown_messages_raise_nothing(nodes, sender):
    for data in datagrams():
        message = decode(data)
        for node in nodes if message is not None else ():
            node.receive(sender, message)
            node.advance()


@given(data=st.data())
@settings(max_examples=300, deadline=None, database=None, derandomize=True)
def test_a_damaged_datagram_raises_nothing(nodes, data):
    datagram = bytearray(data.draw(st.sampled_from(list(datagrams()))))
    for _ in range(data.draw(st.integers(1, 3))):
        datagram[data.draw(st.integers(0, len(datagram) - 1))] = data.draw(
            st.integers(0, 255)
        )
    message = decode(bytes(datagram))
    for node in nodes if message is not None else ():
        node.receive(data.draw(st.sampled_from(["vm0", "vm1"])), message)
