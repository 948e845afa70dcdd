"""The command ``gentianfoldd``, which runs one VM."""

from __future__ import annotations

import gc
import signal
import sys
from typing import TYPE_CHECKING, Annotated

import anyio
import attrs
import cappa

from gentianfold import __version__
from gentianfold.cli._output import write_failures
from gentianfold.cli.exit_codes import ExitCode
from gentianfold.codes.daemon import ADDRESS_UNUSABLE, SECRET_UNUSABLE
from gentianfold.daemon.entry_vm import EntryVm
from gentianfold.daemon.log_setup import set_up_log
from gentianfold.errors import Failure
from gentianfold.settings import load_settings

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gentianfold.settings import Settings

YOUNG_OBJECTS = 50_000
"""Allocations between two collections of young objects."""


@cappa.command(name="gentianfoldd", help="Run one VM of a gentianfold fleet.")
@attrs.frozen(kw_only=True)
class Gentianfoldd:
    """Runs one VM until a planned stop is finished."""

    settings: Annotated[
        str, cappa.Arg(long=True, value_name="FILE", help="The settings file.")
    ]
    """Path of the settings file."""

    def __call__(self) -> ExitCode:
        """Run the VM."""
        settings = load_settings(self.settings)
        if isinstance(settings, tuple):
            write_failures(settings)
            return ExitCode.USAGE
        failure = run_daemon(settings)
        if failure is not None:
            write_failures([failure])
            return ExitCode.USAGE
        return ExitCode.OK


def run_daemon(settings: Settings) -> Failure | None:
    """Run one VM; return why it could not start, if it could not."""
    set_up_log(settings.logging)
    try:
        vm = EntryVm(settings)
    except (OSError, ValueError) as error:
        return Failure(SECRET_UNUSABLE, str(error))
    try:
        vm.bind()
    except OSError as error:
        return Failure(ADDRESS_UNUSABLE, str(error))
    anyio.run(_run, vm, backend_options={"use_uvloop": True})
    return None


async def _run(vm: EntryVm) -> None:
    # What lives as long as the daemon is left out of collections, which are
    # pauses for every open request.
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, 20, 100)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_on_signal, vm)
        await vm.run()
        tasks.cancel_scope.cancel()


async def _stop_on_signal(vm: EntryVm) -> None:
    """Start a planned stop on the first SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            vm.drain()


def run(argv: Sequence[str] | None = None) -> int:
    """Run the command and return its exit code."""
    code: int = cappa.invoke(
        Gentianfoldd,
        argv=None if argv is None else list(argv),
        version=__version__,
        completion=False,
    )
    return int(code)


def main() -> None:
    """Run the command of the process and exit."""
    sys.exit(run())


if __name__ == "__main__":
    main()
