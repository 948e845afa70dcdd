"""Lets requests wait for scarce upstream slots in fair order."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from gentianfold.codes.requests import CALLER_GONE
from gentianfold.codes.routing import NO_FREE_SLOT
from gentianfold.errors import Failure
from gentianfold.requests.fair_queue import FairQueue, Waiting
from gentianfold.requests.proxy_request import CallerGoneError, ForwardResult
from gentianfold.requests.request_body import RequestBody

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from gentianfold.clock import Clock
    from gentianfold.daemon.published_view import PublishedView
    from gentianfold.daemon.request_context import RequestContext
    from gentianfold.daemon.runner import Runner
    from gentianfold.requests.asgi_caller import AsgiCaller
    from gentianfold.requests.fair_queue import Refused
    from gentianfold.requests.proxy_request import Answer, ProxyRequest
    from gentianfold.routing.router import Router

DEFAULT_MAX_QUEUE = 256
"""Requests that may wait for a service without a rule (requests)."""


@attrs.define(eq=False, repr=False)
class _ServiceQueue:
    """The requests that wait for one service."""

    queue: FairQueue
    futures: dict[Waiting, asyncio.Future[Failure | None]] = attrs.field(factory=dict)
    granted_count: int = 0


@attrs.define(eq=False, repr=False)
class QueueRunner:
    """Runs requests through ``inner``, and queues those that find no free slot.

    While nobody waits, a request goes straight to placement. Once the slots of a
    service are taken, requests wait in a weighted fair queue by customer.
    """

    inner: Runner
    """Places and forwards."""
    router: Router
    """Knows the free slots."""
    view: PublishedView
    """The services and keys in force."""
    clock: Clock
    """Elapsed time."""
    _queues: dict[str, _ServiceQueue] = attrs.field(factory=dict)

    async def run(
        self,
        context: RequestContext,
        request: ProxyRequest,
        caller: AsgiCaller,
        body: RequestBody | None = None,
        before_delivery: Callable[[Answer], None] | None = None,
    ) -> ForwardResult:
        """Run the request; a failure in the result was not sent yet."""
        service = request.route.service
        row = self._row(service)
        try:
            read = body or await RequestBody.read(request, caller)
        except CallerGoneError:
            return ForwardResult(failure=Failure(CALLER_GONE))
        if isinstance(read, Failure):
            return ForwardResult(failure=read)
        waits = len(row.queue) > 0
        while True:
            if waits:
                refusal = await self._wait(row, context, request)
                if refusal is not None:
                    return ForwardResult(failure=refusal)
            result = await self.inner.run(
                context, request, caller, read, before_delivery
            )
            self._grant(service, row)
            if not _found_no_slot(result):
                return result
            waits = True

    def tick(self) -> None:
        """Refuse what comes too late and hand out free slots."""
        now_s = self.clock.now_s()
        for service, row in self._queues.items():
            self._refuse(row, row.queue.expire(now_s))
            self._grant(service, row)

    def drop_withdrawn(self) -> None:
        """Refuse the waiting requests whose key was withdrawn."""
        for row in self._queues.values():
            keys = {waiting.key for waiting in row.futures if waiting.key}
            for key in keys:
                if isinstance(self.view.identify_digest(key), Failure):
                    self._refuse(row, row.queue.remove_key(key))

    def waiting_counts(self) -> dict[str, int]:
        """Return the number of waiting requests by service."""
        return {name: len(row.queue) for name, row in self._queues.items()}

    def _row(self, service: str) -> _ServiceQueue:
        row = self._queues.get(service)
        if row is None:
            known = (
                self.view.snapshot.services.get(service) if self.view.snapshot else None
            )
            size = known.max_queue if known else DEFAULT_MAX_QUEUE
            row = self._queues[service] = _ServiceQueue(FairQueue(size))
        return row

    async def _wait(
        self, row: _ServiceQueue, context: RequestContext, request: ProxyRequest
    ) -> Failure | None:
        identity = context.identity
        waiting = Waiting(
            context.request_id,
            request.customer,
            request.deadline_s,
            identity.customer.weight if identity else 1.0,
            identity.key_digest if identity else "",
        )
        future = asyncio.get_running_loop().create_future()
        row.futures[waiting] = future
        try:
            self._refuse(row, row.queue.push(waiting, self.clock.now_s()))
            refusal: Failure | None = await future
        except asyncio.CancelledError:
            row.queue.cancel(waiting)
            raise
        finally:
            del row.futures[waiting]
        if refusal is None:
            row.granted_count -= 1
        return refusal

    def _grant(self, service: str, row: _ServiceQueue) -> None:
        """Give free slots to those who wait, in fair order."""
        if not len(row.queue):
            return
        now_s = self.clock.now_s()
        free = self.router.free_slots(service, now_s) - row.granted_count
        for _ in range(free):
            waiting, refused = row.queue.pop(now_s)
            self._refuse(row, refused)
            if waiting is None:
                return
            future = row.futures.get(waiting)
            if future is not None and not future.done():
                row.granted_count += 1
                future.set_result(None)

    def _refuse(self, row: _ServiceQueue, refused: Iterable[Refused]) -> None:
        for one in refused:
            future = row.futures.get(one.waiting)
            if future is not None and not future.done():
                future.set_result(one.failure)


def _found_no_slot(result: ForwardResult) -> bool:
    """Tell whether a request found all slots taken before its first attempt."""
    return (
        result.failure is not None
        and result.failure.code is NO_FREE_SLOT
        and not result.attempts
    )
