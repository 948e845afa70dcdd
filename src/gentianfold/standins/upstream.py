"""A stand-in upstream server on the loopback interface, with faults on demand."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
from typing import TYPE_CHECKING, Any, Self

import attrs

from gentianfold.model import Upstream
from gentianfold.requests.protocol import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
)
from gentianfold.standins._upstream_protocol import ReceivedRequest, UpstreamProtocol
from gentianfold.standins.upstream_behaviour import UpstreamBehaviour, UpstreamRecord

if TYPE_CHECKING:
    import ssl

HEADERS_KEPT = 256
"""Requests of which the record keeps the headers."""
ADMIN_PATH = b"/_admin/behaviour"
"""A PUT of a JSON object here sets fields of the behaviour; a GET reads the record."""
HEALTH_PATH = b"/health"
"""Answers 200 whatever the faults, as health endpoints do."""


class UpstreamStandin:
    """Serves requests with ``behaviour`` and keeps a ``record`` of them."""

    def __init__(
        self,
        name: str = "upstream-1",
        behaviour: UpstreamBehaviour | None = None,
        service: str = "registry",
        zone: str = "zone-1",
        seed: int = 1,
    ) -> None:
        self.name = name
        self.behaviour = behaviour or UpstreamBehaviour()
        self.record = UpstreamRecord()
        self.connections: set[UpstreamProtocol] = set()
        self._service = service
        self._zone = zone
        self._random = random.Random(seed)
        self._running_count = 0
        self._waiting: list[asyncio.Future[None]] = []
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(
        self, ssl_context: ssl.SSLContext | None = None, port: int = 0
    ) -> Self:
        """Listen on a port that the kernel chooses, unless one is given."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: UpstreamProtocol(self), "127.0.0.1", port, ssl=ssl_context
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is None:
            return
        self._server.close()
        for connection in list(self.connections):
            connection.abort()
        await self._server.wait_closed()
        self._server = None

    async def __aenter__(self) -> Self:
        """Start the server."""
        return await self.start()

    async def __aexit__(self, *_: object) -> None:
        """Stop the server."""
        await self.stop()

    @property
    def upstream(self) -> Upstream:
        """Describe the server as operators would."""
        return Upstream(
            self.name,
            self._service,
            "127.0.0.1",
            self.port,
            self._zone,
            self.behaviour.slots,
        )

    async def serve(
        self, request: ReceivedRequest, connection: UpstreamProtocol
    ) -> None:
        """Answer one request."""
        path = request.target.partition(b"?")[0]
        if path == HEALTH_PATH:
            connection.write(render_answer(200, b'{"health": "ok"}'))
        elif path == ADMIN_PATH:
            connection.write(render_answer(200, self._administrate(request)))
        else:
            await self._work(request, connection)

    def _administrate(self, request: ReceivedRequest) -> bytes:
        if request.method != "GET":
            for name, value in json.loads(request.body).items():
                setattr(self.behaviour, name, value)
        record: dict[str, Any] = attrs.asdict(
            self.record, filter=attrs.filters.exclude("headers_seen")
        )
        return json.dumps(record).encode()

    async def _work(
        self, request: ReceivedRequest, connection: UpstreamProtocol
    ) -> None:
        self._note(request)
        behaviour = self.behaviour
        if behaviour.close_on_request:
            connection.close()
            return
        if self._refuses():
            self.record.shed_count += 1
            headers = [(NOT_RUN_HEADER, b"1")]
            connection.write(render_answer(503, b'{"shed": true}', headers))
            return
        await self._take_slot()
        try:
            await self._run(request, connection)
        finally:
            self._free_slot()

    def _note(self, request: ReceivedRequest) -> None:
        record = self.record
        record.requests_count += 1
        deadline = request.header(DEADLINE_HEADER)
        if deadline:
            record.deadlines_ms.append(int(deadline))
        record.headers_seen.append(tuple(request.headers))
        del record.headers_seen[:-HEADERS_KEPT]
        del record.deadlines_ms[:-HEADERS_KEPT]

    def _refuses(self) -> bool:
        behaviour = self.behaviour
        full = len(self._waiting) >= behaviour.queue_limit
        return behaviour.shed or behaviour.draining or full

    async def _take_slot(self) -> None:
        while self._running_count >= self.behaviour.slots:
            turn = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            try:
                await turn
            finally:
                if turn in self._waiting:
                    self._waiting.remove(turn)
        self._running_count += 1

    def _free_slot(self) -> None:
        self._running_count -= 1
        turn = next((turn for turn in self._waiting if not turn.done()), None)
        if turn is not None:
            self._waiting.remove(turn)
            turn.set_result(None)

    async def _run(
        self, request: ReceivedRequest, connection: UpstreamProtocol
    ) -> None:
        request_id = request.header(REQUEST_ID_HEADER).decode()
        key = request.header(IDEMPOTENCY_KEY_HEADER).decode() or request_id
        self.record.runs[key] += 1
        self.record.bodies[request.body.decode("latin-1")] += 1
        behaviour = self.behaviour
        if behaviour.hang:
            await asyncio.Event().wait()
        latency_s = behaviour.latency_s
        if behaviour.cold_requests > 0:
            behaviour.cold_requests -= 1
            latency_s = behaviour.cold_latency_s
        if latency_s > 0:
            await asyncio.sleep(latency_s)
        failed = self._random.random() < behaviour.error_ratio
        body = self._answer_body(request, request_id, self.record.runs[key])
        self._answer(request, connection, 500 if failed else 200, body)

    def _answer_body(
        self, request: ReceivedRequest, request_id: str, run: int
    ) -> bytes:
        answer = {
            "upstream": self.name,
            "request_id": request_id,
            "method": request.method,
            "target": request.target.decode("latin-1"),
            "body_sha256": hashlib.sha256(request.body).hexdigest(),
            "run": run,
        }
        return json.dumps(answer).encode().ljust(self.behaviour.answer_bytes)

    def _answer(
        self,
        request: ReceivedRequest,
        connection: UpstreamProtocol,
        status: int,
        body: bytes,
    ) -> None:
        behaviour = self.behaviour
        answer = render_answer(status, body, chunked=behaviour.chunked)
        head, _, payload = answer.partition(b"\r\n\r\n")
        if request.method == "HEAD":
            payload = b""
        elif behaviour.truncate or behaviour.reset:
            payload = payload[: len(payload) // 2]
        elif behaviour.overlong:
            payload += b"surplus"
        elif behaviour.stray_answer:
            payload += render_answer(200, b'{"request_id": "stray"}')
        connection.write(head + b"\r\n\r\n" + payload)
        if behaviour.reset:
            connection.abort()
        elif behaviour.truncate or behaviour.close_idle:
            connection.close()


def render_answer(
    status: int,
    body: bytes,
    headers: list[tuple[bytes, bytes]] | None = None,
    chunked: bool = False,
) -> bytes:
    """Render an answer as it goes over the wire."""
    framing = (
        b"transfer-encoding: chunked" if chunked else b"content-length: %d" % len(body)
    )
    lines = [b"HTTP/1.1 %d Status" % status, b"content-type: application/json", framing]
    lines += [b"%s: %s" % header for header in headers or []]
    payload = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body) if chunked else body
    return b"\r\n".join(lines) + b"\r\n\r\n" + payload
