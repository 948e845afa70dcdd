"""A process of a VM takes no answers to an earlier one, and a broker decides on none.

By hand, longer and with a seed of choice: ``PROCESS_EXAMPLES=300 python -m pytest
tests/fleet/test_earlier_processes.py --hypothesis-seed=1``
"""

from __future__ import annotations

import asyncio
import itertools
import os

import attrs
import pytest
from fleet.test_long_waits import QueueingBroker, make_client
from fleet.virtual_fleet import SLOTS, VirtualFleet
from hypothesis import Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from loguru import logger
from placement.model import make_request, make_scheduler, make_upstream

from gentianfold.fleet.broker import Broker
from gentianfold.fleet.messages import (
    AcquireSlot,
    Heartbeat,
    HeartbeatReply,
    ReleaseSlot,
    SlotGranted,
    SlotRefused,
    to_acquire_slot,
)
from gentianfold.fleet.node_view import NodeView
from gentianfold.fleet.process_number import process_number
from gentianfold.fleet.store_revision import NO_REVISION
from gentianfold.forwarding.placer import Placement
from gentianfold.placement.outcome import Outcome

EXAMPLES = int(os.environ.get("PROCESS_EXAMPLES", "0"))
GRANT = ("u0", "10.0.0.1", 80, 200, 0, 1)
EARLIER, LATER = 1_000, 2_000
"""Incarnations of two processes of a VM."""
NUMBERS = [process_number(incarnation) for incarnation in (EARLIER, LATER)]


# The VM that asked


async def place_with(replies, **changes):
    """Place a request to which replies come; return the decision and the releases.

    Args:
        replies: Gets the identifier of the request; returns senders and messages.
        **changes: Fields of the request.
    """
    broker = QueueingBroker(wait_s=1.0)
    client = make_client(broker)
    client.process = NUMBERS[1]
    released = []

    def send(vm, message):
        if isinstance(message, ReleaseSlot):
            released.append((vm, message.slot_request_id, message.process))
        elif isinstance(message, AcquireSlot) and not released:
            for sender, reply in replies(message.slot_request_id):
                client.handle_reply(sender, reply, asyncio.get_running_loop().time())

    broker.send = send
    number = client.next_slot_request_id()
    placed = await client.place(make_request(number, time_left_s=0.3, **changes))
    return number, placed, released, client


@pytest.mark.anyio
async def test_a_grant_for_an_earlier_process_is_returned():
    # Both processes counted their requests from 1, and the later one used the grant.
    number, placed, released, client = await place_with(
        lambda number: [("broker", SlotGranted(number, *GRANT, 0, NUMBERS[0]))]
    )
    assert not isinstance(placed, Placement) or placed.granted_by != "broker"
    assert released[0] == ("broker", number, NUMBERS[0])
    assert client.rejected["process"] >= 1


@pytest.mark.anyio
async def test_a_refusal_for_an_earlier_process_decides_nothing():
    def replies(number):
        yield "broker", SlotRefused(number, 0, 500, 0, 0, NUMBERS[0])
        yield "broker", SlotGranted(number, *GRANT, 0, NUMBERS[1])

    _, placed, released, _ = await place_with(replies)
    assert isinstance(placed, Placement) and not released


@pytest.mark.anyio
@pytest.mark.parametrize("process", [NUMBERS[1], 0])
async def test_a_grant_of_a_broker_that_was_not_asked_is_returned(process):
    number, placed, released, client = await place_with(
        lambda number: [
            ("former", SlotGranted(number, *GRANT, 0, process)),
            ("broker", SlotGranted(number, *GRANT, 0, process)),
        ]
    )
    assert isinstance(placed, Placement) and placed.granted_by == "broker"
    assert released == [("former", number, NUMBERS[1])]
    assert client.rejected == {"broker": 1}


@pytest.mark.anyio
async def test_a_grant_of_an_upstream_of_another_service_is_returned():
    # As of a broker of an older build, which echoes the identifier alone.
    broker_grants = []
    broker = QueueingBroker(wait_s=0.0)
    client = make_client(broker)
    rows = [make_upstream("u0", service="other"), make_upstream("u1")]
    client.scheduler.replace_upstreams(rows, 0.0)

    def grant(vm, number):
        upstream = "u1" if broker_grants else "u0"
        broker_grants.append(upstream)
        message = SlotGranted(number, upstream, *GRANT[1:])
        client.handle_reply(vm, message, asyncio.get_running_loop().time())

    broker.grant = grant
    request = make_request(client.next_slot_request_id(), customer="c")
    placed = await client.place(request)
    assert placed.upstream == "u1" and broker_grants == ["u0", "u1"]
    assert broker.released == ["broker"]
    assert client.rejected == {"service": 1}


