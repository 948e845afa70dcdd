"""Runs one VM from a settings file; ``gentianfold.vm.start`` calls it."""

from __future__ import annotations

import gc
import linecache
import os
import sys

import anyio
from loguru import logger

from gentianfold.vm.log_setup import set_up_log
from gentianfold.vm.log_writer import LogWriter
from gentianfold.vm.settings_file import SettingsFile
from gentianfold.vm.virtual_machine import VirtualMachine

SETTINGS_VARIABLE = "GENTIANFOLD_SETTINGS"
"""Environment variable with the path of the settings file; used without an argument."""
EXIT_INVALID_SETTINGS = 2
"""Exit code for missing or invalid settings."""


def main(started_s: float | None = None) -> None:
    """Run one VM until a planned stop.

    The first command line argument or ``GENTIANFOLD_SETTINGS`` gives the path of the
    settings file. Exits with ``EXIT_INVALID_SETTINGS`` if the settings are invalid, and
    with 1 if the UDP port of the fleet can't be bound.

    Args:
        started_s: Start of the process (boot time, seconds); ``None`` for now.
    """
    path = sys.argv[1] if len(sys.argv) > 1 else os.environ.get(SETTINGS_VARIABLE, "")
    settings_file = SettingsFile(path)
    settings = settings_file.load()
    if isinstance(settings, tuple):
        for failure in settings:
            print(failure, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    writer = LogWriter()
    writer.set_nonblocking()
    set_up_log(settings.logging, writer)
    # Lines of generated methods, which only tracebacks read.
    linecache.clearcache()
    # Imported modules are never freed; skipping them shortens each garbage collection.
    gc.collect()
    gc.freeze()
    virtual_machine = VirtualMachine(settings, writer, settings_file)
    virtual_machine.process_started_s = started_s
    try:
        anyio.run(virtual_machine.run, backend_options={"use_uvloop": True})
    except OSError as error:
        logger.error("vm: exiting after an error, {}", error)
        sys.exit(1)
    finally:
        writer.flush()
