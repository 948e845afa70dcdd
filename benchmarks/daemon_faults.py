"""Faults on real daemons: six VMs as processes, upstreams that count runs.

Run: PYTHONPATH=src:benchmarks python benchmarks/daemon_faults.py [--only NAME]

Each case sends keyed and unkeyed non-idempotent requests and lookups from callers
that retry on other VMs, causes its fault meanwhile, and then checks: no idempotency
key ran twice, no request without a retry ran twice, every answer belongs to its
request and is whole, every refusal that says "not run" is true. The exit code is 1 if
any check failed.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import random
import signal
import sys
from collections import Counter
from collections.abc import Awaitable, Callable

import anyio
import attrs
import httpcore
from process_fleet import ProcessFleet

from gentianfold.standins.platform import PlatformMode
from gentianfold.standins.upstream import UpstreamStandin

RULES = """\
service registry floor=50%  # bench: Batbold's registry, scaled down
service desk floor=50%  # bench: Portaskulma's fitting desk, scaled down
route look GET /look/** service=registry idempotent timeout=2s retries=2  # bench: faults on daemons
route claim POST /claims service=registry idempotency-key=required timeout=2s  # bench: faults on daemons
route book POST /bookings service=desk timeout=2s  # bench: faults on daemons
customer large rate=400/s burst=400  # bench: faults on daemons
customer small rate=40/s burst=40  # bench: faults on daemons
"""
REQUESTS_PER_S = 60.0
CASE_S = 12.0
FAULT_AT_S = 3.0
CALLER_TIMEOUT_S = 4.0
CALLER_CONNECTIONS = 1000


@attrs.define
class Tally:
    """What callers saw."""

    outcomes: Counter[str] = attrs.field(factory=Counter)
    not_run: set[str] = attrs.field(factory=set)
    unsure: set[str] = attrs.field(factory=set)
    answered: set[str] = attrs.field(factory=set)
    withdrawn_answered: int = 0
    faults: list[str] = attrs.field(factory=list)


@attrs.define(eq=False)
class Callers:
    """Callers that choose a VM at random and retry keyed requests on others."""

    fleet: ProcessFleet
    pool: httpcore.AsyncConnectionPool
    tally: Tally = attrs.field(factory=Tally)
    rng: random.Random = attrs.field(factory=lambda: random.Random(7))
    avoided: set[str] = attrs.field(factory=set)
    number: int = 0

    async def run(self, duration_s: float) -> None:
        """Send requests at random times."""
        async with anyio.create_task_group() as tasks:
            end_s = anyio.current_time() + duration_s
            while anyio.current_time() < end_s:
                self.number += 1
                kind = self.rng.choice(("look", "claim", "claim", "book"))
                customer = self.rng.choice(("large", "large", "small"))
                tasks.start_soon(self._send, kind, customer, f"{kind}-{self.number}")
                await anyio.sleep(self.rng.expovariate(REQUESTS_PER_S))

    async def _send(self, kind: str, customer: str, name: str) -> None:
        tries = 4 if kind == "claim" else 1
        for _ in range(tries):
            outcome = await self._try(kind, customer, name)
            self.tally.outcomes[f"{kind} {outcome}"] += 1
            if outcome == "200":
                self.tally.answered.add(name)
                return
            await anyio.sleep(0.2)

    async def _try(self, kind: str, customer: str, name: str) -> str:
        able = [vm for vm in self.fleet.vms if vm.name not in self.avoided]
        vm = self.rng.choice(able)
        method, path = ("GET", f"/look/{name}") if kind == "look" else ("POST", "")
        path = path or {"claim": "/claims", "book": "/bookings"}[kind]
        body = b"" if kind == "look" else name.encode()
        headers = [
            ("host", "bench"),
            ("authorization", f"Bearer {self.fleet.keys[customer]}"),
            ("x-caller-name", name),
        ]
        if body:
            headers.append(("content-length", str(len(body))))
        if kind == "claim":
            headers.append(("idempotency-key", name))
        url = f"http://127.0.0.1:{vm.caller_port}{path}"
        try:
            with anyio.fail_after(CALLER_TIMEOUT_S):
                answer = await self.pool.request(
                    method, url, headers=headers, content=body
                )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            self.tally.unsure.add(name)
            return "connection broken"
        except TimeoutError:
            self.tally.unsure.add(name)
            return "no answer"
        return self._check(name, body, answer)

    def _check(self, name: str, body: bytes, answer: httpcore.Response) -> str:
        content = json.loads(answer.content)
        if answer.status == 200:
            digest = hashlib.sha256(body).hexdigest()
            if content["body_sha256"] != digest:
                self.tally.faults.append(f"{name} got the answer of another request")
            return "200"
        if "error" not in content:
            self.tally.unsure.add(name)
            return f"{answer.status} of the upstream"
        said = (
            self.tally.not_run if content["request"] == "not run" else self.tally.unsure
        )
        said.add(name)
        return f"{answer.status} {content['name']}"


Fault = Callable[[ProcessFleet, Callers], Awaitable[None]]


async def no_fault(fleet: ProcessFleet, callers: Callers) -> None:
    """Cause nothing."""


async def kill_two(fleet: ProcessFleet, callers: Callers) -> None:
    """Kill two VMs, start one again, and take the other from the VM list."""
    for vm in fleet.vms[:2]:
        callers.avoided.add(vm.name)
        vm.signal(signal.SIGKILL)
    await anyio.sleep(2.0)
    fleet.publish_vms(without=fleet.vms[1].name)
    fleet.vms[0].start()
    await fleet.vms[0].wait_ready()
    callers.avoided.discard(fleet.vms[0].name)


async def pause_one(fleet: ProcessFleet, callers: Callers) -> None:
    """Stop a VM for longer than every timeout of its peers, and resume it."""
    fleet.vms[2].signal(signal.SIGSTOP)
    await anyio.sleep(7.0)
    fleet.vms[2].signal(signal.SIGCONT)


async def platform_down(fleet: ProcessFleet, callers: Callers) -> None:
    """Take the platform away for the rest of the case."""
    fleet.platform.set_mode(PlatformMode.DOWN)


async def withdraw_key(fleet: ProcessFleet, callers: Callers) -> None:
    """Withdraw the key of the small customer; it must stop within 5 s."""
    key = fleet.keys.pop("small")
    fleet.publish()
    fleet.keys["small"] = key
    await anyio.sleep(5.0)
    for _ in range(20):
        outcome = await callers._try("look", "small", "look-withdrawn")
        if outcome == "200":
            callers.tally.withdrawn_answered += 1


async def rolling_restart(fleet: ProcessFleet, callers: Callers) -> None:
    """Restart every VM in turn by planned stops, under load."""
    for vm in fleet.vms:
        callers.avoided.add(vm.name)
        code = await vm.stop()
        if code != 0:
            callers.tally.faults.append(f"{vm.name} stopped with code {code}")
        vm.start()
        await vm.wait_ready()
        callers.avoided.discard(vm.name)


async def sick_upstreams(fleet: ProcessFleet, callers: Callers) -> None:
    """Make upstreams fail in different ways, one after the other."""
    fleet.upstreams[0].behaviour.hang = True
    fleet.upstreams[1].behaviour.truncate = True
    await anyio.sleep(3.0)
    fleet.upstreams[0].behaviour.hang = False
    fleet.upstreams[1].behaviour.truncate = False
    fleet.upstreams[5].behaviour.close_on_request = True
    await anyio.sleep(3.0)
    fleet.upstreams[5].behaviour.close_on_request = False


CASES: dict[str, tuple[Fault, float]] = {
    "none": (no_fault, CASE_S),
    "kill": (kill_two, 16.0),
    "pause": (pause_one, 16.0),
    "platform-down": (platform_down, CASE_S),
    "withdrawal": (withdraw_key, CASE_S),
    "sick-upstreams": (sick_upstreams, CASE_S),
    "rolling-restart": (rolling_restart, 60.0),
}


def find_faults(fleet: ProcessFleet, callers: Callers) -> list[str]:
    """Compare what callers saw with what the upstreams ran."""
    runs: Counter[str] = Counter()
    for server in fleet.upstreams:
        runs.update(server.record.bodies)
    tally = callers.tally
    faults = list(tally.faults)
    doubled = [name for name, count in runs.items() if count > 1 and name]
    faults += [f"{name} ran {runs[name]} times" for name in doubled]
    certain = tally.not_run - tally.answered - tally.unsure
    lying = [name for name in certain if runs[name]]
    faults += [f"{name} ran although a refusal said not run" for name in lying]
    unbacked = [n for n in tally.answered if not n.startswith("look") and not runs[n]]
    faults += [f"{name} was answered but never ran" for name in unbacked]
    if tally.withdrawn_answered:
        faults.append(f"{tally.withdrawn_answered} answers with a withdrawn key")
    return faults


async def run_case(name: str) -> list[str]:
    """Run one case and print what happened."""
    fault, duration_s = CASES[name]
    upstreams = [
        UpstreamStandin(f"registry-{i}", service="registry", zone=f"z{i % 4 + 1}")
        for i in range(5)
    ]
    upstreams += [
        UpstreamStandin(f"desk-{i}", service="desk", zone=f"z{i % 3 + 1}")
        for i in range(4)
    ]
    for server in upstreams:
        server.behaviour.latency_s = 0.01
    fleet = ProcessFleet(6, RULES, ("large", "small"), upstreams=upstreams)
    async with (
        fleet.running(),
        httpcore.AsyncConnectionPool(max_connections=CALLER_CONNECTIONS) as pool,
    ):
        await anyio.sleep(2.0)
        callers = Callers(fleet, pool)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(callers.run, duration_s)
            await anyio.sleep(FAULT_AT_S)
            await fault(fleet, callers)
        faults = find_faults(fleet, callers)
    print(f"{name}: {callers.number} requests, {len(faults)} faults", flush=True)
    for outcome, count in sorted(callers.tally.outcomes.items()):
        print(f"    {outcome}: {count}")
    for text in faults[:10]:
        print(f"    FAULT {text}")
    return faults


def main() -> int:
    """Run the cases and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", choices=tuple(CASES), action="append")
    names = parser.parse_args().only or list(CASES)
    options = {"use_uvloop": True}
    found = [anyio.run(run_case, name, backend_options=options) for name in names]
    return 1 if any(found) else 0


if __name__ == "__main__":
    sys.exit(main())
