"""Tests defaults and error locations of settings, and that no input raises."""

from __future__ import annotations

import json
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianfold.codes import settings as codes
from gentianfold.errors import Failure
from gentianfold.settings import (
    Endpoint,
    Settings,
    StoreSettings,
    load_settings,
    parse_settings,
)

GOOD = """\
// One VM.
{
  vm: "vm-1", zone: "z1", address: "10.0.0.7",
  "callers": "10.0.0.7:8080", /* two
  lines */ readiness: "10.0.0.7:0",
  operators: "10.0.0.7:8081",
  store: {endpoint: '10.0.0.1:8500', poll_s: 0.5},
  fleet: {seeds: ["10.0.0.8:8081"], },
  logging: {decisions: false, level: "debug"},
}
"""
TEMPLATE = (
    '{"vm": "v", "zone": "z", "address": "10.0.0.7", "callers": "10.0.0.7:8080",'
    ' "readiness": "10.0.0.7:8082", "operators": "10.0.0.7:8081",'
    ' "store": {"endpoint": "10.0.0.1:8500"},\n%s}'
)


def test_settings_are_loaded_with_defaults(tmp_path):
    path = tmp_path / "vm.json"
    path.write_text(GOOD)
    loaded = load_settings(path)
    assert isinstance(loaded, Settings), loaded
    assert (loaded.vm, loaded.zone, loaded.region) == ("vm-1", "z1", "default")
    assert loaded.callers == Endpoint("10.0.0.7", 8080)
    assert loaded.readiness.port == 0
    assert loaded.store == StoreSettings(
        endpoint=Endpoint("10.0.0.1", 8500), poll_s=0.5
    )
    assert loaded.fleet.seeds == (Endpoint("10.0.0.8", 8081),)
    assert loaded.retries.ratio == 0.2
    assert not loaded.logging.decisions
    assert loaded.caller_tls is None


def test_regions_of_zones_are_loaded():
    loaded = parse_settings(TEMPLATE % '"zones": {"z1": "north", "z-2": "south"}', "vm")
    assert isinstance(loaded, Settings)
    assert loaded.zones == {"z1": "north", "z-2": "south"}


def test_json_without_and_with_comments_give_equal_settings():
    text = TEMPLATE % '"region": "r"'
    loaded = parse_settings(text, "vm")
    assert isinstance(loaded, Settings) and loaded.region == "r"
    assert loaded == parse_settings("// a comment\n" + text, "vm")


@pytest.mark.parametrize(
    ("field", "code", "line", "hint"),
    [
        ("calers: 1", codes.SETTING_UNKNOWN, 2, "calers: there is no"),
        ("calers: 1", codes.SETTING_UNKNOWN, 2, "mean 'callers'"),
        ("fleet: {\nport_: 1}", codes.SETTING_UNKNOWN, 3, "fleet.port_"),
        ("machine: {\nmemory_mb: 0}", codes.SETTING_INVALID, 3, "from 32 to"),
        ("stop: {grace_s: NaN}", codes.SETTING_INVALID, 2, "number"),
        ("stop: {grace_s: Infinity}", codes.SETTING_INVALID, 2, "number"),
        ("stop: {grace_s: -1}", codes.SETTING_INVALID, 2, "number"),
        ("stop: {grace_s: true}", codes.SETTING_INVALID, 2, "number"),
        ("fleet: 3", codes.SETTING_INVALID, 2, "fleet: needs an object"),
        ("fleet: {port: 1.5}", codes.SETTING_INVALID, 2, "whole number"),
        ("fleet: {port: 1" + "0" * 400 + "}", codes.SETTING_INVALID, 2, "whole"),
        ("metrics: 'localhost:80'", codes.SETTING_INVALID, 2, "10.0.0.1:8500"),
        ("metrics: '10.0.0.7:65536'", codes.SETTING_INVALID, 2, "10.0.0.1:8500"),
        ("fleet: {seeds: ['10.0.0.7']}", codes.SETTING_INVALID, 2, "a list"),
        ("vm_name: 'x'", codes.SETTING_UNKNOWN, 2, "no such field"),
        ("caller_tls: {\nkey_file: 'k'}", codes.SETTING_MISSING, 2, "certificate"),
        ("metrics: '10.0.0.7:8080'", codes.SETTINGS_CONFLICT, 2, "same as callers"),
        ("stop: {settle_s: 9}", codes.SETTINGS_CONFLICT, 2, "longer than"),
        ("logging: {level: 'loud'}", codes.SETTING_INVALID, 2, "debug"),
        ("zones: {z1: 3}", codes.SETTING_INVALID, 2, "zones: needs an object"),
        ("zones: {'z 1': 'r'}", codes.SETTING_INVALID, 2, "zones: needs an object"),
        ("zones: ['r']", codes.SETTING_INVALID, 2, "zones: needs an object"),
        ("warmup: {overshoot: 0.5}", codes.SETTING_INVALID, 2, "from 1 to 100"),
        ("region: null", codes.SETTING_INVALID, 2, "name"),
        ("a: 1, a: 2", codes.SETTINGS_SYNTAX, 1, "twice"),
        ("region: }", codes.SETTINGS_SYNTAX, 2, "Unexpected"),
        ("a: " + "[" * 3000, codes.SETTINGS_SYNTAX, 1, "nested"),
    ],
)
def test_error_names_its_field_and_line(field, code, line, hint):
    failures = parse_settings(TEMPLATE % field, "vm")
    assert isinstance(failures, tuple), failures
    assert [(f.code, f.location.line) for f in failures] == [(code, line)]
    assert hint in failures[0].reason


def test_all_errors_are_reported_in_order_of_position():
    text = (
        '{\n"zone": 1,\n"fleet": {"x": 1},\n"callers": "h", "vm": "v",'
        '"address": "10.0.0.7", "operators": "10.0.0.7:1", "readiness": "10.0.0.7:2"}'
    )
    failures = parse_settings(text, "vm")
    assert [(f.code.number, f.location.line) for f in failures] == [
        (1004, 1),
        (1005, 2),
        (1003, 3),
        (1005, 4),
    ]


def test_unreadable_file_is_a_failure(tmp_path):
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


names = st.sampled_from(["vm", "zone", "callers", "fleet", "store", "x"])
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
