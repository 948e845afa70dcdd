"""A VM loads only what it runs, and keeps nothing of the requests that it has served."""

from __future__ import annotations

import ctypes
import gc
import itertools
import signal
import sys
from pathlib import Path

import anyio
import attrs
import pytest
from conftest import (
    connect_caller,
    open_site,
    read_response,
    request_bytes,
    wait_until,
)
from soak.process_fleet import ProcessFleet

from gentianfold.fleet.messages import UpstreamEntry
from gentianfold.fleet.store_revision import StoreRevision
from gentianfold.model import Upstream
from gentianfold.placement.upstream_tracker import UpstreamTracker
from gentianfold.platform import wire, wire_encoding
from gentianfold.standins.http_server import ReceivedRequest
from gentianfold.vm.metrics import Metrics

pytestmark = pytest.mark.anyio

UNNEEDED = {
    *("cappa", "difflib", "email", "http.client", "hypothesis", "json5", "numpy"),
    *("pkgutil", "rich", "secrets", "unittest", "urllib.request"),
    *("gentianfold.cli", "gentianfold.reports", "gentianfold.rules"),
    *("gentianfold.codes.cli", "gentianfold.codes.rules", "gentianfold.standins"),
    *("gentianfold.codes.configuration", "gentianfold.platform.wire_encoding"),
    "gentianfold.platform.configuration_document",
}
"""Modules that a running VM may not load; nor those within them."""
WARM_REQUESTS = 300
REQUESTS = 2000
MAX_GROWTH = 200
"""Growth of the objects known to the garbage collector (count): a tenth of an object
for each request."""


def imported_modules(log):
    lines = [line for line in log.splitlines() if line.startswith("import time:")]
    return {line.rpartition("|")[2].strip() for line in lines}


def with_parents(module):
    return set(itertools.accumulate(module.split("."), "{}.{}".format))


async def test_a_running_vm_loads_no_module_that_it_does_not_need(
    tmp_path, monkeypatch
):
    # Each of hundreds of processes has its own copy of what it loads.
    monkeypatch.setenv("PYTHONPROFILEIMPORTTIME", "1")
    fleet = ProcessFleet(tmp_path)
    try:
        with anyio.fail_after(60):
            await fleet.open(upstream_count=1, vm_count=1)
            (vm,) = fleet.vms
            log = Path(vm.log_path)
            await wait_until(lambda: "vm: started" in log.read_text())
            status = 0
            while status != 200:
                status, *_ = await vm.send_request(request_bytes("r1"))
            vm.signal(signal.SIGTERM)
            await wait_until(lambda: vm.process.poll() is not None)
    finally:
        fleet.close()
    modules = imported_modules(log.read_text())
    assert "gentianfold.vm.virtual_machine" in modules and "uvloop" in modules
    assert {name for name in modules if with_parents(name) & UNNEEDED} == set()


async def test_served_requests_leave_no_objects():
    async with open_site() as site, connect_caller(site.vms[0]) as stream:

        async def send(count, prefix):
            for number in range(count):
                await stream.send(request_bytes(f"{prefix}{number}"))
                status, *_ = await read_response(stream)
                assert status == 200
            gc.collect()
            # The stand-ins keep the requests that they receive.
            return sum(type(item) is not ReceivedRequest for item in gc.get_objects())

        before = await send(WARM_REQUESTS, "warm")
        assert await send(REQUESTS, "r") - before < MAX_GROWTH


def test_upstreams_share_what_they_have_in_common():
    entries = []
    for number in range(2):
        upstream = Upstream(f"u{number}", "registry", f"10.0.0.{number}", 80, "zone-1")
        value = wire_encoding.encode_upstream(upstream)
        item = wire_encoding.encode_item(f"servers/u{number}", value, 1)
        entries.append(wire.decode_upstream(item, 0))
    first, second = entries
    assert first.service is second.service and first.zone is second.zone
    assert isinstance(first, UpstreamEntry) and not gc.is_tracked(first)
    assert not gc.is_tracked(StoreRevision(1, 2))
    tracker = UpstreamTracker(Upstream("u", "s", "10.0.0.1", 80, "z"))
    parts = gc.get_referents(tracker)
    assert not any(isinstance(part, dict) for part in parts)


def test_components_carry_no_generated_text_form():
    # Each process has its own copy of generated methods.
    import gentianfold.vm.main as loaded

    parts = ("vm", "fleet", "forwarding", "placement", "platform", "settings")
    names = tuple(f"{loaded.__name__.partition('.')[0]}.{part}." for part in parts)
    components = [
        found
        for name, module in sys.modules.items()
        if name.startswith(names)
        for found in vars(module).values()
        if isinstance(found, type) and found.__module__ == name and attrs.has(found)
        if found.__eq__ is object.__eq__
    ]
    assert len(components) > 50
    printed = [row for row in components if row.__repr__ is not object.__repr__]
    assert printed == [], "add repr=False"


def test_a_histogram_is_small_and_within_a_hundredth():
    # There is one for each outcome of a request.
    metrics = Metrics()
    metrics.observe("request_ok", 0.5)
    (histogram,) = metrics.histograms.values()
    assert ctypes.sizeof(histogram.counts) < 32 << 10
    assert histogram.get_value_at_percentile(50) == pytest.approx(5e5, rel=0.01)
