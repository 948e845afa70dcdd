"""Pauses reading from a caller and still notices its end."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from gentianfold.forwarding.memory_budget import UNREAD_BYTES

if TYPE_CHECKING:
    import asyncio

    from gentianfold.forwarding.hangup_watcher import HangupWatcher
    from gentianfold.forwarding.memory_budget import Claim


class PausableReading:
    """Reading from one transport; what waits unread in its socket is claimed."""

    def __init__(
        self,
        transport: asyncio.Transport,
        claim: Claim,
        hangups: HangupWatcher | None,
        on_hangup: Callable[[], None],
    ) -> None:
        """Read until the first pause.

        Args:
            transport: The connection.
            claim: Memory of the bytes that wait in the socket.
            hangups: Notices the end of the caller during a pause; ``None`` for not.
            on_hangup: Called when it is noticed.
        """
        self._transport = transport
        self._claim = claim
        self._hangups = hangups
        self._on_hangup = on_hangup
        self._is_paused = False
        sock = transport.get_extra_info("socket")
        self._fd = sock.fileno() if sock is not None else -1

    def pause(self) -> None:
        """Stop to read; no effect during a pause."""
        if self._is_paused:
            return
        self._is_paused = True
        self._claim.force_to(UNREAD_BYTES)
        self._transport.pause_reading()
        if self._hangups is not None and self._fd >= 0:
            self._hangups.watch(self._fd, self._on_hangup)

    def resume(self) -> None:
        """Read on after a pause."""
        if not self._is_paused:
            return
        self.end()
        self._transport.resume_reading()

    def end(self) -> None:
        """End the pause without reading on, as the connection is lost."""
        self._is_paused = False
        self._claim.release()
        if self._hangups is not None:
            self._hangups.unwatch(self._fd)
