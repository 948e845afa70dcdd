"""Each gray mode in a small world: what must be ejected is, the rest is not."""

from __future__ import annotations

import attrs
import pytest

from gentianfold.reports.gray_failures import SICK, SITES, run_mode
from gentianfold.reports.gray_failures_faults import gray_modes

SITE = attrs.evolve(SITES["dispatch"], vms=12)
MODES = gray_modes(SICK, "z1")


@pytest.mark.parametrize("index", range(len(MODES)), ids=[m.name for m in MODES])
def test_gray_mode(index):
    result = run_mode(SITE, "router", index, seed=3, fault_s=10.0, heal_s=0.0)
    assert result.false_ejections == 0
    assert result.least_capacity >= 1.0
    if MODES[index].ejectable:
        assert result.detected_s is not None
        assert result.ejecting_vms == SITE.vms
    else:
        assert result.ejecting_vms < SITE.vms
