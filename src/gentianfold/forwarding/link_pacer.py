"""Wakes the connections whose long answers wait for their turn on the link."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gentianfold.forwarding.link_schedule import LinkSchedule, LinkUser


class LinkPacer:
    """Runs the schedule of one link by the clock of the event loop.

    Attributes:
        schedule: Decides; one for all connections of the VM.
    """

    def __init__(self, schedule: LinkSchedule) -> None:
        self.schedule = schedule
        self._timer: asyncio.TimerHandle | None = None

    @property
    def _loop(self) -> asyncio.AbstractEventLoop:
        return asyncio.get_running_loop()

    def record(self, size_bytes: int) -> None:
        """Record bytes that were written."""
        self.schedule.record(size_bytes, self._loop.time())

    def take_turn(self, user: LinkUser) -> bool:
        """Return whether a user may write a piece; if not, it is called in its turn."""
        is_turn = self.schedule.take_turn(user, self._loop.time())
        if not is_turn:
            self._set_timer()
        return is_turn

    def _set_timer(self) -> None:
        if self._timer is None and self.schedule.is_waited_for:
            delay_s = self.schedule.delay_s(self._loop.time())
            self._timer = self._loop.call_later(delay_s, self._wake)

    def _wake(self) -> None:
        self._timer = None
        while (user := self.schedule.next_user(self._loop.time())) is not None:
            user.continue_answer()
        self._set_timer()
