"""Finds the broker, follows it, and follows another one when it is lost.

No election is needed: two brokers at a time can only fill an upstream beyond its
slots, and the upstream then refuses without running the request. So a VM that hears
nothing of its broker takes the next deputy, a VM that is asked and has no broker
becomes one, and of two brokers that learn of each other the larger fleet's stays.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

BEAT_INTERVAL_S = 0.4
"""Time between heartbeats (seconds): a lost broker is noticed within it and the
repeats, well within the time in which a configuration must be in force."""
REPEAT_S = 0.08
"""Time until an unanswered heartbeat is repeated (seconds): twenty round trips."""
MAX_REPEATS = 3
"""Unanswered heartbeats after which the broker is lost (count)."""
LOST_FOR_S = 1.0
"""How long a lost broker is not followed again (seconds)."""
MEMBER_LOST_S = 1.6
"""Silence after which a member is gone (seconds): four heartbeats."""
BROKER_CPU_SHARE = 1.0
"""Part of a core that a broker of today's fleets has plenty with; it uses 0.05."""
BROKER_LINK_MBPS = 50.0
"""Bandwidth that a broker of today's fleets has plenty with (megabits per second)."""
MAX_DEPUTIES = 3
"""Deputies that a broker names (count)."""


class Role(enum.Enum):
    """What a VM is to its fleet."""

    ALONE = "alone"
    """No broker is known: the VM decides by itself."""
    MEMBER = "member"
    """The VM asks a broker."""
    BROKER = "broker"
    """The VM places the requests of all."""


@attrs.define
class Membership:
    """Which broker a VM follows; sends nothing itself."""

    vm: str
    """Address of this VM."""
    seeds: tuple[str, ...]
    """Addresses at which a fleet may be found."""
    role: Role = Role.ALONE
    """What the VM is at present."""
    broker: str | None = None
    """The broker that is followed, or tried."""
    deputies: tuple[str, ...] = ()
    """Deputies that the last broker named."""
    answered_s: float = -1e9
    """When the broker last answered."""
    _beat_s: float = -1e9
    _unanswered: int = 0
    _lost: dict[str, float] = attrs.field(factory=dict)
    _next_seed: int = 0
    _redirected_s: float = -1e9

    def is_followed(self, now_s: float) -> bool:
        """Tell whether the broker is known and has answered lately."""
        if self.role is Role.BROKER:
            return True
        silent_s = now_s - self.answered_s
        return self.role is Role.MEMBER and silent_s < MEMBER_LOST_S

    def beat_due(self, now_s: float) -> str | None:
        """Return the VM that gets a heartbeat now, if one is due."""
        if not self._is_broker() and self._unanswered > MAX_REPEATS:
            self._lose_broker(now_s)
        if self.broker is None:
            self.broker = self._next_candidate(now_s)
        if self.broker in (None, self.vm) or self._is_broker():
            return None
        interval_s = REPEAT_S if self._unanswered else BEAT_INTERVAL_S
        if now_s - self._beat_s < interval_s:
            return None
        self._beat_s = now_s
        self._unanswered += 1
        return self.broker

    def hear_reply(self, broker: str, deputies: Sequence[str], now_s: float) -> None:
        """Take the answer of a broker."""
        if self.role is Role.BROKER or broker != self.broker:
            return
        self.role = Role.MEMBER
        self.deputies = tuple(deputies)
        self.answered_s = now_s
        self._unanswered = 0
        self._lost.pop(broker, None)

    def referral(self, now_s: float) -> str | None:
        """Return the broker to which another VM is referred.

        That is also a broker which is being tried: two VMs that both wait for one
        must not become brokers of their own.
        """
        if self.broker in (None, self.vm) or self._is_lost(str(self.broker), now_s):
            return None
        return self.broker

    def hear_redirect(self, sender: str, broker: str, now_s: float) -> bool:
        """Follow the broker that another VM names; tell whether this VM is it."""
        if broker == self.vm:
            self.become_broker()
            return True
        if self.role is Role.BROKER or self._is_lost(broker, now_s):
            return False
        if sender != self.broker and self.is_followed(now_s):
            return False
        if now_s - self._redirected_s > REPEAT_S:
            self.follow(broker)
        elif broker != self.broker:
            # Two VMs may refer to each other; the next heartbeat waits its turn.
            beat_s = self._beat_s
            self.follow(broker)
            self._beat_s = beat_s
            self._unanswered = 1
        self._redirected_s = now_s
        return False

    def miss_answer(self, now_s: float) -> None:
        """Send the next heartbeat at once, since a request was not answered."""
        if self._unanswered == 0:
            self._beat_s = now_s - BEAT_INTERVAL_S

    def follow(self, broker: str) -> None:
        """Follow a broker."""
        if broker != self.broker or self.role is Role.BROKER:
            self.role = Role.ALONE
            self._unanswered = 0
            self._beat_s = -1e9
        self.broker = broker

    def become_broker(self) -> None:
        """Place the requests of all from now on."""
        self.role = Role.BROKER
        self.broker = self.vm
        self._unanswered = 0

    def _is_broker(self) -> bool:
        return self.role is Role.BROKER

    def _lose_broker(self, now_s: float) -> None:
        if self.broker is not None:
            self._lost[self.broker] = now_s + LOST_FOR_S
        self.role = Role.ALONE
        self._unanswered = 0
        self._beat_s = -1e9
        self.broker = self._next_candidate(now_s)
        if self.broker == self.vm:
            self.become_broker()

    def _next_candidate(self, now_s: float) -> str | None:
        """Return the next VM to try: deputies first, then seeds."""
        for vm in self.deputies:
            if not self._is_lost(vm, now_s):
                return vm
        for _ in self.seeds:
            vm = self.seeds[self._next_seed % len(self.seeds)]
            self._next_seed += 1
            if not self._is_lost(vm, now_s):
                if vm == self.vm:
                    self.become_broker()
                return vm
        return None

    def _is_lost(self, vm: str, now_s: float) -> bool:
        return self._lost.get(vm, -1e9) > now_s


