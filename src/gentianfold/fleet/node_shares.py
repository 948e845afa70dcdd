"""Applies the leases of shares to the limits of one VM's scheduler."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from gentianfold.clock import MAX_CLOCK_RATE_ERROR
from gentianfold.fleet.lease_table import FleetShares
from gentianfold.fleet.membership import Membership, Role
from gentianfold.fleet.protocol import is_older
from gentianfold.fleet.seed_parts import SeedParts
from gentianfold.fleet.share_lease import LEASE_TERM_S, SHARE_VALIDITY_S, LentShare
from gentianfold.placement.slot_shares import VmPlace

if TYPE_CHECKING:
    from gentianfold.clock import Clock
    from gentianfold.fleet.broker import Broker
    from gentianfold.fleet.messages import HeartbeatReply
    from gentianfold.placement.slot_scheduler import SlotScheduler


@attrs.define(eq=False, repr=False)
class NodeShares:
    """The part of each fleet-wide limit that a VM may use in its present role."""

    membership: Membership
    """Role of this VM."""
    broker: Broker
    """Holds the leases while this VM is the broker."""
    scheduler: SlotScheduler
    """Keeps to the limits."""
    clock: Clock
    """Clock of the leases; advances while the VM is suspended."""
    loop_time_s: Callable[[], float]
    """Returns the event loop time (seconds)."""
    own: LentShare = attrs.field(factory=LentShare)
    """This VM's own share, and who holds it."""
    start_allowance: int = 0
    """Requests of each customer beyond its limit that a seed may grant once, as long as
    it awaits the end of leases of its earlier process (count)."""
    _updated_s: float = -1e9

    def start(
        self, is_first_start: bool, process_started_s: float | None = None
    ) -> None:
        """Leave the own share alone while a lease of an earlier process may run.

        Args:
            is_first_start: Whether the system never ran before this process.
            process_started_s: Start of the process, by when the earlier one had ended
                (clock of the leases, seconds); ``None`` for now.
        """
        self.own.fleet_size = self.broker.stated_size
        if not is_first_start:
            term_s = LEASE_TERM_S * (1 + 2 * MAX_CLOCK_RATE_ERROR)
            ended_s = self.clock.now_s()
            if process_started_s is not None:
                ended_s = min(ended_s, process_started_s)
            self.own.unused_until_s = ended_s + term_s

    def refresh(self) -> None:
        """Compute the shares anew if they are outdated, as after a suspension."""
        if self.clock.now_s() - self._updated_s > SHARE_VALIDITY_S:
            self.update()

    def update(self) -> None:
        """Apply the part of fleet-wide limits that this VM may use now."""
        now_s = self._updated_s = self.clock.now_s()
        loop_s = self.loop_time_s()
        if self.own.ends_wait(self.membership.broker, now_s):
            # The broker gets the share with the next heartbeat.
            self.membership.expedite_heartbeat(loop_s)
        is_broker = self.membership.role is Role.BROKER
        if is_broker:
            leases = self.broker.leases
            own = self.own.own_share(leases.known_size or 1, now_s)
            shares = self.broker.shares(own, now_s)
            self.own.seed_seen_s = leases.seed_seen_s
        else:
            shares = FleetShares(
                self._alone_shares(0.0, now_s),
                self._alone_shares(self.broker.overshoot, now_s),
            )
        self.scheduler.set_share(
            *shares.strict, loop_s, SHARE_VALIDITY_S, shares.of_customers
        )
        is_growing = is_broker and self.broker.leases.is_growing(now_s)
        self.scheduler.quota.is_growing = is_growing

    def _alone_shares(self, overshoot: float, now_s: float) -> tuple[float, float]:
        """Return the part that this VM may use without a broker, and its mature part.

        Args:
            overshoot: Part of the limits that may be exceeded.
            now_s: Current time (clock of the leases, seconds).
        """
        own = self.own
        share, mature_share = own.own_share(own.fleet_size, now_s)
        if self.broker.stated_size:
            return share, mature_share
        seeds = self.membership.seeds
        held = int(self.membership.vm in seeds)
        parts = SeedParts(len(seeds), overshoot)
        part = parts.known(held, now_s - own.seed_seen_s)
        if not parts.may_mature(held):
            mature_share = 0.0
        return share * part, mature_share * part

    def lend(self, broker: str, zone: str, reply: HeartbeatReply) -> bool:
        """Lend the own share to the broker that replied, if no other one holds it.

        The reply also tells which slots this VM uses first if the broker is lost.

        Args:
            broker: Address of the broker.
            zone: Availability zone of this VM.
            reply: Its reply.

        Returns:
            Whether that is a new lease.
        """
        if reply.zone_vm_count:
            place = VmPlace(zone, reply.zone_rank, reply.zone_vm_count)
            self.scheduler.set_place(place)
        had_lease = self.own.stamp_ms(broker) != 0
        now_s = self.clock.now_s()
        stamp_ms, fleet_size = reply.lease_stamp_ms, reply.fleet_size
        is_unproved = is_older(reply.protocol)
        if not is_unproved or broker in self.membership.seeds:
            # A broker that doesn't state the age is in touch with seeds if it is one.
            seed_seen_s = now_s - reply.seed_age_ms / 1000
            self.own.seed_seen_s = max(self.own.seed_seen_s, seed_seen_s)
        if is_unproved and fleet_size < self.own.fleet_size:
            # The broker would take a larger part for the share than this VM owns.
            stamp_ms, fleet_size = 0, 0
        self.own.record_reply(broker, stamp_ms, fleet_size, now_s)
        self.update()
        return not had_lease and self.own.stamp_ms(broker) != 0

    def end_lease(self, broker: str, stamp_ms: int, fleet_size: int) -> None:
        """Take back the own share from a broker that hands over or is none."""
        self.own.end_lease(broker, stamp_ms)
        if self.membership.is_older_broker(broker):
            fleet_size = max(fleet_size, self.own.fleet_size)
        if fleet_size:
            self.own.fleet_size = fleet_size
            if self.membership.role is Role.BROKER:
                self.broker.leases.record_known_size(fleet_size)

    def start_hand_over(self) -> None:
        """Keep the size of the fleet, of which the broker's part is handed over."""
        leases, now_s = self.broker.leases, self.clock.now_s()
        leases.start_hand_over(self.own.own_share(leases.known_size or 1, now_s), now_s)
        self.own.fleet_size = leases.told_size(self.broker.vm)

    def start_as_broker(self) -> None:
        """Start without members and without tokens: others may have used them."""
        own = self.own
        self.scheduler.set_place(None)
        self.broker.start(own.fleet_size, self.clock.now_s(), own.seed_seen_s)
        self.scheduler.quota.reset_usage(self.loop_time_s())
        is_restarted = self.clock.now_s() < own.unused_until_s and not own.fleet_size
        if is_restarted and self.membership.vm in self.membership.seeds:
            # Once in the life of a process: so few seeds keep to what is tolerated.
            self.scheduler.quota.allowance = self.start_allowance
            self.start_allowance = 0
        self.update()
