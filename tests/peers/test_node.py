"""Nodes exchange questions and notices over a faulty network."""

from random import Random

import anyio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianfold.codes import peers as codes
from gentianfold.configuration.vm_list import VmList, encode_vm_list, parse_vm_list
from gentianfold.errors import Failure
from gentianfold.peers.codec import encode_message
from gentianfold.peers.memory_fleet import MemoryFleet
from gentianfold.peers.memory_link import MemoryNetwork
from gentianfold.peers.messages import (
    PROTOCOL,
    Answer,
    Envelope,
    Heartbeat,
    Notice,
    Question,
    Unsupported,
)
from gentianfold.peers.node import MAX_MESSAGES_PER_S

A, B = "vm-000", "vm-001"


def fleet_of(size, **faults):
    fleet = MemoryFleet(size, MemoryNetwork(Random(3), **faults))
    fleet.run(2.0)
    return fleet


def ask(fleet, topic, timeout_s=0.5):
    answers = []
    fleet.vms[A].node.request(B, topic, b"ping", timeout_s, answers.append)
    fleet.run(1.0)
    return answers


def test_a_question_is_answered_once_even_if_messages_come_twice():
    fleet = fleet_of(2, doubled=0.5, jitter_s=0.05)
    handled = []

    def handler(request):
        handled.append(request.peer)
        request.reply(request.payload + b" pong")

    fleet.vms[B].node.handle("echo", handler)
    answers = [answer for _ in range(20) for answer in ask(fleet, "echo")]
    assert answers == [b"ping pong"] * 20 and handled == [A] * 20


@pytest.mark.parametrize(
    ("topic", "cut", "code"),
    [
        ("nothing", (), codes.TOPIC_UNKNOWN),
        ("never", (), codes.PEER_TIMEOUT),
        ("refuse", (), codes.CONTENT_ABSENT),
        ("refuse", (A, B), codes.PEER_TIMEOUT),
        ("refuse", (B, A), codes.PEER_TIMEOUT),
    ],
)
def test_failures_are_values(topic, cut, code):
    fleet = fleet_of(2)
    node = fleet.vms[B].node
    node.handle("never", lambda request: None)
    node.handle("refuse", lambda r: r.reply(Failure(codes.CONTENT_ABSENT, "why")))
    fleet.network.cuts |= {cut} if cut else set()
    (failure,) = ask(fleet, topic)
    assert failure.code is code
    assert failure.reason == "why" or code is not codes.CONTENT_ABSENT


def test_a_late_answer_is_dropped():
    fleet, late = fleet_of(2), []
    fleet.vms[B].node.handle("late", lambda request: late.append(request.reply))
    (failure,) = ask(fleet, "late")
    late[0](b"too late")
    fleet.run(1.0)
    assert failure.code is codes.PEER_TIMEOUT


def test_an_answer_to_an_earlier_incarnation_answers_nothing():
    fleet, held, answers = fleet_of(2), [], []
    fleet.vms[B].node.handle("late", held.append)
    for _ in range(2):
        node = fleet.vms[A].node
        node.request(B, "late", b"", 5.0, answers.append)
        fleet.run(0.2)
        if len(held) == 1:
            fleet.start(A)
            fleet.run(1.5)
    held[0].reply(b"to the earlier one")
    held[1].reply(b"to the later one")
    fleet.run(0.2)
    assert answers == [b"to the later one"]


@pytest.mark.anyio
async def test_asking_an_unknown_peer_fails_at_once():
    fleet = fleet_of(2)
    answer = await fleet.vms[A].node.ask("vm-009", "echo", b"", 5.0)
    assert answer.code is codes.PEER_UNREACHABLE
    fleet.vms[B].node.handle("echo", lambda request: request.reply(b"pong"))
    async with anyio.create_task_group() as tasks:
        answers = []

        async def wait():
            answers.append(await fleet.vms[A].node.ask(B, "echo", b"", 5.0))

        tasks.start_soon(wait)
        await anyio.wait_all_tasks_blocked()
        fleet.run(0.5)
    assert answers == [b"pong"]


def test_extensions_travel_with_heartbeats():
    fleet, seen = fleet_of(2), []

    class Extension:
        def compose(self, peer, now_s):
            return f"for {peer}".encode()

        def on_heartbeat(self, received, heartbeat, payload, now_s):
            seen.append((received.sender, payload))
            assert heartbeat.echo_sent_s is not None

    for vm in fleet.vms.values():
        vm.node.extend("limits", Extension())
    fleet.run(1.1)
    assert set(seen) == {(A, b"for vm-001"), (B, b"for vm-000")}


