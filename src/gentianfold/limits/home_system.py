"""Answers asks for tokens, as the home of their buckets."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from gentianfold.codes.limits import BURST_TOO_SMALL, OVER_RATE, SHARE_UNREACHABLE
from gentianfold.limits.home_table import QueuedAsk
from gentianfold.limits.lot_policy import HOME_WAIT_S, MAX_QUEUE
from gentianfold.limits.messages import Ask, Grant, Message, Report
from gentianfold.model import RateLimit

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianfold.errors import Code
    from gentianfold.limits.home_table import Bucket, HomeTable

UNREACHABLE_RETRY_S = 1.0
"""Time after which a share that is not pledged may have found its home."""


@attrs.define
class HomeSystem:
    """Grants lots in the order of the asks; refuses what can't be met soon."""

    table: HomeTable
    """The buckets."""
    send: Callable[[str, Message], None]
    """Sends a message to a VM."""

    def on_ask(self, vm: str, ask: Ask, now_s: float) -> None:
        """Grant, queue or refuse an ask."""
        limit = RateLimit(ask.rate_per_s, ask.burst)
        row = self.table.bucket(ask.key, limit, ask.limits_version, now_s)
        for report in ask.reports:
            self.table.on_report(vm, ask.key, report, now_s)
        if (vm, ask.ask_id) in row.lots:
            # A duplicate of an ask that was granted.
            return
        if not ask.need:
            self._answer(row, vm, ask.ask_id, 0, 0 if row.queue else ask.want, now_s)
            return
        wait_s = self._wait_s(row, ask.need)
        if wait_s > HOME_WAIT_S or len(row.queue) >= MAX_QUEUE:
            self._refuse(row, vm, ask.ask_id)
            return
        deadline_s = now_s + 2.0 * HOME_WAIT_S
        row.queue.append(QueuedAsk(vm, ask.ask_id, ask.need, ask.want, deadline_s))
        self._serve(row, now_s)

    def on_report(self, vm: str, report: Report, now_s: float) -> None:
        """Take in what became of lots."""
        for key, lot in report.lots:
            self.table.on_report(vm, key, lot, now_s)
            row = self.table.rows.get(key)
            if row and row.queue:
                self._serve(row, now_s)

    @property
    def next_due_s(self) -> float:
        """Return when an ask that waits can be answered."""
        return min(self.table.waiting.values(), default=math.inf)

    def step(self, now_s: float) -> None:
        """Serve the asks that wait."""
        due = [key for key, due_s in self.table.waiting.items() if due_s <= now_s]
        if not due:
            return
        self.table.lapse(now_s)
        for key in due:
            row = self.table.rows[key]
            self.table.settle(row, now_s)
            self._serve(row, now_s)

    def _serve(self, row: Bucket, now_s: float) -> None:
        while row.queue:
            head = row.queue[0]
            if self._answer(row, head.vm, head.ask_id, head.need, head.want, now_s):
                row.queue.popleft()
            elif head.deadline_s <= now_s:
                row.queue.popleft()
                self._refuse(row, head.vm, head.ask_id)
            else:
                break
        if not row.queue:
            self.table.waiting.pop(row.key, None)
            return
        wait_s = self.table.next_token_s(row)
        deadline_s = row.queue[0].deadline_s
        self.table.waiting[row.key] = (
            deadline_s if wait_s is None else min(deadline_s, now_s + wait_s)
        )

    def _answer(
        self, row: Bucket, vm: str, ask_id: int, need: int, want: int, now_s: float
    ) -> bool:
        """Grant what can be granted; tell whether the ask is answered."""
        share = self.table.pledges.share(row.home_slot)
        burst, rate_per_s = row.limit.burst * share, row.limit.rate_per_s * share
        offer = self.table.policy.offer(row.level, burst, rate_per_s, need, want)
        if need and not offer.tokens:
            return False
        if offer.tokens:
            lifetime_s = 1e-3 * offer.lifetime_ms
            self.table.issue(row, vm, ask_id, offer.tokens, lifetime_s, now_s)
        self.send(
            vm,
            Grant(ask_id, offer.tokens, offer.lifetime_ms, 0, offer.report_at_once),
        )
        return True

    def _wait_s(self, row: Bucket, need: int) -> float:
        """Return the time until an ask that is queued now gets its first token."""
        if not row.queue and row.level >= 1.0:
            return 0.0
        first_s = self.table.next_token_s(row)
        if first_s is None:
            return math.inf
        ahead = sum(ask.need for ask in row.queue)
        share = self.table.pledges.share(row.home_slot)
        return first_s + ahead / (row.limit.rate_per_s * share)

    def _refuse(self, row: Bucket, vm: str, ask_id: int) -> None:
        code, retry_after_s = self._cause(row)
        self.send(vm, Grant(ask_id, 0, math.ceil(1e3 * retry_after_s), code.number))

    def _cause(self, row: Bucket) -> tuple[Code, float]:
        share = self.table.pledges.share(row.home_slot)
        if share <= 0.0:
            return SHARE_UNREACHABLE, UNREACHABLE_RETRY_S
        wait_s = self.table.next_token_s(row)
        if wait_s is None:
            return BURST_TOO_SMALL, UNREACHABLE_RETRY_S
        ahead = sum(ask.need for ask in row.queue)
        return OVER_RATE, wait_s + ahead / (row.limit.rate_per_s * share)
