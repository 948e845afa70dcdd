"""One VM of the fleet: places its requests through a broker, or by itself."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger

from gentianfold.fleet.belief_log import BeliefLog
from gentianfold.fleet.membership import Membership, Role
from gentianfold.fleet.messages import (
    Ask,
    Beat,
    BeatReply,
    Claim,
    Grant,
    Message,
    Redirect,
    Refuse,
    Release,
    Upstreams,
    Wait,
)
from gentianfold.forwarding.placer import Placement
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import (
    Granted,
    GrantReason,
    RefusalReason,
    Refused,
    SlotRequest,
)

if TYPE_CHECKING:
    from gentianfold.fleet.broker import Broker
    from gentianfold.fleet.node_view import NodeView
    from gentianfold.fleet.transport import Transport
    from gentianfold.placement.slot_scheduler import SlotScheduler

ASK_REPEAT_S = 0.05
"""Time until an unanswered question is repeated (seconds): more than ten round trips
between zones."""
MAX_ASKS = 3
"""Unanswered questions after which the VM decides by itself (count)."""
WAIT_REPEAT_S = 0.25
"""Time between questions about a request that waits (seconds)."""
TICK_INTERVAL_S = 0.05
"""Time between the steps of the fleet's systems (seconds)."""
LATE_S = 0.5
"""How long a wait may last past its request's time (seconds), in case an answer was
lost; ends what nothing else ended."""

_Answer = Placement | Refused


@attrs.define(eq=False)
class _Question:
    """A request that waits for an answer of the broker or of the own scheduler."""

    request: SlotRequest
    answered: asyncio.Future[_Answer]
    heard: bool = False
    """Whether the broker has confirmed it."""


