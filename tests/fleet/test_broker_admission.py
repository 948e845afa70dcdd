"""A broker that gets more slot requests than it can decide on recovers by itself.

Replays a crowd on the real broker and scheduler, on a clock that each datagram and each
decision advances. The VMs repeat their requests as builds do that don't know how far
the broker is behind.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque

import attrs
import pytest
from loguru import logger
from placement.model import make_request, make_upstream

from gentianfold.fleet.broker import Broker
from gentianfold.fleet.messages import (
    Heartbeat,
    HeartbeatReply,
    ReleaseSlot,
    SlotGranted,
    SlotQueued,
    SlotRefused,
    to_acquire_slot,
)
from gentianfold.fleet.node_view import NodeView
from gentianfold.fleet.store_revision import NO_REVISION
from gentianfold.placement.choice import Chooser
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_scheduler import SlotScheduler

DATAGRAM_S = 0.00003
DECISION_S = 1 / 650
READS_PER_LOOP = 32
VM_COUNT = 115
WORK_S = 0.2
PATIENCE_S = 0.6
USUAL_PER_S, CROWD_PER_S = 400.0, 950.0
CROWD_FROM_S, CROWD_UNTIL_S, END_S = 11.0, 14.0, 17.0
FIRST_RETRY_S, QUEUED_RETRY_S = 0.05, 0.25


@attrs.define(eq=False)
class Asked:
    """A request as its VM sees it."""

    vm: str
    message: object
    asked_s: float
    decided_s: float | None = None
    is_refused: bool = False
    given_up_s: float | None = None
    unanswered: int = 0


class CostedScheduler(SlotScheduler):
    """Scheduler whose decisions take time of the replay's clock."""

    replay = None

    def request_slot(self, request, now_s):
        key = (request.vm, request.slot_request_id)
        is_new = not self.is_known(key)
        if is_new:
            self.replay.now_s += DECISION_S
            asked = self.replay.asked[request.slot_request_id]
            self.replay.decisions += 1
            self.replay.unwanted += asked.given_up_s is not None
        return super().request_slot(request, now_s)


