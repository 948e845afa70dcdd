"""Memory, descriptors and link of one VM, as budgets made from its settings."""

from __future__ import annotations

import resource
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from gentianfold.forwarding.link_pacer import LinkPacer
from gentianfold.forwarding.link_schedule import LinkSchedule
from gentianfold.forwarding.memory_budget import (
    MIN_CONNECTIONS,
    ConnectionLimit,
    MemoryBudget,
    memory_capacity_bytes,
    socket_capacity,
)
from gentianfold.platform.deployment import stated_max_files
from gentianfold.vm.heap_trimmer import HeapTrimmer

if TYPE_CHECKING:
    from gentianfold.settings import Settings

CALLER_FRACTION = 2 / 3
"""Part of the sockets that callers may hold (0 to 1); the rest is for upstreams."""
INTERNAL_FRACTION = 1 / 16
"""Part of the sockets that each other listener may hold (0 to 1)."""
MAX_START_BYTES = 48_000_000
"""Upper bound of the memory that a VM has at its start (bytes); a process that runs
several of them has more."""
REPORT_INTERVAL_S = 1.0
"""Time between two lines about refusals (seconds)."""


@attrs.define(eq=False, repr=False)
class ResourceLimits:
    """Budgets of the process, shared by all of its listeners."""

    memory: MemoryBudget
    """Bytes held for callers and tunnels."""
    callers: ConnectionLimit
    """Connections of callers."""
    readiness: ConnectionLimit
    """Connections of readiness checks."""
    operators: ConnectionLimit
    """Connections of operators and other VMs."""
    metrics: ConnectionLimit
    """Connections for metrics."""
    tunnels: ConnectionLimit
    """Connections of other VMs for tunnels."""
    link: LinkPacer
    """Turns of long answers on the network link."""
    trimmer: HeapTrimmer = attrs.field(factory=HeapTrimmer)
    """Gives memory back after peaks."""
    _reported: dict[str, int] = attrs.field(factory=dict)
    _next_report_s: float = 0.0
    _was_refusing: bool = False

    @classmethod
    def from_settings(cls, settings: Settings) -> ResourceLimits:
        """Return the budgets of a process that has just started."""
        machine = settings.machine
        max_files = stated_max_files(settings.platform) or machine.max_fds
        start_bytes = min(_resident_bytes(), MAX_START_BYTES)
        file_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        sockets = socket_capacity(max_files, file_limit)
        internal = max(int(sockets * INTERNAL_FRACTION), MIN_CONNECTIONS)
        return cls(
            MemoryBudget(memory_capacity_bytes(machine.memory_mb, start_bytes)),
            ConnectionLimit(int(sockets * CALLER_FRACTION)),
            readiness=ConnectionLimit(internal),
            operators=ConnectionLimit(internal),
            metrics=ConnectionLimit(internal),
            tunnels=ConnectionLimit(internal),
            link=LinkPacer(LinkSchedule(machine.link_mbps)),
        )

    @property
    def connection_limits(self) -> dict[str, ConnectionLimit]:
        """Limits by name of the listener."""
        return {
            "callers": self.callers,
            "readiness": self.readiness,
            "operators": self.operators,
            "metrics": self.metrics,
            "tunnels": self.tunnels,
        }

    def advance(self, now_s: float) -> None:
        """Report what was refused, and give back memory after a peak."""
        self.report(now_s)
        self.trimmer.advance(self.memory.used_bytes, now_s)

    def report(self, now_s: float) -> None:
        """Log what was refused or ended since the last call, once a second at most."""
        if now_s < self._next_report_s:
            return
        counts = self.refusals()
        is_refusing = any(map(int.__sub__, counts.values(), self._reported.values()))
        if is_refusing:
            self._next_report_s = now_s + REPORT_INTERVAL_S
            changes = " ".join(
                f"{cause}={count - self._reported[cause]}"
                for cause, count in counts.items()
                if count != self._reported[cause]
            )
            logger.warning(
                "resources: refused or ended for room, used_kb={} capacity_kb={}"
                " connections={} {}",
                self.memory.used_bytes >> 10,
                self.memory.capacity_bytes >> 10,
                self.callers.open_count,
                changes,
            )
        elif self._was_refusing:
            logger.info(
                "resources: room again, used_kb={} capacity_kb={} connections={}",
                self.memory.used_bytes >> 10,
                self.memory.capacity_bytes >> 10,
                self.callers.open_count,
            )
        self._reported, self._was_refusing = counts, is_refusing

    def gauges(self, now_s: float) -> dict[str, float]:
        """Return the gauges of the metrics page by name."""
        return {
            "memory_claimed_bytes": self.memory.used_bytes,
            "memory_claimed_peak_bytes": self.memory.peak_bytes,
            "memory_capacity_bytes": self.memory.capacity_bytes,
            "caller_connections": self.callers.open_count,
            "caller_connections_limit": self.callers.capacity,
            "heap_trims": self.trimmer.trim_count,
            "link_used_mbps": self.link.schedule.used_mbps(now_s),
        }

    def refusals(self) -> dict[str, int]:
        """Return how often claims and connections were refused or ended, by cause."""
        counts = {
            f"refused_{use}": self.memory.refused_counts[use]
            for use in ("body", "answer", "request")
        }
        counts["ended"] = self.memory.ended_count
        for name, limit in self.connection_limits.items():
            counts[f"refused_{name}"] = limit.refused_count
            counts[f"ended_{name}"] = limit.ended_count
        return counts


def _resident_bytes() -> int:
    """Return the resident memory of the process; the upper bound if it isn't known."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return MAX_START_BYTES
    return pages * resource.getpagesize()
