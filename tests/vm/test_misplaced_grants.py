"""A VM sends a request only to upstreams that its own list has for the service."""

from __future__ import annotations

import attrs
import pytest
from conftest import execution_count, execution_counts, open_site, request_bytes
from conftest import send_request as send

from gentianfold.fleet.node import Node

pytestmark = pytest.mark.anyio


def misplace(monkeypatch, upstream, times):
    """Let the first grants name another upstream, as a faulty broker may."""
    place, left = Node.place, iter(range(times))

    async def place_wrongly(node, request):
        placed = await place(node, request)
        if next(left, None) is None:
            return placed
        return attrs.evolve(
            placed,
            upstream=upstream.name,
            host="127.0.0.1",
            port=upstream.server.port,
            start_time_ms=0,
        )

    monkeypatch.setattr(Node, "place", place_wrongly)


@pytest.mark.parametrize("is_listed", [True, False])
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_a_misplaced_request_goes_to_an_upstream_of_its_service(
    monkeypatch, is_listed, method
):
    # Requests of one service were run by another, and their callers got its answers.
    async with open_site(upstreams=2) as site:
        other = await site.add_upstream("d1", "dispatch")
        if not is_listed:
            site.store.delete_upstream("d1")
            await site.add_vm()
        vm = site.vms[-1]
        misplace(monkeypatch, other, 1)
        path = "/search/1" if method == "GET" else "/claim/1"
        data = request_bytes("r1", path, method, b"" if method == "GET" else b"b")
        status, *_ = await send(vm, data)
        assert status == 200
        assert execution_counts(other) == 0
        assert execution_count(site, "r1") == 1
        assert vm._node.scheduler.granted_count == 0


async def test_a_request_that_is_misplaced_each_time_is_refused(monkeypatch):
    async with open_site(upstreams=2) as site:
        other = await site.add_upstream("d1", "dispatch")
        (vm,) = site.vms
        misplace(monkeypatch, other, 100)
        status, *_ = await send(vm, request_bytes("r1", "/claim/1", "POST", b"b"))
        assert status == 503
        assert execution_count(site, "r1") == 0
