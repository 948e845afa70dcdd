"""Outcomes of asking for admission."""

from __future__ import annotations

from typing import TYPE_CHECKING, Union

import attrs

if TYPE_CHECKING:
    from gentianfold.errors import Failure


@attrs.frozen
class Admitted:
    """The request may run; a token of each of its limits is spent."""


@attrs.frozen
class Waiting:
    """A home was asked; the outcome follows as a ``Settled``."""

    ticket: int
    """Identifies the request among those that wait."""
    deadline_s: float
    """When the outcome is there at the latest, on this VM's clock."""


@attrs.frozen
class Settled:
    """The outcome of a request that waited."""

    ticket: int
    """The ticket given before."""
    outcome: Admitted | Failure
    """Whether the request may run."""


Admission = Union[Admitted, Waiting, "Failure"]
"""What ``Limiter.admit`` returns."""
ADMITTED = Admitted()
"""The one value that all admitted requests share."""
