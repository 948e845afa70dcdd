"""Discrete-event simulation of a load on simulated servers.

The placement decisions come from the product's own ``SlotScheduler``, so that a report
measures the code that runs in production. A server is a simulated upstream.
"""

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
from gentianfold.placement.slot_shares import VmPlace
from gentianfold.reports.load_patterns import (
    CUSTOMER_COUNT,
    FAILURE_PERIOD_S,
    REJECTING_S,
    SLOTS_PER_SERVER,
    VM_COUNT,
    WAVE_PERIOD_S,
    LoadPattern,
    RequestKind,
)

SERVICE = "registry"
"""Name of the simulated service."""
TIME_STEP_S = 0.02
"""Step of the simulated clock (seconds)."""
FAILURE_RESPONSE_TIME_S = 0.002
"""Time that a server takes to respond with a failure (seconds)."""
LATE_VALUE_SHARE = 0.3
"""Share of its value that a response after the target latency earns, 0 to 1."""
PROCESSING_TIME_SIGMA = 0.7
"""Standard deviation of the logarithm of the processing time."""
STRATEGIES = ("alone", "broker", "oracle")
"""How requests are placed: by an independent scheduler on each VM, by one scheduler for
all VMs, or by one scheduler that knows which servers are in a failure period."""

Completion: TypeAlias = tuple[float, int, "_Attempt", Outcome, float]
"""End (seconds), slot request identifier (orders equal ends), attempt, outcome and
elapsed time (seconds)."""


@attrs.define
class RequestTotals:
    """Number and value of the requests by result."""

    on_target: int = 0
    """Requests that succeeded within the target latency (count)."""
    late: int = 0
    """Requests that succeeded after the target latency (count)."""
    failed: int = 0
    """Requests that ended with a server failure, a timeout or a refused retry
    (count)."""
    timed_out: int = 0
    """Non-idempotent requests among ``failed`` that timed out (count)."""
    refused: int = 0
    """Requests whose first attempt was refused (count)."""
    refused_late: int = 0
    """Requests among ``refused`` that had waited for more than an eighth of their target
    latency (count)."""
    earned_value: float = 0.0
    """Value of the successful requests, reduced for late ones."""
    offered_value: float = 0.0
    """Value of all requests."""
    offered_by_kind: Counter[str] = attrs.field(factory=Counter)
    """Number of requests by kind."""
    served_by_kind: Counter[str] = attrs.field(factory=Counter)
    """Number of successful requests by kind."""

    @property
    def served_share(self) -> float:
        """Share of the completed requests that succeeded, 0 to 1."""
        served = self.on_target + self.late
        return served / max(served + self.failed + self.refused, 1)

    @property
    def earned_share(self) -> float:
        """Earned share of the offered value, 0 to 1."""
        return self.earned_value / max(self.offered_value, 1e-9)


@attrs.define(eq=False)
class _Server:
    """Server that queues granted attempts while all its slots are in use.

    The queue stays empty unless independent schedulers together grant more than the
    server's slots.
    """

    name: str
    slow_factor: float
    is_partly_failing: bool
    slots_in_use: int = 0
    queue: list[_Attempt] = attrs.field(factory=list)


@attrs.define(eq=False)
class _Attempt:
    """Attempt that waits for a grant or holds one.

    Times are those of the simulated clock (seconds). ``arrived_s`` is the arrival of the
    request, also for a retry; ``server`` is ``None`` before the grant.
    """

    kind: RequestKind
    request: SlotRequest
    scheduler: SlotScheduler
    arrived_s: float
    granted_s: float = 0.0
    server: _Server | None = None


