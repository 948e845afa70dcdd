"""The client and the stand-in agree, and faults come back as values."""

from contextlib import asynccontextmanager

import anyio
import pytest

from gentianfold.codes import platform as codes
from gentianfold.platform.client import Value
from gentianfold.platform.http_client import HttpPlatformClient
from gentianfold.standins.platform import CallKind, PlatformMode, StandinPlatform
from gentianfold.standins.platform_server import run_platform

pytestmark = pytest.mark.anyio


@asynccontextmanager
async def serve(platform, reader="vm-1"):
    async with anyio.create_task_group() as tasks:
        url = await tasks.start(run_platform, platform)
        async with HttpPlatformClient(url, reader) as client:
            yield client
        tasks.cancel_scope.cancel()


async def test_reads_watches_and_counts():
    platform = StandinPlatform()
    async with serve(platform) as client:
        assert (await client.read("config")).code is codes.VALUE_NOT_FOUND
        platform.publish("config", b"one")
        assert await client.read("config") == Value("config", 1, b"one")
        assert await client.watch("config", 0, 5.0) == Value("config", 1, b"one")
        assert await client.watch("config", 1, 0.01) is None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.watch, "config", 1, 20.0)
            await anyio.wait_all_tasks_blocked()
            platform.publish("config", b"x" * 1_000_000)
        assert len((await client.read("config")).data) == 1_000_000
        assert platform.calls == {CallKind.READ: 3, CallKind.WATCH: 3}
    with pytest.raises(ValueError):
        platform.publish("config", b"x" * 1_000_001)


async def test_a_stale_platform_serves_readers_different_versions():
    platform = StandinPlatform()
    platform.publish("config", b"old")
    platform.pin("vm-1")
    platform.publish("config", b"new")
    async with serve(platform) as stale, serve(platform, "vm-2") as fresh:
        assert (await stale.read("config")).data == b"old"
        assert (await fresh.read("config")).data == b"new"
        platform.unpin("vm-1")
        assert (await stale.watch("config", 1, 5.0)).data == b"new"


async def test_faults_are_values(monkeypatch):
    monkeypatch.setattr("gentianfold.platform.http_client.READ_TIMEOUT_S", 0.05)
    platform = StandinPlatform()
    platform.publish("config", b"one")
    async with serve(platform) as client:
        platform.set_mode(PlatformMode.DOWN)
        assert (await client.read("config")).code is codes.PLATFORM_REFUSED
        assert (await client.watch("config", 1, 5.0)).code is codes.PLATFORM_REFUSED
        platform.set_mode(PlatformMode.SILENT)
        assert (await client.read("config")).code is codes.PLATFORM_UNREACHABLE
        platform.set_mode(PlatformMode.UP)
        assert (await client.read("config")).data == b"one"
    async with HttpPlatformClient("http://127.0.0.1:1") as client:
        assert (await client.read("config")).code is codes.PLATFORM_UNREACHABLE
