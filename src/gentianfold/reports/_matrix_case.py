"""One case of the fault matrix, and what was seen when it ran."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from gentianfold.reports._matrix_axes import Fault, Promise, Step


@attrs.frozen
class Case:
    """Faults that strike together at one step."""

    step: Step
    """The step."""
    faults: tuple[Fault, ...]
    """The faults, in the order in which they strike."""
    seed: int
    """Seed of all chance."""


@attrs.define
class Observation:
    """What came of a case."""

    reached: bool = False
    """Whether the code got to the step with every fault present."""
    checked: set[Promise] = attrs.field(factory=set)
    """Promises that the run could have broken and whose check looked."""
    violations: dict[Promise, str] = attrs.field(factory=dict)
    """Promises that were broken, and how."""

    def violate(self, promise: Promise, trace: str) -> None:
        """Note that a promise was broken; the first trace is kept."""
        self.checked.add(promise)
        self.violations.setdefault(promise, trace)


class Bench(Protocol):
    """Runs real decision code under faults."""

    @property
    def name(self) -> str:
        """Name of the bench."""
        ...

    @property
    def steps(self) -> tuple[Step, ...]:
        """Steps at which the bench can strike."""
        ...

    @property
    def faults(self) -> tuple[Fault, ...]:
        """Faults that the bench can make."""
        ...

    def run(self, case: Case) -> Observation:
        """Run a case from start to end."""
        ...
