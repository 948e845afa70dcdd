"""Whatever bytes come in, the decoder answers with a value."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianfold.codes import peers as codes
from gentianfold.errors import Failure
from gentianfold.peers.codec import (
    Received,
    Unreadable,
    decode_message,
    encode_message,
)
from gentianfold.peers.incarnation import Incarnation
from gentianfold.peers.messages import (
    MAX_MESSAGE_BYTES,
    PROTOCOL,
    Answer,
    Envelope,
    Heartbeat,
    Notice,
    Question,
    RelayedRow,
    Unsupported,
)
from gentianfold.peers.replay_window import WINDOW, ReplayWindow

INCARNATION = Incarnation(5, 2**62)
ROW = RelayedRow(3, 4, 5, 6, 7, 8)
BODIES = [
    Heartbeat(1.5, None, 0.0, 3, 4, b"\x07", True, {"limits": b"x"}, (ROW,)),
    Question(1, "topic", b"payload"),
    Answer(1, 0, b""),
    Notice("topic", b"payload"),
    Unsupported(1),
]


@pytest.mark.parametrize("body", BODIES)
def test_messages_come_back_as_they_were(body):
    data = encode_message("vm-1", INCARNATION, 7, body)
    assert decode_message(data) == Received("vm-1", INCARNATION, 7, body)


def envelope(protocol, body):
    raw = msgspec.Raw(msgspec.msgpack.encode(body))
    return msgspec.msgpack.encode(Envelope(protocol, "vm-1", 1, 2, 3, raw))


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (envelope(PROTOCOL + 1, ["z", 1]), codes.PROTOCOL_UNSUPPORTED),
        (envelope(PROTOCOL, ["z", 1]), codes.MESSAGE_MALFORMED),
        (envelope(PROTOCOL, ["q", "no number"]), codes.MESSAGE_MALFORMED),
        (
            envelope(
                PROTOCOL, Heartbeat(1.0, None, 0.0, 1, 1, b"", relayed=(ROW,) * 257)
            ),
            codes.MESSAGE_MALFORMED,
        ),
        (
            envelope(PROTOCOL, Heartbeat(1.0, None, 0.0, -1, 1, b"")),
            codes.MESSAGE_MALFORMED,
        ),
    ],
)
def test_an_unreadable_body_still_names_its_sender(data, code):
    message = decode_message(data)
    assert isinstance(message, Unreadable) and message.failure.code is code
    assert message.sender == "vm-1"


def test_the_size_is_bounded_both_ways():
    large = Notice("topic", bytes(MAX_MESSAGE_BYTES))
    assert encode_message("vm-1", INCARNATION, 1, large).code is codes.MESSAGE_TOO_LARGE
    failure = decode_message(bytes(MAX_MESSAGE_BYTES + 1))
    assert failure.code is codes.MESSAGE_TOO_LARGE


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.sampled_from(BODIES),
    st.lists(st.tuples(st.integers(0, 200), st.integers(0, 255)), max_size=6),
    st.integers(0, 200),
)
def test_mutated_messages_never_raise(body, changes, length):
    data = bytearray(encode_message("vm-1", INCARNATION, 7, body))
    for place, value in changes:
        data[place % len(data)] = value
    cut = bytes(data[: max(length, 1)])
    assert isinstance(decode_message(cut), Received | Unreadable | Failure)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=300))
def test_random_bytes_never_raise(data):
    assert isinstance(decode_message(data), Received | Unreadable | Failure)


def test_deeply_nested_bytes_never_raise():
    assert isinstance(decode_message(b"\x91" * 100_000), Failure)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 3 * WINDOW), max_size=80))
def test_a_number_is_accepted_once(numbers):
    window, seen = ReplayWindow(), set()
    for seq in numbers:
        too_old = seen and seq <= max(seen) - WINDOW
        assert window.accept(seq) == (seq not in seen and not too_old)
        seen |= set() if too_old else {seq}
