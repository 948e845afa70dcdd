"""A small local fleet before stand-ins: sends requests and shows the decisions."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from gentianfold.platform.headers import HEADERS
from gentianfold.settings import LoggingSettings
from gentianfold.standins.site import HOST, KEY, Site, make_configuration
from gentianfold.standins.upstream import Behaviour
from gentianfold.vm.log_setup import set_up_log
from gentianfold.vm.log_writer import LogWriter

if TYPE_CHECKING:
    from gentianfold.vm.virtual_machine import VirtualMachine

VM_COUNT = 3
"""VMs of the demo."""
REQUEST_COUNT = 24
"""Requests of the demo; one server begins to fail after a third of them."""


async def _call(vm: VirtualMachine, number: int) -> bytes:
    """Send one request and return the first line of its answer."""
    method, path = ("GET", "/search/1") if number % 2 == 0 else ("PUT", "/claim/1")
    head = [
        f"{method} {path} HTTP/1.1",
        f"host: {HOST}",
        f"{HEADERS.request_id.decode()}: demo-{number}",
        f"authorization: {HEADERS.key_scheme.decode()} {KEY}",
        "connection: close",
        "content-length: 0",
    ]
    endpoint = vm.settings.callers
    async with await anyio.connect_tcp(endpoint.host, endpoint.port) as stream:
        await stream.send("\r\n".join(head).encode() + b"\r\n\r\n")
        answer = await stream.receive()
    return answer.partition(b"\r\n")[0]


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
                logger.info("demo: server-0 begins to fail")
                site.upstreams["server-0"].behaviour = Behaviour.ERROR
            line = await _call(vms[number % VM_COUNT], number)
            logger.info("demo: request demo-{} answered {}", number, line.decode())
            writer.flush()
        site.close()
    writer.flush()


def main() -> None:
    """Run the demo and end by itself."""
    writer = LogWriter(sys.stdout.fileno())
    set_up_log(LoggingSettings(), writer)
    anyio.run(_run, writer)


if __name__ == "__main__":
    main()
