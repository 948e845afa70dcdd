"""Broker discovery and failover, and the broker's table of members.

No leader election is needed: two brokers at the same time can at worst exceed the slots
of an upstream, which then rejects the request without running it. So a VM whose broker
does not answer fails over to the next deputy, a VM that receives a heartbeat and knows
no broker becomes the broker, and of two brokers the one with more members stays.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from gentianfold.fleet.process_number import is_other_process, process_number
from gentianfold.fleet.protocol import NO_PROTOCOL, PROTOCOL, is_older

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gentianfold.fleet.store_revision import StoreRevision

HEARTBEAT_INTERVAL_S = 0.4
"""Time between heartbeats (seconds): the failure of the broker is detected within this
time plus the retries, well before a new configuration must be in force."""
HEARTBEAT_RETRY_S = 0.08
"""Time until an unanswered heartbeat is sent again (seconds): twenty round trips. It
doubles with each retry; all of them end before the lease of a share does."""
MAX_HEARTBEAT_RETRIES = 3
"""Retries without an answer after which the broker counts as failed (count)."""
BROKER_EXCLUSION_S = 1.0
"""Time for which a failed broker is not used again (seconds)."""
MEMBER_TIMEOUT_S = 1.6
"""Time without a heartbeat after which a member is removed, and without a reply after
which a broker is not asked for slots (seconds): four heartbeat intervals."""
TIMED_OUT_RETENTION_S = 20.0
"""Time for which a member that timed out gets announcements (seconds): longer than most
outages."""
REFERENCE_CPU_SHARE = 1.0
"""CPU share that counts as 1 in the ranking of deputies (cores); a broker uses 0.05."""
REFERENCE_LINK_MBPS = 20.0
"""Bandwidth that counts as 1 in the ranking of deputies (megabits per second); a broker
of 292 VMs sends and receives 6."""
STRONGER_FACTOR = 2.0
"""Multiple of its own capacity from which a broker hands over to a deputy once the
members of a new fleet have joined: a seed may be the weakest VM."""
OLDER_BUILD_RANK = 0.8
"""Part of its capacity by which a VM with an older build is ranked as a successor: one
with this build and nearly as much goes first."""
MAX_DEPUTIES = 3
"""Deputies that a broker names in a heartbeat reply (count)."""


class Role(enum.Enum):
    """Role of a VM in its fleet."""

    ALONE = "alone"
    """No broker answers: the VM assigns slots locally."""
    MEMBER = "member"
    """The VM requests slots from a broker."""
    BROKER = "broker"
    """The VM assigns slots for the whole fleet."""


@attrs.define
class Membership:
    """State machine for the role and broker of one VM; does no I/O."""

    vm: str
    """Address of this VM."""
    seeds: tuple[str, ...]
    """Addresses of VMs to contact when no broker is known."""
    role: Role = Role.ALONE
    """Current role of the VM."""
    broker: str | None = None
    """Address of the current broker, or of the VM being tried as one.

    ``None`` if no VM can be tried at present.
    """
    deputies: tuple[str, ...] = ()
    """Deputies named by the last broker, best first."""
    last_reply_s: float = -1e9
    """Time of the broker's last heartbeat reply (event loop time, seconds)."""
    broker_protocol: int = NO_PROTOCOL
    """Version of the messages that the broker knows, by its last reply."""
    _last_heartbeat_s: float = -1e9
    _unanswered: int = 0
    _excluded_until_s: dict[str, float] = attrs.field(factory=dict)
    _next_seed: int = 0
    _last_redirect_s: float = -1e9

    def has_live_broker(self, now_s: float) -> bool:
        """Tell whether the broker answered within the timeout; true if this VM is it."""
        if self.role is Role.BROKER:
            return True
        idle_s = now_s - self.last_reply_s
        return self.role is Role.MEMBER and idle_s < MEMBER_TIMEOUT_S

    @property
    def has_older_broker(self) -> bool:
        """Whether the broker runs a build without what this build relies on."""
        return self.role is Role.MEMBER and is_older(self.broker_protocol)

    def is_older_broker(self, vm: str) -> bool:
        """Tell whether a VM is the broker and runs such a build."""
        return self.has_older_broker and vm == self.broker

    def next_heartbeat_target(self, now_s: float) -> str | None:
        """Return the VM to send a heartbeat to, and count it as sent.

        Fails over first if the broker has left all retries unanswered, which can make
        this VM the broker.

        Returns:
            Address of the VM; ``None`` if no heartbeat is due.
        """
        if not self._is_broker() and self._unanswered > MAX_HEARTBEAT_RETRIES:
            self._fail_over(now_s)
        if self.broker is None:
            self.broker = self._next_candidate(now_s)
        if self.broker in (None, self.vm) or self._is_broker():
            return None
        interval_s = HEARTBEAT_INTERVAL_S
        if self._unanswered:
            interval_s = HEARTBEAT_RETRY_S * 2 ** (self._unanswered - 1)
        if now_s - self._last_heartbeat_s < interval_s:
            return None
        self._last_heartbeat_s = now_s
        self._unanswered += 1
        return self.broker

    def handle_reply(
        self,
        broker: str,
        deputies: Sequence[str],
        now_s: float,
        protocol: int = PROTOCOL,
    ) -> None:
        """Record a heartbeat reply of the broker; other VMs' replies are ignored.

        Args:
            broker: Address of the sender.
            deputies: Successors that it names, best first.
            now_s: Event loop time (seconds).
            protocol: Version of the messages that it knows.
        """
        if self.role is Role.BROKER or broker != self.broker:
            return
        self.role = Role.MEMBER
        self.deputies = tuple(deputies)
        self.last_reply_s = now_s
        self.broker_protocol = protocol
        self._unanswered = 0
        self._excluded_until_s.pop(broker, None)

    def record_answer(self, vm: str, now_s: float) -> None:
        """Record an answer to a slot request: its sender serves, if it is the broker."""
        if self.role is Role.MEMBER and vm == self.broker:
            self.last_reply_s = now_s
            self._unanswered = min(self._unanswered, 1)

    def redirect_target(self, now_s: float) -> str | None:
        """Return the broker to which another VM is redirected; ``None`` if unknown.

        A broker that has not answered yet is included: two VMs that both wait for the
        same broker must not become brokers themselves.
        """
        if self.broker in (None, self.vm) or self._is_excluded(str(self.broker), now_s):
            return None
        return self.broker

    def handle_redirect(self, sender: str, broker: str, now_s: float) -> bool:
        """Switch to the broker named by another VM, or become it if this VM is named.

        If another VM is named, the redirect is ignored while this VM is the broker,
        while the named VM is excluded after a failure, and while the current broker is
        live and did not send it.

        Args:
            sender: Address of the VM that sent the redirect.
            broker: Address of the broker that it names.
            now_s: Event loop time (seconds).

        Returns:
            Whether this VM is the named broker; it has taken the role then.
        """
        if broker == self.vm:
            self.become_broker()
            return True
        if self.role is Role.BROKER or self._is_excluded(broker, now_s):
            return False
        if sender != self.broker and self.has_live_broker(now_s):
            return False
        if now_s - self._last_redirect_s > HEARTBEAT_RETRY_S:
            self.follow(broker)
        elif broker != self.broker:
            # Two VMs may redirect to each other: keep the retry interval, so that they
            # do not exchange heartbeats without pause.
            last_heartbeat_s = self._last_heartbeat_s
            self.follow(broker)
            self._last_heartbeat_s = last_heartbeat_s
            self._unanswered = 1
        self._last_redirect_s = now_s
        return False

    def expedite_heartbeat(self, now_s: float) -> None:
        """Make the next heartbeat due at once, unless one is unanswered already."""
        if self._unanswered == 0:
            self._last_heartbeat_s = now_s - HEARTBEAT_INTERVAL_S

    def follow(self, broker: str) -> None:
        """Use a broker; a new one is unconfirmed until its first heartbeat reply."""
        if broker != self.broker or self.role is Role.BROKER:
            self.role = Role.ALONE
            self._unanswered = 0
            self._last_heartbeat_s = -1e9
        self.broker = broker

    def become_broker(self) -> None:
        """Take the broker role."""
        self.role = Role.BROKER
        self.broker = self.vm
        self._unanswered = 0

    def _is_broker(self) -> bool:
        return self.role is Role.BROKER

    def _fail_over(self, now_s: float) -> None:
        if self.broker is not None:
            self._excluded_until_s[self.broker] = now_s + BROKER_EXCLUSION_S
        self.role = Role.ALONE
        self._unanswered = 0
        self._last_heartbeat_s = -1e9
        self.broker = self._next_candidate(now_s)
        if self.broker == self.vm:
            self.become_broker()

    def _next_candidate(self, now_s: float) -> str | None:
        """Return the next VM to try as broker: deputies first, then seeds in turn.

        Becomes the broker if this VM's own address is the next seed.
        """
        for vm in self.deputies:
            if not self._is_excluded(vm, now_s):
                return vm
        for _ in self.seeds:
            vm = self.seeds[self._next_seed % len(self.seeds)]
            self._next_seed += 1
            if not self._is_excluded(vm, now_s):
                if vm == self.vm:
                    self.become_broker()
                return vm
        return None

    def _is_excluded(self, vm: str, now_s: float) -> bool:
        return self._excluded_until_s.get(vm, -1e9) > now_s


