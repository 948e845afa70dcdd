"""Numbered result codes and the failure value that carries one.

Operations that can fail return a ``Failure`` in place of their result. A failure is
a value, not an exception: it holds the result code, the reason in one sentence and,
for text read from a file, the location of the error.
"""

from __future__ import annotations

import enum

import attrs


class RunState(enum.Enum):
    """Whether an upstream executed a request that ended with an error response."""

    NOT_RUN = "not run"
    """No upstream executed the request, and none will."""
    UNKNOWN = "unknown"
    """The request was sent; whether it was executed is unknown."""
    RAN = "ran"
    """An upstream executed the request, but its response could not be delivered."""


class Retry(enum.Enum):
    """Whether a caller should retry a request."""

    NO = "no"
    """A retry of the same request fails again."""
    LATER = "later"
    """Retry after the time in ``Retry-After``."""
    IF_IDEMPOTENT = "if idempotent"
    """Retry only if the request is idempotent."""


@attrs.frozen
class ResultCode:
    """An entry of the result code table."""

    number: int
    """Unique number, shown to operators and callers."""
    name: str
    """Unique short name in kebab case."""
    meaning: str
    """What happened, in one sentence."""
    remedy: str
    """What an operator or caller can do about the error."""
    status: int | None = None
    """HTTP status of the response; ``None`` if callers never get the code."""
    run_state: RunState | None = None
    """Whether the request was executed; ``None`` if callers never get the code."""
    retry: Retry = Retry.NO
    """Whether a caller should retry the request."""


@attrs.frozen
class Location:
    """A position in a text that an operator wrote."""

    source: str
    """Name of the file or document."""
    line: int
    """Line number, from 1."""
    column: int = 1
    """Column number, from 1."""

    def __str__(self) -> str:
        return f"{self.source}:{self.line}:{self.column}"


@attrs.frozen
class Failure:
    """The result of a failed operation."""

    code: ResultCode
    """Result code of the failure."""
    reason: str = ""
    """Specific reason in one sentence; empty to use the meaning of the code."""
    retry_after_s: float | None = None
    """Time after which a retry may succeed (seconds); ``None`` if unknown."""
    location: Location | None = None
    """Location of the error; ``None`` if the error is not in a text."""

    def __str__(self) -> str:
        prefix = f"{self.location}: " if self.location else ""
        reason = self.reason or self.code.meaning
        return f"{prefix}error {self.code.number} ({self.code.name}): {reason}"


CODES: dict[int, ResultCode] = {}
"""All result codes by number."""


def define_code(
    number: int,
    name: str,
    meaning: str,
    remedy: str,
    status: int | None = None,
    run_state: RunState | None = None,
    retry: Retry = Retry.NO,
) -> ResultCode:
    """Add a result code to the table; numbers are never reused.

    Raises:
        ValueError: If the number is already defined.
    """
    if number in CODES:
        raise ValueError(f"result code {number} is defined twice")
    code = ResultCode(number, name, meaning, remedy, status, run_state, retry)
    CODES[number] = code
    return code
