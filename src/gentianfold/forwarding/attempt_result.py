"""Result of one attempt of a request, and which of several the caller gets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.outcome import Outcome

if TYPE_CHECKING:
    from gentianfold.forwarding.messages import Response
    from gentianfold.placement.slot_request import Refused

_SEVERITY = {
    Outcome.SUCCEEDED: 0,
    Outcome.FAILED: 2,
    Outcome.TIMED_OUT: 3,
    Outcome.SHED: 4,
    Outcome.CONNECT_FAILED: 4,
    Outcome.MISDIRECTED: 4,
    Outcome.CANCELLED: 5,
}


@attrs.frozen(eq=False, repr=False)
class AttemptResult:
    """Result of an attempt."""

    outcome: Outcome
    """How the attempt ended."""
    response: Response | None = None
    """The upstream's complete response; ``None`` if it is not passed on."""
    refused: Refused | None = None
    """The refusal; ``None`` unless the attempt got no slot in time."""
    detail: str = ""
    """Cause of a failure, for the log and the error response; empty if there is none."""
    rate_limit_per_s: float | None = None
    """Rate limit that the upstream's answer states (requests per second); infinite if it
    states none, ``None`` without an answer."""
    pause_s: float | None = None
    """Time for which the upstream wants no requests of this VM (seconds); ``None`` if it
    states none."""
    is_withdrawn: bool = False
    """Whether nothing was sent, as the upstream had refused further requests."""
    is_passed_on: bool = False
    """Whether the caller got bytes of the answer, so that this is the final result."""

    @property
    def severity(self) -> int:
        """Rank of the result: the lowest of several is returned to the caller."""
        if self.is_passed_on:
            return -1
        if self.refused is not None:
            return 6
        # An upstream's error response tells the caller more than a missing response.
        return _SEVERITY[self.outcome] - (
            self.response is not None and self.outcome != 0
        )

    @property
    def is_retryable(self) -> bool:
        """Whether another attempt may succeed."""
        return self.outcome.is_failure and not self.is_passed_on
