"""Entry point of ``gentianfoldd``: holds signals, then loads and runs the VM."""

from __future__ import annotations

import time

from gentianfold.vm.early_signals import hold_signals


def main() -> None:
    """Run one VM; signals that arrive while it is loaded are not lost."""
    started_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    hold_signals()
    from gentianfold.vm.main import main as run_vm

    run_vm(started_s)
