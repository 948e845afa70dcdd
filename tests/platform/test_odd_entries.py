"""An odd entry in the store is one upstream less; the others are followed."""

from __future__ import annotations

import base64
import json

import pytest
from placement.model import make_upstream

from gentianfold.errors import Failure
from gentianfold.fleet.messages import decode
from gentianfold.platform.wire import (
    MAX_SLOTS,
    MAX_WARMUP_MS,
    decode_configuration,
    decode_events,
    decode_items,
    decode_upstream,
)
from gentianfold.platform.wire_encoding import encode_item, encode_upstream

DEEP = b"[" * 5000 + b"]" * 5000


def entry(**changes):
    document = json.loads(encode_upstream(make_upstream("u1", 3)))
    for path, value in changes.items():
        node = document
        *parents, last = path.split("__")
        for parent in parents:
            node = node[parent]
        node[last] = value
    return json.dumps(document).encode()


ODD = {
    "deep": b'{"unknown":' + DEEP + b"," + entry()[1:],
    "all deep": DEEP,
    "port of 5,000 digits": entry(address="10.0.0.1:" + "9" * 5000),
    "superscript port": entry(address="10.0.0.1:\u00b2"),
    "port 0": entry(address="10.0.0.1:0"),
    "port out of range": entry(address="10.0.0.1:99999"),
    "no port": entry(address="10.0.0.1"),
    "host name": entry(address="registry:80"),
    "slots": entry(info__slots=10**30),
    "slots out of range": entry(info__slots=MAX_SLOTS + 1),
    "no slots": entry(info__slots=0),
    "warm-up": entry(status__warmup_left_ms=1e308),
    "warm-up out of range": entry(status__warmup_left_ms=MAX_WARMUP_MS + 1),
    "sequence": entry(status__sequence=1 << 64),
    "start": entry(born=10**400),
    "negative start": entry(born=-1),
    "service": entry(info__service="s" * 100_000),
    "state": entry(status__state="resting"),
    "bytes": b"\xff\xfe",
    "surrogate": entry(info__zone="\ud800"),
    "empty": b"",
}


@pytest.mark.parametrize("name", ODD)
def test_an_odd_entry_names_no_upstream(name):
    decoded = decode_upstream(encode_item("servers/u1", ODD[name], 7), 0)
    assert (decoded.name, decoded.is_deleted) == ("u1", True)


def test_a_sound_entry_names_one():
    decoded = decode_upstream(encode_item("servers/u1", entry(), 7), 0)
    assert (decoded.name, decoded.is_deleted) == ("u1", False)
    assert decoded.host == "10.0.0.1"


SOUND = {"key": "servers/u1", "rev": 7, "value": base64.b64encode(entry()).decode()}
ODD_ITEMS = (
    {"key": "servers/odd", "rev": 10**30, "value": ""},
    {"key": "servers/odd", "rev": "seven", "value": ""},
    {"key": "servers/odd", "rev": 7, "value": {"a": 1}},
    {"key": "servers/odd"},
    {"key": 5, "rev": 7},
    {},
    None,
    [[[]]],
)


@pytest.mark.parametrize("odd", ODD_ITEMS)
@pytest.mark.parametrize("decode_page", (decode_items, decode_events))
def test_a_page_is_followed_despite_an_odd_item(decode_page, odd):
    # One malformed item made the VM refuse the page whenever it read it.
    member = "items" if decode_page is decode_items else "events"
    body = json.dumps({member: [SOUND, odd, SOUND], "store_revision": 9}).encode()
    page = decode_page(body, 0)
    items = getattr(page, member)
    sound = [item for item in items if item.key == "servers/u1"]
    assert [item.rev for item in sound] == [7, 7]
    rest = [item for item in items if item.key != "servers/u1"]
    assert all(decode_upstream(item, 0).is_deleted for item in rest)


@pytest.mark.parametrize("decode_page", (decode_items, decode_events))
def test_a_page_that_is_too_deep_is_malformed(decode_page):
    member = b"items" if decode_page is decode_items else b"events"
    body = b'{"%b":[%b],"store_revision":9}' % (member, DEEP)
    assert decode_page(body, 0) is None
    assert decode_page(DEEP, 0) is None


@pytest.mark.parametrize(
    "document",
    (
        DEEP,
        b'{"version":"r' + b"9" * 5000 + b'","routes":[],"services":[]}',
        b'{"version":"r%d","routes":[],"services":[]}' % (1 << 64),
        b'{"version":"r-1","routes":[],"services":[]}',
        b'{"version":"r1","routes":[],"services":[],"unknown":' + DEEP + b"}",
    ),
)
def test_an_odd_configuration_is_a_failure(document):
    assert isinstance(decode_configuration(document), Failure)


@pytest.mark.parametrize(
    ("kind", "is_idempotent"),
    [
        ("idempotent", True),
        ("download", True),
        ("non_idempotent", False),
        ("unheard_of", False),
    ],
)
def test_a_kind_of_route_that_is_not_known_runs_once(kind, is_idempotent):
    # Downloads counted as requests that run once: a failed one was not tried again.
    route = {"name": "a", "host": "h", "path_prefix": "/a/", "kind": kind}
    document = {"version": "r1", "routes": [route], "services": []}
    configuration = decode_configuration(json.dumps(document).encode())
    assert [row.idempotent for row in configuration.routes] == [is_idempotent]


def test_a_datagram_that_is_too_deep_is_dropped():
    assert decode(b"\x91" * 100_000 + b"\x01") is None
