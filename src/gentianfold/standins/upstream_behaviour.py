"""What a stand-in upstream does, changeable while it runs, and what it saw."""

from __future__ import annotations

from collections import Counter

import attrs


@attrs.define
class UpstreamBehaviour:
    """Faults and sizes of a stand-in upstream; every field may change at any time."""

    slots: int = 6
    """Requests that run at the same time; further ones wait."""
    queue_limit: int = 1024
    """Requests that may wait for a slot; further ones are shed."""
    latency_s: float = 0.0
    """Work time of a request."""
    cold_requests: int = 0
    """Requests left that run at ``cold_latency_s``."""
    cold_latency_s: float = 0.25
    """Work time of a request while cold."""
    error_ratio: float = 0.0
    """Fraction of requests that run and are answered with status 500."""
    hang: bool = False
    """Whether work never ends while ``/health`` goes on answering."""
    silent: bool = False
    """Whether bytes that arrive on any connection are ignored."""
    shed: bool = False
    """Whether every request is refused before it runs."""
    draining: bool = False
    """Whether new requests are refused before they run; others finish."""
    chunked: bool = False
    """Whether answers are chunked instead of carrying a length."""
    answer_bytes: int = 0
    """Size to which the body of an answer is padded."""
    truncate: bool = False
    """Whether the connection is closed in the middle of the body."""
    reset: bool = False
    """Whether the connection is reset in the middle of the body."""
    overlong: bool = False
    """Whether more body is sent than the length says."""
    stray_answer: bool = False
    """Whether every answer is followed by one that nobody asked for."""
    close_idle: bool = False
    """Whether a connection is closed as soon as its answer is out."""
    close_on_request: bool = False
    """Whether the connection is closed when a request arrives, without a run."""


@attrs.define
class UpstreamRecord:
    """What a stand-in upstream saw."""

    runs: Counter[str] = attrs.field(factory=Counter)
    """Runs by idempotency key, or by request id where there is none."""
    bodies: Counter[str] = attrs.field(factory=Counter)
    """Runs by request body."""
    requests_count: int = 0
    """Requests that arrived, health checks not counted."""
    connections_count: int = 0
    """Connections that were accepted."""
    cancelled_count: int = 0
    """Requests whose caller hung up before the answer."""
    shed_count: int = 0
    """Requests refused before they ran."""
    deadlines_ms: list[int] = attrs.field(factory=list)
    """Deadline headers, in order of arrival."""
    headers_seen: list[tuple[tuple[bytes, bytes], ...]] = attrs.field(factory=list)
    """Headers of the last requests, in order of arrival."""
