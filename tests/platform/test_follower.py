"""The follower brings published versions into force through faults."""

from random import Random

import anyio
import pytest

from gentianfold.clock import BootClock
from gentianfold.configuration.publication import publish_configuration
from gentianfold.configuration.store import ConfigurationStore
from gentianfold.configuration.vm_list import Vm, VmList, encode_vm_list
from gentianfold.platform.client import Value
from gentianfold.platform.follower import PlatformFollower
from gentianfold.platform.http_client import HttpPlatformClient
from gentianfold.standins.platform import PlatformMode, StandinPlatform
from gentianfold.standins.platform_server import run_platform

pytestmark = pytest.mark.anyio


def publish(platform, version, rules):
    publish_configuration(
        platform.publish, version=version, rules_text=rules, upstreams=()
    )


async def wait_for(condition):
    with anyio.fail_after(30):
        while not condition():
            await anyio.sleep(0.005)


async def test_follows_changes_through_a_stale_and_a_down_platform(monkeypatch):
    monkeypatch.setattr("gentianfold.platform.pacing.BACKOFF_LIMIT_S", 0.05)
    platform = StandinPlatform()
    store = ConfigurationStore(lambda text, source: text)
    vms = VmList(1, (Vm("vm-1", "127.0.0.1", 1, "ub-1"),))
    platform.publish("vms", encode_vm_list(vms))
    publish(platform, 1, "one")
    async with anyio.create_task_group() as tasks:
        url = await tasks.start(run_platform, platform)
        async with HttpPlatformClient(url, "vm-1") as client:
            follower = PlatformFollower(client, store, BootClock(), Random(1))
            follower.pacer.vm_count = 1
            tasks.start_soon(follower.run)
            await wait_for(lambda: store.version == 1 and store.vm_list == vms)
            platform.pin()
            publish(platform, 2, "two")
            platform.set_mode(PlatformMode.DOWN)
            publish(platform, 3, "three")
            platform.set_mode(PlatformMode.UP)
            assert store.version == 1
            platform.unpin()
            await wait_for(lambda: store.version == 3)
            assert store.snapshot.rules == "three"
            tasks.cancel_scope.cancel()


async def test_a_shard_of_another_version_is_fetched_again(monkeypatch):
    monkeypatch.setattr("gentianfold.platform.pacing.BACKOFF_START_S", 0.001)
    values, reads = {}, []
    publish_configuration(
        values.__setitem__, version=1, rules_text="right", upstreams=()
    )

    class Client:
        async def read(self, name):
            reads.append(name)
            wrong = name == "rules" and reads.count("rules") < 3
            return Value(name, 1, b"wrong" if wrong else values.get(name, b""))

        async def watch(self, name, after, timeout_s):
            await anyio.sleep_forever()

    store = ConfigurationStore(lambda text, source: text)
    follower = PlatformFollower(Client(), store, BootClock(), Random(1))
    follower.pacer.vm_count = 1
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        await wait_for(lambda: store.version == 1)
        tasks.cancel_scope.cancel()
    assert reads.count("rules") == 3