@pytest.mark.anyio
async def test_identifiers_of_two_processes_differ():
    # Brokers of older builds answer with the identifier alone.
    clients = [make_client(QueueingBroker(0.0)) for _ in range(20)]
    used = [client.next_slot_request_id() for client in clients for _ in range(100)]
    assert len(set(used)) == len(used)
    asks = [client.next_slot_request_id() for client in clients]
    assert all(0 < number < 1 << 32 for number in asks)


# The broker


@attrs.define
class Sent:
    """Transport that keeps what is sent."""

    messages: list = attrs.field(factory=list)

    def send(self, vm, message):
        self.messages.append((vm, message))

    def of(self, kind):
        return [message for _, message in self.messages if isinstance(message, kind)]


def make_broker(slots=1):
    sent = Sent()
    scheduler = make_scheduler(1, slots)
    broker = Broker("b", 1, (), scheduler, sent, NodeView())
    broker.start(0, 0.0)
    return broker, sent


def heartbeat(incarnation):
    return Heartbeat(incarnation, "z1", 1.0, 100.0, 0, 0, NO_REVISION, ())


def acquire(number, incarnation):
    request = make_request(number)
    return to_acquire_slot(request, process=process_number(incarnation))


def test_a_grant_names_the_process_that_asked():
    broker, sent = make_broker()
    broker.handle_acquire("vm", acquire(7, EARLIER), 0.0)
    assert sent.of(SlotGranted)[0].process == NUMBERS[0]


def test_a_broker_decides_on_no_request_of_a_process_that_has_ended():
    broker, sent = make_broker()
    broker.decisions.call_soon = lambda _: None
    broker.handle_heartbeat("vm", heartbeat(EARLIER), 0.0, 0.0)
    broker.handle_acquire("vm", acquire(7, EARLIER), 0.0)
    broker.handle_heartbeat("vm", heartbeat(LATER), 0.01, 0.01)
    broker.handle_acquire("vm", acquire(8, EARLIER), 0.02)
    assert not broker.decisions.has_work
    broker.handle_acquire("vm", acquire(7, LATER), 0.03)
    broker.decisions.run_slice(0.03)
    (granted,) = sent.of(SlotGranted)
    assert (granted.slot_request_id, granted.process) == (7, NUMBERS[1])
    assert broker.scheduler.granted_count == 1


def test_a_vm_that_is_no_member_gets_no_slot_of_its_earlier_process():
    # The key of a slot is the VM and the number, which both processes may use.
    broker, sent = make_broker(slots=2)
    for incarnation in (EARLIER, LATER):
        broker.handle_acquire("vm", acquire(7, incarnation), 0.0)
    assert [row.process for row in sent.of(SlotGranted)] == NUMBERS
    assert broker.scheduler.granted_count == 1


def test_a_late_release_of_an_earlier_process_frees_no_slot():
    broker, _ = make_broker()
    broker.handle_heartbeat("vm", heartbeat(LATER), 0.0, 0.0)
    broker.handle_acquire("vm", acquire(7, LATER), 0.0)
    for incarnation, held in ((EARLIER, 1), (LATER, 0)):
        process = process_number(incarnation)
        release = ReleaseSlot(7, Outcome.SUCCEEDED, 10, process=process)
        broker.handle_release("vm", release, 0.1)
        assert broker.scheduler.granted_count == held


def test_a_late_heartbeat_of_an_earlier_process_is_ignored():
    # It freed the slots of the process that runs.
    broker, sent = make_broker()
    for incarnation in (EARLIER, LATER):
        broker.handle_heartbeat("vm", heartbeat(incarnation), 0.0, 0.0)
    broker.handle_acquire("vm", acquire(7, LATER), 0.0)
    broker.handle_heartbeat("vm", heartbeat(EARLIER), 0.1, 0.1)
    assert broker.scheduler.granted_count == 1
    assert [row.process for row in sent.of(HeartbeatReply)] == NUMBERS


