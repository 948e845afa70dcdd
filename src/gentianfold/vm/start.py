"""Entry point of ``gentianfoldd``: holds signals, then loads and runs the VM."""

from __future__ import annotations

from gentianfold.vm.early_signals import hold_signals


def main() -> None:
    """Run one VM; signals that arrive while it is loaded are not lost."""
    hold_signals()
    from gentianfold.vm.main import main as run_vm

    run_vm()
