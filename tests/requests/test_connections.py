from __future__ import annotations

import anyio
import anyio.lowlevel
import attrs
import pytest
from conftest import BOOKING, LOOKUP, Bench, RecordedCaller

from gentianfold.requests.connections import ConnectionLimits, count_idle
from gentianfold.standins.upstream import UpstreamStandin
from gentianfold.standins.upstream_behaviour import UpstreamBehaviour

pytestmark = pytest.mark.anyio


async def test_lookups_reuse_a_connection_and_bookings_never_do():
    async with UpstreamStandin() as server:
        bench = Bench(server.upstream)
        for _ in range(5):
            await bench.run(RecordedCaller(), LOOKUP)
        assert server.record.connections_count == 1
        for _ in range(3):
            await bench.run(RecordedCaller(), BOOKING)
        assert server.record.connections_count == 4
        assert bench.connections.open_count("upstream-1") == count_idle(
            bench.connections
        )


@pytest.mark.parametrize(
    "limits", [ConnectionLimits(idle_limit_s=0.0), ConnectionLimits(lifetime_s=0.0)]
)
async def test_limits_close_connections(limits):
    async with UpstreamStandin() as server:
        bench = Bench(server.upstream, limits=limits)
        for _ in range(3):
            await bench.run(RecordedCaller())
        assert server.record.connections_count == 3
        assert bench.connections.open_count("upstream-1") == 0


async def test_connection_closed_by_upstream_is_not_used_again():
    behaviour = UpstreamBehaviour(close_idle=True)
    async with UpstreamStandin(behaviour=behaviour) as server:
        bench = Bench(server.upstream)
        for _ in range(5):
            result = await bench.run(RecordedCaller(), attrs.evolve(LOOKUP, retries=0))
            assert result.failure is None
            while server.connections:
                await anyio.lowlevel.checkpoint()
            await anyio.sleep(0.001)


async def test_budget_refuses_as_not_run_and_says_nothing_of_the_upstream():
    server = UpstreamStandin(behaviour=UpstreamBehaviour(hang=True))
    async with server:
        upstream = attrs.evolve(server.upstream, max_connections=4)
        bench = Bench(upstream, limits=ConnectionLimits(share=0.5))
        async with anyio.create_task_group() as tasks:
            for number in range(2):
                tasks.start_soon(
                    bench.run, RecordedCaller(), BOOKING, "GET", f"{number}"
                )
            while len(server.record.runs) < 2:
                await anyio.sleep(0.001)
            result = await bench.run(RecordedCaller(), BOOKING)
            assert result.failure.code.name == "connection-budget-spent"
            assert bench.placer.outcomes == [("upstream-1", "cancelled")]
            tasks.cancel_scope.cancel()
        assert bench.connections.open_count("upstream-1") == 0


async def test_silent_kept_connection_takes_its_neighbours_along():
    async with UpstreamStandin(behaviour=UpstreamBehaviour(latency_s=0.01)) as server:
        bench = Bench(server.upstream)
        async with anyio.create_task_group() as tasks:
            for number in range(3):
                tasks.start_soon(
                    bench.run, RecordedCaller(), LOOKUP, "GET", f"{number}"
                )
        assert count_idle(bench.connections) == 3
        server.behaviour.silent = True
        route = attrs.evolve(LOOKUP, retries=0)
        await bench.run(RecordedCaller(), route, timeout_s=0.05)
        assert bench.connections.open_count("upstream-1") == 0


async def test_sweep_closes_what_left_the_list():
    async with UpstreamStandin() as server:
        bench = Bench(server.upstream)
        await bench.run(RecordedCaller())
        bench.connections.sweep(frozenset({"upstream-1"}))
        assert bench.connections.open_count("upstream-1") == 1
        bench.connections.sweep(frozenset())
        assert bench.connections.open_count("upstream-1") == 0
