"""Reads the rate limit that an upstream states in a response."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from loguru import logger

from gentianfold.placement.rate_limiter import UNLIMITED

if TYPE_CHECKING:
    from gentianfold.forwarding.messages import Response

_DECIMAL = re.compile(rb"[0-9]{1,32}(\.[0-9]{1,32})?")


def parse_limit(response: Response, header_name: bytes) -> float | None:
    """Return the rate limit that a response states.

    Args:
        response: A response of the upstream.
        header_name: Name of the header, in lower case.

    Returns:
        The limit (requests per second), the lowest if there are several; infinite if
        the response has no such header; ``None`` if no value is a decimal number.
    """
    values = [
        value.strip()
        for name, field in response.headers
        if name == header_name
        for value in field.split(b",")
    ]
    if not values:
        return UNLIMITED
    limits = [float(value) for value in values if _DECIMAL.fullmatch(value)]
    if not limits:
        logger.warning("upstream: ignored invalid rate limit {!r}", values[0][:32])
    return min(limits, default=None)
