"""Measures the time of a route lookup with growing numbers of routes.

Usage: python benchmarks/route_lookup.py
"""

from __future__ import annotations

import statistics
import time

from gentianfold.model import Route
from gentianfold.rules import PathPattern, RouteTable

ROUTE_COUNTS = (16, 160, 1600)
LOOKUPS = 4_000
ROUNDS = 7
HEADERS = ((b"host", b"gateway"), (b"accept", b"*/*"), (b"x-app", b"2"))


def build_routes(count: int) -> list[Route]:
    """Return routes of all kinds over ``count`` / 4 groups of paths."""
    groups = range(count // 4)
    return [
        Route(name, frozenset(["GET"]), path, PathPattern.parse(path).kind, "service")
        for group in groups
        for name, path in (
            (f"exact-{group}", f"/city/district-{group}/gloves"),
            (f"prefix-{group}", f"/city/district-{group}/**"),
            (f"pattern-{group}", f"/city/district-{group}/*/claim"),
            (f"star-{group}", f"/*/district-{group}/pairs"),
        )
    ]


def measure_us(count: int) -> float:
    """Return the median time of one lookup in microseconds."""
    table = RouteTable(build_routes(count))
    paths = [
        path
        for group in range(0, count // 4, max(1, count // 64))
        for path in (
            f"/city/district-{group}/gloves",
            f"/city/district-{group}/a/b",
            f"/city/district-{group}/7/claim",
            f"/town/district-{group}/pairs",
            f"/town/district-{group}/none",
        )
    ]
    rounds = max(1, LOOKUPS // len(paths))
    times_us = []
    for _ in range(ROUNDS):
        start_s = time.perf_counter()
        for _ in range(rounds):
            for path in paths:
                table.find("GET", path, HEADERS)
        elapsed_s = time.perf_counter() - start_s
        times_us.append(elapsed_s / (rounds * len(paths)) * 1e6)
    return statistics.median(times_us)


def main() -> None:
    """Print a row for each number of routes."""
    print("routes  lookup (median of rounds, us)")
    for count in ROUTE_COUNTS:
        print(f"{count:6}  {measure_us(count):.2f}")


if __name__ == "__main__":
    main()
