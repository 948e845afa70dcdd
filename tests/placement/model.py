"""A small fleet before failing servers, for tests of decisions: no input or output."""

from __future__ import annotations

import heapq
import itertools
import random

import attrs

from gentianfold.model import Upstream, UpstreamState
from gentianfold.placement.choice import Chooser
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import Granted, Refused, SlotRequest
from gentianfold.placement.slot_scheduler import SlotScheduler


def make_upstream(name, slots=3, **changes):
    upstream = Upstream(
        name, "desk", "10.0.0.1", 80, "z1", slots=slots, start_time_ms=1
    )
    return attrs.evolve(upstream, **changes)


def make_request(attempt_id=1, vm="vm", **changes):
    request = SlotRequest(
        vm=vm,
        attempt_id=attempt_id,
        service="desk",
        route="r",
        customer="",
        priority=1,
        route_priority=1,
        idempotent=False,
        attempt=1,
        excluded=(),
        time_left_s=2.0,
        target_left_s=0.6,
        zone="z1",
    )
    return attrs.evolve(request, **changes)


def make_scheduler(count=4, slots=3, seed=1):
    scheduler = SlotScheduler(chooser=Chooser(random=random.Random(seed)))
    names = [f"u{number}" for number in range(count)]
    scheduler.replace_upstreams([make_upstream(name, slots) for name in names], 0.0)
    return scheduler


@attrs.define
class Load:
    """Requests in, answers out, in simulated time."""

    scheduler: SlotScheduler
    fails: object
    """Tells by name and time whether an upstream fails a request at once."""
    work_s: float = 0.2
    now_s: float = 10.0
    served: int = 0
    on_target: int = 0
    failed: int = 0
    refused: int = 0
    waits_s: list = attrs.field(factory=list)
    used: list = attrs.field(factory=list)
    _events: list = attrs.field(factory=list)
    _attempt_ids: object = attrs.field(factory=lambda: itertools.count(1))
    _open: dict = attrs.field(factory=dict)

    def send(self, **changes):
        request = make_request(next(self._attempt_ids), **changes)
        self._open[request.attempt_id] = (request, self.now_s)
        self._decide(request, self.scheduler.request_slot(request, self.now_s))

    def offer(self, rate_per_s, until_s, idempotent_share, source):
        """Send requests at random times until then."""
        next_s = self.now_s
        while self.now_s < until_s:
            while next_s <= self.now_s:
                self.send(idempotent=source.random() < idempotent_share)
                next_s += source.expovariate(rate_per_s)
            self.run_until(self.now_s + 0.01)

    def run_until(self, end_s):
        """Let time pass in ticks, as a VM does."""
        while self.now_s < end_s:
            self.now_s = round(self.now_s + 0.01, 4)
            while self._events and self._events[0][0] <= self.now_s:
                _, attempt_id, outcome, elapsed_s = heapq.heappop(self._events)
                self._end(attempt_id, outcome, elapsed_s)
            self.scheduler.observe_running(self.now_s)
            for (_, attempt_id), decision in list(self.scheduler.advance(self.now_s)):
                self._decide(self._open[attempt_id][0], decision)

    def _decide(self, request, decision):
        if isinstance(decision, Refused):
            self.refused += 1
            self.waits_s.append(self.now_s - self._open[request.attempt_id][1])
        if not isinstance(decision, Granted):
            return
        self.used.append((self.now_s, decision.upstream.name, decision.reason))
        fails = self.fails(decision.upstream.name, self.now_s)
        outcome = Outcome.FAILED if fails else Outcome.SUCCEEDED
        elapsed_s = 0.002 if fails else self.work_s
        event = (self.now_s + elapsed_s, request.attempt_id, outcome, elapsed_s)
        heapq.heappush(self._events, event)

    def _end(self, attempt_id, outcome, elapsed_s):
        request, since_s = self._open[attempt_id]
        self.scheduler.release((request.vm, attempt_id), outcome, elapsed_s, self.now_s)
        if outcome is Outcome.SUCCEEDED:
            self.served += 1
            self.on_target += self.now_s - since_s <= request.target_left_s
        elif request.idempotent and request.attempt == 1:
            name = next(name for _, name, _ in reversed(self.used) if name is not None)
            self.send(idempotent=True, attempt=2, excluded=(name,))
        else:
            self.failed += 1


DRAINING = UpstreamState.DRAINING
