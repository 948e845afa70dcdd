"""Shows on a local fleet how requests are answered, refused and routed around."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import anyio
import attrs
import httpcore

from gentianfold.demo.local_fleet import LocalFleet

if TYPE_CHECKING:
    from gentianfold.daemon.entry_vm import EntryVm

Headers = list[tuple[str, str]]
BUCKET_WAIT_S = 1.0
"""Time for the buckets of the demo's customers to fill a little."""


@attrs.define(eq=False)
class Tour:
    """Sends a few requests to a running fleet and prints what comes back."""

    fleet: LocalFleet
    """The running fleet."""
    client: httpcore.AsyncConnectionPool
    """The caller's connections."""

    async def run(self) -> None:
        """Show each step."""
        # Buckets start empty, since an earlier fleet may just have spent them.
        await anyio.sleep(BUCKET_WAIT_S)
        await self._show("a lookup with a key", "GET", "/gloves/held", "bus-drivers")
        await self._show("an open route", "GET", "/hours", None)
        await self._show("a booking", "POST", "/bookings", "market-stall", b"{}")
        await self._show("no key", "GET", "/gloves/held", None)
        await self._show_failing_upstream()
        await self._show_withdrawal()

    async def _show_failing_upstream(self) -> None:
        sick = self.fleet.upstreams[0]
        sick.behaviour.truncate = True
        print(f"\n{sick.name} now cuts its answers short; eight lookups:")
        for index in range(8):
            await self._ask("GET", f"/gloves/{index}", "bus-drivers")
        sick.behaviour.truncate = False

    async def _show_withdrawal(self) -> None:
        key = self.fleet.keys.pop("market-stall")
        self.fleet.publish()
        version = self.fleet.version
        while any(vm.store.version < version for vm in self.fleet.vms):
            await anyio.sleep(0.01)
        self.fleet.keys["market-stall"] = key
        print("\nthe key of market-stall was withdrawn:")
        await self._ask("GET", "/gloves/held", "market-stall")

    async def _show(
        self,
        title: str,
        method: str,
        path: str,
        customer: str | None,
        body: bytes | None = None,
    ) -> None:
        print(f"\n{title}:")
        await self._ask(method, path, customer, body)

    async def _ask(
        self, method: str, path: str, customer: str | None, body: bytes | None = None
    ) -> None:
        vm = self.fleet.vms[hash((method, path)) % len(self.fleet.vms)]
        headers: Headers = [("host", "gateway.example")]
        if customer is not None:
            headers.append(("authorization", f"Bearer {self.fleet.keys[customer]}"))
        if body is not None:
            headers.append(("content-length", str(len(body))))
        url = f"http://127.0.0.1:{vm.caller_server.port}{path}"
        seen = vm.decisions.next_seq - 1
        response = await self.client.request(method, url, headers=headers, content=body)
        print(f"  {method} {path} -> {response.status} {_summary(response.content)}")
        _print_decisions(vm, seen)


def _summary(body: bytes) -> str:
    """Return what matters of an answer's body."""
    answer = json.loads(body)
    if "error" in answer:
        return f"error {answer['error']}: {answer['message']} ({answer['request']})"
    return f"from {answer.get('upstream', '?')}"


def _print_decisions(vm: EntryVm, after_seq: int) -> None:
    for _, line in vm.decisions.after(after_seq):
        print(f"    {line}")


async def run_tour(vm_count: int = 4) -> None:
    """Start a local fleet, show it and stop it."""
    fleet = LocalFleet(vm_count)
    async with fleet.running(), httpcore.AsyncConnectionPool() as client:
        upstreams = len(fleet.upstreams)
        print(f"{vm_count} VMs before {upstreams} stand-in upstreams are ready.")
        await Tour(fleet, client).run()
        for vm in fleet.vms:
            vm.drain()
    print("\nthe fleet has stopped")
