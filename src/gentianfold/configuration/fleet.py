"""Options that hold for the whole fleet."""

from __future__ import annotations

import attrs


@attrs.frozen
class FleetOptions:
    """Options of the ``fleet`` shard."""

    retired: tuple[str, ...] = ()
    """Names of VMs that operators know to be off for good."""
    share_slots: int = 1024
    """Number of share slots; never changed while the fleet runs."""
    keep_fraction: float = 1 / 6
    """Fraction of the listed VMs that must acknowledge a VM's slots."""
    isolation_acks: int | None = None
    """Direct peers that keep a VM from being isolated; ``None`` for a sixth of them."""
    clean_start: bool = False
    """Whether no fleet ran here lately, so that no record of a key can be missing.

    Published for the first installation only, and taken back afterwards.
    """
