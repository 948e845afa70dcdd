"""The operator port: status, decisions, metrics, readiness and drain."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol
from urllib.parse import parse_qs

import attrs

from gentianfold.daemon.answers import send_json, send_text

if TYPE_CHECKING:
    from gentianfold.daemon.answers import Send
    from gentianfold.daemon.decision_log import DecisionLog

MAX_DECISIONS_PER_ANSWER = 1000
"""Most decisions in one answer (rows)."""


class VmStatus(Protocol):
    """What the operator port shows of a VM and may ask of it."""

    def status(self) -> dict[str, Any]:
        """Return the state of all parts."""
        ...

    def exposition(self) -> str:
        """Return the metrics as text."""
        ...

    def not_ready_reason(self) -> str:
        """Return why callers should go elsewhere; empty when ready."""
        ...

    def drain(self) -> None:
        """Start a planned stop."""
        ...


@attrs.define
class OperatorApp:
    """ASGI application of the operator port."""

    vm: VmStatus
    """The VM that is shown."""
    decisions: DecisionLog
    """Its decision log."""

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Send) -> None:
        """Answer one request."""
        route = (scope["method"], scope["path"])
        if route == ("GET", "/status"):
            await send_json(send, self.vm.status())
        elif route == ("GET", "/decisions"):
            await self._send_decisions(scope, send)
        elif route == ("GET", "/metrics"):
            await send_text(send, self.vm.exposition())
        elif route == ("GET", "/live"):
            await send_text(send, "live\n")
        elif route == ("GET", "/ready"):
            await self._send_readiness(send)
        elif route == ("POST", "/drain"):
            self.vm.drain()
            await send_json(send, {"state": "draining"}, 202)
        else:
            await send_json(send, {"message": "no such operator endpoint"}, 404)

    async def _send_decisions(self, scope: dict[str, Any], send: Send) -> None:
        query = parse_qs(scope["query_string"].decode("ascii", "replace"))
        after = query.get("after", ["0"])[-1]
        if not (after.isascii() and after.isdigit() and len(after) < 19):
            await send_json(send, {"message": "after must be a number"}, 400)
            return
        rows = self.decisions.after(int(after), MAX_DECISIONS_PER_ANSWER)
        lines = [{"seq": seq, "text": text} for seq, text in rows]
        last = rows[-1][0] if rows else min(int(after), self.decisions.next_seq - 1)
        await send_json(send, {"next": last, "lines": lines})

    async def _send_readiness(self, send: Send) -> None:
        reason = self.vm.not_ready_reason()
        if reason:
            await send_text(send, f"not ready: {reason}\n", 503)
            return
        await send_text(send, "ready\n")
