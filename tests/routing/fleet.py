"""A small fleet of routers for tests: no sockets, time passes when told."""

from __future__ import annotations

import random

from gentianfold.model import Service, Upstream
from gentianfold.routing.outcome import Outcome, OutcomeKind
from gentianfold.routing.router import Router


def make_upstreams(count=6, slots=6, zones=3, service="registry"):
    return [
        Upstream(f"{service}-{i}", service, f"10.1.0.{i}", 80, f"z{i % zones}", slots)
        for i in range(count)
    ]


class Fleet:
    """Routers that hear each other at once."""

    def __init__(self, vms=9, zones=3, upstreams=None, seed=1, floor=0.5):
        self.now_s = 100.0
        self.service = Service("registry", floor_fraction=floor)
        self.upstreams = upstreams or make_upstreams()
        self.routers = [
            Router(f"vm{i}", f"z{i % zones}", random.Random(seed * 1000 + i))
            for i in range(vms)
        ]
        self.publish(self.upstreams)
        self.exchange()

    def publish(self, upstreams):
        self.upstreams = upstreams
        for router in self.routers:
            router.on_snapshot([self.service], upstreams, self.now_s)

    def attempt(self, vm, upstream, kind=OutcomeKind.OK, route="r", customer="c"):
        router = self.routers[vm]
        router.started(upstream, self.now_s, route=route, customer=customer)
        outcome = Outcome(upstream, kind, 0.02, route, customer)
        router.finished(outcome, self.now_s)

    def warm(self, rounds=3):
        """Let every VM see every upstream answer several customers and routes."""
        for step in range(rounds):
            for vm in range(len(self.routers)):
                for upstream in self.upstreams:
                    mark = str((vm + step) % 3)
                    self.attempt(vm, upstream.name, route=mark, customer=mark)
        self.advance(1.0)

    def spread(self, sender, payload):
        vm, zone = sender.vm, sender.table.zone
        for router in self.routers:
            if router is not sender:
                router.on_heartbeat(vm, zone, payload, self.now_s)

    def urgent(self):
        for router in self.routers:
            if payload := router.urgent_payload(self.now_s):
                self.spread(router, payload)

    def exchange(self):
        for router in self.routers:
            self.spread(router, router.heartbeat_payload(self.now_s))

    def advance(self, seconds):
        end_s = self.now_s + seconds
        while self.now_s < end_s - 1e-9:
            self.now_s += 0.5
            for router in self.routers:
                router.on_tick(self.now_s)
            self.urgent()
            self.exchange()

    def row(self, vm, upstream):
        return self.routers[vm].table.rows[upstream]

    def ejected_by(self, upstream):
        return [vm for vm in range(len(self.routers)) if self.row(vm, upstream).ejected]
