"""Fleet of nodes with their slot clients, on an event loop with simulated time."""

from __future__ import annotations

import asyncio
import itertools
import random

import attrs
from placement.model import make_request, make_upstream

from gentianfold.fleet.broker import Broker
from gentianfold.fleet.membership import Membership, Role
from gentianfold.fleet.node import TICK_INTERVAL_S, Node
from gentianfold.fleet.node_view import NodeView
from gentianfold.forwarding.placer import Placement
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_scheduler import SlotScheduler

DELAY_S = 0.002
SLOTS = {"desk": 6, "depot": 2}
"""Slots of the upstreams of each service."""
WORK_S = {"desk": 0.2, "depot": 1.0}


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time moves on to the next timer without waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0
        select = self._selector.select

        def advance(timeout_s):
            self.now_s += timeout_s or 0.0
            return select(0)

        self._selector.select = advance

    def time(self):
        return self.now_s


@attrs.define
class LoopClock:
    """Clock of the leases."""

    loop: VirtualLoop

    def now_s(self):
        return self.loop.time()


@attrs.define(eq=False)
class Process:
    """One process of a VM, as transport of its node."""

    vm: str
    fleet: VirtualFleet
    node: Node = None
    is_ended: bool = False
    is_frozen: bool = False
    tasks: set = attrs.field(factory=set)
    held: list = attrs.field(factory=list)
    """Calls that are made once the process goes on."""

    def send(self, receiver, message):
        if not self.is_ended:
            self.when_running(self.fleet.transmit, self.vm, receiver, message)

    def when_running(self, call, *arguments):
        if self.is_frozen:
            self.held.append((call, *arguments))
        else:
            call(*arguments)

    def tick(self):
        if not self.is_ended:
            if not self.is_frozen:
                self.node.advance()
            self.fleet.loop.call_later(TICK_INTERVAL_S, self.tick)

    def thaw(self):
        self.fleet.loop.call_soon(self._go_on)

    def _go_on(self):
        self.is_frozen, held = False, self.held
        self.held = []
        for call, *arguments in held:
            call(*arguments)

    def end(self):
        self.is_ended = True
        for task in self.tasks:
            task.cancel()


@attrs.define(eq=False)
class VirtualFleet:
    """VMs with upstreams ``desk0``, ``desk1``, ... and ``depot0``, ``depot1``, ..."""

    size: int
    loop: VirtualLoop = attrs.field(factory=VirtualLoop)
    seeds: tuple = attrs.field(init=False)
    processes: dict = attrs.field(factory=dict)
    used: list = attrs.field(factory=list)
    """VM, service asked for and upstream of each request that was sent."""
    refused: list = attrs.field(factory=list)
    """Service of each request that was refused."""
    _incarnations: itertools.count = attrs.field(factory=lambda: itertools.count(1))

    def __attrs_post_init__(self):
        self.seeds = tuple(f"vm{number}" for number in range(min(self.size, 3)))
        for number in range(self.size):
            self.start(f"vm{number}", is_first_start=True)

    def start(self, vm, is_first_start=False):
        now_s, process = self.loop.time(), Process(vm, self)
        scheduler, view = SlotScheduler(), NodeView()
        scheduler.chooser.random = random.Random(next(self._incarnations))
        upstreams = [
            make_upstream(f"{service}{number}", slots, service=service)
            for service, slots in SLOTS.items()
            for number in range(2)
        ]
        scheduler.replace_upstreams(upstreams, now_s)
        incarnation = next(self._incarnations)
        broker = Broker(
            vm,
            incarnation,
            self.seeds,
            scheduler,
            process,
            view,
            is_first_start=is_first_start,
        )
        process.node = Node(
            vm,
            "z1",
            incarnation,
            1.0,
            100.0,
            scheduler,
            Membership(vm, self.seeds),
            broker,
            process,
            view,
            lease_clock=LoopClock(self.loop),
        )
        self.processes[vm] = process
        self.loop.call_soon(process.tick)

    def restart(self, vm):
        """End the process of a VM, without any message, and start the next one."""
        self.processes[vm].end()
        self.start(vm)

    def transmit(self, sender, receiver, message):
        self.loop.call_later(DELAY_S, self._deliver, sender, receiver, message)

    def _deliver(self, sender, receiver, message):
        process = self.processes.get(receiver)
        if process is not None:
            # What waits in the socket of a process that ends is lost with it.
            process.when_running(self._receive, process, sender, message)

    @staticmethod
    def _receive(process, sender, message):
        if not process.is_ended:
            process.node.receive(sender, message)

    def request(self, vm, service, **changes):
        """Have a VM place a request and send it; return the task."""
        process = self.processes[vm]
        task = self.loop.create_task(self._run(process, service, changes))
        process.tasks.add(task)
        task.add_done_callback(process.tasks.discard)
        return task

    async def _run(self, process, service, changes):
        node = process.node
        times = {"time_left_s": 12.0, "target_left_s": 12.0}
        request = make_request(
            node.next_slot_request_id(),
            vm=process.vm,
            service=service,
            route=service,
            **{**times, **changes},
        )
        placed = await node.place(request)
        if not isinstance(placed, Placement):
            self.refused.append(service)
            return
        self.used.append((process.vm, service, placed.upstream))
        await asyncio.sleep(WORK_S[service])
        node.release(placed, Outcome.SUCCEEDED, WORK_S[service])

    def run(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def close(self):
        for process in self.processes.values():
            process.end()
        self.run(0.01)
        self.loop.close()

    def brokers(self):
        return [
            vm
            for vm, process in self.processes.items()
            if process.node.membership.role is Role.BROKER
        ]

    def misplaced(self):
        """Return the requests that were sent to upstreams of another service."""
        return [row for row in self.used if not row[2].startswith(row[1])]
