"""Forwarding under faults: the real forwarder against upstreams on loopback."""

from __future__ import annotations

import hashlib
import json
from typing import TYPE_CHECKING

import anyio
import attrs

from gentianfold.clock import BootClock
from gentianfold.codes.requests import UPSTREAM_CONNECT_FAILED
from gentianfold.errors import Failure, RunState
from gentianfold.model import PathKind, Route
from gentianfold.reports._matrix_axes import Fault, Promise, Step
from gentianfold.reports._matrix_case import Case, Observation
from gentianfold.requests.connections import ConnectionLimits, Connections
from gentianfold.requests.forwarder import Forwarder
from gentianfold.requests.proxy_request import BrokenAnswerError, ProxyRequest
from gentianfold.routing.choice import Choice, Reason
from gentianfold.standins.upstream import UpstreamStandin
from gentianfold.standins.upstream_behaviour import UpstreamBehaviour

if TYPE_CHECKING:
    from gentianfold.model import Upstream
    from gentianfold.requests.proxy_request import ForwardResult
    from gentianfold.routing.outcome import Outcome

TIMEOUT_S = 0.15
"""Time that callers wait."""
LARGE_BYTES = 300_000
"""Size of an answer that reaches the caller while it still comes in."""
REQUEST_COUNT = 3
"""Requests of each route in a case, one after the other."""
BODY = b"glove"
"""Body of every request."""
BEHAVIOURS: dict[tuple[Step, Fault], dict[str, object]] = {
    (Step.SEND, Fault.SILENT): {"silent": True},
    (Step.SEND, Fault.FLAPS): {"close_on_request": True},
    (Step.WAIT, Fault.TIMES_OUT): {"hang": True},
    (Step.WAIT, Fault.SHEDS): {"shed": True},
    (Step.RECEIVE, Fault.TRUNCATES): {"truncate": True},
    (Step.RECEIVE, Fault.ERRORS): {"error_ratio": 1.0},
    (Step.RECEIVE, Fault.SHEDS): {"shed": True},
    (Step.RECEIVE, Fault.FLAPS): {"stray_answer": True},
    (Step.ANSWER, Fault.TRUNCATES): {"truncate": True, "answer_bytes": LARGE_BYTES},
    (Step.ANSWER, Fault.FLAPS): {"reset": True, "answer_bytes": LARGE_BYTES},
    (Step.ANSWER, Fault.ERRORS): {"error_ratio": 1.0, "answer_bytes": LARGE_BYTES},
}
"""How a stand-in upstream makes a fault at a step."""
LOOKUP = Route("lookup", frozenset(), "/", PathKind.PREFIX, "registry", idempotent=True)
"""A route whose requests may run twice."""
BOOKING = Route("booking", frozenset(), "/", PathKind.PREFIX, "registry")
"""A route whose requests run at most once."""


@attrs.define
class _Placer:
    """Chooses the first upstream that was not tried."""

    upstreams: list[Upstream]

    def choose(
        self,
        service: str,
        exclude: frozenset[str],
        now_s: float,
        *,
        route: str = "",
        customer: str = "",
        idempotent: bool = True,
    ) -> Choice | Failure:
        """Return the first upstream that isn't excluded."""
        left = [one for one in self.upstreams if one.name not in exclude]
        if not left:
            return Failure(UPSTREAM_CONNECT_FAILED, "none is left")
        return Choice(left[0], Reason.ONLY_ONE)

    def started(
        self, upstream: str, now_s: float, *, route: str = "", customer: str = ""
    ) -> None:
        """Count nothing."""

    def finished(self, outcome: Outcome, now_s: float) -> None:
        """Learn nothing."""


