"""A stand-in of a server, with the faults that servers show."""

from __future__ import annotations

import enum
import random
from collections import Counter
from typing import TYPE_CHECKING

import anyio
import attrs

from gentianfold.model import Upstream
from gentianfold.platform.headers import HEADERS
from gentianfold.standins.http_server import HttpServer, ServedRequest, format_answer

if TYPE_CHECKING:
    from gentianfold.forwarding.messages import Headers


class Behaviour(enum.Enum):
    """How the server treats a request."""

    NORMAL = "normal"
    """Runs it and answers."""
    ERROR = "error"
    """Fails at once with a status 500."""
    SHED = "shed"
    """Says that it did not run it."""
    HANG = "hang"
    """Runs it and never answers."""
    RESET = "reset"
    """Runs it and resets the connection."""
    TRUNCATED_RESPONSE = "truncated-response"
    """Breaks off inside the answer."""
    DUPLICATE_RESPONSE = "duplicate-response"
    """Sends a second answer behind the first."""
    WRONG_REQUEST_ID = "wrong-request-id"
    """Sends an answer to another request first."""
    NO_CONTENT_LENGTH = "no-content-length"
    """Ends the answer with the connection, without a length."""
    MALFORMED_RESPONSE = "malformed-response"
    """Sends bytes that are no answer."""
    NO_SEAL = "no-seal"
    """Answers without the seal."""


@attrs.define(eq=False)
class StandinUpstream:
    """One server; counts what it ran, by request."""

    name: str
    """Its name."""
    service: str
    """Its service."""
    zone: str = "z1"
    """Its availability zone."""
    slots: int = 6
    """Requests that it runs at the same time."""
    work_s: float = 0.0
    """Time for which it works on a request (seconds)."""
    behaviour: Behaviour = Behaviour.NORMAL
    """How it treats requests."""
    fault_probability: float = 1.0
    """Part of the requests that it treats so; the others it treats well."""
    execution_counts: Counter[bytes] = attrs.field(factory=Counter)
    """Runs by request id."""
    seen: list[ServedRequest] = attrs.field(factory=list)
    """All requests that arrived."""
    in_use: int = 0
    """Requests that it runs now."""
    random: random.Random = attrs.field(factory=lambda: random.Random(1))
    """Chooses the requests that are treated badly."""
    server: HttpServer = attrs.field(init=False)
    """Listens for requests."""

    def __attrs_post_init__(self) -> None:
        self.server = HttpServer(self._serve)

    def entry(self, born_ms: int = 1) -> Upstream:
        """Return what it says of itself."""
        return Upstream(
            self.name,
            self.service,
            "127.0.0.1",
            self.server.port,
            self.zone,
            self.slots,
            start_time_ms=born_ms,
        )

    async def _serve(self, request: ServedRequest) -> bytes:
        self.seen.append(request)
        request_id = request.headers.get(HEADERS.request_id, b"")
        headers: Headers = [(HEADERS.request_id, request_id)]
        if request.headers.get(HEADERS.upstream, b"") != self.name.encode():
            return format_answer(421, headers, b"")
        behaviour = self.behaviour
        if self.random.random() >= self.fault_probability:
            behaviour = Behaviour.NORMAL
        if behaviour is Behaviour.SHED or self.in_use >= self.slots:
            return format_answer(503, [*headers, (HEADERS.not_run, b"1")], b"")
        self.execution_counts[request_id] += 1
        self.in_use += 1
        try:
            return await self._run(request, headers, behaviour)
        finally:
            self.in_use -= 1

    async def _run(
        self, request: ServedRequest, headers: Headers, behaviour: Behaviour
    ) -> bytes:
        sealed = [*headers, (HEADERS.seal, b"seal-" + self.name.encode())]
        if behaviour is Behaviour.ERROR:
            return format_answer(500, sealed, b"failed")
        await anyio.sleep(self.work_s)
        body = b"answer to " + headers[0][1]
        whole = format_answer(200, sealed, body)
        match behaviour:
            case Behaviour.HANG:
                await anyio.sleep_forever()
            case Behaviour.RESET:
                request.transport.abort()
            case Behaviour.TRUNCATED_RESPONSE:
                request.transport.write(whole[:-3])
                request.transport.close()
            case Behaviour.DUPLICATE_RESPONSE:
                return whole + whole
            case Behaviour.WRONG_REQUEST_ID:
                stray = [(HEADERS.request_id, b"other"), (HEADERS.seal, b"s")]
                return format_answer(200, stray, b"stray") + whole
            case Behaviour.NO_CONTENT_LENGTH:
                head, _, _ = whole.partition(b"content-length")
                request.transport.write(head + b"\r\n" + body)
                request.transport.close()
            case Behaviour.MALFORMED_RESPONSE:
                return b"\x00\x01 not an answer\r\n\r\n"
            case Behaviour.NO_SEAL:
                return format_answer(200, headers, body)
        return whole