@attrs.define
class Member:
    """A VM that follows this broker."""

    incarnation: int
    """Unix time of its start (milliseconds)."""
    heard_s: float
    """When its last heartbeat came."""
    zone: str
    """Its availability zone."""
    cpu_share: float
    """Its part of a core."""
    link_mbps: float
    """Bandwidth of its network link (megabits per second)."""
    store_age_ms: int
    """Time since it read the store itself; -1 if it never did."""
    configuration: int
    """Version of its configuration."""
    upstreams_revision: int
    """Revision up to which it knows all upstreams."""

    @property
    def capacity(self) -> float:
        """How well it would serve as broker: its scarcer resource, 1 for plenty."""
        return min(self.cpu_share / BROKER_CPU_SHARE, self.link_mbps / BROKER_LINK_MBPS)


@attrs.define
class MemberTable:
    """The members of a broker's fleet."""

    members: dict[str, Member] = attrs.field(factory=dict)
    """Members by address."""
    _left: dict[str, float] = attrs.field(factory=dict)

    def hear(self, vm: str, member: Member) -> bool:
        """Take a heartbeat; tell whether the VM is new or was restarted."""
        old = self.members.get(vm)
        self.members[vm] = member
        self._left.pop(vm, None)
        return old is None or old.incarnation != member.incarnation

    def expire(self, now_s: float) -> list[str]:
        """Remove members that have been silent and return their addresses."""
        gone = [
            vm
            for vm, member in self.members.items()
            if now_s - member.heard_s > MEMBER_LOST_S
        ]
        for vm in gone:
            del self.members[vm]
            self._left[vm] = now_s
        return gone

    def remove(self, vm: str) -> None:
        """Remove a member that says that it leaves."""
        self.members.pop(vm, None)

    def deputies(self) -> tuple[str, ...]:
        """Return the VMs that are to follow as broker, best first."""
        order = sorted(self.members, key=lambda vm: (-self.members[vm].capacity, vm))
        return tuple(order[:MAX_DEPUTIES])

    def fleet_share(self, now_s: float) -> float:
        """Return the part of the known fleet that follows this broker, 0 to 1.

        VMs that fell silent may serve on behind a partition, so what is shared over
        the fleet is given out in part while they may.
        """
        for vm in [vm for vm, at_s in self._left.items() if now_s - at_s > LEFT_S]:
            del self._left[vm]
        here = len(self.members) + 1
        return here / (here + len(self._left))

    def departed(self) -> tuple[str, ...]:
        """Return VMs that fell silent a while ago."""
        return tuple(self._left)


LEFT_S = 20.0
"""How long a silent VM counts as serving elsewhere (seconds): longer than any outage
that the sites describe."""
