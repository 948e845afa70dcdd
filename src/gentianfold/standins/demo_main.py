"""Demo: a local fleet with stand-ins that logs how requests are placed."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from gentianfold.platform.headers import HEADERS
from gentianfold.settings import LoggingSettings
from gentianfold.standins.site import API_KEY, HOST, Site, make_configuration
from gentianfold.standins.upstream import Behaviour
from gentianfold.vm.log_setup import set_up_log
from gentianfold.vm.log_writer import LogWriter

if TYPE_CHECKING:
    from gentianfold.vm.virtual_machine import VirtualMachine

VM_COUNT = 3
"""Number of VMs."""
REQUEST_COUNT = 24
"""Number of requests; one upstream starts failing after a third of them."""


async def _send_request(vm: VirtualMachine, number: int) -> bytes:
    """Send one request to a VM and return the status line of the response."""
    method, path = ("GET", "/search/1") if number % 2 == 0 else ("PUT", "/claim/1")
    head = [
        f"{method} {path} HTTP/1.1",
        f"host: {HOST}",
        f"{HEADERS.request_id.decode()}: demo-{number}",
        f"authorization: {HEADERS.key_scheme.decode()} {API_KEY}",
        "connection: close",
        "content-length: 0",
    ]
    endpoint = vm.settings.callers
    async with await anyio.connect_tcp(endpoint.host, endpoint.port) as stream:
        await stream.send("\r\n".join(head).encode() + b"\r\n\r\n")
        response = await stream.receive()
    return response.partition(b"\r\n")[0]


async def _run(writer: LogWriter) -> None:
    async with anyio.create_task_group() as tasks:
        site = Site(tasks)
        await site.open()
        site.store.put_configuration(make_configuration())
        for number in range(4):
            await site.add_upstream(f"server-{number}")
        vms = [await site.add_vm() for _ in range(VM_COUNT)]
        for number in range(REQUEST_COUNT):
            if number == REQUEST_COUNT // 3:
                logger.info("demo: server-0 starts failing")
                site.upstreams["server-0"].behaviour = Behaviour.ERROR
            status_line = await _send_request(vms[number % VM_COUNT], number)
            logger.info(
                "demo: request demo-{} got response {}", number, status_line.decode()
            )
            writer.flush()
        site.close()
    writer.flush()


def main() -> None:
    """Run the demo until all requests have a response."""
    writer = LogWriter(sys.stdout.fileno())
    set_up_log(LoggingSettings(), writer)
    anyio.run(_run, writer)


if __name__ == "__main__":
    main()