@attrs.define(eq=False)
class Replay:
    """A broker, its socket, and VMs that ask it."""

    now_s: float = 10.0
    decisions: int = 0
    unwanted: int = 0
    asked: dict = attrs.field(factory=dict)
    heartbeat_waits_s: list = attrs.field(factory=list)
    broker: Broker = attrs.field(init=False)
    _scheduler: SlotScheduler = attrs.field(init=False)
    _random: random.Random = attrs.field(factory=lambda: random.Random(5))
    _socket: deque = attrs.field(factory=deque)
    _callbacks: deque = attrs.field(factory=deque)
    _events: list = attrs.field(factory=list)
    _ids: object = attrs.field(factory=lambda: itertools.count(1))

    def __attrs_post_init__(self):
        self._scheduler = CostedScheduler(chooser=Chooser(random=random.Random(1)))
        self._scheduler.replay = self
        upstreams = [make_upstream(f"u{number}", 20) for number in range(50)]
        self._scheduler.replace_upstreams(upstreams, self.now_s)
        self.broker = Broker("b", 1, (), self._scheduler, self, NodeView())
        self.broker.start(0, self.now_s)
        decisions = self.broker.decisions
        decisions.deliver = self._deliver
        decisions.call_soon, decisions.now_s = self._callbacks.append, self._time_s

    def _time_s(self):
        return self.now_s

    def at(self, time_s, call, *args):
        heapq.heappush(self._events, (time_s, next(self._ids), call, args))

    def run(self):
        self.at(self.now_s, self._arrive)
        self.at(self.now_s, self._tick)
        for number in range(VM_COUNT):
            self.at(self.now_s + number * 0.4 / VM_COUNT, self._beat, f"vm{number}")
        while self.now_s < END_S:
            if not self._socket and not self._callbacks:
                self.now_s = max(self.now_s, self._events[0][0])
            while self._events and self._events[0][0] <= self.now_s:
                time_s, _, call, args = heapq.heappop(self._events)
                call(time_s, *args)
            for _ in range(min(len(self._socket), READS_PER_LOOP)):
                self._read(*self._socket.popleft())
            for _ in range(len(self._callbacks)):
                self._callbacks.popleft()()

    # VMs

    def _arrive(self, time_s):
        is_crowd = CROWD_FROM_S <= time_s < CROWD_UNTIL_S
        rate_per_s = CROWD_PER_S if is_crowd else USUAL_PER_S
        self.at(time_s + self._random.expovariate(rate_per_s), self._arrive)
        number = next(self._ids)
        vm = f"vm{self._random.randrange(VM_COUNT)}"
        message = to_acquire_slot(make_request(number, vm))
        self.asked[number] = Asked(vm, message, time_s)
        self._ask(time_s, number, 0)
        self.at(time_s + PATIENCE_S, self._give_up, number)

    def _ask(self, time_s, number, tries):
        asked = self.asked[number]
        if asked.decided_s is None and asked.given_up_s is None:
            self._socket.append((time_s, asked.vm, asked.message))
            delay_s = min(FIRST_RETRY_S * 2**asked.unanswered, 0.4)
            asked.unanswered += 1
            self.at(time_s + delay_s, self._ask_again, number, tries + 1)

    def _ask_again(self, time_s, number, tries):
        if self.asked[number].unanswered:
            self._ask(time_s, number, tries)
        else:
            self.at(time_s + QUEUED_RETRY_S, self._ask, number, tries)

    def _give_up(self, time_s, number):
        asked = self.asked[number]
        if asked.decided_s is None:
            asked.given_up_s = time_s
            self._release(time_s, number, Outcome.CANCELLED, 0)

    def _release(self, time_s, number, outcome, elapsed_ms):
        release = ReleaseSlot(number, outcome, elapsed_ms)
        self._socket.append((time_s, self.asked[number].vm, release))

    def _beat(self, time_s, vm):
        self.at(time_s + 0.4, self._beat, vm)
        heartbeat = Heartbeat(1, "z1", 0.7, 20.0, 0, 0, NO_REVISION, ())
        self._socket.append((time_s, vm, heartbeat))

    # Broker

    def _tick(self, time_s):
        self.at(max(time_s + 0.05, self.now_s), self._tick)
        self.broker.advance(self.now_s)
        self._scheduler.observe_running(self.now_s)
        self._deliver(self.now_s)

    def _read(self, sent_s, vm, message):
        self.now_s += DATAGRAM_S
        if isinstance(message, Heartbeat):
            self.heartbeat_waits_s.append(self.now_s - sent_s)
        elif isinstance(message, ReleaseSlot):
            self.broker.handle_release(vm, message, self.now_s)
        else:
            self.broker.handle_acquire(vm, message, self.now_s)

    def _deliver(self, now_s):
        for (vm, number), decision in list(self._scheduler.advance(now_s)):
            self.broker.send_decision(vm, number, decision)

    def send(self, vm, message):
        if isinstance(message, HeartbeatReply):
            return
        asked = self.asked[message.slot_request_id]
        asked.unanswered = 0
        if isinstance(message, SlotQueued) or asked.decided_s is not None:
            return
        asked.decided_s = self.now_s
        asked.is_refused = isinstance(message, SlotRefused)
        if isinstance(message, SlotGranted):
            given_back = asked.given_up_s is not None
            outcome = Outcome.CANCELLED if given_back else Outcome.SUCCEEDED
            work_s = 0.0 if given_back else WORK_S
            self.at(
                self.now_s + work_s,
                self._release,
                message.slot_request_id,
                outcome,
                int(work_s * 1000),
            )

    def granted_share(self, from_s, until_s, within_s):
        """Return the share of the requests of a time that got slots in time."""
        asked = [
            asked for asked in self.asked.values() if from_s <= asked.asked_s < until_s
        ]
        in_time = [
            asked
            for asked in asked
            if asked.decided_s is not None
            and not asked.is_refused
            and asked.decided_s - asked.asked_s <= within_s
        ]
        return len(in_time) / len(asked)


@pytest.fixture(scope="module")
def replay():
    logger.disable("gentianfold")
    replay = Replay()
    replay.run()
    logger.enable("gentianfold")
    return replay


def test_decisions_are_in_time_again_once_the_crowd_has_gone(replay):
    # They were late until the backlog of the crowd had been worked off.
    assert replay.granted_share(10.0, CROWD_FROM_S, 0.05) >= 0.99
    assert replay.granted_share(CROWD_UNTIL_S + 0.25, END_S - 0.3, 0.05) >= 0.99


def test_as_many_requests_as_the_broker_can_decide_on_are_in_time_in_a_crowd(replay):
    # All of them waited behind those that came first, and none was in time.
    assert replay.granted_share(CROWD_FROM_S + 0.5, CROWD_UNTIL_S, 0.1) >= 0.5


def test_no_decision_is_made_for_requests_that_were_given_up(replay):
    # One in three decisions was.
    assert replay.unwanted <= 0.01 * replay.decisions


def test_no_request_is_left_without_an_answer(replay):
    unanswered = [
        asked
        for asked in replay.asked.values()
        if asked.decided_s is None and asked.asked_s < END_S - PATIENCE_S
    ]
    assert not unanswered
    refused = [asked for asked in replay.asked.values() if asked.is_refused]
    assert max(asked.decided_s - asked.asked_s for asked in refused) <= 0.3


def test_heartbeats_do_not_wait_behind_slot_requests(replay):
    # Members timed out, as their heartbeats lay behind a second of slot requests.
    assert max(replay.heartbeat_waits_s) <= 0.06
