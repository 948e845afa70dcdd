"""Settings load with defaults; every fault names its field and line."""

from __future__ import annotations

import json
import pickle
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianfold.codes import settings as codes
from gentianfold.errors import Failure
from gentianfold.settings import Secret, Settings, load_settings, parse_settings

PUBLIC, SECRET = "p" * 40, "s" * 40
IN_USE, NEXT = "x" * 32, "y" * 32
GOOD = """\
// One VM.
{
  vm: "vm-1", zone: "z1",
  "platform_urls": ["http://10.0.0.1:8500"], /* two
  lines */ operator_port: 0,
  peer_keys: {
    'fleet_secret': "IN_USE",
    next_fleet_secret: "NEXT",
  },
  limits: {max_connections: 10, header_timeout_s: 2.5},
  logging: {decisions: false, level: "debug"},
}
""".replace("IN_USE", IN_USE).replace("NEXT", NEXT)
BASE = '{"vm": "v", "zone": "z", "platform_urls": ["http://h"],\n%s}'


def test_settings_are_read_and_defaults_filled_in(tmp_path):
    path = tmp_path / "vm.json"
    path.write_text(GOOD)
    loaded = load_settings(path)
    assert isinstance(loaded, Settings), loaded
    assert (loaded.vm, loaded.zone, loaded.region) == ("vm-1", "z1", "default")
    assert loaded.platform_urls == ("http://10.0.0.1:8500",)
    assert (loaded.caller_port, loaded.operator_port) == (8080, 0)
    assert loaded.peer_keys.fleet_secret.reveal() == "x" * 32
    assert loaded.limits.max_connections == 10
    assert loaded.limits.header_timeout_s == 2.5
    assert loaded.limits.max_header_bytes == 32768
    assert not loaded.logging.decisions
    assert loaded.caller_tls is None


def test_secrets_are_never_shown():
    loaded = parse_settings(GOOD, "vm")
    assert "xxxx" not in repr(loaded) and "xxxx" not in str(loaded)
    assert Secret("a") == Secret("a") != Secret("b")
    with pytest.raises(TypeError):
        pickle.dumps(Secret("a"))
    short = parse_settings(GOOD.replace("x" * 32, "x" * 31), "vm")
    assert "xxxx" not in str(short) and short[0].location.line == 7


@pytest.mark.parametrize(
    ("field", "code", "line", "hint"),
    [
        ("caler_port: 1", codes.SETTING_UNKNOWN, 2, "caler_port: there is no"),
        ("caler_port: 1", codes.SETTING_UNKNOWN, 2, "mean 'caller_port'"),
        ("limits: {\nmax_conections: 1}", codes.SETTING_UNKNOWN, 3, "limits.max_con"),
        ("limits: {\nmax_connections: 0}", codes.SETTING_INVALID, 3, "from 1 to"),
        ("limits: {stop_timeout_s: NaN}", codes.SETTING_INVALID, 2, "number"),
        ("limits: {stop_timeout_s: Infinity}", codes.SETTING_INVALID, 2, "number"),
        ("limits: {stop_timeout_s: -1}", codes.SETTING_INVALID, 2, "number"),
        ("limits: {stop_timeout_s: true}", codes.SETTING_INVALID, 2, "number"),
        ("limits: 3", codes.SETTING_INVALID, 2, "limits: needs an object"),
        ("peer_port: 1.5", codes.SETTING_INVALID, 2, "whole number"),
        ("peer_port: 1" + "0" * 400, codes.SETTING_INVALID, 2, "whole number"),
        ("peer_host: 'localhost'", codes.SETTING_INVALID, 2, "IP number"),
        ("vm_name: 'x'", codes.SETTING_UNKNOWN, 2, "no such field"),
        ("caller_tls: {\nkey_file: 'k'}", codes.SETTING_MISSING, 2, "certificate"),
        ("peer_port: 8080", codes.SETTINGS_CONFLICT, 2, "same as caller_port"),
        ("logging: {level: 'loud'}", codes.SETTING_INVALID, 2, "debug"),
        ("region: null", codes.SETTING_INVALID, 2, "name"),
        (
            f"peer_keys: {{public_key: '{PUBLIC}', allowed_public_keys: ['{PUBLIC}']}}",
            codes.SETTINGS_CONFLICT,
            2,
            "needs secret_key",
        ),
        (
            "peer_keys: {allowed_public_keys: ['k']}",
            codes.SETTING_INVALID,
            2,
            "Z85",
        ),
        (
            f"peer_keys: {{\nnext_fleet_secret: '{NEXT}'}}",
            codes.SETTINGS_CONFLICT,
            3,
            "key in use",
        ),
        ("a: 1, a: 2", codes.SETTINGS_SYNTAX, 1, "twice"),
        ("region: }", codes.SETTINGS_SYNTAX, 2, "Unexpected"),
        ("a: " + "[" * 3000, codes.SETTINGS_SYNTAX, 1, "nested"),
    ],
)
def test_a_fault_names_its_field_and_line(field, code, line, hint):
    failures = parse_settings(BASE % field, "vm")
    assert isinstance(failures, tuple), failures
    assert [(f.code, f.location.line) for f in failures] == [(code, line)]
    assert hint in failures[0].reason


