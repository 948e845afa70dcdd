"""A planned stop cuts no request, and callers are told to go elsewhere."""

from __future__ import annotations

import anyio
import httpcore

from gentianfold.demo.local_fleet import LocalFleet

WORK_S = 0.4
"""Work time of the upstreams, longer than the balancer's time to settle."""


def test_requests_in_flight_and_during_the_stop_are_answered():
    async def scenario():
        fleet = LocalFleet(2)
        async with (
            fleet.running(),
            httpcore.AsyncConnectionPool(max_connections=50) as client,
        ):
            await anyio.sleep(1.0)
            for server in fleet.upstreams:
                server.behaviour.latency_s = WORK_S
            leaving, staying = fleet.vms
            answers = []

            async def ask(vm):
                url = f"http://127.0.0.1:{vm.caller_server.port}/hours"
                answers.append(await client.request("GET", url))

            async with anyio.create_task_group() as tasks:
                for _ in range(8):
                    tasks.start_soon(ask, leaving)
                await anyio.sleep(WORK_S / 4)
                leaving.drain()
                assert leaving.not_ready_reason() == "draining"
                for _ in range(8):
                    tasks.start_soon(ask, leaving)
            assert [answer.status for answer in answers] == [200] * 16
            told = [dict(answer.headers).get(b"connection") for answer in answers]
            assert told.count(b"close") >= 8
            with anyio.fail_after(10.0):
                while not leaving.ledger.stopped():
                    await anyio.sleep(0.02)
            await ask(staying)
            assert answers[-1].status == 200

    anyio.run(scenario, backend_options={"use_uvloop": True})
