"""Shares that the members of a fleet have lent to its broker, and its size.

A broker that knows the fleet uses the shares of the VMs that own one and have lent it.
Their number only grows when all of them are there: each must know the new size, so that
its own share is less, before a new VM gets a share.

A broker that does not know the fleet, as it started and met nobody who does, may be
alone with a few VMs of a large one. It uses nothing without a majority of the seeds,
which only one broker can have. Of seeds that never ran before it uses all; else a part, as
others may still know the fleet and hold fewer seeds. What the limits of customers
tolerate goes to seeds without a majority (``SeedParts``). The fleet counts as new, with the VMs
that are there, if its seeds never ran before, or if all of them have been here for longer
than others would use limits without a seed.
"""

from __future__ import annotations

import attrs
from loguru import logger

from gentianfold.fleet.seed_parts import MINORITY_WAIT_S, SeedParts
from gentianfold.fleet.share_lease import LEASE_TERM_S, MATURITY_S, SEED_TERM_S

GROWTH_S = 2.5
"""Time in which the members of a failed broker lend their shares to the next one
(seconds): a lease, and the time until they have found it."""
FORMING_S = 5.0
"""Time in which VMs that start together join a broker (seconds)."""
SEEDS_SETTLED_S = SEED_TERM_S + 2 * LEASE_TERM_S
"""Time after which seeds that know no earlier fleet show that no part of one uses limits
(seconds): the last lease of an earlier process of them, its replies, and the term of a
part without seeds."""
MISSING_RETENTION_S = 7200.0
"""Time for which VMs that a broker misses keep their shares (seconds): longer than an
outage between regions."""


@attrs.frozen
class FleetShares:
    """Parts of fleet-wide limits that one VM may use, each with its mature part."""

    strict: tuple[float, float]
    """Parts of limits that tolerate nothing; those of all VMs add up to 1."""
    of_customers: tuple[float, float]
    """Parts of limits of customers; all add up to what is allowed and tolerated."""


@attrs.define
class _Member:
    """What a broker knows of one process of a member."""

    is_first_start: bool
    """Whether the system never ran before this process."""
    told_size: int
    """Size of the fleet that it knows; 0 if it knows none."""
    since_s: float = 0.0
    """When its lease began (seconds)."""
    until_s: float = -1e9
    """When its lease ends (seconds)."""


