"""The broker: one queue and one slot table for the requests of all VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from gentianfold.fleet.membership import Member, MemberTable
from gentianfold.fleet.messages import (
    AcquireSlot,
    BrokerAnnouncement,
    Heartbeat,
    HeartbeatReply,
    Redirect,
    ReleaseSlot,
    SlotGranted,
    SlotQueued,
    SlotRefused,
)
from gentianfold.fleet.relay_plan import RelayPlan
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import Granted, Refused, SlotRequest

if TYPE_CHECKING:
    from gentianfold.fleet.node_view import NodeView
    from gentianfold.fleet.transport import Transport
    from gentianfold.placement.slot_scheduler import SlotScheduler

GRANT_IN_FLIGHT_S = 0.3
"""Age below which a grant may be missing in a heartbeat (seconds): the heartbeat may
have crossed it on the way."""
ANNOUNCE_INTERVAL_S = 1.0
"""Time between the messages by which a broker looks for other brokers (seconds)."""
STALE_STORE_READ_S = 1.2
"""Age of the broker's view after which a VM that reads the store takes over
(seconds); leaves time to put a change into force within the bound of both sites."""
FRESH_STORE_READ_S = 0.8
"""Age of a VM's own view below which it may take over (seconds)."""
MAX_CHANGE_DATAGRAMS = 4
"""Datagrams of upstreams that one heartbeat brings (count)."""


