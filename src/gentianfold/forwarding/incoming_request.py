"""The request that a caller's connection is reading: its bytes, claims and checks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianfold.codes.requests import (
    BODY_TOO_LARGE,
    HEADERS_TOO_LARGE,
    MEMORY_FULL,
)
from gentianfold.errors import Failure
from gentianfold.forwarding.body import Body
from gentianfold.forwarding.memory_budget import (
    CLAIM_STEP_BYTES,
    FIELD_BYTES,
    HEAD_BYTES,
    REQUEST_BYTES,
    Claim,
    Progress,
    Use,
)
from gentianfold.forwarding.request_head import expects_continue, find_head_failure

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianfold.forwarding.memory_budget import MemoryBudget
    from gentianfold.forwarding.messages import Headers
    from gentianfold.model import CallerLimits

MEMORY_RETRY_AFTER_S = 1.0
"""``Retry-After`` of a request for which there is no memory (seconds): by then a client
that has stalled was ended."""
PARSE_BYTES = 16 << 10
"""Bytes that are parsed between two checks of what the parser holds (bytes)."""


class IncomingRequest:
    """A request that is being read.

    Attributes:
        target: Path and query as received.
        headers: Headers so far, names in lower case.
        body: Body so far.
        progress: How fast the caller sends.
        has_head: Whether the head is complete.
        is_chunked: Whether the body has no stated length.
        is_held: Whether a body without a stated length awaits room for further bytes.
    """

    def __init__(self, budget: MemoryBudget, now_s: float) -> None:
        self.target = b""
        self.headers: Headers = []
        self.body = Body()
        self.progress = Progress.begin(now_s)
        self.has_head = False
        self.is_chunked = False
        self.is_held = False
        self._owes_continue = False
        self._text_bytes = 0
        self._framing_bytes = 0
        self._body_bytes_before = 0
        self._expected_bytes = 0
        self._head_claim = Claim(budget, Use.REQUEST)
        self._body_claim = Claim(budget, Use.BODY)

    @property
    def claims(self) -> tuple[Claim, Claim]:
        """The claims of the request, which outlive its reading."""
        return self._head_claim, self._body_claim

    @property
    def missing_bytes(self) -> int:
        """Bytes of a body with a stated length that have not arrived."""
        return self._expected_bytes - self.body.size_bytes

    def begin(self, now_s: float) -> Failure | None:
        """Claim what every request costs."""
        return self._claim_head(REQUEST_BYTES, now_s)

    def stalled_since_s(self, now_s: float) -> float | None:
        """Return when it began if the caller sends too slowly; ``None`` if not."""
        has_stalled = not self.is_held and self.progress.has_stalled(now_s)
        return self.progress.started_s if has_stalled else None

    def check_unfinished(
        self,
        head_bytes: int,
        received_bytes: int,
        limits: CallerLimits,
        now_s: float,
    ) -> Failure | None:
        """Check and claim what has arrived of a request of which more is to come.

        Args:
            head_bytes: Bytes received for the head; the parser may hold some of them.
            received_bytes: Bytes received since the last check.
            limits: Limits in force.
            now_s: Current time (loop time).
        """
        if not self.has_head:
            return self.check_unfinished_head(head_bytes, limits, now_s)
        if self.is_chunked:
            return self.check_chunked_body(received_bytes, limits, now_s)
        return None

    def drop(self) -> None:
        """Give back all bytes."""
        self.headers, self.body = [], Body()
        self._head_claim.release()
        self._body_claim.release()

    # Head

    def add_target(self, data: bytes) -> None:
        """Append a chunk of the request target."""
        self.target += data
        self._text_bytes += len(data)

    def add_header(
        self, name: bytes, value: bytes, limits: CallerLimits
    ) -> Failure | None:
        """Append a header."""
        self._text_bytes += len(name) + len(value) + 4
        if self._text_bytes > limits.max_header_bytes:
            return Failure(HEADERS_TOO_LARGE)
        self.headers.append((name.lower(), value))
        return None

    def check_unfinished_head(
        self, head_bytes: int, limits: CallerLimits, now_s: float
    ) -> Failure | None:
        """Check and claim a head of which more bytes are to come.

        Args:
            head_bytes: Bytes received for the head; the parser may hold some of them.
            limits: Limits in force.
            now_s: Current time (loop time).
        """
        if head_bytes > 2 * limits.max_header_bytes:
            return Failure(HEADERS_TOO_LARGE)
        return self._claim_fields(head_bytes, now_s)

    def finish_head(
        self, version: str, limits: CallerLimits, now_s: float
    ) -> Failure | None:
        """Check the complete head and claim the body if its length is stated."""
        self.has_head = True
        failure = find_head_failure(version, self.target, self.headers, limits)
        if failure is not None:
            return failure
        self._owes_continue = expects_continue(self.headers)
        failure = self._claim_fields(self._text_bytes, now_s)
        return failure or self._claim_stated_body(now_s)

    def take_continue(self, now_s: float) -> bool:
        """Return whether the caller has to be asked for the body, once.

        The time until then is not the caller's.
        """
        if not self._owes_continue:
            return False
        self._owes_continue = False
        self.progress = Progress.begin(now_s)
        return True

    # Body

    def add_body(self, data: bytes, limits: CallerLimits) -> Failure | None:
        """Append a piece of the body."""
        self.body.append(data)
        if self.body.size_bytes > limits.max_body_bytes:
            return Failure(BODY_TOO_LARGE)
        return None

    def check_chunked_body(
        self, received_bytes: int, limits: CallerLimits, now_s: float
    ) -> Failure | None:
        """Check and claim what has arrived of a body without a stated length.

        Args:
            received_bytes: Bytes received since the last check, with their framing.
            limits: Limits in force.
            now_s: Current time (loop time).
        """
        # The parser holds trailers that have no end.
        is_growing = self.body.size_bytes > self._body_bytes_before
        self._framing_bytes = 0 if is_growing else self._framing_bytes + received_bytes
        self._body_bytes_before = self.body.size_bytes
        if self._framing_bytes > limits.max_header_bytes:
            return Failure(HEADERS_TOO_LARGE, "the trailers are too large")
        self.claim_more(now_s)
        return None

    def claim_more(self, now_s: float) -> bool:
        """Claim room for further bytes of the body; return whether there is some."""
        size_bytes = self.body.size_bytes
        if size_bytes > self._body_claim.size_bytes:
            wanted_bytes = size_bytes + CLAIM_STEP_BYTES
            self.is_held = not self._body_claim.grow_to(wanted_bytes, now_s)
            if self.is_held:
                # The bytes are here already.
                self._body_claim.force_to(size_bytes)
        elif self.is_held:
            wanted_bytes = size_bytes + CLAIM_STEP_BYTES
            self.is_held = not self._body_claim.grow_to(wanted_bytes, now_s)
        return not self.is_held

    # Steps

    def _claim_fields(self, text_bytes: int, now_s: float) -> Failure | None:
        cost = text_bytes + FIELD_BYTES * len(self.headers)
        if cost <= HEAD_BYTES:
            return None
        return self._claim_head(REQUEST_BYTES - HEAD_BYTES + cost, now_s)

    def _claim_head(self, size_bytes: int, now_s: float) -> Failure | None:
        if self._head_claim.grow_to(size_bytes, now_s):
            return None
        return memory_failure()

    def _claim_stated_body(self, now_s: float) -> Failure | None:
        for name, value in self.headers:
            if name == b"transfer-encoding":
                self.is_chunked = True
            elif name == b"content-length":
                self._expected_bytes = int(value)
                if not self._body_claim.grow_to(self._expected_bytes, now_s):
                    return memory_failure()
        return None


def split_to_parse(
    data: bytes, incoming: IncomingRequest | None
) -> Iterator[bytes | memoryview]:
    """Return received bytes in the parts to parse: one, if all are of a stated body."""
    is_body = incoming is not None and incoming.missing_bytes >= len(data)
    if is_body or len(data) <= PARSE_BYTES:
        yield data
        return
    view = memoryview(data)
    for start in range(0, len(data), PARSE_BYTES):
        yield view[start : start + PARSE_BYTES]


def memory_failure() -> Failure:
    """Return the failure of a request for which there is no memory."""
    return Failure(MEMORY_FULL, "", MEMORY_RETRY_AFTER_S)
