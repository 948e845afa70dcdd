"""The result of a placement decision."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.model import Upstream


class Reason(enum.Enum):
    """Why an upstream was chosen, as the decision log line states it."""

    ONLY_ONE = "only candidate"
    """No other upstream was eligible."""
    LESS_LOAD = "less loaded of two"
    """The less loaded of two random candidates."""
    SAME_ZONE = "same zone"
    """Loads were close; one is in the zone of this VM."""
    NO_NEWS = "no news of it for longest"
    """Loads were close; no VM used one of them lately."""
    FREE_SLOT = "found by scan"
    """The random candidates were unfit; a scan found one."""
    VERIFY = "verifies a suspect"
    """Confirms or clears a suspicion."""
    TRIAL = "trial of an ejected upstream"
    """Tests whether an ejected upstream has recovered."""
    LAST_RESORT = "least bad, none healthy is left"
    """Only removed upstreams were left."""


@attrs.frozen
class Choice:
    """An upstream for one attempt."""

    upstream: Upstream
    """The chosen upstream."""
    reason: Reason
    """Why it was chosen."""
    trial: bool = False
    """Whether the attempt tests an upstream that may be sick."""
