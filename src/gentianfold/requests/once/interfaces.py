"""What the ledger needs to know of share slots and members."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection

    from gentianfold.errors import Failure
    from gentianfold.requests.once.messages import Message
    from gentianfold.requests.once.records import Member


class OwnedSlot(Protocol):
    """A slot that this VM possesses."""

    @property
    def slot(self) -> int:
        """The number of the slot."""
        ...

    @property
    def since(self) -> object:
        """A value that differs from one possession of the slot to the next."""
        ...


class RemoteSlot(Protocol):
    """A slot that another VM possesses, as far as this one knows."""

    @property
    def vm(self) -> str:
        """The name of the VM."""
        ...


class SlotAuthority(Protocol):
    """Tells which VM admits a key."""

    def authority(
        self, slot_key: bytes, now_s: float
    ) -> OwnedSlot | RemoteSlot | Failure:
        """Return the possessor of the slot that ``slot_key`` hashes to.

        It returns an owned slot only while no other VM can possess the slot.
        """
        ...


class Roster(Protocol):
    """Tells which members there are and were."""

    def live(self, now_s: float) -> Collection[Member]:
        """Return the members that are heard, this one included."""
        ...

    def recent(self, now_s: float) -> Collection[Member]:
        """Return all members known from the last retention period."""
        ...

    def depart(self, member: Member) -> None:
        """Forget a member on which no record depends any more."""
        ...

    def history_s(self, now_s: float) -> float:
        """Return how far back ``recent`` is known to be whole."""
        ...


@attrs.frozen
class Send:
    """A message to be sent; it may be lost, repeated or overtaken."""

    vm: str
    """Name of the VM that it goes to."""
    message: Message
    """The message."""


@attrs.frozen
class LedgerOptions:
    """Times and sizes of the ledger; the same on every VM but for the sizes."""

    retention_s: float = 600.0
    """How long a key is remembered after it was recorded."""
    ticket_limit_s: float = 30.0
    """How long after it was asked for an admission may still be used."""
    copy_timeout_s: float = 0.2
    """Time after which a record is copied to further VMs."""
    admit_timeout_s: float = 1.0
    """Time after which a request without enough copies is refused."""
    collect_timeout_s: float = 1.0
    """Time after which a new possessor goes on without the VMs that did not answer."""
    max_records: int = 50_000
    """Most records held, copies included."""
    max_waiting: int = 64
    """Most requests of a slot that wait for the end of a collection."""
    answer_limit_bytes: int = 16 * 1024
    """Largest body of a stored answer."""