@attrs.define
class _Caller:
    """A caller in memory that keeps its answer."""

    parts: list[bytes]
    status: int | None = None
    body: bytes = b""
    ended: bool = False

    async def read(self) -> bytes:
        """Return the next part of the body."""
        return self.parts.pop(0) if self.parts else b""

    async def wait_gone(self) -> None:
        """Wait for a hang-up that never comes."""
        await anyio.sleep_forever()

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Keep the status."""
        self.status = status

    async def write(self, data: bytes, last: bool) -> None:
        """Keep a part of the body."""
        self.body += data
        self.ended = last


@attrs.define(eq=False)
class _Run:
    """One case while it runs."""

    case: Case
    first: UpstreamStandin
    second: UpstreamStandin
    seen: Observation = attrs.field(factory=Observation)

    async def play(self) -> None:
        """Send requests of both routes through one forwarder."""
        clock = BootClock()
        connections = Connections(clock, ConnectionLimits())
        placer = _Placer([self.first.upstream, self.second.upstream])
        forwarder = Forwarder(placer, connections, clock, lambda headers: headers)
        await self._ask(forwarder, clock, LOOKUP, "warm")
        self._break()
        for route in (BOOKING, LOOKUP):
            for number in range(REQUEST_COUNT):
                await self._ask(forwarder, clock, route, f"{route.name}-{number}")
        # Only the first upstream fails in a case with one fault.
        asked = [self.first, self.second][: len(self.case.faults)]
        self.seen.reached = all(one.record.requests_count for one in asked)
        connections.close()

    def _break(self) -> None:
        """Make each upstream faulty; connections that were kept stay open."""
        upstreams = (self.first, self.second)
        for upstream, fault in zip(upstreams, self.case.faults, strict=False):
            for name, value in BEHAVIOURS[self.case.step, fault].items():
                setattr(upstream.behaviour, name, value)

    async def _ask(
        self, forwarder: Forwarder, clock: BootClock, route: Route, name: str
    ) -> None:
        caller = _Caller([BODY])
        headers = [(b"host", b"gateway"), (b"content-length", b"%d" % len(BODY))]
        request = ProxyRequest(
            name.encode(),
            "POST",
            b"/gloves",
            headers,
            route,
            clock.now_s() + TIMEOUT_S,
        )
        try:
            result = await forwarder.run(request, caller)
        except BrokenAnswerError:
            self._check_broken(name, caller)
        else:
            self._check_result(name, result, caller)
        self._check_runs(name, route)

    def _runs(self, name: str) -> int:
        return self.first.record.runs[name] + self.second.record.runs[name]

    def _check_broken(self, name: str, caller: _Caller) -> None:
        self.seen.checked.add(Promise.ANSWER)
        if caller.ended:
            self.seen.violate(Promise.ANSWER, f"{name}: a broken answer looks whole")

    def _check_result(self, name: str, result: ForwardResult, caller: _Caller) -> None:
        if result.failure is None:
            self._check_answer(name, caller)
            return
        if caller.status is not None:
            self.seen.violate(Promise.ANSWER, f"{name}: a failure after an answer")
        if result.failure.code.run_state is RunState.NOT_RUN:
            self.seen.checked.add(Promise.NOT_RUN)
            if self._runs(name):
                trace = f"{name}: {result.failure}, and it ran"
                self.seen.violate(Promise.NOT_RUN, trace)

    def _check_answer(self, name: str, caller: _Caller) -> None:
        self.seen.checked.add(Promise.ANSWER)
        if not caller.ended:
            self.seen.violate(Promise.ANSWER, f"{name}: the answer has no end")
            return
        if caller.status != 200:
            return
        answer = json.loads(caller.body)
        digest = hashlib.sha256(BODY).hexdigest()
        if (answer["request_id"], answer["body_sha256"]) != (name, digest):
            trace = f"{name} got the answer of {answer['request_id']}"
            self.seen.violate(Promise.ANSWER, trace)

    def _check_runs(self, name: str, route: Route) -> None:
        if route.idempotent:
            return
        if self._runs(name) > 0:
            self.seen.checked.add(Promise.AT_MOST_ONCE)
        if self._runs(name) > 1:
            trace = f"{name} ran {self._runs(name)} times"
            self.seen.violate(Promise.AT_MOST_ONCE, trace)


@attrs.frozen
class ForwardingBench:
    """Sends requests through the forwarder to upstreams that fail."""

    name: str = "forwarding"
    """Name of the bench."""
    steps: tuple[Step, ...] = (Step.SEND, Step.WAIT, Step.RECEIVE, Step.ANSWER)
    """Steps at which the bench can strike."""
    faults: tuple[Fault, ...] = tuple({fault: None for _, fault in BEHAVIOURS})
    """Faults that the bench can make."""

    def run(self, case: Case) -> Observation:
        """Run a case from start to end."""
        if any((case.step, fault) not in BEHAVIOURS for fault in case.faults):
            return Observation()
        return anyio.run(_run, case)


async def _run(case: Case) -> Observation:
    faulty = case if case.seed % 2 else attrs.evolve(case, faults=case.faults[::-1])
    async with (
        UpstreamStandin("u1", UpstreamBehaviour()) as first,
        UpstreamStandin("u2", UpstreamBehaviour()) as second,
    ):
        run = _Run(faulty, first, second)
        await run.play()
        return run.seen
