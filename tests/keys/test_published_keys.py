"""Keys are random, published as digests, and looked up by digest."""

from __future__ import annotations

import hashlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianfold.codes import keys as codes
from gentianfold.configuration.key_table import KeyRecord, KeyState
from gentianfold.errors import Failure
from gentianfold.keys import (
    PublishedKeys,
    digest_key,
    format_record,
    new_key,
    parse_keys,
)

KEY, NEXT = new_key(), new_key()


def entry_line(key, customer="stall"):
    return format_record(KeyRecord(customer, digest_key(key)))


def test_a_key_has_its_shape_and_is_published_as_its_digest():
    assert KEY.startswith("gf_") and len(KEY) == 46
    assert KEY != NEXT
    assert digest_key(KEY) == hashlib.sha256(KEY.encode()).hexdigest()
    assert KEY not in entry_line(KEY)


def test_a_published_key_finds_its_customer_and_a_withdrawn_one_nobody():
    text = f"// keys\n\n{entry_line(KEY)}\r\n{entry_line(NEXT)}\n"
    table = parse_keys(text, "keys")
    assert isinstance(table, PublishedKeys), table
    assert table.find_customer(KEY) == table.find_customer(NEXT) == "stall"
    assert table.find_by_digest(digest_key(KEY)) == "stall"
    assert KEY not in repr(table)
    left = parse_keys(entry_line(NEXT), "keys")
    assert left.find_customer(KEY) is None
    assert left.find_by_digest(digest_key(KEY)) is None


def test_a_record_in_state_withdrawn_finds_nobody_and_leaves_room_for_others():
    withdrawn = KeyRecord("stall", digest_key(KEY), KeyState.WITHDRAWN)
    lines = [format_record(withdrawn), entry_line("a"), entry_line("b")]
    table = parse_keys("\n".join(lines), "keys")
    assert table.find_customer(KEY) is None
    assert table.find_by_digest(digest_key("a")) == "stall"


@pytest.mark.parametrize("text", ["", "x", KEY + "x", "gf_\udc80", "\u00e9" * 46])
def test_a_text_without_the_shape_of_a_key_finds_nobody(text):
    table = PublishedKeys.from_records([KeyRecord("stall", digest_key(text))])
    assert table.find_customer(text) is None


@pytest.mark.parametrize(
    ("lines", "code", "line"),
    [
        (["{"], codes.KEY_LINE_INVALID, 1),
        (["[" * 5000], codes.KEY_LINE_INVALID, 1),
        ([KEY], codes.KEY_LINE_INVALID, 1),
        (['{"customer": "a"}'], codes.KEY_LINE_INVALID, 1),
        (['{"customer": "a b", "digest": ""}'], codes.KEY_LINE_INVALID, 1),
        (['{"customer": "a", "digest": "00"}'], codes.KEY_LINE_INVALID, 1),
        ([entry_line(KEY), entry_line(KEY, "x")], codes.KEY_DUPLICATE, 2),
        ([entry_line(str(n)) for n in range(3)], codes.TOO_MANY_KEYS, 3),
        (["#" * ((1 << 20) + 1)], codes.KEYS_TOO_LARGE, 1),
    ],
)
def test_faults_are_reported_with_their_line_and_without_the_key(lines, code, line):
    failures = parse_keys("\n".join(lines), "keys")
    assert [(f.code, f.location.line) for f in failures] == [(code, line)]
    assert KEY not in str(failures)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.text(alphabet=st.characters(), max_size=200)
    | st.builds(
        lambda text, place: entry_line("k")[:place] + text + entry_line("k")[place:],
        st.text(max_size=3),
        st.integers(0, 100),
    )
)
def test_arbitrary_text_never_raises(text):
    result = parse_keys(text, "keys")
    assert isinstance(result, PublishedKeys) or all(
        isinstance(f, Failure) for f in result
    )