@attrs.define
class LeaseTable:
    """Leases of the members' shares, and the size of the fleet; times by one clock."""

    vm: str = ""
    """Address of this VM."""
    seeds: tuple[str, ...] = ()
    """Addresses that all VMs know; a majority of them has one broker at a time."""
    known_size: int = 0
    """VMs that own a share, this one included (count); 0 if unknown."""
    started_s: float = 0.0
    """When this VM became the broker (seconds)."""
    seed_seen_s: float = -1e9
    """When this VM was last in touch with a seed that knows the fleet (seconds)."""
    is_first_start: bool = False
    """Whether the system never ran before this process."""
    is_size_stated: bool = False
    """Whether the settings state the size, so that every VM knows it."""
    overshoot: float = 0.0
    """Part of the limits of customers that may be exceeded."""
    _members: dict[str, _Member] = attrs.field(factory=dict)
    _owners: set[str] = attrs.field(factory=set)
    _admitted: set[str] = attrs.field(factory=set)
    _is_told_to_seeds: bool = True
    _is_new_fleet: bool = attrs.field(init=False)
    _complete_s: float = -1e9
    _last_size: int = 0
    _size_since_s: float = -1e9
    _logged_basis: tuple[bool, int, bool] = (False, 0, False)

    def __attrs_post_init__(self) -> None:
        self._is_new_fleet = self.known_size == 0

    def join(self, vm: str, fleet_size: int, is_first_start: bool) -> None:
        """Record a member that is new or was restarted.

        Args:
            vm: Its address.
            fleet_size: Size of the fleet that it knows; 0 if it knows none.
            is_first_start: Whether the system never ran before its process.
        """
        self._members[vm] = _Member(is_first_start, fleet_size)
        if fleet_size:
            self._owners.add(vm)
            self.record_known_size(max(fleet_size, len(self._owners) + 1))

    def record(self, vm: str, stamp_ms: int, now_s: float, fleet_size: int = 0) -> None:
        """Extend the lease of a member that returned a stamp of this VM.

        Args:
            vm: Address of the member.
            stamp_ms: The stamp; 0 if it lends nothing to this VM.
            now_s: Current time (seconds).
            fleet_size: Size of the fleet that it knows; 0 if it knows none.
        """
        member = self._members.setdefault(vm, _Member(False, fleet_size))
        member.told_size = fleet_size
        stamped_s = stamp_ms / 1000
        if not stamp_ms or not self.started_s <= stamped_s <= now_s:
            return
        if member.until_s <= now_s:
            member.since_s = now_s
        member.until_s = max(member.until_s, stamped_s + LEASE_TERM_S)

    def record_known_size(self, size: int) -> None:
        """Record the size of an earlier fleet that another VM knows."""
        if size > self.known_size:
            self.known_size = size
            self._is_new_fleet = False

    def told_size(self, vm: str) -> int:
        """Return the size that a VM is told; 0 if it owns no share."""
        if not self.known_size:
            return 0
        if vm != self.vm and not self.is_size_stated:
            if vm not in self._owners:
                return 0
            if not self._is_told_to_seeds and vm not in self.seeds:
                return 0
        return self.known_size + len(self._admitted)

    def shares(self, own: tuple[float, float], now_s: float) -> FleetShares:
        """Return the parts of the limits that this VM may use.

        Args:
            own: Its own share and the mature part of that.
            now_s: Current time (seconds).
        """
        live = self._live(now_s)
        held = self._held_seeds(live, own)
        if held:
            self.seed_seen_s = now_s
        if not self.known_size:
            self._end_forming(live, held, now_s)
        strict = SeedParts(len(self.seeds))
        tolerant = SeedParts(len(self.seeds), self.overshoot)
        if not self.known_size:
            shares = FleetShares(
                self._forming_shares(strict, held, own, now_s),
                self._forming_shares(tolerant, held, own, now_s),
            )
        else:
            self._update_owners(live, own, now_s)
            lent = live & self._owners
            mature = sum(self._is_mature(vm, now_s) for vm in lent)
            whole = (
                min(len(lent) / self.known_size + own[0], 1.0),
                min(mature / self.known_size + own[1], 1.0),
            )
            shares = FleetShares(
                self._known_shares(strict, held, own, whole, now_s),
                self._known_shares(tolerant, held, own, whole, now_s),
            )
        self._log_basis(len(held), shares.of_customers[0])
        return shares

    def _known_shares(
        self,
        parts: SeedParts,
        held: set[str],
        own: tuple[float, float],
        whole: tuple[float, float],
        now_s: float,
    ) -> tuple[float, float]:
        """Return what the seeds leave of the shares that this VM holds."""
        if self.is_size_stated:
            return whole
        part = parts.known(len(held), now_s - self.seed_seen_s)
        mature = whole[1] if self._may_mature(parts, held, own, now_s) else 0.0
        return whole[0] * part, mature * part

    def _log_basis(self, held: int, share: float) -> None:
        """Log the part of customers' limits when what it rests on has changed."""
        basis = (self.known_size > 0, held, share > 0)
        if basis != self._logged_basis:
            self._logged_basis = basis
            logger.info(
                "fleet: limits of customers, share={:.3f} seeds={}/{} known_size={}",
                share,
                held,
                len(self.seeds),
                self.known_size,
            )

    def start_hand_over(self, own: tuple[float, float], now_s: float) -> None:
        """Take the members for the fleet if its seeds never ran before.

        Args:
            own: Share of this VM and the mature part of that.
            now_s: Current time (seconds).
        """
        live = self._live(now_s)
        held = self._held_seeds(live, own)
        if not self.known_size and self._is_first_majority(held):
            self._form(live, "hand over")
            self._is_told_to_seeds = True

    def is_growing(self, now_s: float) -> bool:
        """Tell whether members may still be bound to the former broker."""
        return now_s - self.started_s < GROWTH_S

    def ends_forming(self) -> bool:
        """Tell, once, that a fleet that had just started has formed."""
        has_formed = bool(self.known_size) and self._is_told_to_seeds
        if not self._is_new_fleet or not has_formed:
            return False
        self._is_new_fleet = False
        return True

    def _live(self, now_s: float) -> set[str]:
        """Return the members whose shares this VM holds."""
        return {vm for vm, member in self._members.items() if member.until_s > now_s}

    def _held_seeds(self, live: set[str], own: tuple[float, float]) -> set[str]:
        present = live | {self.vm} if own[0] > 0 else live
        return present.intersection(self.seeds)

    def _is_majority(self, count: int) -> bool:
        return not self.seeds or 2 * count > len(self.seeds)

    def _is_mature(self, vm: str, now_s: float) -> bool:
        return now_s - self._members[vm].since_s >= MATURITY_S

    def _may_mature(
        self, parts: SeedParts, held: set[str], own: tuple[float, float], now_s: float
    ) -> bool:
        """Tell whether no group with overshoot was beside this one in the last window."""
        return parts.may_mature(len(held)) and (
            not parts.overshoot
            or all(
                own[1] > 0 if vm == self.vm else self._is_mature(vm, now_s)
                for vm in held
            )
        )

    def _is_first_majority(self, held: set[str]) -> bool:
        """Tell whether a majority of the seeds is held that never ran before."""
        return self._is_majority(
            sum(
                self.is_first_start
                if vm == self.vm
                else self._members[vm].is_first_start
                for vm in held
            )
        )

    def _forming_shares(
        self,
        parts: SeedParts,
        held: set[str],
        own: tuple[float, float],
        now_s: float,
    ) -> tuple[float, float]:
        """Return the parts that the seeds of this group may use without knowledge."""
        if not self._is_majority(len(held)):
            since_s = max(self._held_since_s(held), default=now_s)
            has_waited = now_s - since_s >= MINORITY_WAIT_S
            return (parts.unknown(len(held)) if has_waited else 0.0), 0.0
        share = parts.unknown(len(held))
        if self._is_first_majority(held):
            share = parts.known(len(held), 0.0)
        mature = sum(
            own[1] > 0 if vm == self.vm else self._is_mature(vm, now_s) for vm in held
        )
        is_mature = self._is_majority(mature) and now_s - self.started_s >= MATURITY_S
        is_mature = is_mature and self._may_mature(parts, held, own, now_s)
        return share, share if is_mature else 0.0

    def _held_since_s(self, vms: set[str]) -> list[float]:
        """Return since when this VM holds the shares of VMs (seconds)."""
        return [
            self.started_s if vm == self.vm else self._members[vm].since_s for vm in vms
        ]

    def _end_forming(self, live: set[str], held: set[str], now_s: float) -> None:
        """Take the VMs that are there for the fleet if no other part of one exists."""
        if self._is_first_majority(held):
            cause = "first start"
            has_formed = now_s - self.started_s >= FORMING_S
        else:
            cause = "all seeds"
            since_s = max(self._held_since_s({*held, self.vm}))
            has_formed = len(held) == len(self.seeds)
            has_formed = has_formed and now_s - since_s >= SEEDS_SETTLED_S
        if has_formed:
            self._form(live, cause)

    def _form(self, live: set[str], cause: str) -> None:
        self._owners = set(live)
        self.known_size = len(live) + 1
        self._is_told_to_seeds = False
        logger.info("fleet: formed, cause={} size={}", cause, self.known_size)

    def _update_owners(
        self, live: set[str], own: tuple[float, float], now_s: float
    ) -> None:
        """Give shares to new VMs, once all owners know that theirs are less."""
        if not self._is_told_to_seeds:
            told = sum(
                vm == self.vm or (vm in live and self._members[vm].told_size > 0)
                for vm in self.seeds
            )
            self._is_told_to_seeds = self._is_majority(told)
            return
        if self.known_size != self._last_size:
            self._last_size, self._size_since_s = self.known_size, now_s
        new = sorted(live - self._owners - self._admitted)
        missing = self.known_size - 1 - len(self._owners)
        if new and missing > 0 and now_s - self._size_since_s >= GROWTH_S:
            # This broker has not seen all owners: VMs that know nothing count as owners
            # that were restarted.
            self._owners.update(new[:missing])
            return
        if self._admitted:
            size = self.known_size + len(self._admitted)
            if all(self._members[vm].told_size >= size for vm in self._owners):
                self._owners |= self._admitted
                self._admitted = set()
                self.known_size = size
                logger.info("fleet: grown, size={}", size)
        elif own[0] > 0 and missing <= 0 and self._owners <= live:
            self._complete_s = now_s
            self._admitted = set(new)
        elif now_s - max(self._complete_s, self.started_s) > MISSING_RETENTION_S:
            self._owners &= live
            self.known_size = len(self._owners) + 1
