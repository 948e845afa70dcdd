"""Soak test of VM processes of two builds that are replaced while callers send.

Runs by hand only, as it needs a checkout of the other build:
``PRODUCTION_SRC=CHECKOUT/src python -m pytest tests/soak/test_replaced_builds_soak.py``
"""

from __future__ import annotations

import os
import random
import signal

import anyio
import attrs
import pytest
from soak.process_fleet import ProcessFleet
from soak.test_process_soak import (
    CALLER_COUNT,
    MAX_BODY_BYTES,
    REQUESTS_PER_CALLER,
    SEED_COUNT,
    Callers,
    wait_for_status,
)

from gentianfold.standins.site import make_configuration

pytestmark = pytest.mark.anyio
PADDING = bytes(range(256)) * 16
"""Short, as 98ec5f8 takes some long answers for answers without end."""
SOURCE = os.environ.get("PRODUCTION_SRC", "")


async def replace_vms(fleet, rng, signals):
    """Replace all VMs in turn, and one by the earlier build again."""
    vms = rng.sample(fleet.vms, len(fleet.vms))
    for vm, source in [*((vm, "") for vm in vms), (rng.choice(vms), SOURCE)]:
        await anyio.sleep(rng.uniform(0.1, 0.6))
        vm.source = source
        await vm.restart(rng.choice(signals))


async def run_replacement(seed, folder, signals):
    """Return the callers of a fleet whose VMs were replaced while they sent."""
    rng = random.Random(seed)
    configuration = make_configuration()
    limits = attrs.evolve(configuration.caller_limits, max_body_bytes=MAX_BODY_BYTES)
    configuration = attrs.evolve(configuration, caller_limits=limits)
    fleet = ProcessFleet(folder, configuration, source=SOURCE)
    try:
        with anyio.fail_after(180):
            await fleet.open(upstream_count=6, vm_count=4)
            await wait_for_status(fleet, 200, "before")
            for upstream in fleet.upstreams:
                upstream.answer_padding = PADDING
            callers = Callers(fleet, PADDING)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(replace_vms, fleet, rng, signals)
                for number in range(CALLER_COUNT):
                    tasks.start_soon(callers.run, number, random.Random(number))
            await wait_for_status(fleet, 200, "after")
            callers.check()
            return callers
    finally:
        fleet.close()


if SOURCE:

    @pytest.mark.parametrize("seed", range(1, SEED_COUNT + 1))
    async def test_guarantees_hold_while_vms_are_killed_and_replaced(seed, tmp_path):
        signals = (signal.SIGTERM, signal.SIGKILL)
        await run_replacement(seed, tmp_path, signals)

    @pytest.mark.parametrize("seed", range(1, SEED_COUNT + 1))
    async def test_vms_that_are_replaced_as_planned_answer_all(seed, tmp_path):
        callers = await run_replacement(seed, tmp_path, (signal.SIGTERM,))
        assert len(callers.responses) == CALLER_COUNT * REQUESTS_PER_CALLER
        statuses = {status for status, *_ in callers.responses.values()}
        assert statuses <= {200, 429, 503}
