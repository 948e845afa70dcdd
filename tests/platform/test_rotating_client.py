"""A failed call moves on to the next address; calls at the same time count once."""

from __future__ import annotations

import anyio
import anyio.lowlevel
import attrs

from gentianfold.codes.platform import PLATFORM_UNREACHABLE
from gentianfold.errors import Failure
from gentianfold.platform.rotating_client import RotatingPlatformClient


@attrs.define
class Fake:
    up: bool = True
    calls: int = 0

    async def read(self, name):
        self.calls += 1
        await anyio.lowlevel.checkpoint()
        return name if self.up else Failure(PLATFORM_UNREACHABLE)

    async def watch(self, name, after, timeout_s):
        return await self.read(name)


def test_calls_move_on_after_failures_and_stay_after_successes():
    async def scenario():
        down, up = Fake(up=False), Fake()
        client = RotatingPlatformClient([down, up])
        async with client, anyio.create_task_group() as tasks:
            tasks.start_soon(client.read, "config")
            tasks.start_soon(client.watch, "vms", 1, 0.1)
        assert client.current == 1
        assert await client.read("config") == "config"
        assert (down.calls, up.calls) == (2, 1)
        up.up, down.up = False, True
        assert isinstance(await client.read("config"), Failure)
        assert await client.watch("vms", 1, 0.1) == "vms"

    anyio.run(scenario)
