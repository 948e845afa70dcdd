"""A grant to an earlier process of a machine is taken for the answer to another request.

One machine is killed and starts again while the machine that coordinates the others is
suspended for seconds.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness_2 as harness

EARLIER = 20
LATER = 30


async def scenario(fleet):
    """Return which requests were run by a service that no route names for them."""
    for _ in range(4):
        await fleet.add_server("registry", 0.3, slots=6)
    for _ in range(2):
        await fleet.add_server("dispatch", 1.2, slots=2)
    document = harness.configuration(
        1,
        [
            harness.route("claim", "registry", "non_idempotent"),
            harness.route("depot", "dispatch", timeout_ms=14000, max_attempts=1),
        ],
        ["registry", "dispatch"],
    )
    await fleet.open(10, document)
    await asyncio.sleep(6.0)
    broker = await fleet.broker()
    if broker is None:
        raise harness.CannotRunError("no machine coordinates the others")
    machine = fleet.vms[-1] if broker is not fleet.vms[-1] else fleet.vms[-2]
    record = fleet.record
    record.write(f"coordinator {broker.ip}, machine {machine.ip}")
    for _ in range(3):
        await harness.send(record, machine.front, "POST", "/claim/a", 5000)
    if harness.TROUBLE:
        broker.signal(signal.SIGSTOP)
    first = [
        asyncio.create_task(
            harness.send(record, machine.front, "POST", "/claim/b", 5000)
        )
        for _ in range(EARLIER)
    ]
    await asyncio.sleep(0.15)
    if harness.TROUBLE:
        machine.signal(signal.SIGKILL)
        await machine.wait_end()
        await asyncio.sleep(0.5)
        machine.start(bootstrap=False)
    await asyncio.gather(*first)
    await asyncio.sleep(3.0)
    if not await machine.is_ready():
        raise harness.CannotRunError("the machine that was killed is not ready")
    second = [
        asyncio.create_task(
            harness.send(record, machine.front, "GET", f"/depot/{number}", 15000)
        )
        for number in range(LATER)
    ]
    await asyncio.sleep(0.5)
    if harness.TROUBLE:
        broker.signal(signal.SIGCONT)
    await asyncio.gather(*second)
    allowed = {"/claim/": "registry", "/depot/": "dispatch"}
    foreign = [
        f"{attempt} {target} at {server.service}"
        for server in fleet.servers
        for attempt, target in server.runs
        if allowed[target[:7]] != server.service
    ]
    for line in foreign:
        record.write(f"foreign run: {line}")
    return f"{len(foreign)} requests run by another service" if foreign else ""


if __name__ == "__main__":
    harness.main(FOLDER, scenario)
