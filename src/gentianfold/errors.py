"""Numbered result codes and the failure value that carries one.

Operations that can fail return ``Failure`` in place of their result. A failure
is a value, not an exception: it names its code, the reason in one sentence and,
for text read from a file, where the fault stands.
"""

from __future__ import annotations

import enum

import attrs


class RunState(enum.Enum):
    """Whether an upstream ran the request that a caller gets an error for."""

    NOT_RUN = "not run"
    """No upstream ran it, and none will."""
    UNKNOWN = "unknown"
    """It was sent; whether it ran can't be told."""
    RAN = "ran"
    """An upstream ran it, but its answer could not be delivered."""


class Retry(enum.Enum):
    """Whether a caller should send the request again."""

    NO = "no"
    """The same request fails again."""
    LATER = "later"
    """Send it again after the time in ``Retry-After``."""
    IF_IDEMPOTENT = "if idempotent"
    """Send it again only if running it twice does no harm."""


@attrs.frozen
class ResultCode:
    """A row of the result code table."""

    number: int
    """The number that operators and callers see."""
    name: str
    """A short name in kebab case."""
    meaning: str
    """What happened, in one sentence."""
    remedy: str
    """What the reader of the error does about it."""
    status: int | None = None
    """The HTTP status for callers; ``None`` if callers never see the code."""
    run_state: RunState | None = None
    """Whether the request ran; ``None`` if callers never see the code."""
    retry: Retry = Retry.NO
    """Whether a caller should send the request again."""


@attrs.frozen
class Location:
    """A place in a text that an operator wrote."""

    source: str
    """The file or document name."""
    line: int
    """The line, from 1."""
    column: int = 1
    """The column, from 1."""

    def __str__(self) -> str:
        return f"{self.source}:{self.line}:{self.column}"


@attrs.frozen
class Failure:
    """A failed operation: a sentinel value with its reason."""

    code: ResultCode
    """The row of the result code table."""
    reason: str = ""
    """What was wrong this time, in one sentence."""
    retry_after_s: float | None = None
    """Seconds after which a retry may succeed, if known."""
    location: Location | None = None
    """Where the fault stands, if it was read from a text."""

    def __str__(self) -> str:
        place = f"{self.location}: " if self.location else ""
        reason = self.reason or self.code.meaning
        return f"{place}error {self.code.number} ({self.code.name}): {reason}"


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
    """Add a row to the table; numbers are never reused."""
    if number in CODES:
        raise ValueError(f"result code {number} is defined twice")
    code = ResultCode(number, name, meaning, remedy, status, run_state, retry)
    CODES[number] = code
    return code
