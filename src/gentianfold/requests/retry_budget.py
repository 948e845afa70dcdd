"""A budget that keeps retries to a fraction of the recent requests of a service.

Every VM holds its retries to the same fraction of its own requests, so the fleet
holds them to that fraction too, without a message between VMs.
"""

from __future__ import annotations

import attrs


@attrs.define
class RetryBudget:
    """A balance that requests raise by ``ratio`` and retries lower by one."""

    ratio: float = 0.1
    """Retries allowed for each request."""
    reserve: float = 3.0
    """Retries allowed before any request was counted."""
    capacity: float = 10.0
    """Most retries that past requests can pay for in advance."""
    balance: float = attrs.field(init=False)
    """Retries that may be sent now."""

    def __attrs_post_init__(self) -> None:
        self.balance = self.reserve

    def count_request(self) -> None:
        """Count a request that is sent for the first time."""
        self.balance = min(self.capacity, self.balance + self.ratio)

    def take_retry(self) -> bool:
        """Return whether a retry may be sent, and count it."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