@attrs.define(eq=False)
class PlacementModel:
    """Simulation of one load with one strategy and one seed."""

    pattern: LoadPattern
    """Load and server faults."""
    strategy: str
    """One of ``STRATEGIES``."""
    seed: int
    """Seed of all random values; arrivals and failure periods are equal for all
    strategies."""
    totals: RequestTotals = attrs.field(factory=RequestTotals)
    """Results so far."""
    _now_s: float = 0.0
    _completions: list[Completion] = attrs.field(factory=list)
    _open_attempts: dict[tuple[str, int], _Attempt] = attrs.field(factory=dict)
    _slot_request_ids: itertools.count[int] = attrs.field(
        factory=lambda: itertools.count(1)
    )
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
        count = VM_COUNT if self.strategy == "alone" else 1
        self._schedulers = [self._make_scheduler(index) for index in range(count)]

    def run(self, duration_s: float = 30.0) -> RequestTotals:
        """Simulate the load and return the totals.

        Args:
            duration_s: Time during which requests arrive (seconds). Attempts that end
                more than 3 s later, or the longest deadline later, are not counted.
        """
        arrivals = self._draw_arrivals(duration_s)
        index = 0
        longest_s = max(kind.timeout_s for kind in self.pattern.request_kinds)
        while self._now_s < duration_s + max(longest_s, 3):
            self._now_s += TIME_STEP_S
            while index < len(arrivals) and arrivals[index][0] <= self._now_s:
                self._start_request(arrivals[index][1])
                index += 1
            while self._completions and self._completions[0][0] <= self._now_s:
                _, _, attempt, outcome, elapsed_s = heapq.heappop(self._completions)
                self._finish_attempt(attempt, outcome, elapsed_s)
            for scheduler in self._schedulers:
                self._advance(scheduler)
        return self.totals

    # Load

    def _slow_factor(self, number: int) -> float:
        is_slow = number < self.pattern.slow_share * self.pattern.server_count
        return self.pattern.slow_factor if is_slow else 1.0

    def _draw_arrivals(self, duration_s: float) -> list[tuple[float, RequestKind]]:
        arrivals = []
        for kind in self.pattern.request_kinds:
            at_s = 0.0
            while at_s < duration_s:
                scaled_rate_per_s = kind.rate_per_s * self.pattern.load_factor
                at_s += self._random.expovariate(
                    scaled_rate_per_s * self._wave_factor(at_s)
                )
                arrivals.append((at_s, kind))
        return sorted(arrivals, key=lambda arrival: arrival[0])

    def _wave_factor(self, at_s: float) -> float:
        angle = 2 * math.pi * at_s / WAVE_PERIOD_S
        return 1 + self.pattern.swing * math.sin(angle)

    def _draw_customer(self) -> str:
        """Return the customer of a request; empty if no customer is hot."""
        hot_factor = self.pattern.hot_customer_factor
        if hot_factor == 1:
            return ""
        number = self._random.random() * (CUSTOMER_COUNT - 1 + hot_factor)
        return f"c{max(int(number - hot_factor + 1), 0)}"

    def _make_scheduler(self, index: int) -> SlotScheduler:
        chooser = Chooser(random=random.Random(self.seed * 1000 + index))
        scheduler = SlotScheduler(chooser=chooser)
        if self.strategy == "alone":
            scheduler.set_place(VmPlace("z1", index, VM_COUNT))
        scheduler.replace_upstreams(
            [
                Upstream(
                    name,
                    SERVICE,
                    "10.0.0.1",
                    80,
                    "z1",
                    SLOTS_PER_SERVER,
                    start_time_ms=1,
                )
                for name in self._servers
            ],
            0.0,
        )
        return scheduler

    def _request_priority(self, kind: RequestKind) -> int:
        override = self.pattern.customer_priority
        return kind.priority if override is None else override

    def _start_request(self, kind: RequestKind) -> None:
        self.totals.offered_value += kind.value
        self.totals.offered_by_kind[kind.name] += 1
        scheduler = self._random.choice(self._schedulers)
        request = SlotRequest(
            "vm",
            next(self._slot_request_ids),
            SERVICE,
            kind.name,
            self._draw_customer(),
            self._request_priority(kind),
            kind.priority,
            kind.idempotent,
            1,
            (),
            kind.timeout_s,
            kind.target_latency_s,
            "z1",
        )
        self._request_slot(_Attempt(kind, request, scheduler, self._now_s))

    # Placement

    def _request_slot(self, attempt: _Attempt) -> None:
        self._open_attempts[attempt.request.vm, attempt.request.slot_request_id] = (
            attempt
        )
        if self.strategy == "oracle":
            self._set_actual_health(attempt.scheduler)
        decision = attempt.scheduler.request_slot(attempt.request, self._now_s)
        if isinstance(decision, Granted | Refused):
            self._apply_decision(attempt, decision)

    def _set_actual_health(self, scheduler: SlotScheduler) -> None:
        """Set the health of all upstreams to whether their server is failing now."""
        for tracker in scheduler.trackers():
            if self._is_failing(tracker.upstream.name):
                tracker.record_failure(self._now_s, was_quick=False)
                tracker.next_trial_s = float("inf")
                tracker.success_ratio = 0.0
            else:
                tracker.suspect_since_s = None
                tracker.last_accepted_s = self._now_s
        scheduler.refile_upstreams()

    def _advance(self, scheduler: SlotScheduler) -> None:
        if self.strategy == "oracle":
            self._set_actual_health(scheduler)
        scheduler.observe_running(self._now_s)
        for key, decision in list(scheduler.advance(self._now_s)):
            self._apply_decision(self._open_attempts[key], decision)

    def _apply_decision(self, attempt: _Attempt, decision: Granted | Refused) -> None:
        if isinstance(decision, Refused):
            self._remove_attempt(attempt)
            if attempt.request.attempt == 1:
                self.totals.refused += 1
                waited_s = self._now_s - attempt.arrived_s
                self.totals.refused_late += waited_s > attempt.kind.target_latency_s / 8
            else:
                self.totals.failed += 1
            return
        attempt.granted_s = self._now_s
        attempt.server = self._servers[decision.upstream.name]
        attempt.server.queue.append(attempt)
        self._start_processing(attempt.server)

    # Servers

    def _start_processing(self, server: _Server) -> None:
        while server.queue and server.slots_in_use < SLOTS_PER_SERVER:
            attempt = server.queue.pop(0)
            server.slots_in_use += 1
            fails = self._is_failing(server.name) and self._random.random() < 0.9
            fails |= server.is_partly_failing and self._random.random() < 0.5
            is_rejected = self._is_rejected()
            fails |= is_rejected
            mean_s = attempt.kind.mean_processing_time_s * server.slow_factor
            processing_time_s = self._random.lognormvariate(
                math.log(mean_s) - PROCESSING_TIME_SIGMA**2 / 2, PROCESSING_TIME_SIGMA
            )
            time_left_s = attempt.arrived_s + attempt.kind.timeout_s - self._now_s
            outcome = Outcome.FAILED if fails else Outcome.SUCCEEDED
            if is_rejected:
                outcome = Outcome.SHED
            if not fails and processing_time_s > time_left_s:
                outcome, processing_time_s = Outcome.TIMED_OUT, max(time_left_s, 0.0)
            duration_s = FAILURE_RESPONSE_TIME_S if fails else processing_time_s
            end_s = self._now_s + duration_s
            elapsed_s = end_s - attempt.granted_s
            slot_request_id = attempt.request.slot_request_id
            heapq.heappush(
                self._completions, (end_s, slot_request_id, attempt, outcome, elapsed_s)
            )

    def _is_rejected(self) -> bool:
        share = self.pattern.rejecting_share
        start_s, end_s = REJECTING_S
        return (
            share > 0
            and start_s <= self._now_s < end_s
            and (self._random.random() < share)
        )

    def _is_failing(self, name: str) -> bool:
        """Return whether a server is in a failure period.

        The value depends on seed, server and time only, so that it is equal for all
        strategies.
        """
        period_random = random.Random(
            f"{self.seed} {name} {int(self._now_s / FAILURE_PERIOD_S)}"
        )
        return period_random.random() < self.pattern.failing_share

    def _finish_attempt(
        self, attempt: _Attempt, outcome: Outcome, elapsed_s: float
    ) -> None:
        server = attempt.server
        if server is not None:
            server.slots_in_use -= 1
            self._start_processing(server)
        self._remove_attempt(attempt)
        request = attempt.request
        key = (request.vm, request.slot_request_id)
        attempt.scheduler.release(key, outcome, elapsed_s, self._now_s)
        latency_s = self._now_s - attempt.arrived_s
        kind = attempt.kind
        if outcome is Outcome.SUCCEEDED:
            on_target = latency_s <= kind.target_latency_s
            self.totals.on_target += on_target
            self.totals.served_by_kind[kind.name] += 1
            self.totals.late += not on_target
            self.totals.earned_value += kind.value * (
                1 if on_target else LATE_VALUE_SHARE
            )
        elif outcome is Outcome.TIMED_OUT and not kind.idempotent:
            self.totals.timed_out += 1
            self.totals.failed += 1
        elif server is not None and (
            outcome is Outcome.SHED or (kind.idempotent and request.attempt == 1)
        ):
            retry = attrs.evolve(
                request,
                slot_request_id=next(self._slot_request_ids),
                attempt=2,
                excluded=(*request.excluded, server.name)[-3:],
                time_left_s=kind.timeout_s - latency_s,
                target_left_s=kind.target_latency_s - latency_s,
            )
            self._request_slot(
                _Attempt(kind, retry, attempt.scheduler, attempt.arrived_s)
            )
        else:
            self.totals.failed += 1

    def _remove_attempt(self, attempt: _Attempt) -> None:
        self._open_attempts.pop(
            (attempt.request.vm, attempt.request.slot_request_id), None
        )
