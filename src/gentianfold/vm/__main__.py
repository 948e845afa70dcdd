"""Runs one VM: ``python -m gentianfold.vm``."""

from __future__ import annotations

from gentianfold.vm.start import main

main()