@attrs.define(eq=False)
class Broker:
    """Serves the VMs that follow this one."""

    vm: str
    """Address of this VM."""
    incarnation: int
    """Unix time of its start (milliseconds)."""
    seeds: tuple[str, ...]
    """Addresses at which other brokers may be found."""
    scheduler: SlotScheduler
    """Places the requests."""
    transport: Transport
    """Sends to the other VMs."""
    view: NodeView
    """What this VM knows of the published state."""
    member_table: MemberTable = attrs.field(factory=MemberTable)
    """The members."""
    relay_plan: RelayPlan = attrs.field(init=False)
    """Where members take a new configuration."""
    _announced_s: float = -1e9

    def __attrs_post_init__(self) -> None:
        self.relay_plan = RelayPlan(self.vm)

    def start(self) -> None:
        """Begin as a broker without members."""
        logger.info("fleet: this VM is the broker now")
        self.member_table = MemberTable()
        self.relay_plan = RelayPlan(self.vm)
        self._announced_s = -1e9

    def handle_acquire(self, vm: str, message: AcquireSlot, now_s: float) -> None:
        """Answer a request for a slot."""
        request = SlotRequest(
            vm=vm,
            number=message.number,
            service=message.service,
            route=message.route,
            customer=message.customer,
            priority=message.priority,
            route_priority=message.route_priority,
            idempotent=message.idempotent,
            attempt=message.attempt,
            excluded=message.excluded,
            time_left_s=message.time_left_ms / 1000,
            target_left_s=message.target_left_ms / 1000,
            zone=message.zone,
        )
        decision = self.scheduler.request_slot(request, now_s)
        if isinstance(decision, Granted | Refused):
            self.send_decision(vm, message.number, decision)
        else:
            self.transport.send(vm, SlotQueued(message.number))

    def send_decision(self, vm: str, number: int, decision: Granted | Refused) -> None:
        """Send a grant or a refusal."""
        if isinstance(decision, Refused):
            retry_after_ms = int(decision.retry_after_s * 1000)
            message = SlotRefused(
                number, decision.reason, retry_after_ms, decision.ahead
            )
            self.transport.send(vm, message)
            return
        upstream = decision.upstream
        expected_ms = int(decision.expected_s * 1000)
        self.transport.send(
            vm,
            SlotGranted(
                number,
                upstream.name,
                upstream.host,
                upstream.port,
                expected_ms,
                decision.reason,
            ),
        )

    def handle_release(self, vm: str, release: ReleaseSlot, now_s: float) -> None:
        """Free a slot."""
        try:
            outcome = Outcome(release.outcome)
        except ValueError:
            outcome = Outcome.CANCELLED
        elapsed_s = release.elapsed_ms / 1000
        self.scheduler.release((vm, release.number), outcome, elapsed_s, now_s)

    def handle_heartbeat(self, vm: str, heartbeat: Heartbeat, now_s: float) -> None:
        """Take a heartbeat and answer it with what the VM lacks."""
        member = Member(
            heartbeat.incarnation,
            now_s,
            heartbeat.zone,
            heartbeat.cpu_share,
            heartbeat.link_mbps,
            heartbeat.store_age_ms,
            heartbeat.configuration_version,
            heartbeat.upstreams_revision,
        )
        if self.member_table.record_heartbeat(vm, member):
            self.scheduler.drop_vm(vm)
            logger.info(
                "fleet: VM {} joins, {} members", vm, len(self.member_table.members)
            )
        self._reconcile(vm, heartbeat, now_s)
        self._update_relay_plan()
        self.transport.send(vm, self._make_heartbeat_reply(vm, now_s))
        self._send_changes_after(vm, heartbeat.upstreams_revision)
        if heartbeat.configuration_version == self.relay_plan.version:
            self._offer_configuration(now_s, heartbeat.zone)

    def handle_announcement(
        self, vm: str, announcement: BrokerAnnouncement, now_s: float
    ) -> bool:
        """Compare fleets with another broker; tell whether this one gives way."""
        own_rank = (len(self.member_table.members), self.vm)
        if own_rank >= (announcement.member_count, vm):
            self.transport.send(vm, BrokerAnnouncement(len(self.member_table.members)))
            return False
        self.hand_over(vm)
        return True

    def hand_over(self, vm: str) -> None:
        """Send all members to another broker."""
        logger.info("fleet: VM {} is the broker now", vm)
        for member in {*self.member_table.members, vm}:
            self.transport.send(member, Redirect(vm))

    def hand_over_to_deputy(self) -> None:
        """Hand over to a deputy on a planned stop."""
        deputies = self.member_table.deputies()
        if deputies:
            self.hand_over(deputies[0])

    def send_upstream_changes(self, now_s: float) -> None:
        """Tell all members at once that upstreams have changed."""
        for vm, member in self.member_table.members.items():
            self._send_changes_after(vm, member.upstreams_revision)

    def distribute_configuration(self, now_s: float) -> None:
        """Begin to spread a new configuration."""
        self._update_relay_plan()
        self._offer_configuration(now_s)

    def _update_relay_plan(self) -> None:
        self.relay_plan.start_version(self.view.configuration_version)

    def _offer_configuration(self, now_s: float, zone: str | None = None) -> None:
        """Tell members that lack the configuration where to take it."""
        members = self.member_table.members
        best_first = sorted(members, key=lambda vm: -members[vm].link_mbps)
        for vm in best_first:
            if zone is not None and members[vm].zone != zone:
                continue
            if self.relay_plan.source_for(vm, members, now_s):
                self.transport.send(vm, self._make_heartbeat_reply(vm, now_s))

    def advance(self, now_s: float) -> str | None:
        """Expire members and look for other brokers.

        Returns:
            A VM that should be the broker instead, since it reads the store.
        """
        for vm in self.member_table.expire(now_s):
            self.scheduler.drop_vm(vm)
            logger.info("fleet: VM {} is silent, {} members", vm, self.member_count)
        self.scheduler.quota.share = self.member_table.fleet_share(now_s)
        if now_s - self._announced_s > ANNOUNCE_INTERVAL_S:
            self._announced_s = now_s
            candidates = {*self.seeds, *self.member_table.departed()}
            for vm in candidates - {self.vm, *self.member_table.members}:
                self.transport.send(vm, BrokerAnnouncement(self.member_count))
        return self._find_store_reader(now_s)

    @property
    def member_count(self) -> int:
        """Members besides this VM."""
        return len(self.member_table.members)

    def _make_heartbeat_reply(self, vm: str, now_s: float) -> HeartbeatReply:
        view = self.view
        return HeartbeatReply(
            self.incarnation,
            self.member_table.deputies(),
            self.member_count,
            view.configuration_version,
            self.relay_plan.source_for(vm, self.member_table.members, now_s),
            view.store_age_ms(now_s),
            view.upstreams.revision,
            view.upstreams.last_change_revision,
            tuple(self.scheduler.quota.customers_near_limit()),
        )

    def _send_changes_after(self, vm: str, revision: int) -> None:
        upstreams = self.view.upstreams
        for _ in range(MAX_CHANGE_DATAGRAMS):
            if revision >= upstreams.last_change_revision:
                return
            changes = upstreams.changes_after(revision)
            self.transport.send(vm, changes)
            revision = changes.through_revision

    def _reconcile(self, vm: str, heartbeat: Heartbeat, now_s: float) -> None:
        """Bring the slots of a VM in line with what it holds."""
        numbers = frozenset(number for number, *_ in heartbeat.held_slots)
        self.scheduler.release_unlisted(vm, numbers, now_s - GRANT_IN_FLIGHT_S)
        for number, upstream_name, route, customer in heartbeat.held_slots:
            row = self.scheduler.row(upstream_name)
            if row is not None:
                request = held_request(
                    vm, number, row.upstream.service, route, customer, heartbeat.zone
                )
                self.scheduler.adopt(request, upstream_name, now_s)

    def _find_store_reader(self, now_s: float) -> str | None:
        """Return a member that reads the store while this VM can't."""
        age_ms = self.view.store_age_ms(now_s)
        if 0 <= age_ms < STALE_STORE_READ_S * 1000:
            return None
        readers = [
            (member.store_age_ms, vm)
            for vm, member in self.member_table.members.items()
            if 0 <= member.store_age_ms < FRESH_STORE_READ_S * 1000
        ]
        return min(readers)[1] if readers else None


def held_request(
    vm: str, number: int, service: str, route: str, customer: str, zone: str
) -> SlotRequest:
    """Return a request that stands for a slot which is already held."""
    return SlotRequest(
        vm=vm,
        number=number,
        service=service,
        route=route,
        customer=customer,
        priority=0,
        route_priority=0,
        idempotent=False,
        attempt=1,
        excluded=(),
        time_left_s=0.0,
        target_left_s=0.0,
        zone=zone,
    )
