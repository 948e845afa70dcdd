"""What operators see of a VM."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING, Any

from gentianfold import __version__
from gentianfold.limits.slot_map import SHARE_SLOTS

if TYPE_CHECKING:
    from gentianfold.daemon.entry_vm import EntryVm


class VmReport:
    """Gathers the state of all parts of a VM."""

    def __init__(self, vm: EntryVm) -> None:
        self._vm = vm
        self._started_s = vm.clock.now_s()

    def exposition(self) -> str:
        """Return the metrics as text."""
        vm = self._vm
        metrics = vm.metrics
        metrics.set_gauge("configuration_version", vm.store.version)
        metrics.set_gauge("open_requests", vm.caller_app.open_requests)
        metrics.set_gauge("share_slots_held", self.held_slots())
        metrics.set_gauge("isolated", float(vm.state.isolated))
        return metrics.exposition()

    def status(self) -> dict[str, Any]:
        """Return the state of all parts."""
        vm = self._vm
        now_s = vm.clock.now_s()
        return {
            "vm": vm.settings.vm,
            "zone": vm.settings.zone,
            "version": __version__,
            "state": vm.state.not_ready_reason() or "ready",
            "configuration_version": vm.store.version,
            "configuration_refused": self._refusal(),
            "vm_list_version": vm.store.vm_list_version,
            "uptime_s": round(now_s - self._started_s, 1),
            "time_unix_s": round(time.time(), 3),
            "open_requests": vm.caller_app.open_requests,
            "waiting": vm.queue.waiting_counts(),
            "peers": self._peers(),
            "upstreams": self._upstreams(now_s),
            "customers": self._customers(),
            "shares": self._shares(now_s),
        }

    def held_slots(self) -> int:
        """Return the number of share slots in possession."""
        return len(self._vm.limiter.shares.held)

    def _refusal(self) -> list[str]:
        refusal = self._vm.store.refusal
        return [str(failure) for failure in refusal.failures] if refusal else []

    def _peers(self) -> list[dict[str, Any]]:
        return [
            {
                "vm": name,
                "zone": row.vm.zone,
                "state": row.state.value,
                "incarnation": str(row.incarnation) if row.incarnation else "",
                "configuration_version": row.config_version,
            }
            for name, row in sorted(self._vm.members.rows.items())
        ]

    def _upstreams(self, now_s: float) -> list[dict[str, Any]]:
        snapshot = self._vm.store.snapshot
        listed = snapshot.upstreams if snapshot else {}
        return [
            {
                "name": row.upstream,
                "service": row.service,
                "zone": listed[row.upstream].zone if row.upstream in listed else None,
                "state": row.state.value,
                "weight": row.weight,
                "in_flight": row.in_flight,
                "reason": row.reason,
            }
            for row in self._vm.router.rows(now_s)
        ]

    def _customers(self) -> list[dict[str, Any]]:
        """Return a row for each customer that sent requests to this VM."""
        vm = self._vm
        rows = []
        for name, counts in sorted(vm.caller_app.customer_counts.items()):
            customer = vm.view.rules.customers.get(name)
            limit = customer.limit if customer else None
            refused = Counter(
                {code: count for code, count in counts.items() if code != "admitted"}
            )
            rows.append(
                {
                    "name": name,
                    "rate_per_s": limit.rate_per_s if limit else None,
                    "burst": limit.burst if limit else None,
                    "admitted": counts["admitted"],
                    "refused": refused.total(),
                    "refused_by": dict(refused),
                }
            )
        return rows

    def _shares(self, now_s: float) -> dict[str, Any]:
        shares = self._vm.limiter.shares
        return {
            "held": self.held_slots(),
            "total": SHARE_SLOTS,
            "suspended": not shares.usable(now_s),
        }
