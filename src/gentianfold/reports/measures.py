"""The users' four measures in one table, for policies run on the same seeded cases."""

from __future__ import annotations

import statistics
from itertools import chain
from typing import TYPE_CHECKING

import attrs

from gentianfold.reports.gray_failures import SITES, run_mode, run_noise
from gentianfold.reports.gray_failures_world import Noise
from gentianfold.reports.limits import run_baseline, run_fleet
from gentianfold.reports.limits_cases import CASES

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from gentianfold.reports.limits import Result

MODES = (1, 3)
"""Gray modes: all requests answered 500, and 30% of the work timing out."""
SITE_NAMES = ("registry", "desk")
"""One service of each user."""
NOISE_S = 300.0
"""Length of the runs that count false ejections (seconds)."""
LIMIT_CASES = ("steady", "one customer at 8x")
"""Cases of the limits."""
LOAD = 0.9
"""Part of its rate that each customer sends, outside of the 8x."""


@attrs.frozen
class Policy:
    """A way to place requests and to count limits."""

    name: str
    """How the table calls it."""
    placer: str
    """Which placer of the gray failure report."""
    limits: str = ""
    """Which baseline of the limits report; empty for shares."""


POLICIES = (
    Policy("gentianfold", "router"),
    Policy("each VM alone", "consecutive errors", "static split"),
)
"""The policies that are compared."""


@attrs.frozen
class Measures:
    """The four measures of one policy."""

    policy: str
    """Name of the policy."""
    detections_s: tuple[float | None, ...]
    """Detection time of each run; ``None`` where the fault was not detected."""
    false_ejections: int
    """Healthy upstreams that were ejected under noise."""
    worst_served: float
    """Part of its requests within rate that the worst-served customer keeps."""
    worst_customer: str
    """Name of that customer."""
    refused_count: int
    """Requests refused although they were within the customer's rate."""
    requests_count: int
    """Requests sent in the limit cases."""


def measure(policy: Policy, seeds: Sequence[int]) -> Measures:
    """Run all cases of one policy."""
    modes = [
        run_mode(SITES[site], policy.placer, mode, seed)
        for site in SITE_NAMES
        for mode in MODES
        for seed in seeds
    ]
    noise = [
        run_noise(SITES[site], policy.placer, Noise(), seed, NOISE_S)[0]
        for site in SITE_NAMES
        for seed in seeds
    ]
    results = [
        _run_limits(policy, name, seed) for name in LIMIT_CASES for seed in seeds
    ]
    served = chain.from_iterable(_served(result) for result in results)
    worst_served, worst_customer = min(served)
    return Measures(
        policy.name,
        tuple(result.detected_s for result in modes),
        sum(noise),
        worst_served,
        worst_customer,
        sum(_refused(result) for result in results),
        sum(sum(map(len, result.decisions.values())) for result in results),
    )


def format_table(rows: Sequence[Measures]) -> str:
    """Return the measures as a table in Markdown."""
    head = (
        "| policy | detection s, median / worst | not detected | false ejections "
        "| worst-served customer | refused within rate |\n|---|---|---|---|---|---|"
    )
    return "\n".join((head, *map(_format_row, rows)))


def plot(rows: Sequence[Measures], path: Path) -> None:
    """Write the detection times and the refusals as a picture.

    Raises:
        ImportError: The ``plots`` extra is not installed.
    """
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9, 4), layout="constrained")
    times, refusals = figure.subplots(1, 2)
    names = [row.policy for row in rows]
    times.boxplot([_known(row) for row in rows], tick_labels=names)
    times.set_ylabel("detection time (s)")
    refusals.bar(names, [row.refused_count for row in rows])
    refusals.set_ylabel("requests refused within rate")
    figure.savefig(path)


def _run_limits(policy: Policy, name: str, seed: int) -> Result:
    case = next(case for case in CASES if case.name == name)
    if policy.limits:
        return run_baseline(case, policy.limits, LOAD, seed)
    return run_fleet(case, LOAD, seed)


def _served(result: Result) -> list[tuple[float, str]]:
    """Return the part that each customer keeps, with its name."""
    return [
        (1.0 - result.refused_within_rate(name) / max(1, len(decisions)), name)
        for name, decisions in result.decisions.items()
    ]


def _refused(result: Result) -> int:
    return sum(result.refused_within_rate(name) for name in result.decisions)


def _known(row: Measures) -> list[float]:
    return [value for value in row.detections_s if value is not None]


def _format_row(row: Measures) -> str:
    known = _known(row)
    missing = len(row.detections_s) - len(known)
    times = f"{statistics.median(known):.2f} / {max(known):.2f}" if known else "-"
    return (
        f"| {row.policy} | {times} | {missing} of {len(row.detections_s)} "
        f"| {row.false_ejections} | {row.worst_served:.3f} ({row.worst_customer}) "
        f"| {row.refused_count} of {row.requests_count} |"
    )
