"""Plays a load against the real scheduler, alone on each VM, shared, or all-knowing."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter
from typing import TypeAlias

import attrs

from gentianfold.model import Upstream
from gentianfold.placement.choice import Chooser
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import Granted, Refused, SlotRequest
from gentianfold.placement.slot_scheduler import SlotScheduler
from gentianfold.reports.load_patterns import (
    SLOTS,
    SPELL_S,
    VM_COUNT,
    LoadPattern,
    RequestKind,
)

SERVICE = "registry"
TICK_S = 0.02
"""Step of the schedulers' clocks (seconds)."""
QUICK_FAILURE_S = 0.002
"""Time in which a failing server answers (seconds)."""
LATE_FRACTION = 0.3
"""Part of its worth that a late answer earns."""
WORK_SPREAD = 0.7
"""Spread of the log-normal work."""

Event: TypeAlias = tuple[float, int, "_Attempt", Outcome, float]


@attrs.define
class Tally:
    """What became of the requests."""

    on_target: int = 0
    """Answered within the target."""
    late: int = 0
    """Answered later."""
    failed: int = 0
    """Ended by a server's failure or by the timeout."""
    timed_out: int = 0
    """Those among the failed that ran at most once and got no answer in time."""
    refused: int = 0
    """Refused without having run."""
    refused_late: int = 0
    """Those among the refused that had waited an eighth of their target."""
    earned: float = 0.0
    """Worth earned."""
    offered: float = 0.0
    """Worth of all requests."""
    offered_by_kind: Counter[str] = attrs.field(factory=Counter)
    """Requests by kind."""
    served_by_kind: Counter[str] = attrs.field(factory=Counter)
    """Answered requests by kind."""

    @property
    def served_share(self) -> float:
        """Part of the requests that was answered, 0 to 1."""
        served = self.on_target + self.late
        return served / max(served + self.failed + self.refused, 1)

    @property
    def earned_share(self) -> float:
        """Part of the worth that was earned, 0 to 1."""
        return self.earned / max(self.offered, 1e-9)


@attrs.define(eq=False)
class _Server:
    """A server with slots and a queue of its own."""

    name: str
    slow_factor: float
    partly_failing: bool
    busy: int = 0
    queue: list[_Attempt] = attrs.field(factory=list)


@attrs.define(eq=False)
class _Attempt:
    """A request at a scheduler or a server."""

    kind: RequestKind
    request: SlotRequest
    scheduler: SlotScheduler
    arrived_s: float
    sent_s: float = 0.0
    server: _Server | None = None


