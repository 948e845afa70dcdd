"""Budgets of the process follow from the settings and from what the platform states."""

from __future__ import annotations

import resource

import attrs
import pytest
from conftest import open_site
from loguru import logger

from gentianfold.forwarding.memory_budget import Claim, Use
from gentianfold.vm.resource_limits import REPORT_INTERVAL_S, ResourceLimits

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    ("platform", "sockets"),
    [
        ({}, 1800),
        ({"limits": {"max_fds": 1000}}, 800),
        ({"limits": {"max_fds": 5000}}, 4800),
        ({"limits": {"max_fds": "1000"}}, 1800),
        ({"limits": {"max_fds": True}}, 1800),
        ({"limits": 3}, 1800),
    ],
)
async def test_listeners_share_the_sockets(platform, sockets, monkeypatch):
    monkeypatch.setattr(resource, "getrlimit", lambda _: (1 << 20, 1 << 20))
    async with open_site(upstreams=0) as site:
        settings = site.vms[0].settings
    machine = attrs.evolve(settings.machine, max_fds=2000)
    limits = ResourceLimits.from_settings(
        attrs.evolve(settings, machine=machine, platform=platform)
    )
    assert limits.callers.capacity == sockets * 2 // 3
    assert limits.readiness.capacity == limits.tunnels.capacity == sockets // 16
    total = sum(limit.capacity for limit in limits.connection_limits.values())
    assert total < sockets


async def test_refusals_are_logged_once_a_second_and_their_end_once():
    async with open_site(upstreams=0) as site:
        limits = site.vms[0].resources
        lines = []
        sink = logger.add(lambda line: lines.append(str(line)), format="{message}")
        claim = Claim(limits.memory, Use.BODY)
        now_s = 1000.0
        limits.report(now_s)
        for _ in range(3):
            assert not claim.grow_to(limits.memory.capacity_bytes, now_s)
            limits.report(now_s)
            now_s += REPORT_INTERVAL_S / 2
        limits.report(now_s + REPORT_INTERVAL_S)
        limits.report(now_s + 2 * REPORT_INTERVAL_S)
        logger.remove(sink)
    lines = [line.split(",")[0] for line in lines if line.startswith("resources:")]
    refused, again = "resources: refused or ended for room", "resources: room again"
    assert lines == [refused, refused, again]
