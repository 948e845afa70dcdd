"""Follows the configuration and the VM list of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger

from gentianfold.codes.platform import PLATFORM_UNREACHABLE
from gentianfold.configuration.root import ROOT_NAME
from gentianfold.configuration.vm_list import VM_LIST_NAME
from gentianfold.errors import Failure
from gentianfold.platform.pacing import Backoff, CallPacer
from gentianfold.platform.watch_schedule import WATCH_S, CallKind, WatchSchedule

if TYPE_CHECKING:
    from random import Random

    from gentianfold.clock import Clock
    from gentianfold.configuration.root import ShardReference
    from gentianfold.configuration.store import ConfigurationStore
    from gentianfold.configuration.vm_list import VmList
    from gentianfold.platform.client import PlatformClient, Value

SHARD_ATTEMPTS = 4
"""Reads of a missing shard in a row; later ones wait for the next root answer."""


@attrs.define(eq=False)
class PlatformFollower:
    """Keeps a configuration store up to date from the platform."""

    client: PlatformClient
    """Calls the service."""
    store: ConfigurationStore
    """Takes what the service answers."""
    clock: Clock
    """Tells elapsed time."""
    random: Random
    """Source of jitter."""
    watch_s: float = WATCH_S
    """Time that a watch waits; change it with ``set_watch_s``."""
    pacer: CallPacer = attrs.field(init=False)
    """Paces all calls of this VM."""
    _root: WatchSchedule = attrs.field(init=False)
    _vm_list: WatchSchedule = attrs.field(init=False)
    _watches: set[anyio.CancelScope] = attrs.field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        self.pacer = CallPacer(self.random)
        self._root = WatchSchedule(self.pacer, Backoff(self.random))
        self._vm_list = WatchSchedule(self.pacer, Backoff(self.random))
        self.store.subscribe_vm_list(self._resize)
        if self.store.vm_list:
            self._resize(self.store.vm_list)

    @property
    def answered_s(self) -> float:
        """When the service last answered any call."""
        return max(self._root.answered_s, self._vm_list.answered_s)

    def set_watch_s(self, watch_s: float) -> None:
        """Change the time of watches; a shorter one ends the waiting watches."""
        shorter = watch_s < self.watch_s
        self.watch_s = watch_s
        if shorter:
            for scope in tuple(self._watches):
                scope.cancel()

    async def run(self) -> None:
        """Follow both values until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_root)
            tasks.start_soon(self._follow_vm_list)

    async def _follow_root(self) -> None:
        while True:
            value = await self._call(ROOT_NAME, self._root)
            if value is not None:
                self._report(self.store.offer_root(value.data, self.clock.now_s()))
            if self.store.missing():
                await self._fetch_shards()

    async def _follow_vm_list(self) -> None:
        while True:
            value = await self._call(VM_LIST_NAME, self._vm_list)
            if value is not None:
                self._report(self.store.offer_vm_list(value.data))

    async def _call(self, name: str, schedule: WatchSchedule) -> Value | None:
        await self._sleep_until(schedule.ready_s)
        call = schedule.next_call(self.clock.now_s())
        await self._sleep_until(call.at_s)
        if call.kind is CallKind.READ:
            answer: Value | Failure | None = await self.client.read(name)
        else:
            answer = await self._watch(name, call.after)
        schedule.answered(answer, self.clock.now_s())
        if isinstance(answer, Failure):
            self._report(answer)
            return None
        return answer

    async def _watch(self, name: str, after: int) -> Value | Failure | None:
        with anyio.CancelScope() as scope:
            self._watches.add(scope)
            try:
                return await self.client.watch(name, after, self.watch_s)
            finally:
                self._watches.discard(scope)
        return Failure(PLATFORM_UNREACHABLE, f"the watch of {name} was cut short")

    async def _fetch_shards(self) -> None:
        backoff = Backoff(self.random)
        while self.store.missing() and backoff.failures < SHARD_ATTEMPTS:
            # In random order, VMs that start together hold different shards early
            # and get the others from each other.
            wanted = self.random.choice(self.store.missing())
            failure = await self._fetch_shard(wanted)
            if failure is None:
                backoff.succeeded()
                continue
            self._report(failure)
            await anyio.sleep(backoff.failed())

    async def _fetch_shard(self, wanted: ShardReference) -> Failure | None:
        await self._sleep_until(self.pacer.reserve(self.clock.now_s()))
        if wanted not in self.store.missing():
            return None
        answer = await self.client.read(wanted.name)
        if isinstance(answer, Failure):
            return answer
        now_s = self.clock.now_s()
        self._root.answered_s = now_s
        return self.store.offer_shard(wanted.name, answer.data, now_s)

    async def _sleep_until(self, at_s: float) -> None:
        await anyio.sleep(max(0.0, at_s - self.clock.now_s()))

    def _resize(self, vm_list: VmList) -> None:
        self.pacer.vm_count = len(vm_list.vms)

    def _report(self, failure: Failure | None) -> None:
        if failure is not None:
            logger.warning("platform: {}", failure)
