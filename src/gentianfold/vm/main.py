"""The program ``gentianfoldd``: one VM from a settings file."""

from __future__ import annotations

import gc
import os
import sys

import anyio
from loguru import logger

from gentianfold.settings import load_settings
from gentianfold.vm.log_setup import set_up_log
from gentianfold.vm.log_writer import LogWriter
from gentianfold.vm.virtual_machine import VirtualMachine

SETTINGS_VARIABLE = "GENTIANFOLD_SETTINGS"
"""Names the settings file when the command line does not."""
EXIT_SETTINGS = 2
"""Exit code for settings that can't be used."""


def main() -> None:
    """Run one VM; the first argument or the environment names its settings."""
    path = sys.argv[1] if len(sys.argv) > 1 else os.environ.get(SETTINGS_VARIABLE, "")
    settings = load_settings(path)
    if isinstance(settings, tuple):
        for failure in settings:
            print(failure, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    writer = LogWriter()
    writer.open()
    set_up_log(settings.logging, writer)
    # What was imported stays for good; looking at it again costs time in each cycle.
    gc.freeze()
    virtual_machine = VirtualMachine(settings, writer, path)
    try:
        anyio.run(virtual_machine.run, backend_options={"use_uvloop": True})
    except OSError as error:
        logger.error("vm: ends, {}", error)
        writer.flush()
        sys.exit(1)


if __name__ == "__main__":
    main()
