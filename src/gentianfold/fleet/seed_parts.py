"""Parts of the limits that groups of VMs use, by the seeds that they hold.

A group that knows the fleet can't tell whether seeds that it misses have ended or have
started again elsewhere, and a group of VMs that were all restarted can't tell whether
others still know the fleet. Since a seed is in one group at a time, the parts of all
groups add up to what the limits allow, whichever world it is.

Where the limits tolerate more, that goes to groups that know no fleet and hold a
minority of the seeds, which else would use nothing. A change of the broker may grant up
to a quarter on top of a share that refills its burst, so no part does so beside others.
"""

from __future__ import annotations

import attrs

from gentianfold.fleet.share_lease import (
    LEASE_TERM_S,
    MATURITY_S,
    NO_SEED_PART,
    SHARE_VALIDITY_S,
    SOME_SEEDS_PART,
    seed_part,
    unknown_part,
)

MINORITY_WAIT_S = LEASE_TERM_S + SHARE_VALIDITY_S + MATURITY_S
"""Time after the start of a seed from which a minority uses its part (seconds): the VMs
that it has left know that they miss it, and a window has passed."""
SPARED_FRACTION = 0.2
"""Part of the overshoot that a majority of the seeds spares for the others."""


@attrs.frozen
class SeedParts:
    """Parts of one kind of limit; all that exist at a time are at most 1 + overshoot."""

    seed_count: int
    """Seeds in the settings (count)."""
    overshoot: float = 0.0
    """Part of the limit that may be exceeded."""

    @property
    def majority(self) -> int:
        """Fewest seeds that are a majority (count)."""
        return self.seed_count // 2 + 1

    @property
    def most(self) -> float:
        """Part of a group that knows the fleet and holds a majority, but not all."""
        return 1.0 - SPARED_FRACTION * self.overshoot

    @property
    def minority(self) -> float:
        """Part of a group that knows no fleet and holds less than a majority."""
        if not self.overshoot:
            return 0.0
        whole, others = 1.0 + self.overshoot, self.seed_count - self.majority
        unknown = 1.0 - SOME_SEEDS_PART
        parts = [
            unknown,
            (whole - SOME_SEEDS_PART) / max(self.seed_count - 1, 1),
            (whole - NO_SEED_PART) / max(self.seed_count, 1),
        ]
        if others > 0:
            parts.append((whole - self.most) / others)
        if others > 1:
            parts.append((whole - unknown - SOME_SEEDS_PART) / (others - 1))
        return min(parts)

    def known(self, held: int, seedless_s: float) -> float:
        """Return the part of its shares that a group uses which knows the fleet.

        Args:
            held: Seeds that are in the group (count).
            seedless_s: Time since it held any seed (seconds).
        """
        if self.majority <= held < self.seed_count:
            return self.most
        return seed_part(held, self.seed_count, seedless_s)

    def unknown(self, held: int) -> float:
        """Return the part of a group whose seeds were restarted and know no fleet.

        Args:
            held: Such seeds that are in the group (count).
        """
        if 0 < held < self.majority:
            return self.minority
        return unknown_part(held, self.seed_count)

    def may_mature(self, held: int) -> bool:
        """Tell whether a group refills bursts: none with overshoot may be beside it.

        Args:
            held: Seeds that are in the group (count).
        """
        return not self.overshoot or held == self.seed_count
