"""Leases by which the VMs of a fleet lend their shares of fleet-wide limits to a broker.

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

from typing import TYPE_CHECKING

import attrs

from gentianfold.clock import MAX_CLOCK_RATE_ERROR

if TYPE_CHECKING:
    from collections.abc import Collection

LEASE_TERM_S = 1.2
"""Time for which a broker uses a share after the reply that the VM has returned
(seconds): three heartbeat intervals."""
SHARE_VALIDITY_S = 0.3
"""Time for which a computed share of fleet-wide limits is used (seconds): a few ticks;
a lease of the VM ends that much later than that of the broker."""
GROWTH_S = 2.5
"""Time in which the members of a failed broker lend their shares to the next one
(seconds): a lease, and the time until they have found it."""
MATURITY_S = 5.0
"""Time for which a share must have been held before its unused burst counts as unused
(seconds): the window in which requests are counted."""
FORMING_S = 5.0
"""Time after its start in which a broker that knows no earlier fleet does not know the
size of this one (seconds): VMs that start together join within it."""
MISSING_RETENTION_S = 7200.0
"""Time for which VMs that a broker misses keep their shares (seconds): longer than an
outage between regions."""


@attrs.define
class LentShare:
    """Share of one VM, and the broker that holds it on lease; times by its clock."""

    fleet_size: int = 0
    """VMs of the fleet, as told by the last broker; 0 while it is unknown."""
    broker: str = ""
    """Address of the last broker that held the share; empty if none did."""
    _stamp_ms: int = 0
    _lent_until_s: float = -1e9
    _own_since_s: float | None = None

    def record_reply(
        self, broker: str, stamp_ms: int, fleet_size: int, now_s: float
    ) -> None:
        """Lend the share to the broker that replied, unless another one holds it."""
        if fleet_size:
            self.fleet_size = fleet_size
        if not stamp_ms or (broker != self.broker and self.is_lent(now_s)):
            return
        self.broker, self._stamp_ms = broker, stamp_ms
        term_s = LEASE_TERM_S + SHARE_VALIDITY_S
        term_s *= 1 + 2 * MAX_CLOCK_RATE_ERROR
        self._lent_until_s = now_s + term_s
        self._own_since_s = None

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
        if self.is_lent(now_s) or not fleet_size:
            self._own_since_s = None
            return 0.0, 0.0
        if self._own_since_s is None:
            self._own_since_s = now_s
        share = 1 / fleet_size
        return share, share if now_s - self._own_since_s >= MATURITY_S else 0.0


@attrs.define
class _Lease:
    """Lease of one member's share."""

    since_s: float
    until_s: float


@attrs.define
class LeaseTable:
    """Shares that the members have lent to this VM as broker; times by its clock."""

    seeds: Collection[str] = ()
    """Addresses of which at least one is a broker in a fleet that has just started."""
    known_size: int = 0
    """Size of the fleet according to earlier brokers; 0 if unknown."""
    started_s: float = 0.0
    """When this VM became the broker (seconds)."""
    _leases: dict[str, _Lease] = attrs.field(factory=dict)
    _is_new_fleet: bool = attrs.field(init=False)
    _complete_s: float = -1e9

    def __attrs_post_init__(self) -> None:
        self._is_new_fleet = self.known_size == 0

    def record(self, vm: str, stamp_ms: int, now_s: float) -> None:
        """Extend the lease of a member that returned a stamp of this VM."""
        stamped_s = stamp_ms / 1000
        if not stamp_ms or not self.started_s <= stamped_s <= now_s:
            return
        until_s = stamped_s + LEASE_TERM_S
        lease = self._leases.get(vm)
        if lease is None or lease.until_s <= now_s:
            self._leases[vm] = _Lease(now_s, until_s)
        else:
            lease.until_s = max(lease.until_s, until_s)

    def remove(self, vm: str) -> None:
        """Forget the lease of a VM that was restarted or has left."""
        self._leases.pop(vm, None)

    def size(self, present: int, now_s: float) -> int:
        """Return the size of the fleet.

        Args:
            present: Members and VMs that timed out, with this VM (count).
            now_s: Current time (seconds).
        """
        if present >= self.known_size:
            self.known_size = present
            self._complete_s = now_s
        elif now_s - max(self._complete_s, self.started_s) > MISSING_RETENTION_S:
            self.known_size = present
        return self.known_size

    def shares(
        self, vm: str, own: tuple[float, float], size: int, now_s: float
    ) -> tuple[float, float]:
        """Return the part of each limit that this VM may use, and its mature part.

        Args:
            vm: Address of this VM.
            own: Its own share and the mature part of that.
            size: Size of the fleet.
            now_s: Current time (seconds).
        """
        live = [lease for lease in self._leases.values() if lease.until_s > now_s]
        mature = sum(now_s - lease.since_s >= MATURITY_S for lease in live)
        factor = 1.0
        if self.is_forming(now_s):
            factor = self._seed_count(vm) / max(len(self.seeds), 1)
        return (
            min(len(live) / size + own[0], 1.0) * factor,
            min(mature / size + own[1], 1.0) * factor,
        )

    def has_all_seeds(self, vm: str) -> bool:
        """Tell whether all seeds are this VM or have lent it their shares."""
        return self._seed_count(vm) == len(self.seeds)

    def is_growing(self, now_s: float) -> bool:
        """Tell whether members may still be bound to the former broker."""
        return now_s - self.started_s < GROWTH_S

    def _seed_count(self, vm: str) -> int:
        return len({vm, *self._leases}.intersection(self.seeds))

    def ends_forming(self, now_s: float) -> bool:
        """Tell, once, that a fleet that had just started has formed."""
        if not self._is_new_fleet or self.is_forming(now_s):
            return False
        self._is_new_fleet = False
        return True

    def is_forming(self, now_s: float) -> bool:
        """Tell whether the fleet has just started, so that its size is unknown."""
        return self._is_new_fleet and now_s - self.started_s < FORMING_S

    def record_known_size(self, size: int) -> None:
        """Record the size of an earlier fleet of which a new member knows."""
        if size > 0:
            self._is_new_fleet = False
            self.known_size = max(self.known_size, size)
