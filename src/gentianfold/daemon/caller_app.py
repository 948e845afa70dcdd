"""The caller port: one request through every gate, and its answer back."""

from __future__ import annotations

import itertools
from collections import Counter
from typing import TYPE_CHECKING, Any, Protocol

import attrs
from loguru import logger

from gentianfold.codes.daemon import INTERNAL_ERROR
from gentianfold.codes.requests import (
    CALLER_GONE,
    IDEMPOTENCY_KEY_MISSING,
    NOT_READY,
)
from gentianfold.daemon.answers import send_failure
from gentianfold.daemon.decision import Decision
from gentianfold.daemon.request_context import RequestContext
from gentianfold.errors import Failure
from gentianfold.keys import check_target, extract_key
from gentianfold.requests.asgi_caller import AsgiCaller
from gentianfold.requests.protocol import IDEMPOTENCY_KEY_HEADER
from gentianfold.requests.proxy_request import (
    BrokenAnswerError,
    ForwardResult,
    ProxyRequest,
)
from gentianfold.requests.request_head import check_request_head

if TYPE_CHECKING:
    from gentianfold.clock import Clock
    from gentianfold.daemon.answers import Headers, Send
    from gentianfold.daemon.decision_log import DecisionLog
    from gentianfold.daemon.metrics import Metrics
    from gentianfold.daemon.published_view import PublishedView
    from gentianfold.daemon.vm_state import VmState

FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
"""Headers of requests that have a body."""
CLOSE_HEADERS: Headers = [(b"connection", b"close")]
"""Tells a caller to connect again, to another VM."""


class Admission(Protocol):
    """Decides whether the limits of a customer allow a request now."""

    async def admit(self, context: RequestContext) -> Failure | None:
        """Take a token for the request, waiting a few milliseconds if need be."""
        ...


class Isolation(Protocol):
    """Tells whether this VM could hear of a withdrawn key."""

    def is_isolated(self, now_s: float) -> bool:
        """Return whether requests that need a key must be refused."""
        ...


class RequestRunner(Protocol):
    """Runs an admitted request and delivers its answer."""

    async def run(
        self, context: RequestContext, request: ProxyRequest, caller: AsgiCaller
    ) -> ForwardResult:
        """Run the request; a failure in the result was not sent yet."""
        ...


