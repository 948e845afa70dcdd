"""Wires the pure ledger to requests that wait and to messages of other VMs."""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING

from gentianfold.errors import Failure, RunState
from gentianfold.requests.once.interfaces import Send
from gentianfold.requests.once.ledger import in_doubt
from gentianfold.requests.once.messages import RunResult
from gentianfold.requests.once.records import StoredAnswer
from gentianfold.requests.once.tickets import Decided, Permission

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from gentianfold.clock import Clock
    from gentianfold.requests.once.ledger import Effect, OnceLedger
    from gentianfold.requests.once.messages import Message
    from gentianfold.requests.proxy_request import Answer, ForwardResult

Decision = Permission | StoredAnswer | Failure
"""What the ledger says of a keyed request."""


class OnceGate:
    """Runs keyed requests at most once."""

    def __init__(
        self, ledger: OnceLedger, clock: Clock, send: Callable[[str, Message], None]
    ) -> None:
        self._ledger = ledger
        self._clock = clock
        self._send = send
        self._decisions: dict[str, asyncio.Future[Decision]] = {}

    async def run(
        self,
        customer: str,
        key: bytes,
        digest: bytes,
        gives_up_at_s: float,
        forward: Callable[[Callable[[Answer], None]], Awaitable[ForwardResult]],
    ) -> ForwardResult | StoredAnswer | Failure:
        """Forward a request if it is the first with its key.

        Args:
            customer: Name of the customer.
            key: Its idempotency key.
            digest: See ``request_digest``.
            gives_up_at_s: When to refuse the request if the home didn't answer.
            forward: Forwards the request; its argument goes to the forwarder as
                ``before_delivery``.

        Returns:
            The result of ``forward``, or what the caller gets in its place.
        """
        now_s = self._clock.now_s()
        ticket, effects = self._ledger.open(customer, key, digest, gives_up_at_s, now_s)
        decision = await self._decided(ticket, effects)
        if decision is not Permission.RUN:
            assert not isinstance(decision, Permission)
            return decision
        if not self._ledger.may_run(ticket, self._clock.now_s()):
            self._give_back(ticket, decision)
            return in_doubt()
        return await self._forward(ticket, forward)

    def receive(self, vm: str, message: Message) -> None:
        """Take a message of another VM."""
        self._apply(self._ledger.handle(vm, message, self._clock.now_s()))

    def tick(self) -> None:
        """Act on time that passed; call it several times a second."""
        self._apply(self._ledger.tick(self._clock.now_s()))

    async def _decided(self, ticket: str, effects: Iterable[Effect]) -> Decision:
        # The effects may hold the decision already, so the future comes first.
        decision: asyncio.Future[Decision] = asyncio.Future()
        self._decisions[ticket] = decision
        self._apply(effects)
        try:
            return await decision
        except asyncio.CancelledError:
            if decision.done() and not decision.cancelled():
                self._give_back(ticket, decision.result())
            raise
        finally:
            self._decisions.pop(ticket, None)

    async def _forward(
        self,
        ticket: str,
        forward: Callable[[Callable[[Answer], None]], Awaitable[ForwardResult]],
    ) -> ForwardResult:
        result, answer = RunResult.UNKNOWN, None

        def keep(found: Answer) -> None:
            # Told before the caller can know, so that its next repeat finds it.
            self._finish(ticket, RunResult.ANSWERED, stored(found))

        try:
            forwarded = await forward(keep)
            result = run_result(forwarded)
            answer = None if forwarded.answer is None else stored(forwarded.answer)
            return forwarded
        finally:
            self._finish(ticket, result, answer)

    def _finish(
        self, ticket: str, result: RunResult, answer: StoredAnswer | None
    ) -> None:
        now_s = self._clock.now_s()
        self._apply(self._ledger.finish(ticket, result, answer, now_s))

    def _apply(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send(effect.vm, effect.message)
            else:
                self._decide(effect)

    def _decide(self, decided: Decided) -> None:
        waiter = self._decisions.get(decided.ticket)
        if waiter is not None and not waiter.done():
            waiter.set_result(decided.decision)
        else:
            self._give_back(decided.ticket, decided.decision)

    def _give_back(self, ticket: str, decision: Decision) -> None:
        if decision is Permission.RUN:
            self._finish(ticket, RunResult.NOT_RUN, None)


def request_digest(method: str, target: bytes, body: bytes) -> bytes:
    """Return what tells a repeat of a request from another request."""
    head = method.encode() + b" " + target + b"\n"
    return hashlib.sha256(head + body).digest()


def stored(answer: Answer) -> StoredAnswer:
    """Return an answer as the ledger keeps it."""
    return StoredAnswer(answer.status, tuple(answer.headers), answer.body)


def run_result(result: ForwardResult) -> RunResult:
    """Return what a forwarded request means for its key."""
    if result.failure is None:
        return RunResult.ANSWERED
    not_run = result.failure.code.run_state is RunState.NOT_RUN
    return RunResult.NOT_RUN if not_run else RunResult.UNKNOWN
