"""Runs each request with an idempotency key at most once over the fleet."""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from gentianfold.codes.daemon import KEYED_BODY_TOO_LARGE
from gentianfold.codes.requests import CALLER_GONE, KEY_HOME_IN_DOUBT
from gentianfold.errors import Failure, RunState
from gentianfold.requests.once.codec import decode, encode
from gentianfold.requests.once.messages import RunResult
from gentianfold.requests.once.records import StoredAnswer
from gentianfold.requests.once.tickets import Decided
from gentianfold.requests.proxy_request import (
    Answer,
    BrokenAnswerError,
    CallerGoneError,
    ForwardResult,
)
from gentianfold.requests.request_body import RequestBody

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianfold.clock import Clock
    from gentianfold.daemon.request_context import RequestContext
    from gentianfold.daemon.runner import Runner
    from gentianfold.peers.exchange import PeerRequest
    from gentianfold.peers.node import PeerNode
    from gentianfold.requests.asgi_caller import AsgiCaller
    from gentianfold.requests.once.ledger import Effect, OnceLedger
    from gentianfold.requests.once.tickets import Permission
    from gentianfold.requests.proxy_request import ProxyRequest

    Decision = Permission | StoredAnswer | Failure

TOPIC = "once"
"""Topic of the notices between ledgers."""
DECISION_TIMEOUT_S = 1.5
"""Longest wait for the home of a key (seconds)."""


@attrs.define(eq=False, repr=False)
class OnceGate:
    """Lets keyed requests through to ``inner`` once their record is safe."""

    ledger: OnceLedger
    """Decides."""
    inner: Runner
    """Runs requests."""
    node: PeerNode
    """Talks to the peers."""
    clock: Clock
    """Elapsed time."""
    _waiting: dict[str, asyncio.Future[Decision]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.node.handle(TOPIC, self._receive)

    async def run(
        self, context: RequestContext, request: ProxyRequest, caller: AsgiCaller
    ) -> ForwardResult:
        """Run the request; a failure in the result was not sent yet."""
        if request.route.idempotent or not context.idempotency_key:
            return await self.inner.run(context, request, caller)
        try:
            body = await RequestBody.read(request, caller)
        except CallerGoneError:
            return ForwardResult(failure=Failure(CALLER_GONE))
        if isinstance(body, Failure):
            return ForwardResult(failure=body)
        if not body.complete:
            return ForwardResult(failure=Failure(KEYED_BODY_TOO_LARGE))
        return await self._admit(context, request, caller, body)

    def tick(self) -> None:
        """Act on time that passed."""
        self._do(self.ledger.tick(self.clock.now_s()))

    async def _admit(
        self,
        context: RequestContext,
        request: ProxyRequest,
        caller: AsgiCaller,
        body: RequestBody,
    ) -> ForwardResult:
        now_s = self.clock.now_s()
        ticket, effects = self.ledger.open(
            request.customer,
            context.idempotency_key,
            request_digest(request, body.held),
            min(request.deadline_s, now_s + DECISION_TIMEOUT_S),
            now_s,
        )
        decision = await self._decide(ticket, effects)
        if isinstance(decision, Failure):
            return ForwardResult(failure=decision)
        if isinstance(decision, StoredAnswer):
            await caller.start(decision.status, list(decision.headers))
            await caller.write(decision.body, last=True)
            return ForwardResult(status=decision.status)
        return await self._run(ticket, context, request, caller, body)

    async def _decide(self, ticket: str, effects: Iterable[Effect]) -> Decision:
        future: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = future
        try:
            self._do(effects)
            return await future
        except asyncio.CancelledError:
            # Nobody will run it: the key is free for a repeat.
            self._finish(ticket, RunResult.NOT_RUN, None)
            raise
        finally:
            del self._waiting[ticket]

    async def _run(
        self,
        ticket: str,
        context: RequestContext,
        request: ProxyRequest,
        caller: AsgiCaller,
        body: RequestBody,
    ) -> ForwardResult:
        result = RunResult.UNKNOWN
        stored: list[StoredAnswer] = []

        def keep(answer: Answer) -> None:
            # Repeats must find the answer from before the caller sees it.
            stored.append(
                StoredAnswer(answer.status, tuple(answer.headers), answer.body)
            )
            self._finish(ticket, RunResult.ANSWERED, stored[0])

        try:
            if not self.ledger.may_run(ticket, self.clock.now_s()):
                result = RunResult.NOT_RUN
                return ForwardResult(failure=Failure(KEY_HOME_IN_DOUBT))
            outcome = await self.inner.run(context, request, caller, body, keep)
            result = _run_result(outcome)
            return outcome
        except BrokenAnswerError:
            result = RunResult.ANSWERED
            raise
        finally:
            if not stored:
                self._finish(ticket, result, None)

    def _finish(
        self, ticket: str, result: RunResult, answer: StoredAnswer | None
    ) -> None:
        self._do(self.ledger.finish(ticket, result, answer, self.clock.now_s()))

    def _do(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            if not isinstance(effect, Decided):
                self.node.tell(effect.vm, TOPIC, encode(effect.message))
                continue
            future = self._waiting.get(effect.ticket)
            if future is not None and not future.done():
                future.set_result(effect.decision)

    def _receive(self, request: PeerRequest) -> None:
        message = decode(request.payload)
        if isinstance(message, Failure):
            logger.warning("once: a message of {}: {}", request.peer, message)
            return
        self._do(self.ledger.handle(request.peer, message, self.clock.now_s()))


def request_digest(request: ProxyRequest, body: bytes) -> bytes:
    """Return the digest of all that makes a request the same as another."""
    head = request.method.encode() + b"\0" + request.target + b"\0"
    return hashlib.sha256(head + body).digest()


def _run_result(outcome: ForwardResult) -> RunResult:
    """Return what became of a request that may have been forwarded."""
    if outcome.failure is None:
        return RunResult.ANSWERED
    if outcome.failure.code.run_state is RunState.NOT_RUN:
        return RunResult.NOT_RUN
    return RunResult.UNKNOWN
