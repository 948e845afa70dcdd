"""Cancels the work on a request when its caller hangs up."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

if TYPE_CHECKING:
    import anyio

    from gentianfold.requests.proxy_request import CallerStream


WATCH_AFTER_S = 0.02
"""Time that a request runs before its caller is watched."""


class HangupWatch:
    """Waits for the end of the caller's connection beside the request.

    One plain task does it: a task group of anyio costs several times as much and has
    nothing to add for a task without children. Requests that are answered at once
    never get that far: a timer costs less than a task and its cancellation.
    """

    def __init__(self, caller: CallerStream, enabled: bool) -> None:
        self._caller = caller
        self._enabled = enabled
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._scope: anyio.CancelScope | None = None
        self.gone = False
        """Whether the caller hung up."""

    def __enter__(self) -> Self:
        if self._enabled:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(WATCH_AFTER_S, self._start, loop)
        return self

    def _start(self, loop: asyncio.AbstractEventLoop) -> None:
        self._task = loop.create_task(self._caller.wait_gone())
        self._task.add_done_callback(self._ended)

    def __exit__(self, *_: object) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.remove_done_callback(self._ended)
            self._task.cancel()

    def guard(self, scope: anyio.CancelScope | None) -> None:
        """Cancel ``scope`` when the caller hangs up, or if it did already."""
        self._scope = scope
        if scope is not None and self.gone:
            scope.cancel()

    def _ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        task.exception()
        self.gone = True
        if self._scope is not None:
            self._scope.cancel()
