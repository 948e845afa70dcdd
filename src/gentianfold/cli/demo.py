"""The command that shows a small local fleet."""

from __future__ import annotations

import logging
import sys
from typing import Annotated

import anyio
import attrs
import cappa
from loguru import logger

from gentianfold.cli.exit_codes import ExitCode
from gentianfold.demo.tour import run_tour


@cappa.command(
    name="demo", help="Run a local fleet before stand-ins, show it and stop it."
)
@attrs.frozen(kw_only=True)
class Demo:
    """Runs the demo."""

    vms: Annotated[int, cappa.Arg(long=True, help="VMs to start, from 1 to 16.")] = 4
    """VMs to start."""

    def __call__(self) -> ExitCode:
        """Run the demo with only warnings on the error output."""
        if not 1 <= self.vms <= 16:
            return ExitCode.USAGE
        logger.remove()
        logger.add(sys.stderr, level="WARNING", format="{message}")
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        anyio.run(run_tour, self.vms, backend_options={"use_uvloop": True})
        return ExitCode.OK
