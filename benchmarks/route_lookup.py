"""Measures the time of a route lookup with growing numbers of routes.

Compares the trie with a scan over all routes, sorted by specificity.

Usage: python benchmarks/route_lookup.py
"""

from __future__ import annotations

import functools
import statistics
import time
from typing import TYPE_CHECKING

from gentianfold.model import Route
from gentianfold.rules import PathPattern, RouteTable, split_path

if TYPE_CHECKING:
    from collections.abc import Callable

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


def build_paths(count: int) -> list[str]:
    """Return request paths that match routes of all kinds, and one that doesn't."""
    return [
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


def build_scan(routes: list[Route]) -> Callable[[str], object]:
    """Return a lookup that scans all routes, the most specific first."""

    def compare(one: PathPattern, other: PathPattern) -> int:
        return -1 if one.is_more_specific(other) else 1

    patterns = sorted(map(PathPattern.of, routes), key=functools.cmp_to_key(compare))

    def find(path: str) -> object:
        segments = split_path(path)
        assert isinstance(segments, tuple)
        return next((one for one in patterns if one.matches(segments)), None)

    return find


def measure_us(find: Callable[[str], object], paths: list[str], lookups: int) -> float:
    """Return the median time of one lookup in microseconds."""
    rounds = max(1, lookups // len(paths))
    times_us = []
    for _ in range(ROUNDS):
        start_s = time.perf_counter()
        for _ in range(rounds):
            for path in paths:
                find(path)
        elapsed_s = time.perf_counter() - start_s
        times_us.append(elapsed_s / (rounds * len(paths)) * 1e6)
    return statistics.median(times_us)


def main() -> None:
    """Print a row for each number of routes."""
    print("median time of one lookup, in microseconds")
    print("routes   trie     scan")
    for count in ROUTE_COUNTS:
        routes, paths = build_routes(count), build_paths(count)
        table = RouteTable(routes)
        trie_us = measure_us(
            lambda path, table=table: table.find("GET", path, HEADERS),
            paths,
            LOOKUPS,
        )
        scan_us = measure_us(build_scan(routes), paths, LOOKUPS // 10)
        print(f"{count:6}  {trie_us:5.2f}  {scan_us:7.2f}")


if __name__ == "__main__":
    main()
