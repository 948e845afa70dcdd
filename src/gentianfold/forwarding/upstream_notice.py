"""Reads what an upstream states about itself: leaving, pausing, warming up."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import attrs
from loguru import logger

if TYPE_CHECKING:
    from gentianfold.forwarding.header_names import HeaderNames
    from gentianfold.forwarding.messages import Response

MAX_PAUSE_S = 600.0
"""Longest pause that is kept (seconds); a longer one is shortened to it."""
MAX_WARMUP_S = 60.0
"""Longest warm-up that an answer may state (seconds); a longer one is shortened to it."""
_SECONDS = re.compile(rb"[0-9]{1,32}(\.[0-9]{1,32})?")


@attrs.frozen
class UpstreamNotice:
    """What a response states about the upstream."""

    is_leaving: bool = False
    """Whether the upstream is about to end."""
    pause_s: float | None = None
    """Time for which it wants no requests of this VM (seconds); ``None`` if it states
    none."""
    warmup_s: float = 0.0
    """Time for which it remains cold (seconds); 0 if it states none."""


NO_NOTICE = UpstreamNotice()
"""Notice of a response that states nothing."""


@attrs.define(eq=False, repr=False)
class NoticeReader:
    """Reads notices; logs the first invalid one only."""

    names: HeaderNames
    """Header names of the deployment."""
    _has_logged: bool = False

    def read(self, response: Response) -> UpstreamNotice:
        """Return what a response states about its upstream.

        A pause counts only with status 503. An invalid one is ignored, and of several
        the longest counts.
        """
        leaving = response.header(self.names.leaving)
        is_leaving = leaving is not None and leaving.strip() == b"1"
        pause_s = self._read_pause_s(response) if response.status == 503 else None
        warmup_s = self._read_warmup_s(response)
        if not is_leaving and pause_s is None and not warmup_s:
            return NO_NOTICE
        return UpstreamNotice(is_leaving, pause_s, warmup_s)

    def _read_warmup_s(self, response: Response) -> float:
        value = response.header(self.names.warmup)
        if value is None or not _SECONDS.fullmatch(value.strip()):
            return 0.0
        return min(float(value) / 1000, MAX_WARMUP_S)

    def _read_pause_s(self, response: Response) -> float | None:
        values = [
            value.strip()
            for name, field in response.headers
            if name == b"retry-after"
            for value in field.split(b",")
        ]
        pauses_s = [float(value) for value in values if _SECONDS.fullmatch(value)]
        if values and not pauses_s and not self._has_logged:
            self._has_logged = True
            logger.warning("upstream: ignored invalid pause {!r}", values[0][:32])
        return min(max(pauses_s), MAX_PAUSE_S) if pauses_s else None
