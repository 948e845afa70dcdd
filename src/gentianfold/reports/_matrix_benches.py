"""All benches of the fault matrix."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianfold.reports._matrix_configuration import ConfigurationBench
from gentianfold.reports._matrix_floor import FloorBench
from gentianfold.reports._matrix_forwarding import ForwardingBench
from gentianfold.reports._matrix_limits import LimitsBench
from gentianfold.reports._matrix_once import OnceBench

if TYPE_CHECKING:
    from gentianfold.reports._matrix_case import Bench


def all_benches() -> tuple[Bench, ...]:
    """Return one bench for each kind of decision code."""
    return (
        LimitsBench(),
        OnceBench(),
        ConfigurationBench(),
        ForwardingBench(),
        FloorBench(),
    )
