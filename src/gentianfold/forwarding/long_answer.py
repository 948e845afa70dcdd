"""Decides which answers are passed on in pieces, and when their upstream is held back.

The load that it answers: answers of some hundred kilobytes through links of 5 to 100
Mbit/s, beside short ones, on VMs whose memory is dear. Held whole, each costs its full
length until the last byte has left. Passed on as it comes, an answer can't be tried again
once its first byte has left, so that is done for long ones only, and as late as the bytes
that may be held allow.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.forwarding.answer_check import check_answer
from gentianfold.placement.outcome import Outcome

if TYPE_CHECKING:
    from gentianfold.forwarding.header_names import HeaderNames
    from gentianfold.forwarding.messages import Headers, Response

HOLD_BYTES = 128 << 10
"""Bytes of one answer that are held while its caller takes them more slowly than the
upstream sends (bytes). An answer that is no longer is held whole and checked."""
FIRST_BYTES = 64 << 10
"""Bytes of a long answer that must have come before the first one is passed on (bytes):
an upstream that fails until then costs the caller nothing."""
RESUME_BYTES = 64 << 10
"""Held bytes at which an upstream that was held back sends again (bytes)."""
MAX_PAUSE_S = 0.5
"""Longest time for which a slow caller holds back an upstream, and its slot, in one
answer (seconds); the rest is then received as far as there is memory."""


def stated_length(headers: Headers) -> int | None:
    """Return the length of the body that a head states; ``None`` if it states none."""
    if any(name == b"transfer-encoding" for name, _ in headers):
        return None
    values = [value.strip() for name, value in headers if name == b"content-length"]
    return int(values[0]) if len(values) == 1 and values[0].isdigit() else None


def may_pass_on(head: Response, names: HeaderNames) -> bool:
    """Tell whether an answer may be passed on while its body is being received.

    Only a success that bears the upstream's seal and no content encoding: of any other
    answer the caller may have to get none of the bytes.

    Args:
        head: The response without its body; it bears the identifier of the request.
        names: Header names of the deployment.
    """
    return (
        200 <= head.status < 300
        and check_answer(head, names).outcome is Outcome.SUCCEEDED
    )


@attrs.define
class Backpressure:
    """Tells when the upstream of one answer is held back for its caller."""

    _paused_s: float = 0.0
    _since_s: float | None = None

    @property
    def is_paused(self) -> bool:
        """Whether the upstream is held back."""
        return self._since_s is not None

    def update(self, held_bytes: int, now_s: float) -> bool:
        """Return whether to hold back the upstream from now on.

        Args:
            held_bytes: Bytes that were received and that the caller has not taken.
            now_s: Current time (seconds).
        """
        if self._since_s is None:
            if held_bytes >= HOLD_BYTES and self._paused_s < MAX_PAUSE_S:
                self._since_s = now_s
        elif held_bytes <= RESUME_BYTES or self.paused_s(now_s) >= MAX_PAUSE_S:
            self._paused_s = self.paused_s(now_s)
            self._since_s = None
        return self.is_paused

    def end(self, now_s: float) -> None:
        """End a pause, as nothing more is received."""
        self._paused_s, self._since_s = self.paused_s(now_s), None

    def paused_s(self, now_s: float) -> float:
        """Return for how long the upstream was held back in all (seconds)."""
        since_s = now_s if self._since_s is None else self._since_s
        return self._paused_s + now_s - since_s

    def left_s(self, now_s: float) -> float:
        """Return after which time the present pause ends at the latest (seconds)."""
        return max(MAX_PAUSE_S - self.paused_s(now_s), 0.0)
