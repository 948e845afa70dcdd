"""The broker: one queue and one slot table for the requests of all VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from gentianfold.fleet.membership import Member, MemberTable
from gentianfold.fleet.messages import (
    Ask,
    Beat,
    BeatReply,
    Claim,
    Grant,
    Redirect,
    Refuse,
    Release,
    Wait,
)
from gentianfold.fleet.relay_plan import RelayPlan
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import Granted, Refused, SlotRequest

if TYPE_CHECKING:
    from gentianfold.fleet.node_view import NodeView
    from gentianfold.fleet.transport import Transport
    from gentianfold.placement.slot_scheduler import SlotScheduler

BEAT_LAG_S = 0.3
"""Age below which a grant may be missing in a heartbeat (seconds): the heartbeat may
have crossed it on the way."""
CLAIM_INTERVAL_S = 1.0
"""Time between the messages by which a broker looks for other brokers (seconds)."""
STORE_LOST_S = 1.2
"""Age of the broker's view after which a VM that reads the store takes over
(seconds); leaves time to put a change into force within the bound of both sites."""
STORE_FRESH_S = 0.8
"""Age of a VM's own view below which it may take over (seconds)."""
MAX_SEND_ROUNDS = 4
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
    table: MemberTable = attrs.field(factory=MemberTable)
    """The members."""
    plan: RelayPlan = attrs.field(init=False)
    """Where members take a new configuration."""
    _claimed_s: float = -1e9

    def __attrs_post_init__(self) -> None:
        self.plan = RelayPlan(self.vm)

    def start(self) -> None:
        """Begin as a broker without members."""
        logger.info("fleet: this VM is the broker now")
        self.table = MemberTable()
        self.plan = RelayPlan(self.vm)
        self._claimed_s = -1e9

    def hear_ask(self, vm: str, ask: Ask, now_s: float) -> None:
        """Answer a request for a slot."""
        request = SlotRequest(
            vm=vm,
            number=ask.number,
            service=ask.service,
            route=ask.route,
            customer=ask.customer,
            priority=ask.priority,
            route_priority=ask.route_priority,
            idempotent=ask.idempotent,
            attempt=ask.attempt,
            excluded=ask.excluded,
            time_left_s=ask.time_left_ms / 1000,
            target_left_s=ask.target_left_ms / 1000,
            zone=ask.zone,
        )
        decision = self.scheduler.request_slot(request, now_s)
        if isinstance(decision, Granted | Refused):
            self.send_decision(vm, ask.number, decision)
        else:
            self.transport.send(vm, Wait(ask.number))

    def send_decision(self, vm: str, number: int, decision: Granted | Refused) -> None:
        """Send a grant or a refusal."""
        if isinstance(decision, Refused):
            retry_after_ms = int(decision.retry_after_s * 1000)
            refuse = Refuse(number, decision.reason, retry_after_ms, decision.ahead)
            self.transport.send(vm, refuse)
            return
        upstream = decision.upstream
        expected_ms = int(decision.expected_s * 1000)
        self.transport.send(
            vm,
            Grant(
                number,
                upstream.name,
                upstream.host,
                upstream.port,
                expected_ms,
                decision.reason,
            ),
        )

    def hear_release(self, vm: str, release: Release, now_s: float) -> None:
        """Free a slot."""
        try:
            outcome = Outcome(release.outcome)
        except ValueError:
            outcome = Outcome.CANCELLED
        elapsed_s = release.elapsed_ms / 1000
        self.scheduler.release((vm, release.number), outcome, elapsed_s, now_s)

    def hear_beat(self, vm: str, beat: Beat, now_s: float) -> None:
        """Take a heartbeat and answer it with what the VM lacks."""
        member = Member(
            beat.incarnation,
            now_s,
            beat.zone,
            beat.cpu_share,
            beat.link_mbps,
            beat.store_age_ms,
            beat.configuration,
            beat.upstreams_revision,
        )
        if self.table.hear(vm, member):
            self.scheduler.drop_vm(vm)
            logger.info("fleet: VM {} joins, {} members", vm, len(self.table.members))
        self._reconcile(vm, beat, now_s)
        self._begin_spread()
        self.transport.send(vm, self._reply(vm, now_s))
        self._send_upstreams(vm, beat.upstreams_revision)
        if beat.configuration == self.plan.version:
            self._spread(now_s, beat.zone)

    def hear_claim(self, vm: str, claim: Claim, now_s: float) -> bool:
        """Compare fleets with another broker; tell whether this one gives way."""
        mine = (len(self.table.members), self.vm)
        if mine >= (claim.member_count, vm):
            self.transport.send(vm, Claim(len(self.table.members)))
            return False
        self.hand_over(vm)
        return True

    def hand_over(self, vm: str) -> None:
        """Send all members to another broker."""
        logger.info("fleet: VM {} is the broker now", vm)
        for member in {*self.table.members, vm}:
            self.transport.send(member, Redirect(vm))

    def hand_over_to_deputy(self) -> None:
        """Hand over to a deputy on a planned stop."""
        deputies = self.table.deputies()
        if deputies:
            self.hand_over(deputies[0])

    def announce(self, now_s: float) -> None:
        """Tell all members at once that upstreams have changed."""
        for vm, member in self.table.members.items():
            self._send_upstreams(vm, member.upstreams_revision)

    def announce_configuration(self, now_s: float) -> None:
        """Begin to spread a new configuration."""
        self._begin_spread()
        self._spread(now_s)

    def _begin_spread(self) -> None:
        self.plan.begin(self.view.configuration_version)

    def _spread(self, now_s: float, zone: str | None = None) -> None:
        """Tell members that lack the configuration where to take it."""
        members = self.table.members
        best_first = sorted(members, key=lambda vm: -members[vm].link_mbps)
        for vm in best_first:
            if zone is not None and members[vm].zone != zone:
                continue
            if self.plan.source_for(vm, members, now_s):
                self.transport.send(vm, self._reply(vm, now_s))

    def advance(self, now_s: float) -> str | None:
        """Expire members and look for other brokers.

        Returns:
            A VM that should be the broker instead, since it reads the store.
        """
        for vm in self.table.expire(now_s):
            self.scheduler.drop_vm(vm)
            logger.info("fleet: VM {} is silent, {} members", vm, self.member_count)
        self.scheduler.quota.share = self.table.fleet_share(now_s)
        if now_s - self._claimed_s > CLAIM_INTERVAL_S:
            self._claimed_s = now_s
            strangers = {*self.seeds, *self.table.departed()}
            for vm in strangers - {self.vm, *self.table.members}:
                self.transport.send(vm, Claim(self.member_count))
        return self._better_reader(now_s)

    @property
    def member_count(self) -> int:
        """Members besides this VM."""
        return len(self.table.members)

    def _reply(self, vm: str, now_s: float) -> BeatReply:
        view = self.view
        return BeatReply(
            self.incarnation,
            self.table.deputies(),
            self.member_count,
            view.configuration_version,
            self.plan.source_for(vm, self.table.members, now_s),
            view.store_age_ms(now_s),
            view.upstreams.revision,
            view.upstreams.changed_revision,
            tuple(self.scheduler.quota.customers_near_limit()),
        )

    def _send_upstreams(self, vm: str, revision: int) -> None:
        upstreams = self.view.upstreams
        for _ in range(MAX_SEND_ROUNDS):
            if revision >= upstreams.changed_revision:
                return
            changes = upstreams.changes_after(revision)
            self.transport.send(vm, changes)
            revision = changes.upto_revision

    def _reconcile(self, vm: str, beat: Beat, now_s: float) -> None:
        """Bring the slots of a VM in line with what it holds."""
        numbers = frozenset(number for number, *_ in beat.held)
        self.scheduler.release_unlisted(vm, numbers, now_s - BEAT_LAG_S)
        for number, upstream_name, route, customer in beat.held:
            row = self.scheduler.row(upstream_name)
            if row is not None:
                request = held_request(
                    vm, number, row.upstream.service, route, customer, beat.zone
                )
                self.scheduler.adopt(request, upstream_name, now_s)

    def _better_reader(self, now_s: float) -> str | None:
        """Return a member that reads the store while this VM can't."""
        age_ms = self.view.store_age_ms(now_s)
        if 0 <= age_ms < STORE_LOST_S * 1000:
            return None
        readers = [
            (member.store_age_ms, vm)
            for vm, member in self.table.members.items()
            if 0 <= member.store_age_ms < STORE_FRESH_S * 1000
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
