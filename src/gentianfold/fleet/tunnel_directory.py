"""VMs through which this VM may reach upstreams, and the tokens that open them."""

from __future__ import annotations

import hmac
import os
from collections.abc import Callable

import attrs

TOKEN_BYTES = 16
"""Length of a token (bytes)."""
TOKEN_TERM_S = 30.0
"""Time for which a token is accepted (seconds)."""
TOKEN_REUSE_S = 20.0
"""Time for which a token is used (seconds): it is still accepted on arrival."""
FAILED_VM_S = 1.0
"""Time for which a VM that opened no tunnel is not asked again (seconds)."""


@attrs.define(eq=False, repr=False)
class TunnelDirectory:
    """Tokens that this VM got from others, and those that it gave; does no I/O."""

    candidates: tuple[str, ...] = ()
    """VMs that have paths to the upstreams, as told by the broker, best first."""
    link_used_mbps: Callable[[float], float] = lambda _: 0.0
    """Returns the use of this VM's link (megabits per second) at a time (seconds)."""
    _received: dict[str, tuple[bytes, float]] = attrs.field(factory=dict)
    _given: dict[str, tuple[bytes, float]] = attrs.field(factory=dict)
    _failed_s: dict[str, float] = attrs.field(factory=dict)
    _turn: int = 0

    def usable(self, others: tuple[str, ...], now_s: float) -> list[str]:
        """Return the VMs to ask, in turn, those that failed recently last.

        Args:
            others: VMs to ask if the broker named none.
            now_s: Current time (seconds).
        """
        vms = list(dict.fromkeys(self.candidates or others))
        if vms:
            self._turn += 1
            first = self._turn % len(vms)
            vms = vms[first:] + vms[:first]
        return sorted(vms, key=lambda vm: self._failed_recently(vm, now_s))

    def record_failure(self, vm: str, now_s: float) -> None:
        """Record that a VM opened no tunnel; its token may be of an earlier start."""
        self._failed_s[vm] = now_s
        self._received.pop(vm, None)

    def record_token(self, vm: str, token: bytes, now_s: float) -> None:
        """Record the token by which a VM accepts tunnels of this VM."""
        self._received[vm] = (token, now_s + TOKEN_REUSE_S)

    def token_for(self, vm: str, now_s: float) -> bytes | None:
        """Return the token of a VM; ``None`` if there is none that is valid."""
        token, until_s = self._received.get(vm, (b"", now_s))
        return token if now_s < until_s else None

    def give_token(self, vm: str, now_s: float) -> bytes:
        """Return the token by which this VM accepts tunnels of another one."""
        self._given = {
            name: entry for name, entry in self._given.items() if entry[1] > now_s
        }
        token, until_s = self._given.get(vm, (b"", now_s))
        if until_s - now_s < TOKEN_REUSE_S:
            token = os.urandom(TOKEN_BYTES)
        self._given[vm] = (token, now_s + TOKEN_TERM_S)
        return token

    def accepts(self, vm: str, token: bytes, now_s: float) -> bool:
        """Tell whether a tunnel that another VM opens with a token is accepted."""
        given, until_s = self._given.get(vm, (b"", now_s))
        return now_s < until_s and hmac.compare_digest(given, token)

    def _failed_recently(self, vm: str, now_s: float) -> bool:
        return now_s - self._failed_s.get(vm, -1e9) < FAILED_VM_S
