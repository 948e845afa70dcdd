"""Reads what an upstream states about itself in a response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.forwarding.header_names import HeaderNames
    from gentianfold.forwarding.messages import Response


@attrs.frozen
class UpstreamNotice:
    """What a response states about the upstream."""

    is_leaving: bool = False
    """Whether the upstream is about to end."""


NO_NOTICE = UpstreamNotice()
"""Notice of a response that states nothing."""


def read_notice(response: Response, names: HeaderNames) -> UpstreamNotice:
    """Return what a response states about its upstream."""
    leaving = response.header(names.leaving)
    if leaving is None or leaving.strip() != b"1":
        return NO_NOTICE
    return UpstreamNotice(is_leaving=True)
