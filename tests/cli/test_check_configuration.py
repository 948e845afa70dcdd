"""Checks of a configuration before it is published, and what differs from in force."""

from __future__ import annotations

import json
from functools import partial

import anyio
import anyio.to_thread
import msgspec
import pytest
from conftest import open_site

from gentianfold.cli.main import run
from gentianfold.platform import wire_encoding
from gentianfold.standins.site import API_KEY, make_configuration


@pytest.fixture
def document():
    encoded = wire_encoding.encode_configuration(make_configuration(5))
    return json.loads(encoded)


@pytest.fixture
def write(tmp_path):
    def write(document, name="new.json"):
        path = tmp_path / name
        path.write_text(json.dumps(document))
        return str(path)

    return write


@pytest.fixture
def check(write, capsys):
    """Check a document; return the exit code, the failures and the whole output."""

    def check(document, *extra):
        argv = ["check", "--configuration", write(document), "--json", *extra]
        code = run(argv)
        out = capsys.readouterr().out
        fields = json.loads(out)
        failures = [(row["number"], row["reason"]) for row in fields["failures"]]
        return code, failures, fields["changes"]

    return check


def test_a_sound_configuration_has_no_faults_also_as_an_item(document, check):
    assert check(document) == (0, [], [])
    item = wire_encoding.encode_item("op/config", json.dumps(document).encode(), 7)
    assert check(msgspec.to_builtins(item)) == (0, [], [])


def test_all_entries_that_vms_refuse_are_reported_at_once(document, check):
    document["routes"][1]["timeout_ms"] = "1s"
    del document["services"][0]["name"]
    document["limits"]["max_body_bytes"] = "big"
    code, failures, _ = check(document)
    assert code == 1 and {number for number, _ in failures} == {3311}
    (limits, route, service) = (reason for _, reason in failures)
    assert "$.limits.max_body_bytes" in limits
    assert route.startswith("routes[1] 'claim'") and "$.timeout_ms" in route
    assert service.startswith("services[0]") and "`name`" in service


def change_route(document, **fields):
    document["routes"][0].update(fields)


def add_tenant(document, **fields):
    document["tenants"].append({"name": "new", "api_keys": ["k"], **fields})


def add_same_route(document):
    document["routes"].append({**document["routes"][0], "name": "copy"})


FAULTS = [
    (partial(change_route, service=None), 3313, "it names no service"),
    (partial(change_route, service="none"), 3313, "'none'"),
    (partial(change_route, path_prefix="/search"), 3314, "end with a slash"),
    (partial(change_route, path_prefix="/a/?b/"), 3314, "a query"),
    (partial(change_route, host="glove.example:80"), 3314, "has a port"),
    (partial(change_route, host=""), 3314, "its host is empty"),
    (add_same_route, 3314, "route 'copy' has its host and path"),
    (
        partial(change_route, traffic_split=[{"service": "registry", "weight": 0}]),
        3314,
        "add up to 0",
    ),
    (partial(change_route, target_latency_ms=2001), 3315, "above its timeout"),
    (partial(change_route, timeout_ms=-1), 3315, "its timeout"),
    (partial(change_route, max_attempts=0), 3315, "no attempt"),
    (partial(change_route, path_prefix=f"/{'x' * 17_000}/"), 3315, "limit of headers"),
    (partial(add_tenant, rate_per_s=5, burst_size=0.5), 3315, "below one request"),
    (partial(add_tenant, burst_size=5), 3315, "without a rate"),
    (partial(add_tenant, api_keys=[]), 3314, "it has no key"),
    (partial(add_tenant, api_keys=[API_KEY]), 3312, "'stall' and 'new'"),
    (lambda row: row["services"].append({"name": "s"}), 3314, "no route uses it"),
    (lambda row: row["services"].append({"name": "registry"}), 3312, "2 services"),
    (lambda row: row["services"][0].update(warmup_s=9), 3315, "need each other"),
    (lambda row: row["limits"].update(idle_timeout_ms=0), 3315, "the idle timeout"),
]


@pytest.mark.parametrize(("spoil", "number", "reason"), FAULTS)
def test_each_fault_is_the_one_that_is_reported(
    document, check, spoil, number, reason, capsys
):
    spoil(document)
    code, failures, _ = check(document)
    assert code == 1
    ((found, _),) = {row for row in failures if reason in row[1]}
    assert found == number
    assert {row[0] for row in failures} <= {number, 3314}
    assert API_KEY not in str(failures)


def test_homes_need_a_zone_of_the_settings(document, check, tmp_path):
    document["routes"][0]["allowed_regions"] = ["east"]
    document["tenants"][0]["allowed_regions"] = ["north", "west"]
    settings = tmp_path / "vm.json"
    fields = {
        "vm": "v",
        "address": "10.0.0.1",
        "zone": "z",
        "zones": {"z": "east"},
        "callers": "10.0.0.1:1",
        "readiness": "10.0.0.1:2",
        "operators": "10.0.0.1:3",
        "store": {"endpoint": "10.0.0.2:4"},
        "fleet": {"port": 5},
    }
    settings.write_text(json.dumps(fields))
    assert check(document) == (0, [], [])
    code, ((number, reason),), _ = check(document, "--settings", str(settings))
    assert (code, number) == (1, 3314)
    assert reason == "customer 'stall': no zone is in its homes (north, west)"


def test_check_shows_what_differs_from_the_version_in_force(
    document, check, write, capsys
):
    old = write(document, "old.json")
    assert check(document, "--in-force", old) == (0, [], [])
    document["version"] = "r6"
    document["routes"][0]["timeout_ms"] = 3000
    document["tenants"][0]["api_keys"] = ["other-key"]
    code, failures, changes = check(document, "--in-force", old)
    assert (code, failures) == (0, [])
    route, keys = changes
    assert route["fields"] == [{"name": "timeout", "old": "2s", "new": "3s"}]
    assert keys["fields"][0]["new"] == "1 (1 added, 1 removed)"
    document["version"] = "r5"
    new = write(document)
    assert run(["check", "--configuration", new, "--in-force", old]) == 1
    output = capsys.readouterr()
    assert "error 3316" in output.err
    assert "route search changed (timeout: 2s -> 3s)" in output.out
    assert API_KEY not in output.out + output.err
    assert run(["diff", "--configuration", old, new]) == 1
    assert run(["diff", "--configuration", old, old]) == 0
    assert run(["diff", "--configuration", old, old + ".none"]) == 2
    assert run(["check", "--configuration", old + ".none"]) == 2
    assert run(["check", "--configuration", new, "--vm", "nowhere"]) == 2


@pytest.mark.anyio
async def test_check_compares_with_a_running_vm(document, write, capsys):
    async with open_site() as site:
        with anyio.fail_after(30):
            while site.vms[0].view.configuration_version == 0:
                await anyio.sleep(0.01)
        address = f"127.0.0.1:{site.operator_port}"
        document["routes"].pop()
        argv = ["check", "--configuration", write(document), "--vm", address]
        assert await anyio.to_thread.run_sync(run, argv) == 0
    assert capsys.readouterr().out == "no faults\nroute claim removed\n"
    assert run(argv) == 3
