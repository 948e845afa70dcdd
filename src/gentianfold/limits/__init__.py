"""Rates and bursts that count over all VMs together."""

from __future__ import annotations

from gentianfold.limits.admission import Admitted, Settled, Waiting
from gentianfold.limits.limiter import Limiter
from gentianfold.limits.share_table import OwnSlot, RemoteOwner

__all__ = ["Admitted", "Limiter", "OwnSlot", "RemoteOwner", "Settled", "Waiting"]