def capacity_of(cpu_share: float, link_mbps: float) -> float:
    """Return the lesser of CPU share and bandwidth in units of the reference values.

    Args:
        cpu_share: CPU share of a VM (cores).
        link_mbps: Bandwidth of its network link (megabits per second).
    """
    return min(cpu_share / REFERENCE_CPU_SHARE, link_mbps / REFERENCE_LINK_MBPS)


@attrs.define
class Member:
    """A member of the fleet, as described by its last heartbeat."""

    incarnation: int
    """Unix time of the VM's start (milliseconds)."""
    last_heartbeat_s: float
    """Arrival of the last heartbeat (event loop time, seconds)."""
    zone: str
    """Availability zone of the VM."""
    cpu_share: float
    """CPU share of the VM (cores)."""
    link_mbps: float
    """Bandwidth of the VM's network link (megabits per second)."""
    store_age_ms: int
    """Time since the VM's own last read of the store (milliseconds); -1 for never."""
    configuration_version: int
    """Version of the configuration in force on the VM; 0 for none."""
    upstreams_revision: StoreRevision
    """Revision up to which the VM knows all upstream changes."""
    is_cut_off: bool = False
    """Whether the VM has lost its paths to the upstreams."""
    evacuations_revision: StoreRevision | None = None
    """Revision as of which the VM knows the evacuated zones; ``None`` if it runs a build
    that doesn't know of evacuations."""
    link_used_mbps: float = 0.0
    """Use of the VM's network link by answers (megabits per second)."""
    protocol: int = PROTOCOL
    """Version of the messages that the VM knows."""

    @property
    def capacity(self) -> float:
        """Capacity as a broker, in units of the reference VM."""
        return capacity_of(self.cpu_share, self.link_mbps)

    @property
    def rank(self) -> float:
        """Rank as a successor of the broker: the capacity, less with an older build.

        A broker of an older build bounds less, and is soon to be replaced.
        """
        return self.capacity * (OLDER_BUILD_RANK if is_older(self.protocol) else 1.0)


