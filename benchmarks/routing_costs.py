"""Prints the cost of routing on one VM at several sizes.

Usage: ``python benchmarks/routing_costs.py``.
"""

from __future__ import annotations

import itertools
import random
import time
import tracemalloc
from typing import TYPE_CHECKING

from gentianfold.model import Service, Upstream
from gentianfold.routing.outcome import Outcome, OutcomeKind
from gentianfold.routing.router import Router

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE_SIZE = {15: 15, 200: 200, 1000: 22, 5700: 22}
"""Upstreams of each service by number of all upstreams."""
REQUESTS = 20_000
"""Requests in each timing."""


def make_router(upstreams: int, vm: str = "vm0", vms: int = 1) -> Router:
    """Return a router with that many upstreams."""
    size = SERVICE_SIZE[upstreams]
    services = [Service(f"s{i}") for i in range((upstreams - 1) // size + 1)]
    listed = [
        Upstream(
            f"upstream-{i}",
            f"s{i // size}",
            f"10.{i >> 8}.{i & 255}.1",
            80,
            f"z{i % 4}",
            6,
        )
        for i in range(upstreams)
    ]
    router = Router(vm, "z0", random.Random(1))
    router.on_snapshot(services, listed, 0.0, fleet_vms=vms)
    return router


def microseconds(call: Callable[[], object], number: int) -> float:
    """Return the CPU time of a call."""
    begin_s = time.process_time()
    for _ in range(number):
        call()
    return (time.process_time() - begin_s) / number * 1e6


def work(router: Router, requests: int, now_s: float) -> None:
    """Run requests spread over the services."""
    services = list(router.table.services)
    for index in range(requests):
        choice = router.choose(services[index % len(services)], frozenset(), now_s)
        name = choice.upstream.name  # type: ignore[union-attr]
        router.started(name, now_s, route="r", customer="c")
        outcome = Outcome(name, OutcomeKind.OK, 0.02, "r", "c")
        router.finished(outcome, now_s)


def print_requests() -> None:
    """Print costs by number of upstreams."""
    print(
        "| upstreams | used | choose us | choose, start, finish us | tick us, every 0.1 s "
        "| all health ms | MB |\n|---|---|---|---|---|---|---|"
    )
    for upstreams in SERVICE_SIZE:
        print_request_row(upstreams)


def print_request_row(upstreams: int) -> None:
    """Print the costs at one number of upstreams."""
    tracemalloc.start()
    router = make_router(upstreams, vms=550 if upstreams == 5700 else 36)
    used_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    work(router, 2000, 1.0)
    names = list(router.table.services)
    rng = random.Random(2)
    nobody: frozenset[str] = frozenset()
    choose_us = microseconds(
        lambda: router.choose(names[int(rng.random() * len(names))], nobody, 1.0),
        REQUESTS,
    )
    whole_us = microseconds(lambda: work(router, 1000, 1.0), 20) / 1000
    times_s = itertools.count(2.0, 0.1)
    quiet_us = microseconds(lambda: router.on_tick(next(times_s)), 300)
    services = router.table.services.values()
    health_us = microseconds(
        lambda: [router.health.update(service, 40.0) for service in services], 10
    )
    print(
        f"| {upstreams} | {len(router.table.rows)} | {choose_us:.2f} "
        f"| {whole_us:.2f} | {quiet_us:.2f} | {health_us / 1000:.2f} | {used_mb:.2f} |"
    )


def print_heartbeats() -> None:
    """Print costs of heartbeats by number of upstreams and peers."""
    print(
        "\n| upstreams | requests/s a VM | peers | bytes | encode us | merge one us "
        "| merge all peers ms/s |\n|---|---|---|---|---|---|---|"
    )
    for upstreams in SERVICE_SIZE:
        for rate in (3, 236):
            for peers in (10, 40, 160):
                receiver = make_router(upstreams)
                senders = [make_router(upstreams, f"vm{i}") for i in range(1, 5)]
                payloads = []
                encode_s = 0.0
                for sender in senders:
                    for peer in range(peers):
                        sender.on_heartbeat(f"p{peer}", "z1", b"", 0.5)
                    work(sender, rate, 0.5)
                    begin_s = time.process_time()
                    payloads.append(sender.heartbeat_payload(1.0))
                    encode_s += time.process_time() - begin_s
                begin_s = time.process_time()
                for peer in range(peers):
                    payload = payloads[peer % 4]
                    receiver.on_heartbeat(f"p{peer}", f"z{peer % 4}", payload, 1.0)
                all_ms = (time.process_time() - begin_s) * 1e3
                size = sum(map(len, payloads)) / 4
                print(
                    f"| {upstreams} | {rate} | {peers} | {size:.0f} "
                    f"| {encode_s / 4 * 1e6:.0f} | {all_ms / peers * 1e3:.0f} "
                    f"| {all_ms:.2f} |"
                )


if __name__ == "__main__":
    print_requests()
    print_heartbeats()
