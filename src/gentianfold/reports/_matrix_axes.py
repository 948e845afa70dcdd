"""The axes of the fault matrix: promises, faults, steps, and what cannot occur."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable


class Promise(enum.Enum):
    """What must always hold."""

    LIMIT = "limit never exceeded"
    """No customer gets more than its rate and burst over all VMs."""
    AT_MOST_ONCE = "at most once"
    """A non-idempotent request runs at most once."""
    NOT_RUN = "'not run' is true"
    """A refusal that says "not run" is true."""
    KEY = "withdrawn key stops"
    """A withdrawn key stops working within seconds."""
    CONFIGURATION = "configuration never reverts"
    """An accepted configuration comes into force everywhere and stays."""
    ANSWER = "whole own answer"
    """A caller gets the whole answer to its own request."""
    FLOOR = "floor"
    """Ejection leaves a service its floor of capacity."""
    LEAVING = "leaving upstream idle"
    """A leaving upstream gets no new work."""
    STOP = "planned stop cuts none"
    """A planned stop cuts no request."""


class Fault(enum.Enum):
    """What fails."""

    TIMES_OUT = "times out"
    """An upstream never ends its work."""
    TRUNCATES = "truncates"
    """An upstream cuts its answer short."""
    ERRORS = "errors"
    """An upstream answers with status 500."""
    FLAPS = "flaps"
    """An upstream is good and bad by turns."""
    SILENT = "silent"
    """An open connection to an upstream carries nothing any more."""
    SHEDS = "sheds"
    """An upstream refuses work before it runs it."""
    ONE_WAY = "one way"
    """Messages between one VM and the rest pass one way only."""
    SPLIT = "split"
    """The fleet is in two parts that don't hear each other."""
    PAUSE = "pause"
    """A process stands still and wakes up late."""
    CRASH = "crash"
    """A VM ends without notice and starts again, knowing nothing."""
    PLATFORM_DOWN = "platform down"
    """The platform answers nobody."""
    PLATFORM_STALE = "platform stale"
    """The platform shows its news to some VMs only."""
    PLATFORM_OLDER = "platform older"
    """The platform answers with a version from before the one in force."""
    WITHDRAWN = "key withdrawn"
    """A key is withdrawn while requests with it wait."""
    LOST = "lost"
    """Messages between VMs are lost."""
    DUPLICATED = "duplicated"
    """Messages between VMs arrive twice."""
    REORDERED = "reordered"
    """A message between VMs is overtaken by later ones."""


class Step(enum.Enum):
    """A step of a request, or of an exchange between VMs."""

    ACCEPT = "accept"
    """The head of a request is read."""
    AUTHENTICATE = "authenticate"
    """The customer is found by the key."""
    ADMIT = "admit"
    """Limits, and for keyed requests the home, let the request pass."""
    QUEUE = "queue"
    """It waits for a slot."""
    PLACE = "place"
    """An upstream is chosen."""
    CONNECT = "connect"
    """A connection is made or taken from the kept ones."""
    SEND = "send"
    """The request is written."""
    WAIT = "wait"
    """The upstream works."""
    RECEIVE = "receive"
    """The answer comes in."""
    ANSWER = "answer"
    """The answer goes to the caller."""
    RECORD = "record"
    """The record of a keyed request is written and copied."""
    JOIN = "join"
    """A VM joins the fleet."""
    HAND_OVER = "hand over"
    """Share slots and their records move between VMs."""
    PLEDGE = "pledge"
    """A VM pledges its shares to the homes."""
    LEND = "lend"
    """A home grants tokens to another VM."""
    SPREAD = "spread"
    """Configuration and health evidence go from VM to VM."""
    LEAVE = "leave"
    """A VM leaves by a planned stop."""


UPSTREAM_FAULTS = (
    Fault.TIMES_OUT,
    Fault.TRUNCATES,
    Fault.ERRORS,
    Fault.FLAPS,
    Fault.SILENT,
    Fault.SHEDS,
)
"""Faults of an upstream."""
MESSAGE_FAULTS = (Fault.LOST, Fault.DUPLICATED, Fault.REORDERED)
"""Faults of single messages between VMs."""
PLATFORM_FAULTS = (Fault.PLATFORM_DOWN, Fault.PLATFORM_STALE, Fault.PLATFORM_OLDER)
"""Faults of the configuration service and the VM list."""
EXCHANGES = (
    Step.JOIN,
    Step.HAND_OVER,
    Step.PLEDGE,
    Step.LEND,
    Step.SPREAD,
    Step.LEAVE,
)
"""Exchanges between VMs."""
UPSTREAM_STEPS = (Step.CONNECT, Step.SEND, Step.WAIT, Step.RECEIVE, Step.ANSWER)
"""Steps between the choice of an upstream and the end of the answer."""


@attrs.frozen
class Exclusion:
    """Cells that cannot occur."""

    faults: tuple[Fault, ...]
    """The faults."""
    steps: tuple[Step, ...]
    """The steps at which they cannot occur."""
    reason: str
    """Why."""


EXCLUSIONS = (
    Exclusion(
        UPSTREAM_FAULTS,
        tuple(step for step in EXCHANGES if step is not Step.SPREAD),
        "upstreams take no part in this exchange between VMs",
    ),
    Exclusion(
        UPSTREAM_FAULTS,
        (Step.ACCEPT, Step.AUTHENTICATE, Step.ADMIT),
        "no upstream is asked before a request is admitted",
    ),
    Exclusion(
        UPSTREAM_FAULTS,
        (Step.RECORD,),
        "a request is recorded before it is sent to an upstream",
    ),
    Exclusion(
        (Fault.ONE_WAY, Fault.SPLIT),
        (Step.PLACE,),
        "the step neither sends nor awaits a message",
    ),
    Exclusion(
        MESSAGE_FAULTS,
        (Step.ACCEPT, Step.AUTHENTICATE, Step.QUEUE, Step.PLACE, *UPSTREAM_STEPS),
        "the step sends no message between VMs",
    ),
    Exclusion(
        PLATFORM_FAULTS,
        (Step.ACCEPT, Step.QUEUE, *UPSTREAM_STEPS),
        "the step reads nothing that the platform publishes",
    ),
)
"""All cells that cannot occur."""


def find_exclusion(step: Step, faults: Iterable[Fault]) -> Exclusion | None:
    """Return why faults cannot occur together at a step, if they can't."""
    return next(
        (
            exclusion
            for fault in faults
            for exclusion in EXCLUSIONS
            if step in exclusion.steps and fault in exclusion.faults
        ),
        None,
    )