@attrs.define
class MemberTable:
    """Members of a broker's fleet, and members that timed out recently."""

    members: dict[str, Member] = attrs.field(factory=dict)
    """Current members by address."""
    _deputies: tuple[str, ...] | None = None
    _ranks: dict[str, dict[str, int]] = attrs.field(factory=dict)
    _timed_out_s: dict[str, float] = attrs.field(factory=dict)
    _replaced: dict[str, int] = attrs.field(factory=dict)

    def record_heartbeat(self, vm: str, member: Member) -> bool:
        """Record a heartbeat; tell whether the VM is new or was restarted."""
        old = self.members.get(vm)
        self.members[vm] = member
        self._timed_out_s.pop(vm, None)
        if old is None or old.rank != member.rank:
            self._deputies = None
        if old is None or old.zone != member.zone:
            self._ranks.clear()
        if old is not None and old.incarnation != member.incarnation:
            self._replaced[vm] = old.incarnation
        return old is None or old.incarnation != member.incarnation

    def is_replaced(self, vm: str, incarnation: int) -> bool:
        """Tell whether the next process of a VM has sent a heartbeat before."""
        return self._replaced.get(vm) == incarnation

    def is_other_process(self, vm: str, process: int) -> bool:
        """Tell whether a message states another process of a member than the last one.

        Args:
            vm: Address of the sender.
            process: Number in the message.
        """
        member = self.members.get(vm)
        return member is not None and is_other_process(
            process, process_number(member.incarnation)
        )

    def expire(self, now_s: float) -> list[str]:
        """Remove members whose heartbeats have timed out; return their addresses."""
        expired = [
            vm
            for vm, member in self.members.items()
            if now_s - member.last_heartbeat_s > MEMBER_TIMEOUT_S
        ]
        for vm in expired:
            self.remove(vm)
            self._timed_out_s[vm] = now_s
        self._timed_out_s = {
            vm: at_s
            for vm, at_s in self._timed_out_s.items()
            if now_s - at_s <= TIMED_OUT_RETENTION_S
        }
        return expired

    def is_older(self, vm: str) -> bool:
        """Tell whether a VM is a member with an older build."""
        member = self.members.get(vm)
        return member is not None and is_older(member.protocol)

    @property
    def older_count(self) -> int:
        """Number of members with an older build."""
        return sum(map(self.is_older, self.members))

    def remove(self, vm: str) -> None:
        """Remove a member that leaves the fleet; it does not count as timed out."""
        self.members.pop(vm, None)
        self._deputies = None
        self._ranks.clear()

    def rank_in_zone(self, vm: str) -> tuple[int, int]:
        """Return the members of a member's zone before it, and all of the zone (count)."""
        if not self._ranks:
            for address in sorted(self.members):
                in_zone = self._ranks.setdefault(self.members[address].zone, {})
                in_zone[address] = len(in_zone)
        in_zone = self._ranks[self.members[vm].zone]
        return in_zone[vm], len(in_zone)

    def deputies(self) -> tuple[str, ...]:
        """Return the addresses of possible successors of the broker, best first."""
        if self._deputies is None:
            members = self.members
            order = sorted(members, key=lambda vm: (-members[vm].rank, vm))
            self._deputies = tuple(order[:MAX_DEPUTIES])
        return self._deputies

    def timed_out(self) -> tuple[str, ...]:
        """Return the addresses of members that timed out recently."""
        return tuple(self._timed_out_s)
