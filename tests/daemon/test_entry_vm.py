"""One request goes through a VM to an upstream and back."""

from __future__ import annotations

import json

import anyio
import httpcore

from gentianfold.demo.local_fleet import LocalFleet

UVLOOP = {"use_uvloop": True}
"""The loop that the daemon runs on; its transports are no asyncio subclasses."""


def run(scenario, vm_count=1):
    """Run a scenario on a small fleet."""

    async def on_fleet():
        fleet = LocalFleet(vm_count)
        async with fleet.running(), httpcore.AsyncConnectionPool() as client:
            await scenario(fleet, client)

    anyio.run(on_fleet, backend_options=UVLOOP)


async def ask(vm, client, method, path, *headers, body=None):
    url = f"http://127.0.0.1:{vm.caller_server.port}{path}"
    sent = [("host", "gateway.example"), *headers]
    return await client.request(method, url, headers=sent, content=body)


def test_requests_are_answered_or_refused_with_a_number():
    async def scenario(fleet, client):
        vm = fleet.vms[0]
        bearer = ("authorization", f"Bearer {fleet.keys['bus-drivers']}")
        key = ("idempotency-key", "claim-1")
        table = [
            ("GET", "/gloves/held", [bearer], 200, None),
            ("GET", "/hours", [], 200, None),
            ("GET", "/gloves/held", [], 401, 7002),
            ("GET", "/gloves/held", [("x-api-key", "gf_no")], 401, 7003),
            ("GET", "/nothing", [bearer], 404, 7001),
            ("POST", "/claims", [bearer], 400, 7019),
            ("POST", "/claims", [bearer, key], 503, 7024),
        ]
        for method, path, headers, status, number in table:
            answer = await ask(vm, client, method, path, *headers)
            assert answer.status == status, (path, answer.content)
            assert json.loads(answer.content).get("error") == number
        seen = [line for _, line in vm.decisions.after(0)]
        assert any("action=place route=glove-lookup" in line for line in seen)
        assert not any(
            secret in line for line in seen for secret in fleet.keys.values()
        )

    run(scenario)


def test_repeats_of_a_keyed_request_run_it_once_over_all_vms():
    async def scenario(fleet, client):
        await anyio.sleep(1.0)
        bearer = ("authorization", f"Bearer {fleet.keys['bus-drivers']}")
        key = ("idempotency-key", "claim-1")
        answers = []

        async def claim(vm, body):
            answer = await ask(vm, client, "POST", "/claims", bearer, key, body=body)
            answers.append((answer.status, answer.content))

        async with anyio.create_task_group() as tasks:
            for vm in fleet.vms * 3:
                tasks.start_soon(claim, vm, b"glove 7")
        await claim(fleet.vms[1], b"glove 7")
        await claim(fleet.vms[2], b"glove 8")
        runs = sum(server.record.runs["claim-1"] for server in fleet.upstreams)
        assert runs == 1
        statuses = [status for status, _ in answers]
        assert set(statuses[:-2]) <= {200, 409}
        assert statuses[-2:] == [200, 422]
        assert len({body for status, body in answers if status == 200}) == 1

    run(scenario, vm_count=4)


def test_upstreams_never_see_the_key():
    async def scenario(fleet, client):
        secret = fleet.keys["bus-drivers"]
        for name in ("authorization", "X-Api-Key"):
            value = f"Bearer {secret}" if name == "authorization" else secret
            answer = await ask(fleet.vms[0], client, "GET", "/gloves/1", (name, value))
            assert answer.status == 200
        kept = [repr(server.record) for server in fleet.upstreams]
        assert any("x-request-id" in text for text in kept)
        assert not any(secret in text for text in kept)

    run(scenario)


def test_connections_to_an_upstream_are_shared_by_the_vms():
    async def scenario(fleet, client):
        vm = fleet.vms[0]
        upstream = fleet.upstreams[0].upstream
        budget = vm.router.connection_budget(upstream.name)
        assert 0 < budget * len(fleet.vms) <= upstream.max_connections
        opened = [
            await vm.connections.acquire(upstream, fresh=True)
            for _ in range(budget + 1)
        ]
        codes = [getattr(one, "code", None) for one in opened]
        assert codes[:budget] == [None] * budget
        assert codes[budget].name == "connection-budget-spent"
        for connection in opened[:budget]:
            vm.connections.discard(connection)

    run(scenario, vm_count=2)
