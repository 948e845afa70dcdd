"""Stand-in for an upstream, with faults that tests can inject."""

from __future__ import annotations

import enum
import random
from collections import Counter
from typing import TYPE_CHECKING

import anyio
import attrs

from gentianfold.model import Upstream
from gentianfold.platform.headers import HEADERS
from gentianfold.standins.http_server import (
    HttpServer,
    ReceivedRequest,
    format_response,
)

if TYPE_CHECKING:
    from gentianfold.forwarding.messages import Headers


class Behaviour(enum.Enum):
    """How an upstream responds to a request."""

    NORMAL = "normal"
    """Runs the request and responds."""
    ERROR = "error"
    """Runs the request and fails at once with status 500."""
    SHED = "shed"
    """Rejects the request with status 503 and the header that says it was not run."""
    HANG = "hang"
    """Runs the request and never responds."""
    RESET = "reset"
    """Runs the request and resets the connection."""
    TRUNCATED_RESPONSE = "truncated-response"
    """Closes the connection before the end of the response."""
    DUPLICATE_RESPONSE = "duplicate-response"
    """Sends the response twice."""
    WRONG_REQUEST_ID = "wrong-request-id"
    """First sends a response with the identifier of another request, then its own."""
    NO_CONTENT_LENGTH = "no-content-length"
    """Omits the length; the end of the connection ends the response."""
    MALFORMED_RESPONSE = "malformed-response"
    """Sends bytes that are not HTTP."""
    NO_SEAL = "no-seal"
    """Responds without the seal header."""


@attrs.define(eq=False)
class StandinUpstream:
    """Upstream that records the requests it receives and how often each was run."""

    name: str
    """Name in the store; a request for another name gets status 421."""
    service: str
    """Name of the service."""
    zone: str = "z1"
    """Availability zone."""
    slots: int = 6
    """Requests that run at the same time (count); further ones are shed."""
    processing_time_s: float = 0.0
    """Time from the start of a request to its response (seconds)."""
    behaviour: Behaviour = Behaviour.NORMAL
    """How requests are handled."""
    fault_probability: float = 1.0
    """Probability that ``behaviour`` applies to a request, 0 to 1; otherwise the request
    is handled normally."""
    answer_padding: bytes = b""
    """Bytes behind the usual body of each answer."""
    gate: anyio.Event | None = None
    """Awaited before the last half of each answer is sent; ``None`` to send it at once."""
    status_line: bytes = b""
    """Replaces the status line of answers; empty for the usual one."""
    extra_headers: Headers = attrs.field(factory=list)
    """Further headers of each response."""
    rate_limit: bytes = b""
    """Requests per second stated in each response; empty to state no limit."""
    is_leaving: bool = False
    """Whether each response says that the server is about to end."""
    warmup_ms: bytes = b""
    """Milliseconds stated in each response for which it remains cold; empty for none."""
    pause: bytes = b""
    """Value of ``Retry-After`` in responses that shed a request; empty for none."""
    stale_response: bytes = b""
    """Bytes that precede each response, such as an earlier one; empty for none."""
    crash_target: bytes = b""
    """Target of requests under which the server crashes; empty for none."""
    crash_count: int = 0
    """Number of crashes."""
    execution_counts: Counter[bytes] = attrs.field(factory=Counter)
    """Number of runs by request identifier."""
    received_requests: list[ReceivedRequest] = attrs.field(factory=list)
    """All received requests, including rejected ones, in order of arrival."""
    slots_in_use: int = 0
    """Requests that are running (count)."""
    random: random.Random = attrs.field(factory=lambda: random.Random(1))
    """Source of the random values that are compared with ``fault_probability``."""
    server: HttpServer = attrs.field(init=False)
    """HTTP server of the upstream."""

    def __attrs_post_init__(self) -> None:
        self.server = HttpServer(self._handle_behind_stale_response)

    def store_entry(self, start_time_ms: int = 1) -> Upstream:
        """Return the upstream as the store publishes it.

        Args:
            start_time_ms: Start of the upstream's process (milliseconds since 1970); a
                new value means a restart.
        """
        return Upstream(
            self.name,
            self.service,
            "127.0.0.1",
            self.server.port,
            self.zone,
            self.slots,
            start_time_ms=start_time_ms,
        )

    async def _handle_behind_stale_response(self, request: ReceivedRequest) -> bytes:
        response = await self._handle(request)
        return self.stale_response + response if response else response

    def crash(self) -> None:
        """Stop listening and reset all connections; ``server.open`` starts it again."""
        self.crash_count += 1
        self.server.close()

    async def _handle(self, request: ReceivedRequest) -> bytes:
        self.received_requests.append(request)
        request_id = request.headers.get(HEADERS.request_id, b"")
        headers: Headers = [(HEADERS.request_id, request_id), *self.extra_headers]
        if self.rate_limit:
            headers.append((HEADERS.rate_limit, self.rate_limit))
        if self.is_leaving:
            headers.append((HEADERS.leaving, b"1"))
        if self.warmup_ms:
            headers.append((HEADERS.warmup, self.warmup_ms))
        if request.headers.get(HEADERS.upstream, b"") != self.name.encode():
            return format_response(421, headers, b"")
        behaviour = self.behaviour
        if self.random.random() >= self.fault_probability:
            behaviour = Behaviour.NORMAL
        if behaviour is Behaviour.SHED or self.slots_in_use >= self.slots:
            if behaviour is Behaviour.SHED:
                await anyio.sleep(self.processing_time_s)
            headers.append((HEADERS.not_run, b"1"))
            if self.pause:
                headers.append((b"retry-after", self.pause))
            return format_response(503, headers, b"")
        self.execution_counts[request_id] += 1
        if self.crash_target and request.target == self.crash_target:
            self.crash()
            return b""
        self.slots_in_use += 1
        try:
            return await self._run_request(request, headers, behaviour)
        finally:
            self.slots_in_use -= 1

    async def _run_request(
        self, request: ReceivedRequest, headers: Headers, behaviour: Behaviour
    ) -> bytes:
        sealed_headers = [*headers, (HEADERS.seal, b"seal-" + self.name.encode())]
        if behaviour is Behaviour.ERROR:
            return format_response(500, sealed_headers, b"failed")
        await anyio.sleep(self.processing_time_s)
        body = b"answer to " + headers[0][1] + self.answer_padding
        has_seal = behaviour is not Behaviour.NO_SEAL
        response = format_response(200, sealed_headers if has_seal else headers, body)
        if self.status_line:
            response = self.status_line + response[response.index(b"\r\n") :]
        match behaviour:
            case Behaviour.HANG:
                await anyio.sleep_forever()
            case Behaviour.RESET:
                request.transport.abort()
            case Behaviour.TRUNCATED_RESPONSE:
                request.transport.write(response[:-3])
                request.transport.close()
            case Behaviour.DUPLICATE_RESPONSE:
                return response + response
            case Behaviour.WRONG_REQUEST_ID:
                other_headers = [(HEADERS.request_id, b"other"), (HEADERS.seal, b"s")]
                return format_response(200, other_headers, b"stray") + response
            case Behaviour.NO_CONTENT_LENGTH:
                head, _, _ = response.partition(b"content-length")
                request.transport.write(head + b"\r\n" + body)
                request.transport.close()
            case Behaviour.MALFORMED_RESPONSE:
                return b"\x00\x01 not an answer\r\n\r\n"
        if self.gate is not None:
            half = len(response) // 2
            request.transport.write(response[:half])
            await self.gate.wait()
            return response[half:]
        return response
