"""The broker: assigns the slots of all upstreams to the requests of all VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from gentianfold.fleet.broker_loans import BrokerLoans
from gentianfold.fleet.decision_loop import DecisionLoop
from gentianfold.fleet.held_slots import reconcile_slots
from gentianfold.fleet.home_table import HomeTable
from gentianfold.fleet.lease_table import LeaseTable
from gentianfold.fleet.lender import Lender
from gentianfold.fleet.membership import STRONGER_FACTOR, Member, MemberTable
from gentianfold.fleet.messages import (
    AcquireSlot,
    BrokerAnnouncement,
    CrashReport,
    Heartbeat,
    HeartbeatReply,
    Redirect,
    ReleaseSlot,
    SlotGranted,
    SlotQueued,
    SlotRefused,
    SlotUses,
)
from gentianfold.fleet.process_number import (
    NOT_STATED,
    is_other_process,
    process_number,
)
from gentianfold.fleet.protocol import PROTOCOL
from gentianfold.fleet.relay_plan import RelayPlan
from gentianfold.fleet.store_revision import NO_REVISION
from gentianfold.fleet.succession import find_informed, find_store_reader
from gentianfold.fleet.tunnel_plan import TunnelPlan
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import Queued, Refused, SlotRequest

if TYPE_CHECKING:
    from gentianfold.fleet.lease_table import FleetShares
    from gentianfold.fleet.node_view import NodeView
    from gentianfold.fleet.store_revision import StoreRevision
    from gentianfold.fleet.transport import Transport
    from gentianfold.placement.slot_request import Decision, Granted
    from gentianfold.placement.slot_scheduler import SlotScheduler

ANNOUNCE_INTERVAL_S = 1.0
"""Time between two announcements to possible other brokers (seconds)."""
MAX_SEED_AGE_S = 1e6
"""Longest time without a seed that members are told (seconds)."""
MAX_CHANGE_DATAGRAMS = 4
"""Datagrams of upstream changes sent to one member at a time (count)."""


@attrs.define(eq=False, repr=False)
class Broker:
    """Serves the members of the fleet while this VM is the broker."""

    vm: str
    """Address of this VM."""
    incarnation: int
    """Unix time of this VM's start (milliseconds)."""
    seeds: tuple[str, ...]
    """Addresses that get announcements, to find other brokers."""
    scheduler: SlotScheduler
    """Assigns slots and queues requests."""
    transport: Transport
    """Sends messages to the other VMs."""
    view: NodeView
    """Published configuration and upstreams as this VM knows them."""
    cpu_share: float = 1.0
    """CPU share of this VM (cores)."""
    member_table: MemberTable = attrs.field(factory=MemberTable)
    """Members of the fleet besides this VM."""
    is_first_start: bool = False
    """Whether the system never ran before this process."""
    stated_size: int = 0
    """Size of the largest fleet by the settings (count); 0 if they state none."""
    overshoot: float = 0.0
    """Part of the limits of customers that may be exceeded."""
    homes: HomeTable = attrs.field(init=False)
    """Zones in which the requests of members with older builds may run."""
    leases: LeaseTable = attrs.field(factory=LeaseTable)
    """Shares of fleet-wide limits that the members have lent to this VM."""
    relay_plan: RelayPlan = attrs.field(init=False)
    """Source from which each member fetches a new configuration."""
    loans: BrokerLoans = attrs.field(init=False)
    """Slots and tokens that are lent to the members."""
    decisions: DecisionLoop = attrs.field(init=False)
    """Decides on the slot requests of the members."""
    _processes: dict[str, int] = attrs.field(factory=dict)
    _tunnel_plan: TunnelPlan = attrs.field(factory=TunnelPlan)
    _announced_s: float = -1e9
    _behind_ms: int = 0

    def __attrs_post_init__(self) -> None:
        self.relay_plan = RelayPlan(self.vm)
        self.homes = HomeTable(self.view.routing)
        lender = Lender(self.scheduler.quota, self.cpu_share)
        self.loans = BrokerLoans(self.scheduler, self.transport, lender)
        self.decisions = DecisionLoop(self.scheduler, self.send_decision)

    def start(
        self, known_size: int, lease_now_s: float, seed_seen_s: float = -1e9
    ) -> None:
        """Take the broker role, without members at first.

        Args:
            known_size: Size of the fleet as told by the last broker; 0 if unknown.
            lease_now_s: Time of the clock of the leases (seconds).
            seed_seen_s: When this VM was last in touch with a seed that knows the
                fleet, by the clock of the leases (seconds).
        """
        logger.info("fleet: this VM is the broker now, known_size={}", known_size)
        self.member_table = MemberTable()
        self.leases = LeaseTable(
            self.vm,
            self.seeds,
            max(known_size, self.stated_size),
            lease_now_s,
            seed_seen_s,
            self.is_first_start,
            is_size_stated=self.stated_size > 0,
        )
        self.relay_plan = RelayPlan(self.vm)
        self.loans.lender.clear()
        self.decisions.queue.clear()
        self._processes.clear()
        self._announced_s = -1e9

    def handle_acquire(self, vm: str, message: AcquireSlot, now_s: float) -> None:
        """Handle a request for a slot, which is decided on soon.

        Args:
            vm: Address of the sender.
            message: The request.
            now_s: Event loop time (seconds).
        """
        if self.member_table.is_other_process(vm, message.process):
            return
        if is_other_process(message.process, self._processes.get(vm, NOT_STATED)):
            self._remove_requests(vm)
        self._processes[vm] = message.process
        age_s, zones = message.age_ms / 1000, message.zones
        if zones is None and self.member_table.is_older(vm):
            zones = self.homes.zones(message.route, message.customer)
        request = SlotRequest(
            vm=vm,
            slot_request_id=message.slot_request_id,
            service=message.service,
            route=message.route,
            customer=message.customer,
            priority=message.priority,
            route_priority=message.route_priority,
            idempotent=message.idempotent,
            attempt=message.attempt,
            excluded=message.excluded,
            time_left_s=message.time_left_ms / 1000 - age_s,
            target_left_s=message.target_left_ms / 1000 - age_s,
            zone=message.zone,
            fingerprint=message.fingerprint,
            zones=zones,
        )
        self.loans.count_placement(now_s)
        self.decisions.request_slot(request, now_s)

    def send_decision(
        self, vm: str, slot_request_id: int, decision: Decision | None
    ) -> None:
        """Send a decision, or an acknowledgement, to the VM that requested the slot."""
        process = self._processes.get(vm, NOT_STATED)
        if decision is None or isinstance(decision, Queued):
            queued = SlotQueued(slot_request_id, self._behind_ms, process)
            self.transport.send(vm, queued)
            return
        if isinstance(decision, Refused):
            message = SlotRefused(
                slot_request_id,
                decision.reason,
                int(decision.retry_after_s * 1000),
                decision.ahead,
                self._behind_ms,
                process,
            )
            self.transport.send(vm, message)
            return
        upstream = decision.upstream
        expected_ms = int(decision.expected_s * 1000)
        self.transport.send(
            vm,
            SlotGranted(
                slot_request_id,
                upstream.name,
                upstream.host,
                upstream.port,
                expected_ms,
                decision.reason,
                upstream.start_time_ms,
                self._term_ms(vm, slot_request_id, decision),
                process,
            ),
        )

    def _remove_requests(self, vm: str) -> None:
        """Free the slots of a process that has ended, and remove its requests."""
        self.scheduler.remove_vm(vm)
        self.decisions.queue.remove_vm(vm)

    def _term_ms(self, vm: str, slot_request_id: int, granted: Granted) -> int:
        if self.member_table.is_older(vm):
            return 0
        return self.loans.term_ms(vm, slot_request_id, granted)

    def handle_release(self, vm: str, release: ReleaseSlot, now_s: float) -> None:
        """Free a slot and record the outcome, or withdraw a request that waits.

        An unknown outcome counts as cancelled.
        """
        if self.member_table.is_other_process(vm, release.process):
            return
        if self.decisions.queue.withdraw((vm, release.slot_request_id)):
            return
        try:
            outcome = Outcome(release.outcome)
        except ValueError:
            outcome = Outcome.CANCELLED
        elapsed_s = release.elapsed_ms / 1000
        self.scheduler.release(
            (vm, release.slot_request_id),
            outcome,
            elapsed_s,
            now_s,
            release.transferred_bytes,
            release.rate_limit_per_s,
            release.pause_ms / 1000 if release.pause_ms is not None else None,
        )
        self.decisions.free_slot(now_s)

    def handle_heartbeat(
        self, vm: str, heartbeat: Heartbeat, now_s: float, lease_now_s: float
    ) -> None:
        """Record a heartbeat, reply, and send upstream changes the VM lacks.

        Args:
            vm: Address of the sender.
            heartbeat: The heartbeat.
            now_s: Event loop time (seconds).
            lease_now_s: Time of the clock of the leases (seconds).
        """
        if self.member_table.is_replaced(vm, heartbeat.incarnation):
            return
        member = Member(
            heartbeat.incarnation,
            now_s,
            heartbeat.zone,
            heartbeat.cpu_share,
            heartbeat.link_mbps,
            heartbeat.store_age_ms,
            heartbeat.configuration_version,
            heartbeat.upstreams_revision,
            heartbeat.is_cut_off,
            heartbeat.evacuations.revision if heartbeat.evacuations else None,
            heartbeat.link_used_mbps,
            heartbeat.protocol,
        )
        old = self.member_table.members.get(vm)
        if self.member_table.record_heartbeat(vm, member):
            self.scheduler.remove_vm(vm)
            if old is not None:
                # An earlier process of the VM awaits no decisions.
                self.decisions.queue.remove_vm(vm)
            self._processes[vm] = process_number(heartbeat.incarnation)
            self.leases.join(vm, heartbeat.fleet_size, heartbeat.is_first_start)
            self.loans.lender.remove(vm)
            logger.info(
                "fleet: VM {} joined, {} members, protocol={}",
                vm,
                self.member_count,
                heartbeat.protocol,
            )
        self.leases.record(
            vm, heartbeat.lease_stamp_ms, lease_now_s, heartbeat.fleet_size
        )
        reconcile_slots(self.scheduler, vm, heartbeat, now_s)
        for name, rate_per_s, age_ms in heartbeat.rate_limits:
            stated_s = now_s - age_ms / 1000
            self.scheduler.record_rate_limit(name, rate_per_s, stated_s, now_s)
        for name, start_time_ms, left_ms in heartbeat.pauses:
            until_s = now_s + left_ms / 1000
            self.scheduler.record_pause(name, start_time_ms, vm, until_s)
        if self.scheduler.crashes.merge(heartbeat.crash_records, now_s):
            self.send_crash_records(now_s)
        self._update_relay_plan()
        ask = heartbeat.token_ask
        tokens = self.loans.lender.answer(vm, ask, now_s)
        self._send_heartbeat_reply(vm, now_s, lease_now_s, ask.number, tokens)
        self._send_changes_after(vm, heartbeat.upstreams_revision)
        has_version = heartbeat.configuration_version == self.relay_plan.version
        had_version = (
            old is not None and old.configuration_version == self.relay_plan.version
        )
        if has_version and not had_version:
            # The VM can now serve the configuration to other members of its zone.
            self._offer_configuration(now_s, lease_now_s, heartbeat.zone)

    def handle_announcement(self, vm: str, announcement: BrokerAnnouncement) -> bool:
        """Resolve a conflict between two brokers.

        The broker with more members stays; with equally many, the higher address.

        Returns:
            Whether this VM should hand its members over to the other broker.
        """
        own_rank = (len(self.member_table.members), self.vm)
        if own_rank >= (announcement.member_count, vm):
            self.transport.send(vm, BrokerAnnouncement(len(self.member_table.members)))
            return False
        return True

    def hand_over(self, vm: str, lease_now_s: float) -> None:
        """Redirect all members to another broker, and tell that broker.

        From now on this VM must not use the shares of the members, which may lend them
        again when they are redirected. It frees the slots that it granted to them, as
        they release them to the other broker, and drops their requests that wait: they
        ask that broker.
        """
        logger.info("fleet: VM {} is the broker now", vm)
        leases, self.leases = self.leases, LeaseTable(self.vm)
        self.decisions.queue.clear()
        stamp_ms = int(lease_now_s * 1000)
        for member in {*self.member_table.members, vm}:
            size = leases.told_size(member)
            self.transport.send(member, Redirect(vm, stamp_ms, size))
            self.scheduler.remove_vm(member)

    def send_crash_records(self, now_s: float) -> None:
        """Send the requests under which upstreams crashed to all members."""
        report = CrashReport(tuple(self.scheduler.crashes.report(now_s)))
        for vm in self.member_table.members:
            self.transport.send(vm, report)

    def send_upstream_changes(self, now_s: float) -> None:
        """Send upstream changes to all members without waiting for heartbeats."""
        for vm, member in self.member_table.members.items():
            self._send_changes_after(vm, member.upstreams_revision)

    def distribute_configuration(self, now_s: float, lease_now_s: float) -> None:
        """Start to distribute a new configuration to the members."""
        self._update_relay_plan()
        self._offer_configuration(now_s, lease_now_s)

    def _update_relay_plan(self) -> None:
        self.relay_plan.start_version(self.view.configuration_version)

    def _offer_configuration(
        self, now_s: float, lease_now_s: float, zone: str | None = None
    ) -> None:
        """Send a source to members that lack the configuration.

        Members with fast links come first, as they then serve others of their zone.

        Args:
            now_s: Event loop time (seconds).
            lease_now_s: Time of the clock of the leases (seconds).
            zone: Limits this to members of one zone; ``None`` for all zones.
        """
        members = self.member_table.members
        lacking = [
            vm
            for vm, member in members.items()
            if (zone is None or member.zone == zone)
            and member.configuration_version < self.relay_plan.version
            and not self.relay_plan.is_assigned(vm, now_s)
        ]
        busy_zones = set()
        for vm in sorted(lacking, key=lambda vm: -members[vm].link_mbps):
            if members[vm].zone in busy_zones:
                continue
            if self.relay_plan.source_for(vm, members, now_s):
                self._send_heartbeat_reply(vm, now_s, lease_now_s)
            else:
                busy_zones.add(members[vm].zone)

    def advance(self, now_s: float, own_capacity: float = 0.0) -> str | None:
        """Remove silent members and announce this broker to possible other brokers.

        Args:
            now_s: Event loop time (seconds).
            own_capacity: Capacity of this VM as a broker, in units of the reference VM.

        Returns:
            Member that should take over because it can read the store and this VM
            can't, or knows the upstreams and this VM does not; ``None`` if this VM
            remains the broker.
        """
        for vm in self.member_table.expire(now_s):
            self.scheduler.remove_vm(vm)
            self.loans.lender.remove(vm)
            logger.info("fleet: VM {} timed out, {} members", vm, self.member_count)
        self._behind_ms = int(self.decisions.queue.behind_s(now_s) * 1000)
        self.decisions.log(now_s)
        if now_s - self._announced_s > ANNOUNCE_INTERVAL_S:
            self._announced_s = now_s
            candidates = {*self.seeds, *self.member_table.timed_out()}
            for vm in candidates - {self.vm, *self.member_table.members}:
                self.transport.send(vm, BrokerAnnouncement(self.member_count))
        self.loans.advance(now_s)
        members, age_ms = self.member_table.members, self.view.store_age_ms(now_s)
        successor = find_store_reader(members, age_ms, own_capacity)
        if successor is None and self.view.upstreams.revision == NO_REVISION:
            successor = find_informed(members)
        return successor

    @property
    def member_count(self) -> int:
        """Number of members besides this VM."""
        return len(self.member_table.members)

    def shares(self, own: tuple[float, float], lease_now_s: float) -> FleetShares:
        """Return the parts of fleet-wide limits to use.

        Args:
            own: This VM's own share, and the mature part of that.
            lease_now_s: Time of the clock of the leases (seconds).
        """
        self.leases.seeds, self.leases.overshoot = self.seeds, self.overshoot
        return self.leases.shares(own, lease_now_s)

    def handle_uses(self, vm: str, message: SlotUses, now_s: float) -> None:
        """Record uses of slots that were lent to a member."""
        if self.member_table.is_other_process(vm, message.process):
            return
        self.loans.handle_uses(vm, message, now_s)
        self.decisions.free_slot(now_s)

    def _send_heartbeat_reply(
        self,
        vm: str,
        now_s: float,
        lease_now_s: float,
        token_ask_number: int = 0,
        tokens: tuple[tuple[str, int], ...] = (),
    ) -> None:
        view = self.view
        reply = HeartbeatReply(
            self.incarnation,
            self.member_table.deputies(),
            self.member_count,
            view.configuration_version,
            self.relay_plan.source_for(vm, self.member_table.members, now_s),
            view.published_age_ms(now_s),
            view.upstreams.revision,
            view.upstreams.last_change_revision,
            (),
            tuple(self.scheduler.crashes.report(now_s)),
            tuple(self.view.leaving.report(now_s)),
            int(lease_now_s * 1000),
            self.leases.told_size(vm),
            self._tunnel_plan.choose(vm, self.member_table.members, now_s),
            view.evacuations.report(),
            self._behind_ms,
            int(min(lease_now_s - self.leases.seed_seen_s, MAX_SEED_AGE_S) * 1000),
            token_ask_number,
            tokens,
            PROTOCOL,
            *self.member_table.rank_in_zone(vm),
            process_number(self.member_table.members[vm].incarnation),
        )
        self.transport.send(vm, reply)

    def _send_changes_after(self, vm: str, revision: StoreRevision) -> None:
        upstreams = self.view.upstreams
        for _ in range(MAX_CHANGE_DATAGRAMS):
            if revision >= upstreams.last_change_revision:
                return
            changes = upstreams.changes_after(revision)
            self.transport.send(vm, changes)
            revision = changes.through_revision

    def find_stronger(self, own_capacity: float) -> str | None:
        """Return a much stronger member when the forming of a new fleet ends, once."""
        if not self.leases.ends_forming():
            return None
        for vm in self.member_table.deputies()[:1]:
            capacity = self.member_table.members[vm].capacity
            if capacity >= STRONGER_FACTOR * own_capacity:
                return vm
        return None