def test_a_key_pair_with_allowed_keys_is_accepted():
    keys = f"peer_keys: {{public_key: '{PUBLIC}', secret_key: '{SECRET}', "
    text = BASE % (keys + f"allowed_public_keys: ['{PUBLIC}']}}")
    loaded = parse_settings(text, "vm")
    assert loaded.peer_keys.allowed_public_keys == (PUBLIC,)
    assert SECRET not in repr(loaded)


def test_all_faults_are_reported_at_once_in_order():
    text = '{\n"zone": 1,\n"limits": {"x": 1},\n"platform_urls": ["ftp://h"]}'
    failures = parse_settings(text, "vm")
    assert [(f.code.number, f.location.line) for f in failures] == [
        (1004, 1),
        (1005, 2),
        (1003, 3),
        (1005, 4),
    ]


def test_an_unreadable_file_is_a_failure(tmp_path):
    binary = tmp_path / "binary"
    binary.write_bytes(b"\xff")
    for path in (tmp_path / "none", tmp_path, binary, "a\0b"):
        assert load_settings(path)[0].code is codes.SETTINGS_UNREADABLE


SETTINGS = settings(derandomize=True, max_examples=100, deadline=None)


@SETTINGS
@given(st.text(alphabet=st.characters(), max_size=40))
def test_arbitrary_text_never_raises(text):
    _assert_result(parse_settings(text, "vm"))


@SETTINGS
@given(st.randoms(use_true_random=False))
def test_a_damaged_text_never_raises(source: random.Random):
    text = list(GOOD)
    for _ in range(source.randint(1, 4)):
        place = source.randrange(len(text))
        action = source.randrange(3)
        if action == 0:
            del text[place : place + source.randint(1, 10)]
        elif action == 1:
            text.insert(place, chr(source.randrange(0x11000)))
        else:
            text[place] = source.choice("\n{}[]:,'\"/*-9\\e\x00")
    _assert_result(parse_settings("".join(text), "vm"))


names = st.sampled_from(["vm", "zone", "limits", "peer_keys", "platform_urls", "x"])
leaves = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3)
values = st.recursive(
    leaves, lambda inner: st.lists(inner, max_size=2) | st.dictionaries(names, inner)
)


@SETTINGS
@given(st.dictionaries(names, values, max_size=4))
def test_arbitrary_values_never_raise(value):
    _assert_result(parse_settings(json.dumps(value), "vm"))


def _assert_result(result):
    if isinstance(result, Settings):
        return
    assert result
    for failure in result:
        assert isinstance(failure, Failure) and failure.location
        str(failure).encode()
