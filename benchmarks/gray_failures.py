"""Prints the table of gray failures for one service.

Usage: ``python benchmarks/gray_failures.py SITE [--seeds N] [--placers A,B]``.
"""

from __future__ import annotations

import argparse
import statistics

from gentianfold.reports.gray_failures import (
    PLACERS,
    SICK,
    SITES,
    run_mode,
    run_noise,
    summarise,
)
from gentianfold.reports.gray_failures_faults import gray_modes
from gentianfold.reports.gray_failures_world import Noise


def print_modes(site: str, placer: str, seeds: int, modes: list[int]) -> None:
    """Print one row for each gray mode."""
    names = [mode.name for mode in gray_modes(SICK, "z1")]
    print(
        f"\n{SITES[site].name}, {placer}, {seeds} seeds\n"
        "| mode | detected s, median / worst | after first harm s | harmed | harmed late | failed "
        "| VMs ejecting | false ejections | least capacity / floor "
        "| readmitted s, median / worst |\n|---|---|---|---|---|---|---|---|---|---|"
    )
    for index in modes:
        results = [run_mode(SITES[site], placer, index, s) for s in range(seeds)]
        median = statistics.median
        print(
            f"| {names[index]} | {summarise([r.detected_s for r in results])} "
            f"| {summarise([r.reacted_s for r in results])} "
            f"| {median(r.harmed for r in results):.0f} "
            f"| {median(r.harmed_late for r in results):.0f} "
            f"| {median(r.failed for r in results):.0f} "
            f"| {median(r.ejecting_vms for r in results):.0f} "
            f"| {sum(r.false_ejections for r in results)} "
            f"| {min(r.least_capacity for r in results):.2f} "
            f"| {summarise([r.readmitted_s for r in results])} |",
            flush=True,
        )


def print_noise(site: str, placer: str, seed: int, duration_s: float) -> None:
    """Print the false ejections under noise, and under noise with bursts."""
    for name, noise in (("noise", Noise()), ("bursts", Noise(burst_period_s=120.0))):
        count, held, world = run_noise(SITES[site], placer, noise, seed, duration_s)
        exchange = world.exchange
        sent = exchange.sent_bytes / duration_s / len(world.placers) if exchange else 0
        urgent = exchange.urgent_payloads / duration_s if exchange else 0
        print(
            f"{SITES[site].name}, {placer}, {name}, {duration_s:.0f} s: "
            f"{count} false ejections, {held} s held, {dict(world.results)}, "
            f"{sent:.0f} payload bytes/s a VM, {urgent:.2f} urgent payloads/s",
            flush=True,
        )


def main() -> None:
    """Parse the arguments and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", choices=SITES)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--placers", default=",".join(PLACERS))
    parser.add_argument("--modes", default="")
    parser.add_argument("--noise-s", type=float, default=0.0)
    arguments = parser.parse_args()
    count = len(gray_modes(SICK, "z1"))
    modes = [int(m) for m in arguments.modes.split(",") if m] or list(range(count))
    for placer in arguments.placers.split(","):
        if arguments.noise_s:
            print_noise(arguments.site, placer, 1, arguments.noise_s)
        else:
            print_modes(arguments.site, placer, arguments.seeds, modes)


if __name__ == "__main__":
    main()