def test_a_reply_to_a_heartbeat_of_an_earlier_process_lends_nothing():
    fleet = VirtualFleet(1)
    try:
        fleet.run(1.0)
        node = fleet.processes["vm0"].node
        node.membership.follow("b")
        fields = (1, (), 1, 0, "", 0, NO_REVISION, NO_REVISION)
        for process, is_member in ((99, False), (node.slots.process, True)):
            reply = HeartbeatReply(*fields, process=process)
            fleet.loop.call_soon(node.receive, "b", reply)
            fleet.run(0.001)
            assert node.membership.has_live_broker(fleet.loop.time()) is is_member
    finally:
        fleet.close()


# Whole fleets


class RestartedFleet(RuleBasedStateMachine):
    """VMs restart and are suspended while they wait for slots."""

    @initialize(size=st.integers(3, 6))
    def start(self, size):
        logger.disable("gentianfold")
        self.fleet = VirtualFleet(size)
        self.fleet.run(7.0)
        self.vms = sorted(self.fleet.processes)

    def is_frozen(self, vm):
        return self.fleet.processes[vm].is_frozen

    def ask(self, vm, service, count):
        for _ in range(count):
            self.fleet.request(vm, service)

    @rule(
        index=st.integers(0, 5),
        service=st.sampled_from(sorted(SLOTS)),
        count=st.integers(1, 20),
        run_s=st.sampled_from([0.0, 0.1, 1.0]),
    )
    def request(self, index, service, count, run_s):
        vm = self.vms[index % len(self.vms)]
        if not self.is_frozen(vm):
            self.ask(vm, service, count)
        self.fleet.run(run_s)

    @rule(
        index=st.integers(0, 5),
        earlier=st.sampled_from(sorted(SLOTS)),
        run_s=st.sampled_from([0.0, 0.1, 1.0]),
        frozen_s=st.sampled_from([0.5, 3.0]),
    )
    def restart_while_the_broker_is_suspended(self, index, earlier, run_s, frozen_s):
        """Leave requests in the socket of a suspended broker; ask for others then."""
        fleet = self.fleet
        broker, *_ = [*fleet.brokers(), "vm0"]
        others = [vm for vm in self.vms if vm != broker and not self.is_frozen(vm)]
        if not others:
            return
        vm = others[index % len(others)]
        fleet.processes[broker].is_frozen = True
        self.ask(vm, earlier, 20)
        fleet.run(0.15)
        fleet.restart(vm)
        fleet.run(frozen_s)
        for service in sorted(SLOTS):
            self.ask(vm, service, 20)
        fleet.run(run_s)
        fleet.processes[broker].thaw()
        fleet.run(0.1)

    @rule(index=st.integers(0, 5), run_s=st.sampled_from([0.1, 2.0]))
    def restart(self, index, run_s):
        self.fleet.restart(self.vms[index % len(self.vms)])
        self.fleet.run(run_s)

    @rule(index=st.integers(0, 5), run_s=st.sampled_from([0.1, 2.0]))
    def suspend(self, index, run_s):
        self.fleet.processes[self.vms[index % len(self.vms)]].is_frozen = True
        self.fleet.run(run_s)

    @rule()
    def settle(self):
        """Let all go on; then each VM gets the slots that it asks for."""
        fleet = self.fleet
        for process in fleet.processes.values():
            process.thaw()
        fleet.run(20.0)
        fleet.refused.clear()
        before = len(fleet.used)
        asked = list(itertools.product(self.vms, sorted(SLOTS)))
        for vm, service in asked:
            self.ask(vm, service, 1)
        fleet.run(6.0)
        assert len(fleet.used) - before == len(asked)
        assert not fleet.refused

    @invariant()
    def sends_requests_to_their_services(self):
        if hasattr(self, "fleet"):
            assert not self.fleet.misplaced()

    def teardown(self):
        if hasattr(self, "fleet"):
            self.fleet.close()


if not EXAMPLES:
    RestartedFleet = seed(3)(RestartedFleet)
TestRestartedFleet = RestartedFleet.TestCase
TestRestartedFleet.settings = settings(
    max_examples=EXAMPLES or 15,
    stateful_step_count=12,
    deadline=None,
    phases=tuple(Phase) if EXAMPLES else (Phase.explicit, Phase.generate),
    database=None,
)
