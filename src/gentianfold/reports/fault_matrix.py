"""The fault matrix: every fault at every step against every promise."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs

from gentianfold.reports._matrix_axes import Fault, Promise, Step, find_exclusion
from gentianfold.reports._matrix_case import Case

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from gentianfold.reports._matrix_case import Bench, Observation

SEEDS = (1, 2)
"""Seeds of single faults."""
PAIR_SEEDS = (1,)
"""Seeds of the full matrix, pairs included."""


@attrs.frozen
class CellName:
    """A promise, a step and the faults that strike at it."""

    promise: Promise
    """The promise."""
    step: Step
    """The step."""
    faults: frozenset[Fault]
    """One fault or two."""


@attrs.frozen
class Violation:
    """A broken promise."""

    cell: CellName
    """Where it broke."""
    bench: str
    """The bench that showed it."""
    case: Case
    """The case, with its seed."""
    trace: str
    """What was seen."""


@attrs.define
class FaultMatrix:
    """Cells that were tried, and the violations among them."""

    tried: dict[CellName, int] = attrs.field(factory=dict)
    """Runs of each cell that was tried."""
    violations: list[Violation] = attrs.field(factory=list)
    """Everything that was broken."""
    run_count: int = 0
    """Cases that were run."""
    missed_count: int = 0
    """Cases that never got to their step, and so count for nothing."""

    def run(self, bench: Bench, case: Case) -> None:
        """Run a case and note what its checks looked at."""
        seen = bench.run(case)
        self.run_count += 1
        if not seen.reached:
            self.missed_count += 1
            return
        self._note(bench, case, seen)

    def violated(self) -> set[CellName]:
        """Return the cells with a violation."""
        return {violation.cell for violation in self.violations}

    def _note(self, bench: Bench, case: Case, seen: Observation) -> None:
        for promise in seen.checked:
            cell = CellName(promise, case.step, frozenset(case.faults))
            self.tried[cell] = self.tried.get(cell, 0) + 1
            if trace := seen.violations.get(promise):
                self.violations.append(Violation(cell, bench.name, case, trace))


def possible_cells(promise: Promise, size: int) -> Iterator[CellName]:
    """Yield the cells of a promise that can occur, with ``size`` faults each."""
    for step, faults in itertools.product(Step, itertools.combinations(Fault, size)):
        if find_exclusion(step, faults) is None:
            yield CellName(promise, step, frozenset(faults))


def plan_cases(bench: Bench, seeds: Iterable[int], most_faults: int) -> Iterator[Case]:
    """Yield every case of a bench that can occur."""
    sizes = range(1, most_faults + 1)
    for seed, size, step in itertools.product(seeds, sizes, bench.steps):
        for faults in itertools.combinations(bench.faults, size):
            if find_exclusion(step, faults) is None:
                yield Case(step, faults, seed)


def run_matrix(
    benches: Sequence[Bench], seeds: Sequence[int], most_faults: int
) -> FaultMatrix:
    """Run all cases of some benches.

    Args:
        benches: What runs the cases.
        seeds: Seeds with which each case is run.
        most_faults: Most faults that strike together.
    """
    matrix = FaultMatrix()
    for bench in benches:
        for case in plan_cases(bench, seeds, most_faults):
            matrix.run(bench, case)
    return matrix
