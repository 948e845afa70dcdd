"""The command that runs the project's own reports."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import attrs
import cappa
from loguru import logger

from gentianfold.cli._output import write_line
from gentianfold.cli.exit_codes import ExitCode
from gentianfold.reports._matrix_benches import all_benches
from gentianfold.reports._matrix_markdown import format_markdown, format_summary
from gentianfold.reports.fault_matrix import PAIR_SEEDS, SEEDS, run_matrix
from gentianfold.reports.measures import POLICIES, format_table, measure, plot


@cappa.command(name="report", help="Run a report on the decision code.")
@attrs.frozen(kw_only=True)
class Report:
    """Runs a report."""

    name: Annotated[
        Literal["fault-matrix", "measures"], cappa.Arg(help="The report to run.")
    ]
    """Name of the report."""
    full: Annotated[
        bool, cappa.Arg(long=True, help="Try pairs too, and write the whole page.")
    ] = False
    """Whether to try pairs of faults and write Markdown."""
    seeds: Annotated[
        int, cappa.Arg(long=True, help="Seeds of the measures, from 1 to 20.")
    ] = 1
    """Number of seeds of the measures."""
    plot: Annotated[
        str, cappa.Arg(long=True, value_name="FILE", help="Plot the measures as PNG.")
    ] = ""
    """Where to write a plot of the measures."""

    def __call__(self) -> ExitCode:
        """Run the report; a violation is a finding."""
        logger.disable("gentianfold")
        if self.name == "measures":
            return self._measure()
        seeds, most_faults = (PAIR_SEEDS, 2) if self.full else (SEEDS, 1)
        matrix = run_matrix(all_benches(), seeds, most_faults)
        if self.full:
            write_line(format_markdown(matrix).rstrip("\n"))
        else:
            write_line(format_summary(matrix))
        return ExitCode.FINDINGS if matrix.violations else ExitCode.OK

    def _measure(self) -> ExitCode:
        if not 1 <= self.seeds <= 20:
            return ExitCode.USAGE
        rows = [measure(policy, range(1, self.seeds + 1)) for policy in POLICIES]
        write_line(format_table(rows))
        if self.plot:
            plot(rows, Path(self.plot))
        return ExitCode.OK
