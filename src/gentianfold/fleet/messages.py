"""Datagrams between VMs, encoded as msgpack arrays with a leading number."""

from __future__ import annotations

from typing import TypeAlias

import msgspec


class Ask(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Asks the broker for a slot; repeated until it is answered."""

    number: int
    service: str
    route: str
    customer: str
    priority: int
    route_priority: int
    idempotent: bool
    attempt: int
    excluded: tuple[str, ...]
    time_left_ms: int
    target_left_ms: int
    zone: str


class Grant(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Grants a slot of a named upstream."""

    number: int
    upstream: str
    host: str
    port: int
    expected_ms: int
    reason: int


class Wait(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Confirms that a request waits for a slot."""

    number: int


class Refuse(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Refuses a slot."""

    number: int
    reason: int
    retry_after_ms: int
    ahead: int


class Release(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Frees a slot and tells what became of the attempt."""

    number: int
    outcome: int
    elapsed_ms: int


class Beat(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """Heartbeat of a VM to the broker that it follows."""

    incarnation: int
    """Unix time of the VM's start (milliseconds)."""
    zone: str
    cpu_share: float
    link_mbps: float
    configuration: int
    """Version of the configuration in force; 0 for none."""
    store_age_ms: int
    """Time since the VM itself read the store; -1 if it never did."""
    upstreams_revision: int
    """Revision up to which the VM knows all upstreams."""
    held: tuple[tuple[int, str, str, str], ...]
    """Number, upstream, route and customer of each slot that the VM holds."""


class BeatReply(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """The broker's answer to a heartbeat."""

    incarnation: int
    deputies: tuple[str, ...]
    """Addresses of the VMs that follow as broker, in order."""
    member_count: int
    configuration: int
    """Newest version that the fleet has."""
    source: str
    """VM from which the receiver takes that version; empty while it should wait."""
    store_age_ms: int
    """Time since the broker read the store; -1 if it never did."""
    upstreams_revision: int
    """Revision up to which the broker knows all upstreams."""
    changed_revision: int
    """Revision of the last change among them."""
    tight_customers: tuple[str, ...] = ()
    """Customers that are near their limit."""


class UpstreamEntry(msgspec.Struct, array_like=True, frozen=True):
    """An upstream, or the end of one, as it is passed on between VMs."""

    name: str
    revision: int
    is_deleted: bool = False
    service: str = ""
    host: str = ""
    port: int = 0
    zone: str = ""
    slots: int = 0
    is_draining: bool = False
    start_time_ms: int = 0
    warmup_remaining_ms: int = 0


class Upstreams(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """Changes of the upstream list after a revision."""

    after_revision: int
    upto_revision: int
    is_full: bool
    """Whether upstreams that are not listed here are gone."""
    entries: tuple[UpstreamEntry, ...]


class Redirect(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """Names the broker; the VM of that address takes over if it is no broker yet."""

    broker: str


class Claim(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """A broker tells VMs outside its fleet that it is one."""

    member_count: int


Message: TypeAlias = (
    Ask
    | Grant
    | Wait
    | Refuse
    | Release
    | Beat
    | BeatReply
    | Upstreams
    | Redirect
    | Claim
)
"""Everything that is sent between VMs."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Write a datagram."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message | None:
    """Read a datagram; ``None`` if it is not one of ours."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
