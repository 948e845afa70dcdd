"""Measures what heartbeats cost a node: bytes and processor time a second.

Run with ``python benchmarks/gossip.py``. All nodes run in one process on an
in-memory network; the cost of encryption and of the kernel is not included.
"""

from __future__ import annotations

import sys
import time

from loguru import logger

from gentianfold.peers.memory_fleet import MemoryFleet

SIZES = (10, 20, 40, 80, 160)
"""Fleet sizes; above 64 the direct peers are bounded."""
DURATION_S = 10.0
"""Simulated time of one run."""
FRAME_BYTES = 85
"""What TCP, IP, the transport and its encryption add to a message, by their formats."""


def measure(size: int) -> None:
    """Run a quiet fleet and print the cost of a node."""
    fleet = MemoryFleet(size)
    fleet.run(25.0 if size > 64 else 5.0)
    fleet.network.sent_bytes.clear()
    started_s = time.process_time()
    fleet.run(DURATION_S)
    core = (time.process_time() - started_s) / size / DURATION_S
    sent = sum(fleet.network.sent_bytes.values()) / size / DURATION_S
    first = next(iter(fleet.vms.values()))
    peers = len(first.node.table.neighbours)
    now_s = first.clock.now_s()
    ages_s = sorted(now_s - row.evidence_s for row in first.node.table.rows.values())
    print(
        f"{size:5} {peers:6} {sent:10.0f} {sent + FRAME_BYTES * peers:10.0f}"
        f" {core:8.2%} {ages_s[len(ages_s) // 2]:8.2f} {ages_s[-1]:8.2f}"
    )


def main() -> None:
    """Print one line for each fleet size."""
    logger.remove()
    print(
        "  VMs direct  payload/s  on wire/s     core  age p50  age max"
        "   (bytes sent by a node; age of what is known of peers, s)"
    )
    sizes = map(int, sys.argv[1:]) if len(sys.argv) > 1 else SIZES
    for size in sizes:
        measure(size)


if __name__ == "__main__":
    main()
