"""Commands that ask operator ports: tables, JSON, silent and odd VMs."""

from __future__ import annotations

import json
import time

import pytest
from operator_port import operator_port

from gentianfold.cli._fleet_status import FleetStatus
from gentianfold.cli._operator_client import VmAddress
from gentianfold.cli._vm_status import CustomerStatus, VmStatus
from gentianfold.cli.decisions import names
from gentianfold.cli.main import run
from gentianfold.cli.top import measure_rates
from gentianfold.errors import Failure

STATUS = {
    "vm": "vm-1",
    "zone": "z1",
    "state": "serving",
    "configuration_version": 7,
    "uptime_s": 3723.5,
    "peers": [{"vm": "vm-2", "zone": "z2", "state": "alive", "incarnation": 1}],
    "upstreams": [
        {
            "name": "registry-1",
            "service": "registry",
            "zone": "z1",
            "state": "ejected",
            "weight": 0.5,
            "in_flight": 2,
            "reason": "timeouts\x1b[2J",
        }
    ],
    "customers": [
        {
            "name": "stall",
            "rate_per_s": 50,
            "burst": 100,
            "admitted": 10,
            "refused": 3,
            "refused_by": {"5001": 3},
        }
    ],
    "shares": {"held": 512, "total": 1024, "suspended": False},
    "unknown": [1],
}
CLOSED = "127.0.0.1:1"


def test_status_sums_up_vms_as_tables(capsys):
    port = operator_port({"GET /status": STATUS})
    with port as (one, _), operator_port({"GET /status": STATUS}) as (other, _):
        assert run(["status", "--vm", one, "--vm", other]) == 0
    lines = [line.split() for line in capsys.readouterr().out.splitlines()]
    vm = ["vm-1", "z1", "serving", "7", "1:02:03", "alive", "512/1024"]
    assert lines.count(vm) == 2
    upstream = ["registry-1", "registry", "z1", "ejected:2", "0.5", "4"]
    assert [*upstream, "timeouts?[2J"] in lines
    assert ["stall", "50", "100", "20", "6", "5001:6"] in lines


@pytest.mark.parametrize("answer", [{}, {"peers": None, "shares": {}, "vm": "x"}])
def test_status_bears_missing_fields(answer, capsys):
    with operator_port({"GET /status": answer}) as (vm, _):
        assert run(["status", "--vm", vm]) == 0
        assert run(["top", "--vm", vm, "--interval", "0", "--count", "1"]) == 0


@pytest.mark.parametrize(
    ("answers", "number"),
    [
        ({"GET /status": b"no json"}, 1104),
        ({"GET /status": [1]}, 1104),
        ({"GET /status": {"vm": 1}}, 1104),
        ({}, 1105),
    ],
)
def test_status_reports_odd_answers(answers, number, capsys):
    with operator_port(answers) as (vm, _):
        assert run(["status", "--vm", vm, "--json"]) == 3
    (row,) = json.loads(capsys.readouterr().out)["vms"]
    assert row["failure"]["number"] == number


def test_a_silent_vm_is_named_and_the_others_are_shown(capsys):
    with operator_port({"GET /status": STATUS}) as (vm, _):
        assert run(["status", "--vm", CLOSED, "--vm", vm]) == 3
    written = capsys.readouterr()
    assert "vm-unreachable" in written.out and "vm-1" in written.out
    assert f"1103 (vm-unreachable): {CLOSED}" in written.err


@pytest.mark.parametrize("text", ["x", ":1", "h:0", "h:70000", "h:x", "a/b:1", "h:"])
def test_a_bad_address_is_a_usage_error(text, capsys):
    assert isinstance(VmAddress.parse(text), Failure)
    for command in ("status", "top", "decisions", "drain"):
        assert run([command, "--vm", text]) == 2


def test_addresses_are_written_as_they_parse():
    for text in ("127.0.0.1:8081", "[::1]:8081"):
        assert str(VmAddress.parse(text)) == text


def test_drain_posts_to_every_vm(capsys):
    with operator_port({"POST /drain": {}}) as (vm, seen):
        assert run(["drain", "--vm", vm]) == 0
        assert seen == ["POST /drain"]
        assert run(["drain", "--vm", CLOSED, "--vm", vm, "--json"]) == 3
    out = capsys.readouterr().out.splitlines()
    assert out[0] == f"{vm} is draining"
    assert [json.loads(line)["draining"] for line in out[1:]] == [False, True]


PAGES = {
    "0": {"next": 3, "lines": [{"seq": 1, "text": "place: customer=a upstream=u-1"}]},
    "3": {"next": 4, "lines": [{"seq": 4, "text": "eject: upstream=u-10 slow"}]},
    "4": {"next": 1, "lines": []},
}


def pages(target):
    return PAGES[target.partition("after=")[2]]


def test_decisions_are_filtered(capsys):
    with operator_port({"GET /decisions": pages}) as (vm, _):
        assert run(["decisions", "--vm", vm, "--customer", "a"]) == 0
        assert run(["decisions", "--vm", vm, "--upstream", "u"]) == 0
        assert run(["decisions", "--vm", vm, "--json"]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[0] == "place: customer=a upstream=u-1"
    assert json.loads(lines[1])["seq"] == 1


def test_following_decisions_goes_on_after_the_last_and_after_a_restart(
    capsys, monkeypatch
):
    looks = iter(range(4))

    def pause(_):
        if next(looks) == 3:
            raise KeyboardInterrupt

    monkeypatch.setattr(time, "sleep", pause)
    with operator_port({"GET /decisions": pages}) as (vm, seen):
        assert run(["decisions", "--follow", "--vm", vm, "--vm", CLOSED]) == 0
    after = [target.partition("after=")[2] for target in seen]
    assert after == ["0", "3", "4", "0"]
    written = capsys.readouterr()
    assert written.out.count("eject: upstream=u-10") == 1
    assert written.err.count("vm-unreachable") == 1


@pytest.mark.parametrize(
    ("text", "value", "named"),
    [
        ("limit: refused stall.", "stall", True),
        ("limit: refused stall-2", "stall", False),
        ("limit: refused stall.b", "stall", False),
        ("place: stall customer=other", "stall", False),
        ("place: customer=stall, first", "stall", True),
        ('place: x customer="big stall, two"', "stall", True),
        ('place: x customer="big stall, two"', "x", False),
    ],
)
def test_a_line_names_whole_words(text, value, named):
    assert names(text, "customer", value) is named


def test_rates_count_restarted_vms_from_zero_and_skip_new_ones():
    def look(*counts):
        statuses = (
            VmStatus(customers=[CustomerStatus("c", 9.0, admitted=n, refused=1)])
            for n in counts
        )
        vms = (VmAddress("h", port) for port in range(1, 9))
        return FleetStatus(tuple(zip(vms, statuses, strict=False)))

    (rate,) = measure_rates(look(10, 100), look(30, 6, 1000), 2.0)
    assert (rate.customer, rate.limit_per_s) == ("c", 9.0)
    assert (rate.admitted_per_s, rate.refused_per_s) == (13.0, 0.0)


def test_top_writes_json_for_programs(capsys):
    with operator_port({"GET /status": STATUS}) as (vm, _):
        argv = ["top", "--vm", vm, "--interval", "0", "--count", "2", "--json"]
        assert run(argv) == 0
    screens = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [screen["customers"][0]["customer"] for screen in screens] == ["stall"] * 2
