"""A fleet keeps stated rate limits through broker failures and lost messages."""

from __future__ import annotations

import itertools
import random
from collections import defaultdict

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from placement.model import make_request, make_scheduler
from placement.test_rate_limiter import allowed_in_window, most_in_window

from gentianfold.placement.outcome import Outcome
from gentianfold.placement.rate_limit_report import report_rate_limits
from gentianfold.placement.slot_request import Granted

VM_COUNT = 8
STEP_S = 0.05
HEARTBEAT_STEPS = 8
WORK_STEPS = 3
GRACE_S = 0.5
"""Time after which a VM that was told of a limit counts (seconds)."""


class RateLimitedFleet(RuleBasedStateMachine):
    """VMs under more load than the limits allow; one of them is the broker."""

    @initialize(
        seed=st.integers(0, 999),
        limits=st.lists(st.sampled_from([0.2, 1.0, 4.2, 6.1]), min_size=2, max_size=2),
    )
    def start(self, seed, limits):
        self.random = random.Random(seed)
        self.limits = dict(zip(("u0", "u1"), limits, strict=True))
        self.schedulers = [
            make_scheduler(upstream_count=3, slots=6, seed=seed + vm)
            for vm in range(VM_COUNT)
        ]
        self.broker = 0
        self.alone_until_s = 0.0
        self.loses_releases = False
        self.steps = 0
        self.running = []
        self.ids = itertools.count(1)
        self.told_s = {}
        self.sent = defaultdict(list)
        self.set_shares()

    @property
    def now_s(self):
        return self.steps * STEP_S

    def is_alone(self):
        return self.now_s < self.alone_until_s

    def set_shares(self):
        for vm, scheduler in enumerate(self.schedulers):
            is_broker = vm == self.broker and not self.is_alone()
            share = 1.0 if is_broker else 1 / VM_COUNT
            scheduler.set_share(share, share, self.now_s)
            scheduler.observe_running(self.now_s)

    def members(self):
        return [vm for vm in range(VM_COUNT) if vm != self.broker]

    @rule(seconds=st.integers(1, 6), requests_per_step=st.integers(1, 4))
    def run(self, seconds, requests_per_step):
        for _ in range(int(seconds / STEP_S)):
            self.steps += 1
            self.set_shares()
            self.end_requests()
            for _ in range(requests_per_step):
                # The broker gets no callers, so it learns limits from others only.
                self.send(self.random.choice(self.members()))
            if self.steps % HEARTBEAT_STEPS == 0 and not self.is_alone():
                self.send_heartbeats()

    @rule(alone_s=st.sampled_from([0.0, 0.5, 1.5, 5.0]))
    def lose_broker(self, alone_s):
        self.alone_until_s = self.now_s + alone_s
        self.broker = (self.broker + 1) % VM_COUNT

    @rule(is_lost=st.booleans())
    def lose_releases(self, is_lost):
        self.loses_releases = is_lost

    def placers(self, vm):
        """Return the schedulers that hold the slots of a VM's requests."""
        placer = vm if self.is_alone() else self.broker
        return placer, {vm, placer}

    def send(self, vm):
        placer, holders = self.placers(vm)
        request = make_request(next(self.ids), vm=f"vm{vm}", excluded=("u2",))
        decision = self.schedulers[placer].request_slot(request, self.now_s)
        if not isinstance(decision, Granted):
            key = (request.vm, request.slot_request_id)
            self.schedulers[placer].release(key, Outcome.CANCELLED, 0, self.now_s)
            return
        name = decision.upstream.name
        for holder in holders - {placer}:
            self.schedulers[holder].register_grant(request, name, self.now_s)
        self.running.append((self.steps + WORK_STEPS, vm, holders, request, name))
        told_s = self.told_s.get((vm, name), float("inf"))
        if self.now_s >= told_s + GRACE_S:
            self.sent[name].append(self.now_s)

    def end_requests(self):
        ended = [entry for entry in self.running if entry[0] <= self.steps]
        self.running = [entry for entry in self.running if entry[0] > self.steps]
        for _, vm, holders, request, name in ended:
            self.told_s.setdefault((vm, name), self.now_s)
            for holder in holders:
                is_told = holder == vm or not self.loses_releases
                self.schedulers[holder].release(
                    (request.vm, request.slot_request_id),
                    Outcome.SUCCEEDED,
                    WORK_STEPS * STEP_S,
                    self.now_s,
                    rate_limit_per_s=self.limits[name] if is_told else None,
                )

    def send_heartbeats(self):
        broker = self.schedulers[self.broker]
        for vm, scheduler in enumerate(self.schedulers):
            if vm != self.broker:
                for name, rate_per_s, age_ms in report_rate_limits(
                    scheduler.trackers(), self.now_s
                ):
                    stated_s = self.now_s - age_ms / 1000
                    broker.record_rate_limit(name, rate_per_s, stated_s, self.now_s)

    @invariant()
    def limits_hold(self):
        for name, sent in getattr(self, "sent", {}).items():
            assert most_in_window(sent) <= allowed_in_window(self.limits[name])


RateLimitedFleet.TestCase.settings = settings(
    derandomize=True, max_examples=40, stateful_step_count=12, deadline=None
)
TestRateLimitedFleet = RateLimitedFleet.TestCase
