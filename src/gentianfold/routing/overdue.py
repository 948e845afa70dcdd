"""Attempts in flight that count as failures before their timeout."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.routing.upstream_table import Attempt

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianfold.routing.evidence import Scope
    from gentianfold.routing.upstream_table import UpstreamRow


@attrs.define(eq=False)
class OverdueSystem:
    """Keeps attempts in flight and finds overdue ones each tick."""

    busy: dict[str, UpstreamRow] = attrs.field(factory=dict)
    """Upstreams with attempts in flight."""

    def start(self, row: UpstreamRow, scope: Scope, now_s: float) -> None:
        """Record an attempt."""
        row.attempts.append(Attempt(now_s, scope))
        row.in_flight += 1
        self.busy[row.upstream.name] = row

    def finish(self, row: UpstreamRow, scope: Scope, start_s: float) -> Attempt | None:
        """Take the attempt that started at that time out of flight."""
        if not row.attempts:
            return None
        alike = [a for a in row.attempts if a.scope == scope] or row.attempts
        attempt = min(alike, key=lambda a: abs(a.start_s - start_s))
        row.attempts.remove(attempt)
        row.in_flight -= 1
        if not row.attempts:
            self.busy.pop(row.upstream.name, None)
        return attempt

    def tick(self, now_s: float) -> Iterator[tuple[UpstreamRow, Attempt]]:
        """Mark and return the attempts that became overdue."""
        for row in list(self.busy.values()):
            # Slow answers are normal for an upstream that starts cold.
            if row.warm_until_s > now_s:
                continue
            service = row.service
            for attempt in row.attempts:
                overdue_s = service.route_overdue_s.get(
                    attempt.scope.route, service.overdue_s
                )
                if now_s - attempt.start_s > overdue_s and not attempt.overdue:
                    attempt.overdue = True
                    yield row, attempt