@attrs.define
class CallerApp:
    """ASGI application of the caller port."""

    vm_name: str
    """Name of this VM, the start of request ids."""
    view: PublishedView
    """The rules and keys in force."""
    state: VmState
    """Whether this VM may serve."""
    isolation: Isolation
    """Whether keys may be trusted; asked for each request, also after a pause."""
    admission: Admission
    """The limits over the fleet."""
    runner: RequestRunner
    """Queueing, placement and forwarding."""
    decisions: DecisionLog
    """Where decisions are logged."""
    metrics: Metrics
    """Counts and latencies."""
    clock: Clock
    """Elapsed time."""
    body_timeout_s: float = 30.0
    """Longest wait for the next part of a request body."""
    open_requests: int = 0
    """Requests between accept and the end of their answer."""
    customer_counts: dict[str, Counter[str]] = attrs.field(factory=dict)
    """Requests admitted, and refused by code number, by customer."""
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        request_id = (
            f"{self.vm_name}-{self.state.incarnation:08x}-{next(self._numbers)}"
        )
        context = RequestContext(request_id, scope, self.clock.now_s())
        caller = self._caller(context, receive, send)
        self.open_requests += 1
        try:
            await self._serve(context, caller)
        except BrokenAnswerError as error:
            # Returning with the answer unfinished makes the server close the
            # connection, so that the caller sees that the answer isn't whole.
            self._log(context, "break", str(error), code=error.failure.code.number)
        except Exception as error:  # noqa: BLE001 - nothing may escape a request
            self._log(context, "break", repr(error), code=INTERNAL_ERROR.number)
            logger.opt(exception=error).error("daemon: a request failed unexpectedly")
            if not caller.started:
                failure = Failure(INTERNAL_ERROR)
                await send_failure(send, failure, request_id, CLOSE_HEADERS)
        finally:
            self.open_requests -= 1
            self.metrics.observe("request", self.clock.now_s() - context.accepted_s)

    def _caller(self, context: RequestContext, receive: Any, send: Send) -> AsgiCaller:
        headers = CLOSE_HEADERS if self.state.draining else []
        # Without a body there is nothing to wait for, and a timer costs its share.
        framed = any(name in FRAMING_HEADERS for name, _ in context.scope["headers"])
        timeout_s = self.body_timeout_s if framed else None
        return AsgiCaller(receive, send, timeout_s, headers)

    async def _serve(self, context: RequestContext, caller: AsgiCaller) -> None:
        refusal = self._check(context) or await self.admission.admit(context)
        if refusal is not None:
            await self._refuse(context, refusal, caller)
            return
        self._count_customer(context, "admitted")
        result = await self.runner.run(context, self._proxy_request(context), caller)
        self._count_result(context, result)
        if result.failure is not None:
            await self._refuse(context, result.failure, caller)

    def _check(self, context: RequestContext) -> Failure | None:
        """Run the checks that need no waiting."""
        if not self.state.serves:
            return Failure(NOT_READY, self.state.not_ready_reason(), 1.0)
        return (
            self._check_head(context)
            or self._find_route(context)
            or self._identify(context)
        )

    def _check_head(self, context: RequestContext) -> Failure | None:
        scope = context.scope
        return check_request_head(
            scope["method"], context.target, scope["http_version"], scope["headers"]
        ) or check_target(context.target)

    def _find_route(self, context: RequestContext) -> Failure | None:
        scope = context.scope
        path = scope["raw_path"].decode("latin-1")
        route = self.view.routes.find(scope["method"], path, scope["headers"])
        if isinstance(route, Failure):
            return route
        context.route = route
        context.idempotency_key = next(
            (
                value
                for name, value in scope["headers"]
                if name == IDEMPOTENCY_KEY_HEADER
            ),
            b"",
        )
        if route.needs_idempotency_key and not context.idempotency_key:
            return Failure(IDEMPOTENCY_KEY_MISSING)
        return None

    def _identify(self, context: RequestContext) -> Failure | None:
        if context.route is None or context.route.open_to_all:
            return None
        key = extract_key(context.scope["headers"])
        if isinstance(key, Failure):
            return key
        if self.isolation.is_isolated(context.accepted_s):
            reason = "this VM can't hear of withdrawn keys"
            return Failure(NOT_READY, reason, 1.0)
        identity = self.view.identify(key)
        if isinstance(identity, Failure):
            return identity
        context.identity = identity
        return None

    def _proxy_request(self, context: RequestContext) -> ProxyRequest:
        assert context.route is not None
        scope = context.scope
        client = scope.get("client")
        return ProxyRequest(
            request_id=context.request_id.encode("ascii"),
            method=scope["method"],
            target=context.target,
            headers=scope["headers"],
            route=context.route,
            deadline_s=context.accepted_s + context.route.timeout_s,
            customer=context.customer_name,
            client_host=client[0] if client else "",
        )

    async def _refuse(
        self, context: RequestContext, failure: Failure, caller: AsgiCaller
    ) -> None:
        number = str(failure.code.number)
        self._log(context, "refuse", str(failure), code=failure.code.number)
        self.metrics.count("refused", code=number)
        self._count_customer(context, number)
        if failure.code is CALLER_GONE:
            return
        await send_failure(caller.send, failure, context.request_id, caller.headers)

    def _count_customer(self, context: RequestContext, result: str) -> None:
        if context.identity is None:
            return
        name = context.identity.customer.name
        self.customer_counts.setdefault(name, Counter())[result] += 1

    def _count_result(self, context: RequestContext, result: ForwardResult) -> None:
        if result.failure is not None:
            return
        self.metrics.count("answered", status=str(result.status))
        self._log(
            context,
            "answer",
            f"status {result.status}",
            upstream=result.upstream,
            attempt=result.attempts,
        )

    def _log(
        self,
        context: RequestContext,
        action: str,
        reason: str,
        *,
        upstream: str = "-",
        attempt: int = 0,
        code: int = 0,
    ) -> None:
        route = context.route.name if context.route else "-"
        elapsed_ms = (self.clock.now_s() - context.accepted_s) * 1e3
        self.decisions.add(
            Decision(
                context.request_id,
                action,
                reason,
                route,
                context.customer_name or "-",
                upstream,
                attempt,
                code,
                elapsed_ms,
            )
        )
