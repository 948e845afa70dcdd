"""Notices that a peer has ended a connection that is not read.

A transport that does not read sees neither the end nor a reset of its connection. The
kernel tells of both apart from the bytes, so nothing has to be read or kept.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
from collections.abc import Callable

_EVENTS = select.EPOLLRDHUP | select.EPOLLONESHOT


class HangupWatcher:
    """Watches connections of one event loop while they are not read."""

    def __init__(self) -> None:
        self._epoll: select.epoll | None = None
        self._callbacks: dict[int, Callable[[], None]] = {}

    def watch(self, fd: int, on_hangup: Callable[[], None]) -> None:
        """Call ``on_hangup`` once if the peer ends or resets the connection.

        Args:
            fd: File descriptor of the connection.
            on_hangup: The callback.
        """
        if self._epoll is None:
            self._epoll = select.epoll()
            asyncio.get_running_loop().add_reader(self._epoll.fileno(), self._poll)
        self._callbacks[fd] = on_hangup
        self._epoll.register(fd, _EVENTS)

    def unwatch(self, fd: int) -> None:
        """Stop to watch a connection; it may be unknown."""
        if self._callbacks.pop(fd, None) is not None and self._epoll is not None:
            # The kernel forgets a descriptor that was closed.
            with contextlib.suppress(OSError):
                self._epoll.unregister(fd)

    def close(self) -> None:
        """Stop to watch all connections."""
        self._callbacks.clear()
        if self._epoll is not None:
            asyncio.get_running_loop().remove_reader(self._epoll.fileno())
            self._epoll.close()
            self._epoll = None

    def _poll(self) -> None:
        if self._epoll is None:
            return
        for fd, _ in self._epoll.poll(0):
            callback = self._callbacks.get(fd)
            self.unwatch(fd)
            if callback is not None:
                callback()