@attrs.define(eq=False)
class Node:
    """Implements ``Placer`` over the fleet."""

    vm: str
    """Address of this VM."""
    zone: str
    """Availability zone of this VM."""
    incarnation: int
    """Unix time of its start (milliseconds)."""
    cpu_share: float
    """Its part of a core."""
    link_mbps: float
    """Bandwidth of its network link (megabits per second)."""
    scheduler: SlotScheduler
    """Places the requests of this VM when alone, and of all as broker."""
    membership: Membership
    """Which broker is followed."""
    broker: Broker
    """Serves others while this VM is the broker."""
    transport: Transport
    """Sends to other VMs."""
    view: NodeView
    """What is known of the published state."""
    configuration_available: anyio.Event = attrs.field(factory=anyio.Event)
    """Set when there is a newer configuration to take."""
    configuration_source: str = ""
    """The VM that has it."""
    member_count: int = 1
    """VMs of the fleet, as last heard."""
    started_s: float = 0.0
    """When the VM started (loop time)."""
    is_stopping: bool = False
    """Whether a planned stop has begun."""
    _numbers: itertools.count[int] = attrs.field(factory=lambda: itertools.count(1))
    _questions: dict[int, _Question] = attrs.field(factory=dict)
    _beliefs: BeliefLog = attrs.field(factory=BeliefLog)
    _placed_by: dict[int, str] = attrs.field(factory=dict)

    # Placer

    def next_number(self) -> int:
        """Return the number of the next attempt."""
        return next(self._numbers)

    async def place(self, request: SlotRequest) -> Placement | Refused:
        """Wait for a slot."""
        now_s = self._now_s()
        if self.membership.role is Role.MEMBER and self.membership.is_followed(now_s):
            answer = await self._ask_broker(request)
            if answer is not None:
                return answer
            request = attrs.evolve(request, number=self.next_number())
        return await self._ask_here(request)

    def release(self, placement: Placement, outcome: Outcome, elapsed_s: float) -> None:
        """Free the slot and tell what became of the attempt."""
        now_s = self._now_s()
        number = placement.number
        self.scheduler.release((self.vm, number), outcome, elapsed_s, now_s)
        broker = self._placed_by.pop(number, "")
        message = Release(number, outcome, int(elapsed_s * 1000))
        if self.membership.role is Role.MEMBER and self.membership.broker:
            # A broker that does not know the slot ignores this.
            self.transport.send(self.membership.broker, message)
        elif broker and broker != self.vm:
            self.transport.send(broker, message)
        self._resolve_waiting(now_s)

    # Asking

    async def _ask_broker(self, request: SlotRequest) -> Placement | Refused | None:
        """Ask the broker; ``None`` if it does not answer."""
        broker = self.membership.broker
        if broker is None:
            return None
        question = self._open_question(request)
        ask = _to_ask(request)
        give_up_s = self._now_s() + request.time_left_s + LATE_S
        silent = 0
        try:
            while silent < MAX_ASKS and self._now_s() < give_up_s:
                question.heard = False
                self.transport.send(broker, ask)
                answer = await self._await_answer(question)
                if answer is not None:
                    return self._accept(request, answer, broker)
                silent = 0 if question.heard else silent + 1
            self.membership.miss_answer(self._now_s())
            self.transport.send(broker, Release(request.number, Outcome.CANCELLED, 0))
            return None
        except BaseException:
            self.transport.send(broker, Release(request.number, Outcome.CANCELLED, 0))
            raise
        finally:
            self._questions.pop(request.number, None)

    async def _await_answer(self, question: _Question) -> _Answer | None:
        """Wait for an answer; shorter while the broker has not confirmed."""
        for delay_s in (ASK_REPEAT_S, WAIT_REPEAT_S - ASK_REPEAT_S):
            with anyio.move_on_after(delay_s):
                await asyncio.shield(question.answered)
            if question.answered.done():
                return question.answered.result()
            if not question.heard:
                break
        return None

    def _accept(
        self, request: SlotRequest, answer: _Answer, broker: str
    ) -> Placement | Refused | None:
        """Hold a granted slot, unless this VM knows that the upstream leaves."""
        if isinstance(answer, Refused):
            return answer
        if not self.view.upstreams.is_usable(answer.upstream):
            logger.info(
                "fleet: broker {} granted {} which is leaving", broker, answer.upstream
            )
            self.transport.send(broker, Release(request.number, Outcome.CANCELLED, 0))
            return None
        self.scheduler.adopt(request, answer.upstream, self._now_s())
        self._placed_by[request.number] = broker
        return answer

    async def _ask_here(self, request: SlotRequest) -> Placement | Refused:
        """Place a request by this VM's own scheduler."""
        now_s = self._now_s()
        decision = self.scheduler.request_slot(request, now_s)
        if isinstance(decision, Refused):
            return decision
        if isinstance(decision, Granted):
            return self._to_placement(request, decision)
        question = self._open_question(request)
        try:
            with anyio.move_on_after(request.time_left_s + LATE_S):
                return await asyncio.shield(question.answered)
            self._forget(request.number)
            return Refused(RefusalReason.NO_ROOM, ASK_REPEAT_S)
        except BaseException:
            self._forget(request.number)
            raise
        finally:
            self._questions.pop(request.number, None)

    def _forget(self, number: int) -> None:
        key = (self.vm, number)
        self.scheduler.release(key, Outcome.CANCELLED, 0.0, self._now_s())

    def _open_question(self, request: SlotRequest) -> _Question:
        answered = asyncio.get_running_loop().create_future()
        question = _Question(request, answered)
        self._questions[request.number] = question
        return question

    def _to_placement(self, request: SlotRequest, granted: Granted) -> Placement:
        upstream = granted.upstream
        return Placement(
            request.number,
            upstream.name,
            upstream.host,
            upstream.port,
            granted.expected_s,
            granted.reason,
            self.membership.role.value,
        )

    # Hearing

    def receive(self, vm: str, message: Message) -> None:
        """Take a message of another VM."""
        now_s = self._now_s()
        is_broker = self.membership.role is Role.BROKER
        match message:
            case Ask():
                if is_broker:
                    self.broker.hear_ask(vm, message, now_s)
                elif self.membership.is_followed(now_s) and self.membership.broker:
                    self.transport.send(vm, Redirect(self.membership.broker))
            case Release():
                if is_broker:
                    self.broker.hear_release(vm, message, now_s)
                    self._resolve_waiting(now_s)
            case Grant() | Refuse() | Wait():
                self._hear_answer(vm, message)
            case Beat():
                self._hear_beat(vm, message, now_s)
            case BeatReply():
                self._hear_reply(vm, message, now_s)
            case Upstreams():
                if not is_broker and self.view.upstreams.merge(message):
                    self.apply_upstreams(now_s)
            case Redirect():
                self._hear_redirect(vm, message, now_s)
            case Claim():
                self._hear_claim(vm, message, now_s)

    def _hear_answer(self, vm: str, message: Grant | Refuse | Wait) -> None:
        question = self._questions.get(message.number)
        if question is None or question.answered.done():
            if isinstance(message, Grant) and message.number not in self._placed_by:
                release = Release(message.number, Outcome.CANCELLED, 0)
                self.transport.send(vm, release)
            return
        question.heard = True
        if isinstance(message, Grant):
            question.answered.set_result(
                Placement(
                    message.number,
                    message.upstream,
                    message.host,
                    message.port,
                    message.expected_ms / 1000,
                    GrantReason(message.reason),
                    vm,
                )
            )
        elif isinstance(message, Refuse):
            retry_after_s = message.retry_after_ms / 1000
            reason = RefusalReason(message.reason)
            refused = Refused(reason, retry_after_s, message.ahead)
            question.answered.set_result(refused)

    def _hear_beat(self, vm: str, beat: Beat, now_s: float) -> None:
        membership = self.membership
        if self.is_stopping or vm == self.vm:
            return
        if membership.role is not Role.BROKER:
            referral = membership.referral(now_s)
            if referral is not None:
                if referral != vm:
                    self.transport.send(vm, Redirect(referral))
                return
            membership.become_broker()
            self._start_as_broker()
        self.broker.hear_beat(vm, beat, now_s)

    def _hear_reply(self, vm: str, reply: BeatReply, now_s: float) -> None:
        was = self.membership.role
        self.membership.hear_reply(vm, reply.deputies, now_s)
        if self.membership.role is not Role.MEMBER or vm != (self.membership.broker):
            return
        if was is not Role.MEMBER:
            logger.info("fleet: follows broker {}", vm)
        self.member_count = reply.member_count + 1
        self.scheduler.quota.share = 1 / self.member_count
        self.scheduler.quota.fleet_near_limit = frozenset(reply.tight_customers)
        self.scheduler.budget.share = 1 / self.member_count
        if reply.configuration > self.view.configuration_version and reply.source:
            self.configuration_source = reply.source
            self.configuration_available.set()
        is_current = self.view.upstreams.advance_revision(
            reply.changed_revision, reply.upstreams_revision
        )
        if is_current and reply.store_age_ms >= 0:
            read_s = now_s - reply.store_age_ms / 1000
            known_s = self.view.published.upstreams_current_at_s
            self.view.published.upstreams_current_at_s = max(read_s, known_s or read_s)

    def _hear_redirect(self, vm: str, redirect: Redirect, now_s: float) -> None:
        if self.is_stopping:
            return
        was_broker = self.membership.role is Role.BROKER
        is_broker = self.membership.hear_redirect(vm, redirect.broker, now_s)
        if is_broker and not was_broker:
            self._start_as_broker()

    def _hear_claim(self, vm: str, claim: Claim, now_s: float) -> None:
        membership = self.membership
        if membership.role is Role.BROKER:
            if self.broker.hear_claim(vm, claim, now_s):
                membership.follow(vm)
        elif membership.is_followed(now_s) and membership.broker not in (None, vm):
            self.transport.send(vm, Redirect(str(membership.broker)))
        elif not membership.is_followed(now_s):
            membership.follow(vm)

    # Steps

    def advance(self) -> None:
        """Send what is due and grant what has become free; called each tick."""
        now_s = self._now_s()
        was = self.membership.role
        target = None if self.is_stopping else self.membership.beat_due(now_s)
        if self.membership.role is Role.BROKER:
            if was is not Role.BROKER:
                self._start_as_broker()
            reader = self.broker.advance(now_s)
            if reader is not None:
                self.broker.hand_over(reader)
                self.membership.follow(reader)
        elif was is Role.MEMBER and self.membership.role is Role.ALONE:
            logger.warning("fleet: lost the broker, decides alone")
        if target is not None:
            self.transport.send(target, self._beat(now_s))
        self.scheduler.observe_running(now_s)
        self._beliefs.log_placement(self.scheduler, now_s)
        self._resolve_waiting(now_s)

    def apply_upstreams(self, now_s: float) -> None:
        """Use the merged list of upstreams."""
        upstreams = self.view.upstreams.upstreams()
        self._beliefs.log_upstreams(
            self.view.published.upstreams, upstreams, self.view.upstreams.revision
        )
        self.view.published.upstreams = {row.name: row for row in upstreams}
        self.scheduler.replace_upstreams(upstreams, now_s)
        if self.membership.role is Role.BROKER:
            self.broker.announce(now_s)

    def apply_configuration(self) -> None:
        """Use the limits of a new configuration and tell the members."""
        configuration = self.view.published.configuration
        if configuration is not None:
            logger.info(
                "configuration: version {} in force, {} routes, {} customers",
                configuration.version,
                len(configuration.routes),
                len(configuration.customers),
            )
            self.scheduler.quota.replace_customers(configuration.customers)
        now_s = self._now_s()
        if self.membership.role is Role.BROKER:
            self.broker.announce_configuration(now_s)
        elif self.membership.is_followed(now_s) and self.membership.broker:
            # The broker may send others of this zone here now.
            self.transport.send(self.membership.broker, self._beat(now_s))

    def record_suspension(self, suspended_s: float) -> None:
        """Count a suspension of this VM: all that it knows is older by that time."""
        logger.warning("vm: was suspended for {:.1f} s", suspended_s)
        self.membership.answered_s -= suspended_s
        view = self.view
        if view.store_read_s is not None:
            view.store_read_s -= suspended_s
        if view.published.upstreams_current_at_s is not None:
            view.published.upstreams_current_at_s -= suspended_s
        self.membership.miss_answer(self._now_s())

    def begin_stop(self) -> None:
        """Hand the broker's part over before a planned stop."""
        self.is_stopping = True
        if self.membership.role is Role.BROKER:
            self.broker.hand_over_to_deputy()
            deputies = self.broker.table.deputies()
            if deputies:
                self.membership.follow(deputies[0])

    def _start_as_broker(self) -> None:
        self.broker.start()
        self.scheduler.quota.share = 1.0
        self.scheduler.quota.reset_usage()
        self.scheduler.budget.share = 1.0

    def _resolve_waiting(self, now_s: float) -> None:
        """Send or deliver the decisions on requests that waited here."""
        for (vm, number), decision in list(self.scheduler.advance(now_s)):
            if vm != self.vm:
                self.broker.send_decision(vm, number, decision)
                continue
            question = self._questions.get(number)
            if question is None or question.answered.done():
                self._forget(number)
            elif isinstance(decision, Granted):
                placement = self._to_placement(question.request, decision)
                question.answered.set_result(placement)
            else:
                question.answered.set_result(decision)

    def _beat(self, now_s: float) -> Beat:
        return Beat(
            self.incarnation,
            self.zone,
            self.cpu_share,
            self.link_mbps,
            self.view.configuration_version,
            self.view.store_age_ms(now_s),
            self.view.upstreams.revision,
            tuple(self.scheduler.held_slots(self.vm)),
        )

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()


def _to_ask(request: SlotRequest) -> Ask:
    return Ask(
        request.number,
        request.service,
        request.route,
        request.customer,
        request.priority,
        request.route_priority,
        request.idempotent,
        request.attempt,
        request.excluded,
        int(request.time_left_s * 1000),
        int(request.target_left_s * 1000),
        request.zone,
    )
