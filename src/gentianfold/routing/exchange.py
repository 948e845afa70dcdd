"""Exchange of outcome sketches between VMs."""

from __future__ import annotations

from heapq import nlargest
from itertools import chain, islice, repeat
from typing import TYPE_CHECKING

import attrs

from gentianfold.errors import Failure
from gentianfold.routing.evidence import Scope
from gentianfold.routing.sketch import (
    LATENCY_SCALE,
    LOAD_SCALE,
    MAX_SCOPES,
    Sketch,
    SketchItem,
    decode,
    encode,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianfold.routing.health import HealthSystem
    from gentianfold.routing.observer_table import ObserverRow, ObserverTable
    from gentianfold.routing.policy import RoutingPolicy
    from gentianfold.routing.upstream_table import UpstreamRow, UpstreamTable

HEARTBEAT_S = 1.0
"""Time that the news of a heartbeat spans."""
ITEM_BYTES = 24
"""Size of one item on the wire, nearly always."""
MAX_COUNT_STEP = 10_000
"""Largest change of a counter that one sketch may report."""


@attrs.define(eq=False)
class ExchangeSystem:
    """Builds the sketches of this VM and merges those of others."""

    policy: RoutingPolicy
    """Thresholds and periods."""
    table: UpstreamTable
    """The upstreams."""
    observers: ObserverTable
    """The VMs that report."""
    health: HealthSystem
    """Takes the evidence in."""
    incarnation: int
    """Incarnation of this VM."""
    news: dict[str, UpstreamRow] = attrs.field(factory=dict)
    """Upstreams with news since the last sketch."""
    urgent: dict[str, UpstreamRow] = attrs.field(factory=dict)
    """Upstreams whose news can't wait for the heartbeat."""
    heartbeat_s: float = 0.0
    """Time of the last heartbeat."""

    def heartbeat_payload(self, now_s: float) -> bytes:
        """Encode the news; upstreams left out for size follow later.

        Empty if there are none: a peer then only learns that this VM is alive.
        """
        interval_s = max(now_s - self.heartbeat_s, 0.05)
        self.heartbeat_s = now_s
        for name, row in self.table.rows.items():
            if row.in_flight:
                self.news[name] = row
        rows = self._most_important()
        items = [self._item(row, now_s, interval_s) for row in rows]
        for row in rows:
            self.news.pop(row.upstream.name)
            self.urgent.pop(row.upstream.name, None)
            row.busy_s = 0.0
        return self._encode(True, items) if items else b""

    def _most_important(self) -> list[UpstreamRow]:
        """Return the upstreams whose news fit into the budget for all peers."""
        policy = self.policy
        peers = max(1, len(self.observers.rows))
        fitting = int(policy.peer_bytes_per_s / peers / ITEM_BYTES)
        limit = min(policy.max_sketch_items, fitting)
        if len(self.news) <= limit:
            return list(self.news.values())
        return nlargest(limit, self.news.values(), key=_importance)

    def urgent_payload(self, now_s: float) -> bytes | None:
        """Encode the news that can't wait, if there is any."""
        rows = list(islice(self.urgent.values(), self.policy.max_sketch_items))
        if not rows:
            return None
        interval_s = max(now_s - self.heartbeat_s, 0.05)
        items = [self._item(row, now_s, interval_s) for row in rows]
        for row in rows:
            self.urgent.pop(row.upstream.name)
        return self._encode(False, items)

    def _encode(self, whole: bool, items: list[SketchItem]) -> bytes:
        payload = encode(Sketch(self.incarnation, whole, tuple(items)))
        while len(payload) > self.policy.max_sketch_bytes:
            # What is cut off reaches the peers with the next counters.
            items = items[: len(items) // 2]
            payload = encode(Sketch(self.incarnation, False, tuple(items)))
        return payload

    def _item(self, row: UpstreamRow, now_s: float, interval_s: float) -> SketchItem:
        since_s = now_s - interval_s
        running_s = sum(now_s - max(a.start_s, since_s) for a in row.attempts)
        load = (row.busy_s + running_s) / interval_s
        item = SketchItem(
            row.key,
            row.successes,
            row.failures,
            row.successes - row.sent_successes,
            row.failures - row.sent_failures,
            min(round(load * LOAD_SCALE), row.upstream.slots * LOAD_SCALE),
            round(row.latency_sum_s * LATENCY_SCALE),
            row.latency_count,
            tuple((s.route, s.customer) for s in row.failed_scopes[-MAX_SCOPES:]),
        )
        row.sent_successes, row.sent_failures = row.successes, row.failures
        row.latency_sum_s, row.latency_count = 0.0, 0
        row.failed_scopes.clear()
        return item

    def on_heartbeat(
        self, vm: str, zone: str, payload: bytes, now_s: float
    ) -> Failure | None:
        """Merge the sketch of another VM."""
        if vm == self.observers.own.observer.vm:
            return None
        self._forget_moved(vm, zone)
        if not payload:
            self.clear_loads(self.observers.hear(vm, zone, now_s))
            return None
        sketch = decode(payload, self.policy.max_sketch_bytes)
        if isinstance(sketch, Failure):
            return sketch
        source = self.observers.hear(vm, zone, now_s)
        if source.incarnation != sketch.incarnation:
            source.incarnation = sketch.incarnation
            source.counts.clear()
        if sketch.whole:
            self.clear_loads(source)
        for item in sketch.items:
            row = self.table.by_key.get(item.key)
            if row is not None:
                self._merge(
                    row, source, item, now_s, HEARTBEAT_S if sketch.whole else 0.0
                )
        return None

    def _merge(
        self,
        row: UpstreamRow,
        source: ObserverRow,
        item: SketchItem,
        now_s: float,
        age_s: float,
    ) -> None:
        last = source.counts.get(item.key)
        source.counts[item.key] = (item.successes, item.failures)
        load = min(item.load / LOAD_SCALE, float(row.upstream.slots))
        row.remote_load += load - source.loads.get(item.key, 0.0)
        source.loads[item.key] = load
        successes, failures = item.new_successes, item.new_failures
        if last is not None:
            successes, failures = item.successes - last[0], item.failures - last[1]
        if max(abs(successes), abs(failures)) > MAX_COUNT_STEP:
            return
        # The successes came before the failure that a sketch is sent for.
        if successes > 0:
            self.health.add_successes(row, source, successes, now_s, age_s)
        if failures < 0:
            self.health.retract_failure(row, source)
        elif failures > 0:
            scopes = _scopes(item.scopes, failures)
            self.health.add_failures(row, source, scopes, now_s)
        if item.latencies > 0:
            sum_s = item.latency / LATENCY_SCALE
            self.health.add_latencies(row, sum_s, item.latencies)

    def _forget_moved(self, vm: str, zone: str) -> None:
        """Start over with a VM that came back in another zone."""
        source = self.observers.rows.get(vm)
        if source is not None and source.observer.zone != zone:
            self.clear_loads(source)
            self.observers.forget(vm)

    def forget_upstream(self, key: int) -> None:
        """Drop the load that was reported for an upstream that is new now."""
        for source in self.observers.rows.values():
            source.loads.pop(key, None)

    def clear_loads(self, source: ObserverRow) -> None:
        """Drop the load that a VM reported."""
        for key, load in source.loads.items():
            row = self.table.by_key.get(key)
            if row is not None:
                row.remote_load = max(0.0, row.remote_load - load)
        source.loads.clear()

    def tick(self, now_s: float) -> None:
        """Drop the load of silent peers, and later the peers themselves."""
        for vm, source in list(self.observers.rows.items()):
            silent_s = now_s - source.heard_s
            if silent_s > self.policy.load_max_age_s:
                self.clear_loads(source)
            if silent_s > self.policy.peer_max_age_s:
                self.observers.forget(vm)


def _importance(row: UpstreamRow) -> tuple[int, float]:
    """Rank unsent failures first, then suspects, then load."""
    return len(row.failed_scopes) * 2 + (row.fleet.score > 0.0), row.busy_s


def _scopes(scopes: tuple[tuple[int, int], ...], count: int) -> Iterable[Scope]:
    """Return one scope for each failure; repeat the last if some are missing."""
    known = [Scope(*scope) for scope in scopes] or [Scope()]
    return islice(chain(known, repeat(known[-1])), min(count, MAX_SCOPES))