def test_a_later_protocol_is_answered_and_garbage_is_counted():
    fleet = fleet_of(2)
    node = fleet.vms[A].node
    sent_bytes = fleet.network.sent_bytes[A]
    for seq in range(50):
        later = Envelope(PROTOCOL + 1, B, 1, 1, seq, msgspec.Raw(b"\x90"))
        node.receive(msgspec.msgpack.encode(later))
        node.receive(b"garbage")
    assert node.dropped == 100
    assert 0 < fleet.network.sent_bytes[A] - sent_bytes < 100
    fleet.run(1.0)
    assert fleet.vms[B].node.table.live() == {A}


class SentTimes:
    def __init__(self):
        self.times_s = []

    def compose(self, peer, now_s):
        return b""

    def on_heartbeat(self, received, heartbeat, payload, now_s):
        self.times_s.append(heartbeat.sent_s)


def test_subsystems_never_see_heartbeats_out_of_order():
    fleet, seen = fleet_of(2, jitter_s=3.0, doubled=0.3), SentTimes()
    for vm in fleet.vms.values():
        vm.node.extend("limits", seen if vm.name == A else SentTimes())
    fleet.run(60.0)
    assert len(seen.times_s) > 10 and seen.times_s == sorted(set(seen.times_s))


SAMPLES = [
    Heartbeat(1.0, 0.5, 0.1, 3, 4, b"\x07", False, {"limits": b"x"}),
    Question(1, "configuration", msgspec.msgpack.encode(("root", 0))),
    Question(2, "configuration", b"\xc1"),
    Answer(1, 4009, b"\xff"),
    Notice("configuration", b""),
    Unsupported(0),
]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.sampled_from(SAMPLES),
    st.lists(st.tuples(st.integers(0, 80), st.integers(0, 255)), max_size=3),
)
def test_mutated_messages_of_a_listed_peer_do_no_harm(body, changes):
    fleet = MemoryFleet(2)
    fleet.run(0.5)
    node, incarnation = fleet.vms[A].node, fleet.vms[B].node.table.incarnation
    data = bytearray(encode_message(B, incarnation, 1000, body))
    for place, value in changes:
        data[place % len(data)] = value
    node.receive(bytes(data))
    fleet.run(0.5)
    assert node.table.rows.keys() == {B} and node.store.version == 0


def test_a_peer_that_hears_nothing_is_redialled_with_backoff():
    fleet = fleet_of(2)
    fleet.network.cuts.add((A, B))
    fleet.run(60.0)
    deaf, hearing = fleet.vms[A].node.link, fleet.vms[B].node.link
    assert 4 <= deaf.redials <= 8
    fleet.network.cuts.clear()
    fleet.run(5.0)
    redials = deaf.redials, hearing.redials
    fleet.run(30.0)
    assert (deaf.redials, hearing.redials) == redials


def test_a_flood_of_one_peer_is_cut_off():
    fleet, handled = fleet_of(2), []
    fleet.vms[A].node.handle("topic", handled.append)
    for _ in range(MAX_MESSAGES_PER_S + 500):
        fleet.vms[B].node.tell(A, "topic", b"")
    fleet.run(0.1)
    assert MAX_MESSAGES_PER_S - 10 < len(handled) <= MAX_MESSAGES_PER_S
    fleet.run(2.0)
    fleet.vms[B].node.tell(A, "topic", b"last")
    fleet.run(0.1)
    assert handled[-1].payload == b"last"


def test_a_peer_that_was_off_the_list_for_a_while_is_heard_again():
    fleet = fleet_of(2)
    fleet.run(30.0)
    listed = parse_vm_list(fleet.values["vms"])
    store = fleet.vms[A].store
    store.offer_vm_list(encode_vm_list(VmList(2, listed.vms[:1])))
    store.offer_vm_list(encode_vm_list(VmList(3, listed.vms)))
    fleet.run(5.0)
    assert fleet.vms[B].node.table.live() == {A}
    assert fleet.vms[A].node.table.live() == {B}


def test_an_old_incarnation_is_not_listened_to():
    fleet = fleet_of(2)
    old = fleet.vms[B]
    fleet.start(B)
    fleet.run(2.0)
    row = fleet.vms[A].node.table.rows[B]
    assert row.incarnation > old.node.table.incarnation
    dropped = fleet.vms[A].node.dropped
    old.node.tell(A, "topic", b"")
    fleet.run(0.2)
    assert fleet.vms[A].node.dropped == dropped + 1
