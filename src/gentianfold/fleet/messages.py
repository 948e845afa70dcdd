"""Messages between VMs: msgpack arrays that start with the number of the type.

Field order, types, defaults and numbers are the wire format.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, TypeAlias

import msgspec

from gentianfold.fleet.process_number import NOT_STATED
from gentianfold.fleet.protocol import NO_PROTOCOL
from gentianfold.fleet.store_revision import NO_REVISION, StoreRevision
from gentianfold.fleet.token_ask import TokenAsk
from gentianfold.placement.crash_record import CrashRecord

if TYPE_CHECKING:
    from gentianfold.placement.slot_request import SlotRequest


class AcquireSlot(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Requests a slot from the broker; sent again until it is answered.

    The fields are those of ``SlotRequest``, with times in milliseconds.
    """

    slot_request_id: int
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
    fingerprint: bytes = b""
    age_ms: int = 0
    """Time since the times left were computed (milliseconds); 0 from this build."""
    zones: tuple[str, ...] | None = None
    process: int = NOT_STATED
    """Number of the process of the VM that sends it."""


class SlotGranted(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Grants a slot of an upstream."""

    slot_request_id: int
    """Identifier of the slot request."""
    upstream: str
    host: str
    port: int
    expected_ms: int
    """Usual duration of such a request (milliseconds)."""
    reason: int
    """Number of a ``GrantReason``."""
    start_time_ms: int = 0
    """Unix time of the upstream's start (milliseconds)."""
    term_ms: int = 0
    """Time for which the VM may use the slot for further requests (milliseconds); 0 if
    it returns the slot after this one."""
    process: int = NOT_STATED
    """Number of the process of the VM that asked."""


class SlotQueued(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Acknowledges a request that awaits its decision or a free slot."""

    slot_request_id: int
    """Identifier of the slot request."""
    behind_ms: int = 0
    """How far the broker's decisions are behind the requests (milliseconds)."""
    process: int = NOT_STATED
    """Number of the process of the VM that asked."""


class SlotRefused(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Refuses a request for a slot."""

    slot_request_id: int
    """Identifier of the slot request."""
    reason: int
    """Number of a ``RefusalReason``."""
    retry_after_ms: int
    ahead: int
    """Requests ahead of this one in the queue of its service."""
    behind_ms: int = 0
    """How far the broker's decisions are behind the requests (milliseconds)."""
    process: int = NOT_STATED
    """Number of the process of the VM that asked."""


class ReleaseSlot(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Frees a slot and reports the outcome of the attempt."""

    slot_request_id: int
    """Identifier of the slot request."""
    outcome: int
    """Number of an ``Outcome``."""
    elapsed_ms: int
    transferred_bytes: int = 0
    """Size of the request and its response; 0 if it is not known."""
    rate_limit_per_s: float | None = None
    """Rate limit that the answer states; infinite if it states none, ``None`` if there
    is no answer."""
    pause_ms: int | None = None
    """Time for which the upstream wants no requests of the VM (milliseconds); ``None``
    if it states none."""
    process: int = NOT_STATED
    """Number of the process that requested the slot."""


class Evacuations(msgspec.Struct, array_like=True, frozen=True):
    """Availability zones to which nothing may be sent, as of a revision."""

    revision: StoreRevision = NO_REVISION
    """Revision of the store as of which the set holds."""
    zones: tuple[tuple[str, StoreRevision], ...] = ()
    """Each zone with the revision at which its evacuation was requested."""


class Heartbeat(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """Heartbeat of a VM to its broker."""

    incarnation: int
    """Unix time of the VM's start (milliseconds)."""
    zone: str
    cpu_share: float
    """CPU share of the VM (cores)."""
    link_mbps: float
    """Bandwidth of the VM's network link (megabits per second)."""
    configuration_version: int
    """Version of the configuration in force; 0 for none."""
    store_age_ms: int
    """Time since the VM's own last read of the store (milliseconds); -1 for never."""
    upstreams_revision: StoreRevision
    """Revision up to which the VM knows all upstream changes."""
    held_slots: tuple[tuple[int, str, str, str], ...]
    """Identifier, upstream, route and customer of each slot held by the VM."""
    rate_limits: tuple[tuple[str, float, int], ...] = ()
    """Upstream, rate limit and milliseconds since it was stated, newest first."""
    crash_records: tuple[CrashRecord, ...] = ()
    """Requests under which upstreams crashed."""
    leaving: tuple[tuple[str, int], ...] = ()
    """Upstream and start (Unix time in milliseconds) that say that they leave."""
    pauses: tuple[tuple[str, int, int], ...] = ()
    """Upstream, start, and milliseconds for which it wants no requests of the VM."""
    lease_stamp_ms: int = 0
    """Stamp of the newest reply of the broker, which holds the VM's share of fleet-wide
    limits on lease; 0 if it holds no lease."""
    fleet_size: int = 0
    """VMs of the fleet as told by the last broker (count); 0 if unknown."""
    is_cut_off: bool = False
    """Whether the VM has lost its paths to the upstreams."""
    evacuations: Evacuations | None = None
    """Evacuated zones; ``None`` from builds that don't know of evacuations."""
    is_first_start: bool = False
    """Whether the system never ran before the VM's process."""
    token_ask: TokenAsk = TokenAsk()
    """Use of the tokens that the broker has lent, and the wish for further ones."""
    link_used_mbps: float = 0.0
    """Use of the VM's link by answers (megabits per second)."""
    protocol: int = NO_PROTOCOL
    """Version of the messages that the VM knows."""


class HeartbeatReply(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """Reply of the broker to a heartbeat."""

    incarnation: int
    """Unix time of the broker's start (milliseconds)."""
    deputies: tuple[str, ...]
    """Addresses of the successors of the broker, best first."""
    member_count: int
    """Members of the fleet besides the broker."""
    configuration_version: int
    """Version of the broker's configuration; 0 for none."""
    configuration_source: str
    """VM from which the receiver fetches that version; empty for no transfer now."""
    store_age_ms: int
    """Time since the state that the broker knows was read from the store, by any VM
    (milliseconds); -1 if it knows none."""
    upstreams_revision: StoreRevision
    """Revision up to which the broker knows all upstream changes."""
    last_change_revision: StoreRevision
    """Revision of the last of these changes."""
    near_limit_customers: tuple[str, ...] = ()
    """Unused; keeps the positions of the fields behind it."""
    crash_records: tuple[CrashRecord, ...] = ()
    """Requests under which upstreams crashed."""
    leaving: tuple[tuple[str, int], ...] = ()
    """Upstream and start (Unix time in milliseconds) that say that they leave."""
    lease_stamp_ms: int = 0
    """Time of the broker's clock, for the VM's next heartbeat (milliseconds)."""
    fleet_size: int = 0
    """VMs of the fleet, missing ones included (count); 0 while it is unknown."""
    tunnel_vms: tuple[str, ...] = ()
    """VMs through which the receiver may reach upstreams if it is cut off from them."""
    evacuations: Evacuations | None = None
    """Evacuated zones; ``None`` from builds that don't know of evacuations."""
    behind_ms: int = 0
    """How far the broker's decisions are behind the requests (milliseconds)."""
    seed_age_ms: int = 0
    """Time since the broker was in touch with a seed that knows the fleet
    (milliseconds); not stated by builds without a protocol."""
    token_ask_number: int = 0
    """Number of the ask for tokens that the reply answers; 0 for none."""
    tokens: tuple[tuple[str, int], ...] = ()
    """Customer and tokens that the broker lends to the receiver."""
    protocol: int = NO_PROTOCOL
    """Version of the messages that the broker knows."""
    zone_rank: int = 0
    """Members of the receiver's zone before it, in the order of their addresses (count)."""
    zone_vm_count: int = 0
    """Members of the receiver's zone (count); 0 from builds that divide no slots."""
    process: int = NOT_STATED
    """Number of the process whose heartbeat is answered."""


class UpstreamEntry(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """An upstream, or the deletion of one, at a revision.

    A deletion keeps what is known of the deleted start of the upstream.
    """

    name: str
    revision: StoreRevision
    is_deleted: bool = False
    service: str = ""
    host: str = ""
    port: int = 0
    zone: str = ""
    slots: int = 0
    is_draining: bool = False
    start_time_ms: int = 0
    """Unix time of the upstream's start (milliseconds)."""
    warmup_remaining_ms: int = 0
    sequence: int = 0
    """The upstream's own count of its writes to the store since its start."""

    def __post_init__(self) -> None:
        """Share the strings that the entries of many upstreams have in common."""
        msgspec.structs.force_setattr(self, "service", sys.intern(self.service))
        msgspec.structs.force_setattr(self, "zone", sys.intern(self.zone))


class UpstreamChanges(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """Changes of the list of upstreams after a revision, or the whole list."""

    after_revision: StoreRevision
    """Revision after which the changes are complete; a receiver below it lacks some."""
    through_revision: StoreRevision
    """Last revision that is covered."""
    is_snapshot: bool
    """Whether the entries are the whole list: upstreams not in it are deleted."""
    entries: tuple[UpstreamEntry, ...]
    listed_revision: StoreRevision = NO_REVISION
    """Revision at which the sender last listed all items, without deletions before."""


class Redirect(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """Redirects a VM to the broker; a VM redirected to itself becomes the broker."""

    broker: str
    lease_stamp_ms: int = 0
    """Time of the sender's clock (milliseconds) since which it has used no share of
    another VM; 0 if it does not tell."""
    fleet_size: int = 0
    """VMs of the fleet that the sender hands over (count); 0 if it hands over none."""


class BrokerAnnouncement(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """Announces a broker to VMs that are not its members."""

    member_count: int
    """Members of its fleet besides the broker."""


class SlotUse(msgspec.Struct, array_like=True, frozen=True):
    """Use of a lent slot for one request."""

    lease_id: int
    """Slot request that was granted the slot."""
    is_placed_by_vm: bool
    """Whether the VM placed the request itself; false for the first one of a slot."""
    is_returned: bool
    """Whether the VM gives the slot back."""
    route: str
    customer: str
    idempotent: bool
    outcome: int
    """Number of an ``Outcome``."""
    elapsed_ms: int
    transferred_bytes: int = 0
    """Size of the request and its response; 0 if it is not known."""
    rate_limit_per_s: float | None = None
    """As in ``ReleaseSlot``."""
    pause_ms: int | None = None
    """As in ``ReleaseSlot``."""


class SlotUses(msgspec.Struct, array_like=True, tag=15, frozen=True):
    """Reports finished uses of lent slots, and requests that got no decision."""

    uses: tuple[SlotUse, ...]
    returned: tuple[int, ...] = ()
    """Idle lent slots that the VM gives back, by lease."""
    unserved: tuple[tuple[str, str, bool, int], ...] = ()
    """Service, route, whether idempotent, and number of the requests that the VM refused
    since the broker did not decide on them."""
    process: int = NOT_STATED
    """Number of the process of the VM that sends it."""


class RecallSlots(msgspec.Struct, array_like=True, tag=16, frozen=True):
    """Asks for idle lent slots; those in use come back after their request."""

    services: tuple[str, ...] = ()
    """Services that have requests waiting."""
    upstreams: tuple[str, ...] = ()
    """Upstreams that should get no further requests."""


class TunnelRequest(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """Asks for the token that opens tunnels through the receiver."""


class TunnelToken(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """Names the token that opens tunnels through the sender."""

    token: bytes


class TunnelNotice(msgspec.Struct, array_like=True, tag=14, frozen=True):
    """Tells the VM behind which a tunnel reached an upstream what the upstream stated."""

    upstream: str
    start_time_ms: int
    """Unix time of the upstream's start (milliseconds)."""
    is_leaving: bool
    pause_ms: int | None
    """Time for which the upstream wants no requests of that VM (milliseconds); ``None``
    if it states none."""


class UpstreamCold(msgspec.Struct, array_like=True, tag=17, frozen=True):
    """Tells the broker that an upstream has stated in an answer that it is cold."""

    upstream: str
    start_time_ms: int
    """Unix time of the upstream's start (milliseconds)."""
    left_ms: int
    """Time for which it remains cold (milliseconds)."""


class CrashReport(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """Tells VMs at once that a request is blocked, or no longer."""

    crash_records: tuple[CrashRecord, ...]


Message: TypeAlias = (
    AcquireSlot
    | SlotGranted
    | SlotQueued
    | SlotRefused
    | ReleaseSlot
    | Heartbeat
    | HeartbeatReply
    | UpstreamChanges
    | Redirect
    | BrokerAnnouncement
    | CrashReport
    | TunnelRequest
    | TunnelToken
    | TunnelNotice
    | SlotUses
    | RecallSlots
    | UpstreamCold
)
"""Any message between VMs."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message as a datagram."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message | None:
    """Decode a datagram; ``None`` if it is not a valid message."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
        return None


def to_acquire_slot(
    request: SlotRequest, age_s: float = 0.0, process: int = NOT_STATED
) -> AcquireSlot:
    """Return the message that requests a slot from the broker.

    Its times left are those of now, as brokers of older builds read no age.

    Args:
        request: The request.
        age_s: Time since its times left were computed (seconds).
        process: Number of the process that requests the slot.
    """
    return AcquireSlot(
        request.slot_request_id,
        request.service,
        request.route,
        request.customer,
        request.priority,
        request.route_priority,
        request.idempotent,
        request.attempt,
        request.excluded,
        int((request.time_left_s - age_s) * 1000),
        int((request.target_left_s - age_s) * 1000),
        request.zone,
        request.fingerprint,
        zones=request.zones,
        process=process,
    )


def to_release_slot(
    slot_request_id: int,
    outcome: int,
    elapsed_s: float,
    transferred_bytes: int = 0,
    rate_limit_per_s: float | None = None,
    pause_s: float | None = None,
    process: int = NOT_STATED,
) -> ReleaseSlot:
    """Return the message that frees a slot; times in seconds."""
    return ReleaseSlot(
        slot_request_id,
        outcome,
        int(elapsed_s * 1000),
        transferred_bytes,
        rate_limit_per_s,
        int(pause_s * 1000) if pause_s is not None else None,
        process,
    )
