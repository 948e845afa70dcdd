"""A VM's share of fleet-wide limits, which it lends to the broker that it uses.

Every VM owns an equal share of each limit, and lends it to the broker it uses. It uses
the share itself, or lends it to another broker, only after the lease has ended. So no
part of a limit has two users at a time, however many brokers there are and whatever
messages are lost or late.

A reply of the broker carries the time of its clock at which it was sent, and the VM's
next heartbeat returns it. The lease runs from that time on the broker's clock, and from
the arrival of the reply on the VM's clock, which is later. Both clocks must advance
while a VM is suspended.
"""

from __future__ import annotations

import attrs

from gentianfold.clock import MAX_CLOCK_RATE_ERROR

LEASE_TERM_S = 1.2
"""Time for which a broker uses a share after the reply that the VM has returned
(seconds): three heartbeat intervals."""
SHARE_VALIDITY_S = 0.3
"""Time for which a computed share of fleet-wide limits is used (seconds): a few ticks;
a lease of the VM ends that much later than that of the broker."""
MATURITY_S = 5.0
"""Time for which a share must have been held before its unused burst counts as unused
(seconds): the window in which requests are counted."""
SEED_TERM_S = 10.0
"""Time for which a part of a fleet that has lost all seeds goes on to use limits
(seconds): longer than seeds take to come back after a loss of power."""


SOME_SEEDS_PART = 0.65
"""Part of its shares that a part of a fleet uses that holds seeds, but no majority."""
NO_SEED_PART = 0.125
"""The same of a part that has lost all seeds."""


def seed_part(held: int, seed_count: int, seedless_s: float) -> float:
    """Return the part of its shares that a part of a fleet may use, for its seeds.

    Seeds that have started again, and do not know the fleet, may serve it anew. What is
    left of the earlier fleet uses all of its shares while it holds a majority of the
    seeds; else what ``unknown_part`` leaves to it, and nothing when all seeds may have
    started anew long enough ago.

    Args:
        held: Seeds that are in this part (count).
        seed_count: Seeds in the settings (count).
        seedless_s: Time since this part held any seed (seconds).
    """
    if not seed_count or 2 * held > seed_count:
        return 1.0
    if held:
        return SOME_SEEDS_PART
    return NO_SEED_PART if seedless_s < SEED_TERM_S else 0.0


def unknown_part(held: int, seed_count: int) -> float:
    """Return the part of the limits for seeds that were restarted and know no fleet.

    Beside all seeds, a part of an earlier fleet holds none; beside a majority, it may
    hold one. The parts of both add up to 1.

    Args:
        held: Such seeds that one broker holds (count).
        seed_count: Seeds in the settings (count).
    """
    if held == seed_count:
        return 1.0 - NO_SEED_PART
    return 1.0 - SOME_SEEDS_PART if 2 * held > seed_count else 0.0


@attrs.define
class LentShare:
    """Share of one VM, and the broker that holds it on lease; times by its clock."""

    fleet_size: int = 0
    """VMs of the fleet, as told by the last broker; 0 while it is unknown."""
    unused_until_s: float = -1e9
    """Time until which a broker may use what an earlier process of the VM lent."""
    seed_seen_s: float = -1e9
    """When the VM was last in touch with a seed that knew the fleet."""
    broker: str = ""
    """Address of the last broker that held the share; empty if none did."""
    _stamp_ms: int = 0
    _waiting_lease: tuple[str, int] = ("", 0)
    _lent_until_s: float = -1e9
    _own_since_s: float | None = None

    def record_reply(
        self, broker: str, stamp_ms: int, fleet_size: int, now_s: float
    ) -> None:
        """Lend the share to the broker that replied, unless another one holds it."""
        if fleet_size:
            self.fleet_size = fleet_size
        if not stamp_ms:
            return
        if now_s < self.unused_until_s:
            self._waiting_lease = (broker, stamp_ms)
            return
        if broker != self.broker and self.is_lent(now_s):
            return
        self.broker, self._stamp_ms = broker, stamp_ms
        term_s = LEASE_TERM_S + SHARE_VALIDITY_S
        term_s *= 1 + 2 * MAX_CLOCK_RATE_ERROR
        self._lent_until_s = now_s + term_s
        self._own_since_s = None

    def ends_wait(self, broker: str | None, now_s: float) -> bool:
        """Lend the share once no broker uses what an earlier process of the VM lent.

        Args:
            broker: Address of the broker that the VM follows.
            now_s: Current time (seconds).

        Returns:
            Whether the wait has ended with this call.
        """
        if not 0.0 < self.unused_until_s <= now_s:
            return False
        self.unused_until_s = -1e9
        waiting_broker, stamp_ms = self._waiting_lease
        if broker == waiting_broker:
            self.record_reply(waiting_broker, stamp_ms, 0, now_s)
        return True

    def stamp_ms(self, broker: str) -> int:
        """Return the stamp for a heartbeat to a broker; 0 if it holds no lease."""
        return self._stamp_ms if broker == self.broker else 0

    def end_lease(self, broker: str, stamp_ms: int) -> None:
        """End the lease of a broker that has stopped to use shares.

        Args:
            broker: Address of the broker.
            stamp_ms: Time of its clock (milliseconds) since which it has used none; a
                lease from a later time goes on.
        """
        if broker == self.broker and self._stamp_ms <= stamp_ms:
            self.broker, self._stamp_ms = "", 0
            self._lent_until_s = -1e9

    def is_lent(self, now_s: float) -> bool:
        """Tell whether a broker may be using the share."""
        return now_s < self._lent_until_s

    def own_share(self, fleet_size: int, now_s: float) -> tuple[float, float]:
        """Return the share that the VM may use itself, and its mature part.

        Args:
            fleet_size: Size of the fleet; 0 if unknown.
            now_s: Current time (seconds).
        """
        is_used_elsewhere = self.is_lent(now_s) or now_s < self.unused_until_s
        if is_used_elsewhere or not fleet_size:
            self._own_since_s = None
            return 0.0, 0.0
        if self._own_since_s is None:
            self._own_since_s = now_s
        share = 1 / fleet_size
        return share, share if now_s - self._own_since_s >= MATURITY_S else 0.0
