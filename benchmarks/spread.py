"""Measures how fast news crosses a fleet, in simulated time.

Run with ``python benchmarks/spread.py``. The platform of this simulation answers
within one tick of 0.1 s; real watches add their pacing.
"""

from __future__ import annotations

import sys
from random import Random
from statistics import median
from typing import TYPE_CHECKING

from loguru import logger

from gentianfold.configuration.publication import publish_configuration
from gentianfold.peers.membership_events import StateChanged
from gentianfold.peers.memory_fleet import MemoryFleet
from gentianfold.peers.memory_link import MemoryNetwork
from gentianfold.peers.peer_row import PeerState

if TYPE_CHECKING:
    from collections.abc import Iterable

RUNS = 10
"""Runs of each case, with seeds from 0."""
QUIET_S = 300.0
"""Simulated time in which false suspicions are counted."""


def start_fleet(size: int, seed: int, jitter_s: float, loss: float) -> MemoryFleet:
    """Return a fleet in which version 1 is in force everywhere."""
    network = MemoryNetwork(Random(seed), jitter_s=jitter_s, loss=loss)
    fleet = MemoryFleet(size, network)
    publish(fleet, 1)
    # Faults begin at different times between two heartbeats.
    fleet.run(6.0 + 0.1 * seed)
    return fleet


def publish(fleet: MemoryFleet, version: int) -> None:
    """Publish a version."""
    publish_configuration(
        fleet.values.__setitem__,
        version=version,
        rules_text=f"version {version}",
        upstreams=(),
    )


def spread_times_s(fleet: MemoryFleet, informed: int) -> list[float]:
    """Return when each VM had version 2, after the first VMs learned of it."""
    fleet.informed = set(list(fleet.vms)[:informed])
    publish(fleet, 2)
    start_s = fleet.now_s
    fleet.run(15.0)
    return [
        time_s - start_s
        for vm in fleet.vms.values()
        for time_s, version in vm.adopted
        if version == 2
    ]


def detection_times_s(fleet: MemoryFleet, paused: bool) -> list[float]:
    """Return when each other VM suspected the first one after it fell silent."""
    name = next(iter(fleet.vms))
    if paused:
        fleet.vms[name].paused = True
    else:
        fleet.stop(name)
    start_s = fleet.now_s
    fleet.run(6.0)
    return [
        time_s - start_s
        for vm in fleet.vms.values()
        for time_s, event in vm.events
        if isinstance(event, StateChanged) and event.peer == name
        if event.new is PeerState.SUSPECT and time_s >= start_s
    ]


def false_suspicions(fleet: MemoryFleet) -> int:
    """Return how often a VM was suspected although all run."""
    fleet.run(QUIET_S)
    return sum(
        isinstance(event, StateChanged) and event.new is PeerState.SUSPECT
        for vm in fleet.vms.values()
        for _, event in vm.events
    )


def report(title: str, size: int, runs: Iterable[list[float]]) -> None:
    """Print the median and worst time and how many VMs were reached."""
    lists = list(runs)
    times_s = [time_s for times in lists for time_s in times]
    print(
        f"{title:44} median {median(times_s):5.2f} s  worst {max(times_s):5.2f} s"
        f"  least VMs {min(map(len, lists))} of {size}"
    )


def main() -> None:
    """Print all cases."""
    logger.remove()
    size = int(sys.argv[1]) if len(sys.argv) > 1 else 40
    for jitter_s, loss in ((0.002, 0.0), (0.2, 0.02)):
        print(f"{size} VMs, jitter {jitter_s} s, loss {loss:.0%}, {RUNS} runs")
        fleets = [start_fleet(size, seed, jitter_s, loss) for seed in range(RUNS)]
        report("change, platform up", size, (spread_times_s(f, size) for f in fleets))
        fleets = [start_fleet(size, seed, jitter_s, loss) for seed in range(RUNS)]
        report("change, one VM informed", size, (spread_times_s(f, 1) for f in fleets))
        for paused in (False, True):
            fleets = [start_fleet(size, seed, jitter_s, loss) for seed in range(RUNS)]
            times = (detection_times_s(fleet, paused) for fleet in fleets)
            title = "peer paused, suspected" if paused else "peer dead, suspected"
            report(title, size - 1, times)
    for jitter_s, loss in ((0.2, 0.0), (0.5, 0.02), (0.5, 0.05)):
        count = false_suspicions(start_fleet(size, 1, jitter_s, loss))
        pairs_s = size * (size - 1) * QUIET_S
        print(
            f"false suspicions, jitter {jitter_s} s, loss {loss:.0%}: {count}"
            f" in {pairs_s:.0f} pair-seconds"
        )


if __name__ == "__main__":
    main()
