"""Lets requests through to a service as slots become free, in fair order."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from gentianfold.requests.fair_queue import FairQueue, Refused, Waiting

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianfold.clock import Clock
    from gentianfold.errors import Failure


@attrs.define
class _Service:
    queue: FairQueue
    slots: int
    taken: int = 0


class SlotGate:
    """Counts the slots that this VM may use of each service.

    A free slot is taken without a wait and without a task switch. Futures of asyncio
    wake the waiting requests: an event of anyio costs a checkpoint more for each.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._services: dict[str, _Service] = {}
        self._turns: dict[Waiting, asyncio.Future[Failure | None]] = {}

    def set_service(self, service: str, slots: int, max_queue: int) -> None:
        """Add a service, or change how many slots and waiting requests it has."""
        row = self._services.get(service)
        if row is None:
            self._services[service] = _Service(FairQueue(max_queue), slots)
            return
        row.slots = slots
        row.queue.max_queue = max_queue
        self._let_through(row)

    async def enter(self, service: str, waiting: Waiting) -> Failure | None:
        """Take a slot, after a wait perhaps; ``leave`` must follow unless refused."""
        row = self._services.get(service)
        if row is None:
            return None
        if row.taken < row.slots and not len(row.queue):
            row.taken += 1
            return None
        turn: asyncio.Future[Failure | None] = asyncio.Future()
        self._turns[waiting] = turn
        self._refuse(row.queue.push(waiting, self._clock.now_s()))
        self._let_through(row)
        try:
            return await turn
        except asyncio.CancelledError:
            self._forget(row, waiting, turn)
            raise

    def leave(self, service: str) -> None:
        """Free a slot for the next request."""
        row = self._services.get(service)
        if row is not None:
            row.taken -= 1
            self._let_through(row)

    def tick(self) -> None:
        """Refuse the requests that can't be served in time any more."""
        now_s = self._clock.now_s()
        for row in self._services.values():
            self._refuse(row.queue.expire(now_s))

    def remove_key(self, key: str) -> None:
        """Refuse the waiting requests of a withdrawn key."""
        for row in self._services.values():
            self._refuse(row.queue.remove_key(key))

    def remove_customer(self, customer: str) -> None:
        """Refuse the waiting requests of a customer that lost its access."""
        for row in self._services.values():
            self._refuse(row.queue.remove_customer(customer))

    def waiting_count(self, service: str) -> int:
        """Return the number of requests that wait."""
        row = self._services.get(service)
        return len(row.queue) if row else 0

    def _let_through(self, row: _Service) -> None:
        while row.taken < row.slots and len(row.queue):
            waiting, refused = row.queue.pop(self._clock.now_s())
            self._refuse(refused)
            if waiting is not None:
                row.taken += 1
                self._resolve(waiting, None)

    def _refuse(self, refused: Iterable[Refused]) -> None:
        for one in refused:
            self._resolve(one.waiting, one.failure)

    def _resolve(self, waiting: Waiting, failure: Failure | None) -> None:
        turn = self._turns.pop(waiting)
        if not turn.done():
            turn.set_result(failure)

    def _forget(
        self, row: _Service, waiting: Waiting, turn: asyncio.Future[Failure | None]
    ) -> None:
        if waiting in self._turns:
            del self._turns[waiting]
            row.queue.cancel(waiting)
        elif turn.done() and not turn.cancelled() and turn.result() is None:
            # The slot was given in the same turn of the loop as the cancellation.
            row.taken -= 1
            self._let_through(row)
