"""Print the table of limits under scripted faults.

Run as ``python benchmarks/limits_cases.py [seed] [--baselines] [case ...]``.
"""

from __future__ import annotations

import sys

from gentianfold.reports.limits import Result, run_baseline, run_fleet
from gentianfold.reports.limits_cases import CASES, CUSTOMERS

BASELINES = (
    "static split",
    "home, lease not fenced",
    "home, fenced by majority",
    "gossiped counts",
)


def row(name: str, scheme: str, normal: Result, loaded: Result | None) -> str:
    """Return a row of the table."""
    refused = {x: normal.refused_within_rate(x) for x in CUSTOMERS}
    total = sum(len(x) for x in normal.decisions.values())
    worst = max(CUSTOMERS, key=lambda x: refused[x] / max(1, len(normal.decisions[x])))
    excess = max(r.excess(x) for r in (normal, loaded) if r for x in CUSTOMERS)
    parts = [loaded.admitted_part(x) for x in CUSTOMERS] if loaded else []
    served = f"{min(parts):.2f}" if parts else "-"
    large = f"{parts[-1]:.2f}" if parts else "-"
    return (
        f"| {name} | {scheme} | {sum(refused.values())} of {total} "
        f"| {worst} {refused[worst]}/{len(normal.decisions[worst])} | {excess:.1f} "
        f"| {served} | {large} | {1e3 * normal.wait_s(0.5):.2f} "
        f"| {1e3 * normal.wait_s(0.99):.2f} | {normal.messages_per_request:.2f} "
        f"| {normal.bytes_per_request:.0f} |"
    )


def main() -> None:
    """Run all cases."""
    numbers = [int(x) for x in sys.argv[1:] if x.isdigit()]
    seed = numbers[0] if numbers else 1
    print(
        "| case | scheme | refused within rate | worst customer | excess tokens "
        "| admitted of limit, worst | large-500 | wait p50 ms | p99 ms "
        "| messages/request | bytes/request |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|---|")
    names = [x for x in sys.argv[1:] if not x.isdigit() and not x.startswith("-")]
    for case in CASES:
        if names and case.name not in names:
            continue
        normal, loaded = run_fleet(case, 0.9, seed), run_fleet(case, 1.5, seed)
        print(row(case.name, "shares", normal, loaded), flush=True)
        if "--baselines" not in sys.argv:
            continue
        for scheme in BASELINES:
            normal = run_baseline(case, scheme, 0.9, seed)
            loaded = run_baseline(case, scheme, 1.5, seed)
            print(row(case.name, scheme, normal, loaded), flush=True)


if __name__ == "__main__":
    main()
