"""Fixtures and helpers for tests with whole VMs on loopback addresses."""

from __future__ import annotations

from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import pytest
from loguru import logger

from gentianfold.platform.headers import HEADERS
from gentianfold.standins.site import API_KEY, HOST, Site, make_configuration

REQUEST_ID = HEADERS.request_id.decode()
TIME_LEFT = HEADERS.time_left_ms.decode()
CUSTOMER = HEADERS.customer.decode()
SEAL = HEADERS.seal.decode()
SCHEME = HEADERS.key_scheme.decode()


KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items):
    """Mark the tests listed in ``KNOWN-RED.txt`` as strict expected failures."""
    listed = {
        line.removeprefix("test: ").strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith("test: ")
    }
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt"))


@pytest.fixture(autouse=True)
def enabled_log():
    """Undo what a test of a large fleet does to keep the log short."""
    yield
    logger.enable("gentianfold")


@pytest.fixture
def anyio_backend():
    return "asyncio"


@asynccontextmanager
async def open_site(upstreams=3, vms=1, configuration=None):
    """Start a site with upstreams ``u1``, ``u2``, ... of the service ``registry``."""
    async with anyio.create_task_group() as tasks:
        site = Site(tasks)
        await site.open()
        site.store.put_configuration(configuration or make_configuration())
        for number in range(upstreams):
            await site.add_upstream(f"u{number + 1}")
        for _ in range(vms):
            await site.add_vm()
        try:
            yield site
        finally:
            site.close()


def request_bytes(
    request_id="r1", path="/search/1", method="GET", body=b"", key=API_KEY, extra=()
):
    """Return an encoded caller request; an empty ``key`` omits the authorization."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"{REQUEST_ID}: {request_id}",
        f"{TIME_LEFT}: 4000",
        *([f"Authorization: {SCHEME} {key}"] if key else []),
        *([f"Content-Length: {len(body)}"] if body else []),
        *extra,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_response(stream, buffer=b""):
    """Read one response; return status, headers, body and the bytes after it."""
    while b"\r\n\r\n" not in buffer:
        buffer += await stream.receive()
    head, _, rest = buffer.partition(b"\r\n\r\n")
    status_line, *lines = head.decode().split("\r\n")
    headers = {
        name.lower(): value
        for name, _, value in (line.partition(": ") for line in lines)
    }
    length = int(headers.get("content-length", "0"))
    while len(rest) < length:
        rest += await stream.receive()
    return int(status_line.split()[1]), headers, rest[:length], rest[length:]


@asynccontextmanager
async def connect_caller(vm):
    """Open a connection to a VM's caller listener."""
    endpoint = vm.settings.callers
    stream = await anyio.connect_tcp(endpoint.host, endpoint.port)
    try:
        yield stream
    finally:
        await anyio.aclose_forcefully(stream)


async def send_request(vm, data):
    """Send bytes on a new caller connection and return the first response."""
    async with connect_caller(vm) as stream:
        await stream.send(data)
        with anyio.fail_after(30):
            return await read_response(stream)


async def wait_until(condition):
    """Wait until a condition is true; fail after 30 s."""
    with anyio.fail_after(30):
        while not condition():
            await anyio.sleep(0.01)


def execution_counts(upstream):
    return upstream.execution_counts.total()


def execution_count(site, request_id):
    return sum(
        row.execution_counts[request_id.encode()] for row in site.upstreams.values()
    )
