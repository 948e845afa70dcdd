"""Two of the three seed machines are lost; then all processes are killed at once.

The other machines are back within a second, and serve nothing from then on.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness_2 as harness

PER_S = 30.0
RECOVER_S = 15.0
BEFORE_S, AFTER_S = 6.0, 15.0
KEYS = ("2b9wu3fexd9dnn2ctnfz", "9kq1h0fexd9dnn2ctnfz")


async def load(fleet, seconds):
    """Send requests to machines that run, at an even pace; return the statuses."""
    record, tasks = fleet.record, []
    until_s = time.monotonic() + seconds
    draw = random.Random(7)
    while time.monotonic() < until_s:
        machine = draw.choice([vm for vm in fleet.vms if vm.process is not None])
        path, key = f"/search/{len(tasks)}", draw.choice(KEYS)
        tasks.append(
            asyncio.create_task(
                harness.send(record, machine.front, "GET", path, 4000, key)
            )
        )
        await asyncio.sleep(1 / PER_S)
    return [answer.status for answer in await asyncio.gather(*tasks)]


async def scenario(fleet):
    """Return how many of the requests are served after the machines are back."""
    for _ in range(6):
        await fleet.add_server("registry", 0.2)
    # Each customer sends 15 requests a second, 0.625 of its rate.
    tenants = [
        {"name": f"huka27{n}", "api_keys": [key], "rate_per_s": 24, "burst_size": 24}
        for n, key in enumerate(KEYS)
    ]
    routes = [
        harness.route("search", "registry", timeout_ms=2000, target_latency_ms=1000)
    ]
    await fleet.open(8, harness.configuration(1, routes, ["registry"], tenants))
    await asyncio.sleep(8.0)
    before = await load(fleet, BEFORE_S)
    if harness.TROUBLE:
        # Seeds are the first three machines.
        for vm in fleet.vms[:2]:
            vm.signal(signal.SIGKILL)
            await vm.wait_end()
        await asyncio.sleep(4.0)
        before += await load(fleet, BEFORE_S)
        rest = fleet.vms[2:]
        # The final fault comes right after a configuration was acknowledged.
        document = harness.configuration(2, routes, ["registry"], tenants)
        fleet.store.put("op/config", document)
        for vm in rest:
            vm.signal(signal.SIGKILL)
        for vm in rest:
            await vm.wait_end()
        await asyncio.sleep(0.8)
        for vm in rest:
            vm.start(bootstrap=False)
    await asyncio.sleep(RECOVER_S + 1.0)
    ready, alive = await fleet.ready_count()
    if ready < alive or alive < (6 if harness.TROUBLE else 8):
        raise harness.CannotRunError(f"{ready} of {alive} machines are ready")
    after = await load(fleet, AFTER_S)
    served = [sum(status == 200 for status in part) for part in (before, after)]
    text = (
        f"served before {served[0]} of {len(before)},"
        f" later than {RECOVER_S:.0f} s after the machines are back"
        f" {served[1]} of {len(after)}"
    )
    fleet.record.write(text)
    print(text)
    if 4 * served[0] < len(before):
        raise harness.CannotRunError("less than a quarter was served before")
    return text if 4 * served[1] < len(after) else ""


if __name__ == "__main__":
    harness.main(FOLDER, scenario)
