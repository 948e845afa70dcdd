"""A planned stop that cuts no request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from loguru import logger

if TYPE_CHECKING:
    from gentianfold.daemon.entry_vm import EntryVm

POLL_S = 0.02
"""Time between two looks at what is still open (seconds)."""


class PlannedStop:
    """Stops a VM in steps: callers move, open requests finish, shares go to peers.

    Readiness fails first and callers on kept connections are told to close, while
    requests are still served, until the balancer sends callers elsewhere. Then the
    port is closed and open requests finish. Share slots are given up meanwhile, so
    that peers take them over before the VM is gone.
    """

    def __init__(self, vm: EntryVm) -> None:
        self._vm = vm
        self._asked = anyio.Event()

    def ask(self) -> None:
        """Start the stop; more calls change nothing."""
        if self._vm.state.draining:
            return
        logger.info("daemon: VM {} starts a planned stop", self._vm.settings.vm)
        self._vm.state.draining = True
        self._vm.node.leaving = True
        self._asked.set()

    async def run(self) -> None:
        """Wait until the stop is asked for, and finish it in bounded time."""
        await self._asked.wait()
        vm = self._vm
        limits = vm.settings.limits
        await anyio.sleep(limits.settle_s)
        with anyio.move_on_after(limits.stop_timeout_s) as scope:
            vm.caller_server.stop()
            await self._finish_requests()
            await self._hand_over()
        if scope.cancelled_caught:
            logger.warning(
                "daemon: VM {} stops with {} requests open and {} share slots held",
                vm.settings.vm,
                vm.caller_app.open_requests,
                vm.report.held_slots(),
            )
        vm.decisions.flush()
        vm.connections.close()
        logger.info("daemon: VM {} has stopped", vm.settings.vm)

    async def _finish_requests(self) -> None:
        vm = self._vm
        while vm.caller_server.connection_count() or vm.caller_app.open_requests:
            await anyio.sleep(POLL_S)

    async def _hand_over(self) -> None:
        vm = self._vm
        vm.ledger.stop()
        vm.limiter.on_stop(vm.clock.now_s())
        vm.limit_gate.tick()
        while not (vm.limiter.stopped() and vm.ledger.stopped()):
            vm.once_gate.tick()
            await anyio.sleep(POLL_S)
