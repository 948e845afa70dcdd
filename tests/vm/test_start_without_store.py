"""VMs that start while the store is down learn what they need from the others."""

from __future__ import annotations

import anyio
import pytest
from conftest import open_site, request_bytes, send_request, wait_until

from gentianfold.vm.log_writer import LogWriter
from gentianfold.vm.virtual_machine import VirtualMachine

pytestmark = pytest.mark.anyio


def is_ready(vm):
    routing = vm.view.routing
    return routing.configuration is not None and routing.upstreams_age_s() < 60


async def replace_vm(site, number):
    """Stop a VM as planned and start it anew once it has ended."""
    old = site.vms[number]
    async with anyio.create_task_group() as tasks:
        site.vms[number] = vm = VirtualMachine(
            old.settings, LogWriter(), handles_signals=False
        )
        old.stop_requested.set()
        for server in old._other_servers:
            tasks.start_soon(server.wait_closed)
    await anyio.sleep(0.5)
    site.tasks.start_soon(vm.run)
    return vm


async def test_a_vm_starts_behind_a_broker_that_never_read_the_store():
    # Its broker told no age of the list, so the VM never got ready.
    async with open_site(vms=3) as site:
        await wait_until(lambda: all(vm.is_member for vm in site.vms[1:]))
        site.store.status = 503
        for vm in site.vms[1:]:
            vm.view.store_read_s = None
        vm = await replace_vm(site, 0)
        await wait_until(lambda: is_ready(vm))
        answer = await send_request(vm, request_bytes())
        assert answer[0] == 200


async def test_a_request_that_comes_before_the_configuration_waits_for_it():
    # When all VMs had lost their power, requests were refused until they had read it.
    async with open_site() as site:
        site.store.status = 503
        vm = await replace_vm(site, 0)
        await wait_until(lambda: vm.accepts_callers)
        answers = []

        async def send():
            answers.append(await send_request(vm, request_bytes()))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await anyio.sleep(0.1)
            assert vm.view.routing.configuration is None
            site.store.status = 200
        assert answers[0][0] == 200