@attrs.define(eq=False)
class PlacementModel:
    """One load, one way to place it, one seed."""

    pattern: LoadPattern
    """The load."""
    way: str
    """``alone``, ``broker`` or ``oracle``."""
    seed: int
    """Seeds arrivals, work and failures alike for all ways."""
    tally: Tally = attrs.field(factory=Tally)
    """What became of the requests."""
    _now_s: float = 0.0
    _events: list[Event] = attrs.field(factory=list)
    _open: dict[tuple[str, int], _Attempt] = attrs.field(factory=dict)
    _attempt_ids: itertools.count[int] = attrs.field(factory=lambda: itertools.count(1))
    _random: random.Random = attrs.field(init=False)
    _servers: dict[str, _Server] = attrs.field(init=False)
    _schedulers: list[SlotScheduler] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self.seed)
        self._servers = {
            f"s{number}": _Server(
                f"s{number}",
                self._slow_factor(number),
                number
                >= self.pattern.server_count * (1 - self.pattern.partly_failing_share),
            )
            for number in range(self.pattern.server_count)
        }
        count = VM_COUNT if self.way == "alone" else 1
        self._schedulers = [self._make_scheduler(index) for index in range(count)]

    def run(self, duration_s: float = 30.0) -> Tally:
        """Play the load and return what became of it."""
        arrivals = self._arrivals(duration_s)
        index = 0
        while self._now_s < duration_s + 3:
            self._now_s += TICK_S
            while index < len(arrivals) and arrivals[index][0] <= self._now_s:
                self._arrive(arrivals[index][1])
                index += 1
            while self._events and self._events[0][0] <= self._now_s:
                _, _, attempt, outcome, elapsed_s = heapq.heappop(self._events)
                self._end(attempt, outcome, elapsed_s)
            for scheduler in self._schedulers:
                self._advance(scheduler)
        return self.tally

    # Load

    def _slow_factor(self, number: int) -> float:
        is_slow = number < self.pattern.slow_share * self.pattern.server_count
        return self.pattern.slow_factor if is_slow else 1.0

    def _arrivals(self, duration_s: float) -> list[tuple[float, RequestKind]]:
        arrivals = []
        for kind in self.pattern.kinds:
            at_s = 0.0
            while at_s < duration_s:
                rate = kind.per_s * self.pattern.load_factor
                at_s += self._random.expovariate(rate)
                arrivals.append((at_s, kind))
        return sorted(arrivals, key=lambda arrival: arrival[0])

    def _make_scheduler(self, index: int) -> SlotScheduler:
        chooser = Chooser(random=random.Random(self.seed * 1000 + index))
        scheduler = SlotScheduler(chooser=chooser)
        scheduler.replace_upstreams(
            [
                Upstream(name, SERVICE, "10.0.0.1", 80, "z1", SLOTS, start_time_ms=1)
                for name in self._servers
            ],
            0.0,
        )
        return scheduler

    def _priority(self, kind: RequestKind) -> int:
        of_customer = self.pattern.customer_priority
        return kind.priority if of_customer is None else of_customer

    def _arrive(self, kind: RequestKind) -> None:
        self.tally.offered += kind.worth
        self.tally.offered_by_kind[kind.name] += 1
        scheduler = self._random.choice(self._schedulers)
        request = SlotRequest(
            "vm",
            next(self._attempt_ids),
            SERVICE,
            kind.name,
            "",
            self._priority(kind),
            kind.priority,
            kind.idempotent,
            1,
            (),
            kind.timeout_s,
            kind.target_s,
            "z1",
        )
        self._ask(_Attempt(kind, request, scheduler, self._now_s))

    # Placement

    def _ask(self, attempt: _Attempt) -> None:
        self._open[attempt.request.vm, attempt.request.attempt_id] = attempt
        if self.way == "oracle":
            self._warn(attempt.scheduler)
        decision = attempt.scheduler.request_slot(attempt.request, self._now_s)
        if isinstance(decision, Granted | Refused):
            self._decide(attempt, decision)

    def _warn(self, scheduler: SlotScheduler) -> None:
        """Tell the scheduler which servers fail at this moment."""
        for tracker in scheduler.trackers():
            if self._is_failing(tracker.upstream.name):
                tracker.record_failure(self._now_s, was_quick=False)
                tracker.next_trial_s = float("inf")
                tracker.success_ratio = 0.0
            else:
                tracker.suspect_since_s = None
                tracker.last_accepted_s = self._now_s

    def _advance(self, scheduler: SlotScheduler) -> None:
        if self.way == "oracle":
            self._warn(scheduler)
        scheduler.observe_running(self._now_s)
        for key, decision in list(scheduler.advance(self._now_s)):
            self._decide(self._open[key], decision)

    def _decide(self, attempt: _Attempt, decision: Granted | Refused) -> None:
        if isinstance(decision, Refused):
            self._close(attempt)
            if attempt.request.attempt == 1:
                self.tally.refused += 1
                waited_s = self._now_s - attempt.arrived_s
                self.tally.refused_late += waited_s > attempt.kind.target_s / 8
            else:
                self.tally.failed += 1
            return
        attempt.sent_s = self._now_s
        attempt.server = self._servers[decision.upstream.name]
        attempt.server.queue.append(attempt)
        self._start_work(attempt.server)

    # Servers

    def _start_work(self, server: _Server) -> None:
        while server.queue and server.busy < SLOTS:
            attempt = server.queue.pop(0)
            server.busy += 1
            fails = self._is_failing(server.name) and self._random.random() < 0.9
            fails |= server.partly_failing and self._random.random() < 0.5
            mean = attempt.kind.work_s * server.slow_factor
            work_s = self._random.lognormvariate(
                math.log(mean) - WORK_SPREAD**2 / 2, WORK_SPREAD
            )
            left_s = attempt.arrived_s + attempt.kind.timeout_s - self._now_s
            outcome = Outcome.FAILED if fails else Outcome.SUCCEEDED
            if not fails and work_s > left_s:
                outcome, work_s = Outcome.TIMED_OUT, max(left_s, 0.0)
            duration_s = QUICK_FAILURE_S if fails else work_s
            end_s = self._now_s + duration_s
            elapsed_s = end_s - attempt.sent_s
            attempt_id = attempt.request.attempt_id
            heapq.heappush(
                self._events, (end_s, attempt_id, attempt, outcome, elapsed_s)
            )

    def _is_failing(self, name: str) -> bool:
        """Tell whether a server is in a failing spell now; alike for all ways."""
        spell = random.Random(f"{self.seed} {name} {int(self._now_s / SPELL_S)}")
        return spell.random() < self.pattern.failing_share

    def _end(self, attempt: _Attempt, outcome: Outcome, elapsed_s: float) -> None:
        server = attempt.server
        if server is not None:
            server.busy -= 1
            self._start_work(server)
        self._close(attempt)
        request = attempt.request
        key = (request.vm, request.attempt_id)
        attempt.scheduler.release(key, outcome, elapsed_s, self._now_s)
        taken_s = self._now_s - attempt.arrived_s
        kind = attempt.kind
        if outcome is Outcome.SUCCEEDED:
            on_target = taken_s <= kind.target_s
            self.tally.on_target += on_target
            self.tally.served_by_kind[kind.name] += 1
            self.tally.late += not on_target
            self.tally.earned += kind.worth * (1 if on_target else LATE_FRACTION)
        elif outcome is Outcome.TIMED_OUT and not kind.idempotent:
            self.tally.timed_out += 1
            self.tally.failed += 1
        elif kind.idempotent and request.attempt == 1 and server is not None:
            again = attrs.evolve(
                request,
                attempt_id=next(self._attempt_ids),
                attempt=2,
                excluded=(server.name,),
                time_left_s=kind.timeout_s - taken_s,
                target_left_s=kind.target_s - taken_s,
            )
            self._ask(_Attempt(kind, again, attempt.scheduler, attempt.arrived_s))
        else:
            self.tally.failed += 1

    def _close(self, attempt: _Attempt) -> None:
        self._open.pop((attempt.request.vm, attempt.request.attempt_id), None)


WAYS = ("alone", "broker", "oracle")
"""Each VM by itself; one scheduler for all; one that knows which servers fail."""
