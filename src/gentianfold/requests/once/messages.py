"""Messages between VMs about idempotency keys."""

from __future__ import annotations

import enum

import attrs

from gentianfold.requests.once.records import (
    Member,
    Record,
    StoredAnswer,
)


class Verdict(enum.Enum):
    """What a home says of a keyed request."""

    RUN = "run"
    """It is recorded and copied; the asking VM may forward it, once."""
    ANSWERED = "answered"
    """An earlier request with the key was answered."""
    KEY_REUSED = "key-reused"
    """The key came with another digest before."""
    IN_PROGRESS = "in-progress"
    """An earlier request with the key is being run."""
    UNKNOWN = "unknown"
    """An earlier request with the key may have run."""
    IN_DOUBT = "in-doubt"
    """The VM that was asked is not the home, or not for sure."""
    COPIES_MISSING = "copies-missing"
    """Too few copies were taken in time."""
    FULL = "full"
    """The home holds as many records as it may."""
    RECORDS_LOST = "records-lost"
    """Earlier records of the slot may be lost."""


class RunResult(enum.Enum):
    """What became of a request that was allowed to run."""

    NOT_RUN = "not-run"
    """It did not run and never will under its ticket."""
    ANSWERED = "answered"
    """Its answer is known."""
    UNKNOWN = "unknown"
    """It may have run."""


@attrs.frozen
class Admit:
    """Asks the home of a key to record a request."""

    ticket: str
    """Identifies the request."""
    customer: str
    """Name of the customer."""
    key: bytes
    """The idempotency key."""
    digest: bytes
    """Digest of the request."""


@attrs.frozen
class AdmitReply:
    """Answers an ``Admit``."""

    ticket: str
    """Identifies the request."""
    verdict: Verdict
    """What the asking VM may do."""
    answer: StoredAnswer | None = None
    """The stored answer, if there is one."""
    retry_after_s: float | None = None
    """When a repeat may get another verdict, if known."""


@attrs.frozen
class Finish:
    """Tells the home what became of a request that it admitted."""

    ticket: str
    """Identifies the request."""
    customer: str
    """Name of the customer."""
    key: bytes
    """The idempotency key."""
    result: RunResult
    """What became of it."""
    answer: StoredAnswer | None = None
    """The answer, unless it is too large to keep."""


@attrs.frozen
class CopyRecord:
    """Asks a VM to hold a copy."""

    record: Record
    """The record; its time is replaced by the age."""
    age_s: float
    """Age of the record when it was sent."""


@attrs.frozen
class CopyHeld:
    """Says that a copy is held."""

    customer: str
    """Name of the customer."""
    key: bytes
    """The idempotency key."""
    admission: str
    """Identifies the try to admit it."""
    holder: Member
    """The member that holds it."""


@attrs.frozen
class DropCopy:
    """Says that no request runs on the strength of a record."""

    customer: str
    """Name of the customer."""
    key: bytes
    """The idempotency key."""
    admission: str
    """Identifies the record."""


@attrs.frozen
class Collect:
    """Asks for all records of a slot, on behalf of its new possessor."""

    slot: int
    """The slot."""
    round_number: int
    """Tells this collection from earlier ones of the same VM."""


@attrs.frozen
class Collected:
    """Answers a ``Collect``."""

    slot: int
    """The slot."""
    round_number: int
    """The collection that is answered."""
    holder: Member
    """The member that answers."""
    copies: tuple[CopyRecord, ...]
    """All records of the slot that it holds."""
    members: tuple[Member, ...]
    """Members that it knows of from the last retention period, gone ones too."""
    history_s: float
    """How far back it knows of all members."""


@attrs.frozen
class Departed:
    """Says that a member leaves, and that no record depends on it any more."""

    member: Member
    """The member that leaves."""


Message = (
    Admit
    | AdmitReply
    | Finish
    | CopyRecord
    | CopyHeld
    | DropCopy
    | Collect
    | Collected
    | Departed
)
"""Any message about idempotency keys."""
