"""A VM as a node of the fleet: gets slots from the broker or assigns them locally."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeAlias

import attrs
from loguru import logger

from gentianfold.clock import BootClock, Clock
from gentianfold.fleet.announced_configuration import AnnouncedConfiguration
from gentianfold.fleet.membership import Membership, Role, capacity_of
from gentianfold.fleet.messages import (
    AcquireSlot,
    BrokerAnnouncement,
    CrashReport,
    Heartbeat,
    HeartbeatReply,
    Message,
    RecallSlots,
    Redirect,
    ReleaseSlot,
    SlotGranted,
    SlotQueued,
    SlotRefused,
    SlotUses,
    TunnelNotice,
    TunnelRequest,
    TunnelToken,
    UpstreamChanges,
    UpstreamCold,
    to_release_slot,
)
from gentianfold.fleet.node_evacuations import NodeEvacuations
from gentianfold.fleet.node_heartbeat import make_heartbeat
from gentianfold.fleet.node_loans import NodeLoans
from gentianfold.fleet.node_notices import NodeNotices
from gentianfold.fleet.node_shares import NodeShares
from gentianfold.fleet.node_upstreams import NodeUpstreams
from gentianfold.fleet.placement_log import PlacementLog
from gentianfold.fleet.process_number import is_other_process, process_number
from gentianfold.fleet.slot_client import SlotClient
from gentianfold.fleet.tunnel_directory import TunnelDirectory
from gentianfold.forwarding.path_state import PathState
from gentianfold.forwarding.placer import Placement
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import Refused, SlotRequest
from gentianfold.placement.warmup_limiter import MAX_SEND_DELAY_S

if TYPE_CHECKING:
    from gentianfold.fleet.broker import Broker
    from gentianfold.fleet.node_view import NodeView
    from gentianfold.fleet.transport import Transport
    from gentianfold.forwarding.upstream_notice import UpstreamNotice
    from gentianfold.placement.slot_scheduler import SlotScheduler

NoticeSender: TypeAlias = Callable[[str, Placement, bool, float | None], None]
"""Gets the VM to tell, the placement, whether the upstream leaves, and its pause (s)."""
TICK_INTERVAL_S = 0.05
"""Time between two calls of ``Node.advance`` (seconds)."""


@attrs.define(eq=False, repr=False)
class Node:
    """Implements ``Placer`` for a VM of a fleet and dispatches received messages."""

    vm: str
    """Address of this VM."""
    zone: str
    """Availability zone of this VM."""
    incarnation: int
    """Unix time of this VM's start (milliseconds)."""
    cpu_share: float
    """CPU share of this VM (cores)."""
    link_mbps: float
    """Bandwidth of this VM's network link (megabits per second)."""
    scheduler: SlotScheduler
    """Assigns slots: for all VMs as broker, for this VM without a broker."""
    membership: Membership
    """Role of this VM and the broker that it uses."""
    broker: Broker
    """Serves the other VMs while this VM is the broker."""
    transport: Transport
    """Sends messages to other VMs."""
    view: NodeView
    """Published configuration and upstreams as this VM knows them."""
    announced: AnnouncedConfiguration = attrs.field(factory=AnnouncedConfiguration)
    """Newest configuration version that brokers have announced."""
    fleet_size: int = 1
    """VMs of the fleet, this one included, by the broker's last heartbeat reply."""
    process_started_s: float | None = None
    """Start of the process (clock of the leases, seconds); ``None`` for now."""
    started_s: float = 0.0
    """Start of the VM (event loop time, seconds)."""
    is_stopping: bool = False
    """Whether a planned stop has begun."""
    lease_clock: Clock = attrs.field(factory=BootClock)
    """Clock of the leases of shares; advances while the VM is suspended."""
    tunnels: TunnelDirectory = attrs.field(factory=TunnelDirectory)
    """VMs through which this VM reaches upstreams while it is cut off from them."""
    paths: PathState = attrs.field(factory=PathState)
    """Whether this VM is cut off from the upstreams."""
    on_tunnel_token: Callable[[str], None] = lambda _: None
    """Called with the address of a VM that has sent a token."""
    pass_notice: NoticeSender = lambda *_: None
    """Called to tell another VM what the upstream behind its tunnel stated."""
    _placement_log: PlacementLog = attrs.field(factory=PlacementLog)
    slots: SlotClient = attrs.field(init=False)
    """Obtains the slots of this VM's requests."""
    shares: NodeShares = attrs.field(init=False)
    """Parts of fleet-wide limits that this VM may use."""
    loans: NodeLoans = attrs.field(init=False)
    """Slots and tokens that the broker has lent to this VM."""
    notices: NodeNotices = attrs.field(init=False)
    """What upstreams state about themselves."""
    upstreams: NodeUpstreams = attrs.field(init=False)
    """The list of upstreams."""
    evacuations: NodeEvacuations = attrs.field(init=False)
    """Zones to which nothing may be sent."""

    def __attrs_post_init__(self) -> None:
        process = process_number(self.incarnation)
        self.shares = NodeShares(
            self.membership, self.broker, self.scheduler, self.lease_clock, self._now_s
        )
        self.loans = NodeLoans(
            self.scheduler,
            self.membership,
            self.transport,
            self.lease_clock,
            self.is_withdrawn,
            self._now_s,
            process,
        )
        self.shares.start(self.broker.is_first_start, self.process_started_s)
        self.slots = SlotClient(
            self.vm,
            self.scheduler,
            self.membership,
            self.transport,
            self.is_withdrawn,
            self.lease_clock,
            self.loans,
            process=process,
        )
        self.upstreams = NodeUpstreams(
            self.view,
            self.scheduler,
            self.membership,
            self.broker,
            self._placement_log,
            on_applied=lambda now_s: self.notices.apply_pauses(now_s),
        )
        self.notices = NodeNotices(
            self.vm,
            self.view,
            self.scheduler,
            self.upstreams.apply,
            self.membership,
            self.transport,
        )
        self.evacuations = NodeEvacuations(
            self.view, self.scheduler, self.upstreams.apply, self._now_s
        )
        self.broker.decisions.deliver = self._deliver_decisions

    # Placer

    def next_slot_request_id(self) -> int:
        """Return an identifier for a slot request, unique on this VM."""
        return self.slots.next_slot_request_id()

    async def place(self, request: SlotRequest) -> Placement | Refused:
        """Wait for a slot; assign one locally if the broker does not answer."""
        self.shares.refresh()
        return await self.slots.place(request)

    def release(
        self,
        placement: Placement,
        outcome: Outcome,
        elapsed_s: float,
        transferred_bytes: int = 0,
        rate_limit_per_s: float | None = None,
        pause_s: float | None = None,
    ) -> None:
        """Free the slot and report the outcome of the attempt."""
        now_s = self._now_s()
        slot_request_id = placement.slot_request_id
        key = (self.vm, slot_request_id)
        stated = (transferred_bytes, rate_limit_per_s, pause_s)
        self.scheduler.release(key, outcome, elapsed_s, now_s, *stated)
        broker = self.slots.end_grant(slot_request_id)
        if self.loans.release(placement, outcome, elapsed_s, *stated):
            self._deliver_decisions(now_s)
            return
        message = to_release_slot(
            slot_request_id, outcome, elapsed_s, *stated, self.slots.process
        )
        if self.membership.role is Role.MEMBER and self.membership.broker:
            # A broker that does not know the slot ignores the message.
            self.transport.send(self.membership.broker, message)
        elif broker and broker != self.vm:
            self.transport.send(broker, message)
        self._deliver_decisions(now_s)

    def record_notice(
        self, placement: Placement, notice: UpstreamNotice, via: str = ""
    ) -> None:
        """Record what the upstream of a placement states about itself.

        Args:
            placement: The granted slot.
            notice: What the upstream states.
            via: VM through which the response came, which is told; empty for this one.
        """
        name, start_time_ms = placement.upstream, placement.start_time_ms
        if via:
            self.pass_notice(via, placement, notice.is_leaving, notice.pause_s)
        self.notices.record(
            "answer",
            name,
            start_time_ms,
            notice.is_leaving,
            notice.pause_s,
            self._now_s(),
        )
        if notice.warmup_s > 0:
            self.notices.record_cold(
                "answer", name, start_time_ms, notice.warmup_s, self._now_s()
            )

    def may_carry(self, upstream: str, start_time_ms: int) -> bool:
        """Tell whether this VM opens tunnels to a start of an upstream for others."""
        return (
            not self.is_stopping
            and not self.paths.is_cut_off
            and self._takes_requests(upstream, start_time_ms)
        )

    def is_withdrawn(self, placement: Placement) -> bool:
        """Tell whether the grant may no longer be used.

        The upstream may have refused further requests since, or be cold under a bound:
        grants that are used late add up with those of the broker. A broker of an older
        build grants them without a bound.
        """
        name, now_s = placement.upstream, self._now_s()
        tracker = self.scheduler.tracker(name)
        is_bounded = tracker is not None and tracker.warmup.is_bounded(now_s)
        age_s = self.lease_clock.now_s() - placement.granted_at_s
        is_late = age_s > MAX_SEND_DELAY_S
        is_uncounted = is_late or self.membership.is_older_broker(placement.granted_by)
        return (
            (is_bounded and is_uncounted)
            or not self.view.is_within(name, placement.zones)
            or not self._takes_requests(name, placement.start_time_ms)
        )

    def _takes_requests(self, name: str, start_time_ms: int) -> bool:
        return self.view.is_usable(
            name, start_time_ms
        ) and not self.notices.pauses.is_paused(name, start_time_ms, self._now_s())

    def share_crashes(self) -> None:
        """Tell the other VMs of a changed request under which upstreams crashed."""
        if self.membership.role is Role.BROKER:
            self.broker.send_crash_records(self._now_s())
        else:
            self.membership.expedite_heartbeat(self._now_s())

    # Messages

    def receive(self, vm: str, message: Message) -> None:
        """Handle a message from the VM at address ``vm``."""
        self.shares.refresh()
        now_s = self._now_s()
        is_broker = self.membership.role is Role.BROKER
        match message:
            case AcquireSlot():
                if is_broker:
                    self.broker.handle_acquire(vm, message, now_s)
                elif self.membership.has_live_broker(now_s) and self.membership.broker:
                    self.transport.send(vm, Redirect(self.membership.broker))
            case ReleaseSlot():
                if is_broker:
                    self.broker.handle_release(vm, message, now_s)
            case SlotUses():
                if is_broker:
                    self.broker.handle_uses(vm, message, now_s)
            case RecallSlots():
                self.loans.recall(vm, message)
            case SlotGranted() | SlotRefused() | SlotQueued():
                self.membership.record_answer(vm, now_s)
                self.slots.handle_reply(vm, message, now_s)
            case Heartbeat():
                self._handle_heartbeat(vm, message, now_s)
            case HeartbeatReply():
                self._handle_heartbeat_reply(vm, message, now_s)
            case UpstreamChanges():
                if not is_broker:
                    self.upstreams.merge(message, now_s)
            case CrashReport():
                self.scheduler.crashes.merge(message.crash_records, now_s)
            case UpstreamCold():
                self.notices.handle_cold(vm, message, now_s)
            case TunnelRequest():
                token = self.tunnels.give_token(vm, now_s)
                self.transport.send(vm, TunnelToken(token))
            case TunnelToken():
                self.tunnels.record_token(vm, message.token, now_s)
                self.on_tunnel_token(vm)
            case TunnelNotice():
                self.notices.handle_tunnel_notice(vm, message, now_s)
            case Redirect():
                self._handle_redirect(vm, message, now_s)
            case BrokerAnnouncement():
                self._handle_announcement(vm, message, now_s)

    def _handle_heartbeat(self, vm: str, heartbeat: Heartbeat, now_s: float) -> None:
        membership = self.membership
        if self.is_stopping or vm == self.vm:
            return
        if membership.role is not Role.BROKER:
            redirect_target = membership.redirect_target(now_s)
            if redirect_target is not None:
                if redirect_target != vm:
                    self.transport.send(vm, Redirect(redirect_target))
                return
            membership.become_broker()
            self.shares.start_as_broker()
        self.notices.merge_leaving(vm, heartbeat.leaving, now_s)
        self.evacuations.merge(vm, heartbeat.evacuations)
        lease_now_s = self.lease_clock.now_s()
        self.broker.handle_heartbeat(vm, heartbeat, now_s, lease_now_s)
        # A broker that started while the store held an older copy knows less.
        self.announced.record(
            heartbeat.configuration_version, vm, self.view.configuration_version, vm
        )

    def _handle_heartbeat_reply(
        self, vm: str, reply: HeartbeatReply, now_s: float
    ) -> None:
        if is_other_process(reply.process, self.slots.process):
            # It lends shares and tokens to an earlier process of this VM.
            return
        previous_role = self.membership.role
        self.membership.handle_reply(vm, reply.deputies, now_s, reply.protocol)
        if self.membership.role is not Role.MEMBER or vm != self.membership.broker:
            return
        if previous_role is not Role.MEMBER:
            logger.info("fleet: joined broker {}, protocol={}", vm, reply.protocol)
        self.fleet_size = reply.member_count + 1
        self.tunnels.candidates = reply.tunnel_vms
        self.loans.tokens.receive(vm, reply.token_ask_number, reply.tokens)
        self.slots.pace.record_behind(reply.behind_ms / 1000, now_s)
        if self.shares.lend(vm, self.zone, reply):
            # The lease begins when the broker gets its stamp back.
            self.membership.expedite_heartbeat(now_s)
        self.scheduler.crashes.merge(reply.crash_records, now_s)
        self.notices.merge_leaving(vm, reply.leaving, now_s)
        self.evacuations.handle_reply(vm, reply)
        self.announced.record(
            reply.configuration_version,
            reply.configuration_source,
            self.view.configuration_version,
            vm,
        )
        self.upstreams.handle_reply(reply, now_s)

    def _handle_redirect(self, vm: str, redirect: Redirect, now_s: float) -> None:
        self.shares.end_lease(vm, redirect.lease_stamp_ms, redirect.fleet_size)
        if self.is_stopping:
            return
        was_broker = self.membership.role is Role.BROKER
        is_broker = self.membership.handle_redirect(vm, redirect.broker, now_s)
        if is_broker and not was_broker:
            self.shares.start_as_broker()
        elif was_broker and redirect.broker != self.vm:
            # Another broker, which may know neither this VM nor that it has members.
            announcement = BrokerAnnouncement(self.broker.member_count)
            self.transport.send(redirect.broker, announcement)

    def _handle_announcement(
        self, vm: str, announcement: BrokerAnnouncement, now_s: float
    ) -> None:
        membership = self.membership
        if membership.role is Role.BROKER:
            if self.broker.handle_announcement(vm, announcement):
                self._hand_over(vm)
        elif membership.has_live_broker(now_s) and membership.broker not in (None, vm):
            self.transport.send(vm, Redirect(str(membership.broker)))
        elif not membership.has_live_broker(now_s):
            membership.follow(vm)

    # Periodic work

    def advance(self) -> None:
        """Send a due heartbeat, do the duties of a broker, and deliver new decisions."""
        now_s = self._now_s()
        self.slots.observe_pause()
        previous_role = self.membership.role
        target = None
        if not self.is_stopping:
            target = self.membership.next_heartbeat_target(now_s)
        is_broker = self.membership.role is Role.BROKER
        self.scheduler.crashes.grants_trials = is_broker
        if is_broker:
            if previous_role is not Role.BROKER:
                self.shares.start_as_broker()
            capacity = capacity_of(self.cpu_share, self.link_mbps)
            successor = self.broker.advance(now_s, capacity)
            successor = successor or self.broker.find_stronger(capacity)
            if successor is not None:
                self._hand_over(successor)
        elif previous_role is Role.MEMBER and self.membership.role is Role.ALONE:
            logger.warning("fleet: lost the broker, assigning slots locally")
        self.shares.update()
        self.loans.advance()
        if target is not None:
            self.transport.send(target, self._make_heartbeat(now_s))
        self.upstreams.advance(now_s)
        self.evacuations.advance()
        self.scheduler.observe_running(now_s)
        self._placement_log.log_placement(self.scheduler, now_s)
        self._deliver_decisions(now_s)

    def apply_configuration(self) -> None:
        """Apply the rate limits of a new configuration and distribute its version."""
        configuration = self.view.routing.configuration
        if configuration is not None:
            logger.info(
                "configuration: version {} in force, {} routes, {} customers",
                configuration.version,
                len(configuration.routes),
                len(configuration.customers),
            )
            self.scheduler.quota.replace_customers(configuration.customers)
            self.scheduler.warmups.warmups = configuration.warmups
        now_s = self._now_s()
        if self.membership.role is Role.BROKER:
            self.broker.distribute_configuration(now_s, self.lease_clock.now_s())
        elif self.membership.has_live_broker(now_s) and self.membership.broker:
            # From now on the broker may use this VM as a source for its zone.
            self.transport.send(self.membership.broker, self._make_heartbeat(now_s))

    def record_suspension(self, suspended_s: float) -> None:
        """Age all recorded times by a suspension of this VM.

        The event loop's clock stands still during a suspension, so state would look
        fresher than it is.

        Args:
            suspended_s: Length of the suspension (seconds).
        """
        logger.warning("vm: was suspended for {:.1f} s", suspended_s)
        self.membership.last_reply_s -= suspended_s
        self.view.record_suspension(suspended_s)
        self.notices.pauses.age(suspended_s)
        self.scheduler.crashes.age(suspended_s)
        self.membership.expedite_heartbeat(self._now_s())

    def begin_stop(self) -> None:
        """Begin a planned stop; a broker hands its role over to a deputy."""
        self.is_stopping = True
        deputies = self.broker.member_table.deputies()
        if self.membership.role is Role.BROKER and deputies:
            self._hand_over(deputies[0])

    def _hand_over(self, vm: str) -> None:
        """Make another VM the broker, and use only this VM's own share from now on."""
        self.shares.start_hand_over()
        self.membership.follow(vm)
        self.shares.update()
        self.broker.hand_over(vm, self.lease_clock.now_s())

    def _deliver_decisions(self, now_s: float) -> None:
        """Pass decisions on queued requests to other VMs and to local callers."""
        self.shares.refresh()
        for (vm, slot_request_id), decision in list(self.scheduler.advance(now_s)):
            if vm != self.vm:
                self.broker.send_decision(vm, slot_request_id, decision)
                continue
            self.slots.resolve(slot_request_id, decision)

    def _make_heartbeat(self, now_s: float) -> Heartbeat:
        return make_heartbeat(self, now_s)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()
