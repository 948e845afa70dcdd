"""Print what the limiter costs by list size and by number of customers.

Run as ``python benchmarks/limits_cost.py``.
"""

from __future__ import annotations

import itertools
import time
import tracemalloc
from random import Random

from gentianfold.limits import Limiter
from gentianfold.limits.messages import Heartbeat, encode
from gentianfold.model import RateLimit
from gentianfold.reports.limits_fleet import Fleet

LIMIT = RateLimit(3.0, 20.0)


def heartbeat_cost(vm_count: int) -> str:
    """Measure one VM's heartbeats among ``vm_count - 1`` scripted peers."""
    names = [f"vm{number}" for number in range(vm_count)]
    limiter = Limiter(names[0], 1, 0.0)
    began_s = time.process_time()
    limiter.on_list(1, names, 0.0)
    list_ms = 1e3 * (time.process_time() - began_s)
    period_s = limiter.shares.timing.heartbeat_s
    sizes: list[int] = []
    sequence = itertools.count(1)
    spent_s = 0.0
    span_s = 0.0
    digest = limiter.views.of(frozenset(names)).digest
    now_s = 0.0
    while now_s < 12.0 * period_s:
        now_s += period_s / 20.0
        began_s = time.process_time()
        limiter.on_tick(now_s)
        outbox = limiter.take_outbox()
        payloads = [encode(message) for _, message in outbox]
        answers = [
            (vm, _answer(message, next(sequence), now_s, digest))
            for vm, message in outbox
            if isinstance(message, Heartbeat)
        ]
        for vm, answer in answers:
            limiter.on_message(vm, answer, now_s)
        if now_s > 6.0 * period_s:
            spent_s += time.process_time() - began_s
            span_s += period_s / 20.0
            sizes.extend(map(len, payloads))
    return (
        f"| {vm_count} | {period_s:.1f} | {list_ms:.0f} "
        f"| {sum(sizes) / max(1, len(sizes)):.0f} | {sum(sizes) / span_s:.0f} "
        f"| {100.0 * spent_s / span_s:.2f} |"
    )


def _answer(beat: Heartbeat, sequence: int, now_s: float, digest: bytes) -> Heartbeat:
    return Heartbeat(
        incarnation=7,
        sequence=sequence,
        ping_s=now_s,
        echo_incarnation=beat.incarnation,
        echo_s=beat.ping_s,
        version=1,
        established=True,
        founder=True,
        young=False,
        stopping=False,
        held_count=1,
        generation=1,
        generation_ack=beat.generation,
    )


def admission_cost(customer_count: int) -> str:
    """Measure admission and state on a small fleet that shares the customers."""
    fleet = Fleet(seed=1)
    names = [f"vm{number}" for number in range(4)]
    for name in names:
        fleet.start(name)
    fleet.publish(1, names, names)
    fleet.run_until(20.0)
    random = Random(1)
    fleet.request(names[0], "warm", [("all", LIMIT)])
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    customers = [f"customer{number}" for number in range(customer_count)]
    for customer in customers:
        fleet.request(random.choice(names), customer, [("all", LIMIT)])
        fleet.run_until(fleet.now_s + 1e-4)
    fleet.outcomes.clear()
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    requests = 20_000
    began_s = time.process_time()
    for _ in range(requests):
        fleet.request(random.choice(names), random.choice(customers), [("all", LIMIT)])
        fleet.run_until(fleet.now_s + 1e-3)
    spent_us = 1e6 * (time.process_time() - began_s) / requests
    sizes = fleet.message_bytes / (requests + customer_count)
    return f"| {customer_count} | {grown / customer_count:.0f} | {spent_us:.0f} | {sizes:.0f} |"


def main() -> None:
    """Print both tables."""
    print("| VMs | heartbeat s | adopt list ms | bytes each | bytes/s | % of a core |")
    print("|---|---|---|---|---|---|")
    for vm_count in (10, 40, 160, 550):
        print(heartbeat_cost(vm_count), flush=True)
    print()
    print(
        "| customers | state bytes each, all VMs | us/request, all VMs | bytes/request |"
    )
    print("|---|---|---|---|")
    for customer_count in (1_000, 10_000, 43_000):
        print(admission_cost(customer_count), flush=True)


if __name__ == "__main__":
    main()
