"""Simulates requests to a small fleet of upstreams, in simulated time without I/O."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter

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


def make_request(slot_request_id=1, vm="vm", **changes):
    request = SlotRequest(
        vm=vm,
        slot_request_id=slot_request_id,
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


def make_scheduler(upstream_count=4, slots=3, seed=1):
    """Return a scheduler with upstreams ``u0``, ``u1`` and so on.

    Args:
        upstream_count: Upstreams (count).
        slots: Slots of each upstream (count).
        seed: Seed of the jitter.
    """
    scheduler = SlotScheduler(chooser=Chooser(random=random.Random(seed)))
    names = [f"u{index}" for index in range(upstream_count)]
    scheduler.replace_upstreams([make_upstream(name, slots) for name in names], 0.0)
    return scheduler


@attrs.define
class LoadSimulation:
    """Sends requests to a scheduler and ends them after a simulated time.

    A failed idempotent request is retried once, excluding the upstream of the latest
    grant.
    """

    scheduler: SlotScheduler
    """Scheduler under test."""
    fails: object
    """Function of an upstream's name and the time (seconds) that tells whether the
    upstream fails a request granted then, after 2 ms."""
    rate_limits_per_s: dict = attrs.field(factory=dict)
    """Rate limit that each upstream states (requests per second), by name."""
    work_s: float = 0.2
    """Elapsed time of a request that succeeds (seconds)."""
    now_s: float = 10.0
    """Simulated time (seconds)."""
    served: int = 0
    """Attempts that succeeded (count)."""
    on_target: int = 0
    """Attempts that succeeded within their target latency (count)."""
    failed: int = 0
    """Failed attempts that were not retried (count)."""
    refused: int = 0
    """Refused attempts (count)."""
    refusal_delays_s: list = attrs.field(factory=list)
    """Time from sending to refusal of each refused attempt (seconds)."""
    grants: list = attrs.field(factory=list)
    """Time (seconds), name of the upstream and reason of each grant."""
    granted_by: Counter = attrs.field(factory=Counter)
    """Grants by customer, or by route if there is none (count)."""
    _events: list = attrs.field(factory=list)
    _slot_request_ids: object = attrs.field(factory=lambda: itertools.count(1))
    _sent: dict = attrs.field(factory=dict)
    _placed_on: dict = attrs.field(factory=dict)

    def send(self, **changes):
        """Send one request, with ``changes`` to the defaults of ``make_request``."""
        request = make_request(next(self._slot_request_ids), **changes)
        self._sent[request.slot_request_id] = (request, self.now_s)
        self._handle_decision(request, self.scheduler.request_slot(request, self.now_s))

    def send_at_random(self, rate_per_s, until_s, idempotent_share, rng):
        """Send requests with exponential gaps while time advances to ``until_s``.

        Args:
            rate_per_s: Mean rate (requests per second).
            until_s: Simulated end time (seconds).
            idempotent_share: Fraction of idempotent requests, 0 to 1.
            rng: Random number generator.
        """
        next_s = self.now_s
        while self.now_s < until_s:
            while next_s <= self.now_s:
                self.send(idempotent=rng.random() < idempotent_share)
                next_s += rng.expovariate(rate_per_s)
            self.run_until(self.now_s + 0.01)

    def run_until(self, end_s):
        """Advance the time to ``end_s`` in steps of 10 ms.

        Each step makes the calls that a VM makes in each tick.
        """
        while self.now_s < end_s:
            self.now_s = round(self.now_s + 0.01, 4)
            while self._events and self._events[0][0] <= self.now_s:
                _, slot_request_id, outcome, elapsed_s = heapq.heappop(self._events)
                self._end_attempt(slot_request_id, outcome, elapsed_s)
            self.scheduler.observe_running(self.now_s)
            for (_, slot_request_id), decision in list(
                self.scheduler.advance(self.now_s)
            ):
                self._handle_decision(self._sent[slot_request_id][0], decision)

    def _handle_decision(self, request, decision):
        if isinstance(decision, Refused):
            self.refused += 1
            self.refusal_delays_s.append(
                self.now_s - self._sent[request.slot_request_id][1]
            )
        if not isinstance(decision, Granted):
            return
        self.granted_by[request.customer or request.route] += 1
        self.grants.append((self.now_s, decision.upstream.name, decision.reason))
        self._placed_on[request.slot_request_id] = decision.upstream.name
        fails = self.fails(decision.upstream.name, self.now_s)
        outcome = Outcome.FAILED if fails else Outcome.SUCCEEDED
        elapsed_s = 0.002 if fails else self.work_s
        event = (self.now_s + elapsed_s, request.slot_request_id, outcome, elapsed_s)
        heapq.heappush(self._events, event)

    def _end_attempt(self, slot_request_id, outcome, elapsed_s):
        request, sent_s = self._sent[slot_request_id]
        name = self._placed_on[slot_request_id]
        self.scheduler.release(
            (request.vm, slot_request_id),
            outcome,
            elapsed_s,
            self.now_s,
            rate_limit_per_s=self.rate_limits_per_s.get(name, math.inf),
        )
        if outcome is Outcome.SUCCEEDED:
            self.served += 1
            self.on_target += self.now_s - sent_s <= request.target_left_s
        elif request.idempotent and request.attempt == 1:
            name = next(
                name for _, name, _ in reversed(self.grants) if name is not None
            )
            self.send(idempotent=True, attempt=2, excluded=(name,))
        else:
            self.failed += 1


DRAINING = UpstreamState.DRAINING
