"""Compares the fair queue with one line for all, in simulated time.

Eight customers share the slots of a service. One of them sends eight times its rate,
which brings the total to 1.2 times the capacity.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
from collections import Counter, deque
from typing import Protocol

import attrs

from gentianfold.requests.fair_queue import FairQueue, Refused, Waiting

SLOTS = 6
"""Slots of the service that this VM may use."""
WORK_S = 0.025
"""Mean time of a request at its upstream."""
DEADLINE_S = 1.0
"""Time that a caller waits."""
MAX_QUEUE = 256
"""Requests that may wait."""
LOAD = 1.2
"""Total rate over the capacity."""
EXCESS = 8.0
"""How many times its rate the large customer sends."""
SMALL_SHARES = {"c1": 0.002, "c2": 0.01, "c3": 0.03, "c4": 0.06, "c5": 0.08}
SMALL_SHARES |= {"c6": 0.1, "c7": 0.118}
"""Rates of the other customers over the capacity."""
LARGE = "large"
"""The customer that sends too much."""


class Queue(Protocol):
    """What the simulation needs of a queue."""

    def push(self, waiting: Waiting, now_s: float) -> list[Refused]:
        """Add a request."""
        ...

    def pop(self, now_s: float) -> tuple[Waiting | None, list[Refused]]:
        """Return the next request."""
        ...

    def __len__(self) -> int: ...


@attrs.define
class FifoQueue:
    """One line for all; new requests are refused when it is full."""

    max_queue: int
    """Most requests that wait."""
    line: deque[Waiting] = attrs.field(factory=deque)
    """The requests in order of arrival."""

    def push(self, waiting: Waiting, now_s: float) -> list[Refused]:
        """Add a request unless the line is full."""
        if len(self.line) < self.max_queue:
            self.line.append(waiting)
        return []

    def pop(self, now_s: float) -> tuple[Waiting | None, list[Refused]]:
        """Return the oldest request that is still in time."""
        while self.line:
            waiting = self.line.popleft()
            if now_s + waiting.work_s <= waiting.deadline_s:
                return waiting, []
        return None, []

    def __len__(self) -> int:
        return len(self.line)


def arrivals(seed: int, duration_s: float) -> list[tuple[float, str]]:
    """Return Poisson arrivals of all customers in order of time."""
    capacity_per_s = SLOTS / WORK_S
    shares = dict(SMALL_SHARES)
    shares[LARGE] = LOAD - sum(shares.values())
    gaps = random.Random(seed)
    found = []
    for customer, share in shares.items():
        now_s = 0.0
        while now_s < duration_s:
            now_s += gaps.expovariate(share * capacity_per_s)
            found.append((now_s, customer))
    return sorted(found)


def simulate(queue: Queue, seed: int, duration_s: float) -> tuple[Counter, Counter]:
    """Return requests sent and answered in time, by customer."""
    work = random.Random(seed + 1)
    sent: Counter[str] = Counter()
    answered: Counter[str] = Counter()
    ends: list[float] = []
    numbers = itertools.count()

    def fill(now_s: float) -> None:
        while len(ends) < SLOTS:
            waiting, _ = queue.pop(now_s)
            if waiting is None:
                return
            end_s = now_s + work.expovariate(1 / WORK_S)
            heapq.heappush(ends, end_s)
            answered[waiting.customer] += end_s <= waiting.deadline_s

    for now_s, customer in arrivals(seed, duration_s):
        while ends and ends[0] <= now_s:
            fill_at_s = heapq.heappop(ends)
            fill(fill_at_s)
        sent[customer] += 1
        deadline_s = now_s + DEADLINE_S
        waiting = Waiting(str(next(numbers)), customer, deadline_s, work_s=WORK_S)
        queue.push(waiting, now_s)
        fill(now_s)
    return sent, answered


def main() -> None:
    """Print the success ratio of each customer under both queues."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--duration", type=float, default=600.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    rate_per_s = (LOAD - sum(SMALL_SHARES.values())) * SLOTS / WORK_S
    print(
        f"large customer: {rate_per_s:.0f}/s, its own rate {rate_per_s / EXCESS:.0f}/s"
    )
    queues = {"fifo": FifoQueue(MAX_QUEUE), "fair": FairQueue(MAX_QUEUE)}
    for name, queue in queues.items():
        sent, answered = simulate(queue, options.seed, options.duration)
        ratios = {customer: answered[customer] / sent[customer] for customer in sent}
        small = [ratio for customer, ratio in ratios.items() if customer != LARGE]
        total = answered.total() / sent.total()
        print(
            f"{name}: worst small {min(small):.4f} best small {max(small):.4f} "
            f"large {ratios[LARGE]:.4f} all {total:.4f}"
        )


if __name__ == "__main__":
    main()
