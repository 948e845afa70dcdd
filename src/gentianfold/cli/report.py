"""The command that compares ways to place requests."""

from __future__ import annotations

from typing import Annotated

import attrs
import cappa

from gentianfold.cli._arguments import JsonFlag
from gentianfold.cli._output import format_table, write_json, write_line
from gentianfold.cli.exit_codes import ExitCode
from gentianfold.reports.load_patterns import LOAD_PATTERNS
from gentianfold.reports.placement_model import STRATEGIES, PlacementModel


@cappa.command(name="placement", help="Compare ways to place the same loads.")
@attrs.frozen(kw_only=True)
class PlacementReport:
    """Plays each load with each way."""

    seeds: Annotated[
        int, cappa.Arg(long=True, help="Seeds to play each load with.")
    ] = 2
    """Number of seeds."""
    plot: Annotated[
        str, cappa.Arg(long=True, value_name="FILE", help="Write a plot there.")
    ] = ""
    """File of the plot; empty for none."""
    as_json: JsonFlag = False
    """Whether to write JSON."""

    def __call__(self) -> ExitCode:
        """Play and write the table."""
        rows = [
            _play(pattern_index, way, self.seeds)
            for pattern_index in range(len(LOAD_PATTERNS))
            for way in STRATEGIES
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
    """Shares of one load and way, 0 to 1."""

    load: str
    way: str
    earned: float
    served: float
    late: float
    refused: float
    failed: float


def _play(pattern_index: int, way: str, seeds: int) -> _Row:
    pattern = LOAD_PATTERNS[pattern_index]
    tallies = [PlacementModel(pattern, way, seed).run() for seed in range(1, seeds + 1)]
    total = sum(row.on_target + row.late + row.refused + row.failed for row in tallies)

    def share(count: int) -> float:
        return round(count / max(total, 1), 3)

    return _Row(
        pattern.name,
        way,
        round(
            sum(row.earned_value for row in tallies)
            / sum(r.offered_value for r in tallies),
            3,
        ),
        share(sum(row.on_target + row.late for row in tallies)),
        share(sum(row.late for row in tallies)),
        share(sum(row.refused for row in tallies)),
        share(sum(row.failed for row in tallies)),
    )


def _write_plot(rows: list[_Row], path: str) -> None:
    """Draw the earned share of each load and way."""
    # Loaded late: only plots need it.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4))
    for offset, way in enumerate(STRATEGIES):
        heights = [row.earned for row in rows if row.way == way]
        places = [index + 0.27 * offset for index in range(len(heights))]
        axes.bar(places, heights, width=0.25, label=way)
    axes.set_xticks([index + 0.27 for index in range(len(LOAD_PATTERNS))])
    axes.set_xticklabels([pattern.name for pattern in LOAD_PATTERNS])
    axes.set_ylabel("share of the worth that is earned")
    axes.legend()
    figure.savefig(path)


@cappa.command(name="report", help="Run experiments on the decision code.")
@attrs.frozen
class Report:
    """Runs a report."""

    report: cappa.Subcommands[PlacementReport]
    """The report."""

    def __call__(self) -> ExitCode:
        """Run it."""
        return self.report()
