"""Latency that a VM adds to a request, beside direct calls in the same run.

Run: PYTHONPATH=src:benchmarks python benchmarks/vm_latency.py [--rate 240]
[--seconds 10] [--rounds 3] [--vms 1] [--no-decisions]

Upstreams, VMs and the load tool are separate processes. Arrivals are Poisson and
don't wait for answers; the target (1.6 ms added for 99 in 100) is for 240 requests a
second on one VM.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
from contextlib import ExitStack

import anyio
from process_fleet import ProcessFleet

from gentianfold.load.plan import LoadPlan
from gentianfold.load.runner import LoadRunner
from gentianfold.model import Upstream

RULES = """\
service registry floor=50%  # bench: latency
route look GET /look/** service=registry idempotent timeout=2s  # bench: latency
customer c rate=100000/s burst=100000  # bench: latency
"""


def start_upstream(stack: ExitStack, name: str) -> Upstream:
    """Start a stand-in upstream as a process of its own."""
    process = subprocess.Popen(
        [sys.executable, "-m", "gentianfold.standins.upstream_main"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    stack.callback(process.wait)
    assert process.stdin is not None and process.stdout is not None
    stack.callback(process.stdin.close)
    port = int(process.stdout.readline())
    return Upstream(name, "registry", "127.0.0.1", port, "z1", slots=64)


async def measure(options: argparse.Namespace, upstreams: list[Upstream]) -> None:
    """Alternate direct and proxied runs and print their latencies."""
    fleet = ProcessFleet(options.vms, RULES, ("c",), decisions=not options.no_decisions)
    fleet.remote_upstreams = upstreams
    async with fleet.running():
        await anyio.sleep(3.0)
        direct = ((upstreams[0].host, upstreams[0].port),)
        proxied = tuple(("127.0.0.1", vm.caller_port) for vm in fleet.vms)
        key = fleet.keys["c"].encode()
        headers = ((b"authorization", b"Bearer " + key),)
        for seed in range(options.rounds):
            for name, targets in (("direct", direct), ("proxied", proxied)):
                plan = LoadPlan(
                    targets,
                    options.rate,
                    options.seconds,
                    path="/look/1",
                    headers=headers,
                    seed=seed,
                )
                result = await LoadRunner(plan).run()
                shown = "  ".join(
                    f"{at} {value:.2f}" for at, value in result.latencies_ms().items()
                )
                print(f"{name:8} ms {shown}  {dict(result.statuses)}", flush=True)


def main() -> None:
    """Parse the arguments and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=240.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--vms", type=int, default=1)
    parser.add_argument("--no-decisions", action="store_true")
    options = parser.parse_args()
    with ExitStack() as stack:
        upstreams = [start_upstream(stack, f"u{index}") for index in range(2)]
        anyio.run(measure, options, upstreams, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
