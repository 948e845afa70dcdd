"""Measures the latency that forwarding adds, under an open loop.

Requests arrive by a Poisson process, so that a late answer doesn't hold back the
next request. The upstream stand-in, the VM and the load run in processes of their
own. Direct and forwarded requests are interleaved in the same run.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import logging
import random
import subprocess
import sys
import time
from contextlib import ExitStack
from typing import cast

from hdrh.histogram import HdrHistogram

RATE_PER_S = 240.0
"""Requests a second on one VM."""
HIGHEST_US = 60_000_000
"""Largest latency that the histogram holds, in microseconds."""
REQUEST = b"GET /gloves?n=%d HTTP/1.1\r\nhost: b\r\nauthorization: Bearer k\r\n\r\n"


class LoadConnection(asyncio.Protocol):
    """Sends one request at a time and resolves a future with its answer."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[float] | None = None
        self._received = b""
        self.is_lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The transports of uvloop don't inherit from those of asyncio.
        self.transport = cast("asyncio.Transport", transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request that waits, if any."""
        self.is_lost = True
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(ConnectionError("closed before the answer"))

    def data_received(self, data: bytes) -> None:
        """Resolve the future when the answer is whole."""
        self._received += data
        head, blank, body = self._received.partition(b"\r\n\r\n")
        if not blank:
            return
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        if len(body) < length:
            return
        self._received = b""
        assert self.answer is not None
        if head.startswith(b"HTTP/1.1 200"):
            self.answer.set_result(time.perf_counter())
        else:
            self.answer.set_exception(RuntimeError(repr(head)))


async def send(
    idle: list[LoadConnection],
    port: int,
    number: int,
    histogram: HdrHistogram,
    request: bytes,
) -> None:
    """Send one request on an idle connection and record its latency."""
    loop = asyncio.get_running_loop()
    while idle and idle[-1].is_lost:
        # The server closes connections that were idle for some seconds.
        idle.pop()
    if idle:
        connection = idle.pop()
    else:
        _, connection = await loop.create_connection(LoadConnection, "127.0.0.1", port)
    connection.answer = loop.create_future()
    assert connection.transport is not None
    started_s = time.perf_counter()
    connection.transport.write(request % number)
    ended_s = await connection.answer
    histogram.record_value(max(1, int((ended_s - started_s) * 1e6)))
    idle.append(connection)


async def load(ports: dict[str, int], duration_s: float, seed: int) -> None:
    """Offer the rate to every port and print the percentiles."""
    histograms = {name: HdrHistogram(1, HIGHEST_US, 3) for name in ports}
    for name, port in ports.items():
        warmup = HdrHistogram(1, HIGHEST_US, 3)
        await offer(port, 2.0, seed, warmup)
        await offer(port, duration_s, seed + 1, histograms[name])
    for name, histogram in histograms.items():
        p50, p99, p999 = (
            histogram.get_value_at_percentile(percentile) / 1000
            for percentile in (50, 99, 99.9)
        )
        count = histogram.get_total_count()
        print(f"{name:10} n={count} p50={p50:.2f} p99={p99:.2f} p99.9={p999:.2f} ms")


async def offer(
    port: int,
    duration_s: float,
    seed: int,
    histogram: HdrHistogram,
    request: bytes = REQUEST,
) -> None:
    """Send requests at Poisson times for a while."""
    gaps = random.Random(seed)
    idle: list[LoadConnection] = []
    tasks: set[asyncio.Task[None]] = set()
    next_s = time.perf_counter()
    end_s = next_s + duration_s
    number = 0
    while next_s < end_s:
        await asyncio.sleep(max(0.0, next_s - time.perf_counter()))
        number += 1
        task = asyncio.create_task(send(idle, port, number, histogram, request))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        next_s += gaps.expovariate(RATE_PER_S)
    await asyncio.gather(*tasks)
    for connection in idle:
        assert connection.transport is not None
        connection.transport.close()


def start(stack: ExitStack, *arguments: str) -> int:
    """Start a process of this benchmark and return the port that it prints."""
    process = subprocess.Popen(
        [sys.executable, *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    stack.callback(finish, process)
    return int(process.stdout.readline())


def finish(process: subprocess.Popen[str]) -> None:
    """End a process and print what it has to say."""
    rest, _ = process.communicate()
    print(rest, end="")


def main() -> None:
    """Run the benchmark, or the VM process of it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--duration", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--loop", choices=("asyncio", "uvloop"), default="asyncio")
    parser.add_argument("--profile", default="")
    parser.add_argument("--vm-for", type=int, default=0)
    options = parser.parse_args()
    logging.disable(logging.INFO)
    if options.vm_for:
        import forward_vm

        forward_vm.run(options.vm_for, options.loop, options.profile)
        return
    gc.disable()
    with ExitStack() as stack:
        upstream = start(stack, "-m", "gentianfold.standins.upstream_main")
        arguments = ["--vm-for", str(upstream), "--loop", options.loop]
        arguments += ["--profile", options.profile]
        vm = start(stack, __file__, *arguments)
        ports = {"direct": upstream, "forwarded": vm}
        asyncio.run(load(ports, options.duration, options.seed))


if __name__ == "__main__":
    main()
