"""Prints how evenly subsets spread the VMs of a large fleet over the upstreams.

Usage: ``python benchmarks/routing_subsets.py``.
"""

from __future__ import annotations

import itertools
import statistics
import time
from collections import Counter

from gentianfold.model import Upstream
from gentianfold.routing.policy import RoutingPolicy
from gentianfold.routing.subset import choose_subset, connection_budget

VMS = 550
"""VMs of the fleet."""
SERVICE_SIZE = 22
"""Upstreams of each service."""


def main() -> None:
    """Print one row for each number of slots."""
    print(
        "| upstreams | slots | used by a VM | VMs an upstream, mean / max "
        "| budget a VM | most connections | limit | ms a VM |"
        "\n|---|---|---|---|---|---|---|---|"
    )
    least = RoutingPolicy().min_subset
    for count, slots in itertools.product((220, 5700), (3, 6)):
        upstreams = [
            Upstream(
                f"u{i}",
                f"s{i // SERVICE_SIZE}",
                "10.0.0.1",
                80,
                "z0",
                slots,
                330,
            )
            for i in range(count)
        ]
        begin_s = time.process_time()
        subsets = [choose_subset(f"vm{i}", upstreams, VMS, least) for i in range(VMS)]
        each_ms = (time.process_time() - begin_s) / VMS * 1e3
        sharers = Counter(u.name for u in itertools.chain.from_iterable(subsets))
        budget = connection_budget(upstreams[0], SERVICE_SIZE, VMS, least)
        most = max(sharers.values())
        print(
            f"| {count} | {slots} | {len(subsets[0])} "
            f"| {statistics.mean(sharers.values()):.0f} / {most} | {budget} "
            f"| {most * budget} | 330 | {each_ms:.1f} |"
        )


if __name__ == "__main__":
    main()
