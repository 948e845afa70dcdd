"""The command ``report``: runs the placement code under simulated loads."""

from __future__ import annotations

from typing import Annotated

import attrs
import cappa

from gentianfold.cli._arguments import JsonFlag
from gentianfold.cli._output import format_table, write_json, write_line
from gentianfold.cli.exit_codes import ExitCode
from gentianfold.reports.load_patterns import LOAD_PATTERNS
from gentianfold.reports.placement_model import STRATEGIES, PlacementModel


@cappa.command(
    name="placement",
    help="Compare placement strategies under the same simulated loads.",
)
@attrs.frozen(kw_only=True)
class PlacementReport:
    """Simulates each load pattern with each placement strategy."""

    seeds: Annotated[
        int, cappa.Arg(long=True, help="Random seeds per load and strategy.")
    ] = 2
    """Number of random seeds per load pattern and strategy; the seeds count from 1."""
    plot: Annotated[
        str, cappa.Arg(long=True, value_name="FILE", help="Write a plot to this file.")
    ] = ""
    """Path of the plot to write; empty for no plot."""
    as_json: JsonFlag = False
    """Whether to write JSON."""

    def __call__(self) -> ExitCode:
        """Run the simulations and write the results."""
        rows = [
            _simulate(pattern_index, strategy, self.seeds)
            for pattern_index in range(len(LOAD_PATTERNS))
            for strategy in STRATEGIES
        ]
        if self.as_json:
            write_json({"rows": [attrs.asdict(row) for row in rows]})
        else:
            header = ("LOAD", "WAY", "EARNED", "SERVED", "LATE", "REFUSED", "FAILED")
            write_line(format_table(header, [attrs.astuple(row) for row in rows]))
        if self.plot:
            _write_plot(rows, self.plot)
        return ExitCode.OK


@attrs.frozen
class _Row:
    """Results of a load pattern and a strategy, summed over all seeds.

    All numbers are fractions, 0 to 1.
    """

    load: str
    """Name of the load pattern."""
    way: str
    """Name of the placement strategy."""
    earned: float
    """Value earned by the responses, reduced for late ones, as a fraction of the value
    of all requests."""
    served: float
    """Requests that were answered, including late responses."""
    late: float
    """Requests that were answered later than their target latency."""
    refused: float
    """Requests whose first attempt was rejected, so that they did not run."""
    failed: float
    """Requests that ended with an upstream failure, a timeout or a rejected retry."""


def _simulate(pattern_index: int, strategy: str, seeds: int) -> _Row:
    """Simulate a load pattern with a strategy, once per seed."""
    pattern = LOAD_PATTERNS[pattern_index]
    tallies = [
        PlacementModel(pattern, strategy, seed).run() for seed in range(1, seeds + 1)
    ]
    total = sum(
        tally.on_target + tally.late + tally.refused + tally.failed for tally in tallies
    )

    def share(count: int) -> float:
        return round(count / max(total, 1), 3)

    return _Row(
        pattern.name,
        strategy,
        round(
            sum(tally.earned_value for tally in tallies)
            / sum(tally.offered_value for tally in tallies),
            3,
        ),
        share(sum(tally.on_target + tally.late for tally in tallies)),
        share(sum(tally.late for tally in tallies)),
        share(sum(tally.refused for tally in tallies)),
        share(sum(tally.failed for tally in tallies)),
    )


def _write_plot(rows: list[_Row], path: str) -> None:
    """Plot the earned fraction of each load pattern and strategy."""
    # Imported on demand: needed only for plots.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4))
    for offset, strategy in enumerate(STRATEGIES):
        heights = [row.earned for row in rows if row.way == strategy]
        positions = [index + 0.27 * offset for index in range(len(heights))]
        axes.bar(positions, heights, width=0.25, label=strategy)
    axes.set_xticks([index + 0.27 for index in range(len(LOAD_PATTERNS))])
    axes.set_xticklabels([pattern.name for pattern in LOAD_PATTERNS])
    axes.set_ylabel("earned fraction of the value")
    axes.legend()
    figure.savefig(path)


@cappa.command(name="report", help="Run the placement code under simulated loads.")
@attrs.frozen
class Report:
    """Runs one of the reports."""

    report: cappa.Subcommands[PlacementReport]
    """The report to run."""

    def __call__(self) -> ExitCode:
        """Run the selected report."""
        return self.report()
