"""Signals that arrive while the process starts, and settings replaced meanwhile."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import anyio
import pytest
from conftest import wait_until
from soak.process_fleet import ProcessFleet

pytestmark = pytest.mark.anyio

SEED = "127.0.0.77"


async def start_while_settings_are_read(fleet, vm, number):
    """Start a VM, send a signal and replace its settings before it has read them."""
    path, text = Path(vm.settings_path), Path(vm.settings_path).read_text()
    path.unlink()
    os.mkfifo(path)
    vm.start()
    writers = []

    def is_being_read():
        try:
            writers.append(os.open(path, os.O_WRONLY | os.O_NONBLOCK))
        except OSError:
            # Nobody has opened the file to read it.
            return False
        return True

    await wait_until(is_being_read)
    if number is not None:
        vm.signal(number)
    changed = path.with_suffix(".new")
    seeds = '"seeds": ["127.0.0.1'
    assert seeds in text
    changed.write_text(text.replace(seeds, f'"seeds": ["{SEED}'))
    changed.rename(path)
    os.write(writers[0], text.encode())
    os.close(writers[0])


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, None])
async def test_signals_and_new_settings_during_the_start_are_not_lost(number, tmp_path):
    # SIGHUP ended the process within its first 0.3 s; a file that was replaced before
    # the first look at its time was taken for the one that had been read.
    fleet = ProcessFleet(tmp_path)
    try:
        with anyio.fail_after(60):
            await fleet.open(upstream_count=1, vm_count=1)
            (vm,) = fleet.vms
            vm.process.kill()
            vm.process.wait()
            Path(vm.log_path).write_text("")
            await start_while_settings_are_read(fleet, vm, number)
            if number is signal.SIGTERM:
                await wait_until(lambda: vm.process.poll() is not None)
                assert vm.process.returncode == 0
                assert "vm: started" not in Path(vm.log_path).read_text()
                return
            await wait_until(
                lambda: (
                    vm.process.poll() is not None
                    or "vm: settings reloaded" in Path(vm.log_path).read_text()
                )
            )
            assert vm.process.poll() is None
    finally:
        fleet.close()


def test_signals_are_held_before_anything_slow_is_loaded():
    code = (
        "import gentianfold.vm.start, sys;"
        "print(sorted({'anyio', 'loguru', 'asyncio', 'attrs'} & set(sys.modules)))"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], check=False, capture_output=True, text=True
    )
    assert result.stdout == "[]\n"
