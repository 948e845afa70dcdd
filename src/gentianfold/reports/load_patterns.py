"""Load patterns of the placement model, taken from the two gateways' calm and worst
days: kinds of requests, their rates and work, and how servers fail."""

from __future__ import annotations

import attrs


@attrs.frozen
class RequestKind:
    """One kind of request."""

    name: str
    """Its name."""
    per_s: float
    """Requests each second."""
    work_s: float
    """Mean work (seconds); log-normal."""
    target_s: float
    """Time within which it earns its whole worth (seconds)."""
    timeout_s: float
    """Time after which its answer is of no use (seconds)."""
    value: float
    """What an answer within the target earns."""
    priority: int
    """Rank; 0 is the most urgent."""
    idempotent: bool
    """Whether it may run twice."""


KINDS = (
    RequestKind("lookup", 27.4, 0.29, 1.0, 2.0, 1, 2, True),
    RequestKind("claim", 56.2, 0.38, 1.0, 2.0, 2, 1, False),
    RequestKind("booking", 10.0, 0.20, 0.5, 2.0, 3, 0, False),
)
"""The kinds that batbold's registry runs, at an ordinary load."""


@attrs.frozen
class LoadPattern:
    """A load and the faults beside it."""

    name: str
    """Its name."""
    load_factor: float = 1.0
    """Multiple of the kinds' rates."""
    failing_share: float = 0.3
    """Part of the servers that fail nine in ten requests, in spells."""
    slow_share: float = 0.0
    """Part of the servers that are slow."""
    slow_factor: float = 5.0
    """Multiple of the usual work that those take."""
    partly_failing_share: float = 0.0
    """Part of the servers that fail one in two requests."""
    server_count: int = 14
    """Servers; as many as batbold's registry has, if the load is to fit."""
    kinds: tuple[RequestKind, ...] = KINDS
    """Its kinds of requests."""
    customer_priority: int | None = None
    """Rank of all customers; ``None`` if the kinds' ranks count."""


ORDERS_AND_SURVEYS = (
    RequestKind("order", 60.0, 0.11, 0.3, 1.2, 3, 0, False),
    RequestKind("survey", 100.0, 0.64, 2.0, 4.0, 1, 2, True),
)
"""The kinds of porta's depot-orders at the load of its day scale-2, for as many slots as
the model has."""
SLOTS = 6
"""Slots of each."""
VM_COUNT = 32
"""VMs before them."""
SPELL_S = 8.0
"""Length of a failing spell (seconds); seen in a trial of batbold quiet-1."""
LOAD_PATTERNS = (
    LoadPattern("calm", 0.58),
    LoadPattern("ordinary"),
    LoadPattern("burst", 2.0),
    LoadPattern("half failing", 1.3, failing_share=0.5),
    LoadPattern("partly failing", 1.0, partly_failing_share=0.3),
    LoadPattern("slow servers", 1.0, slow_share=0.2),
    LoadPattern("very slow servers", 1.3, slow_share=0.2, slow_factor=12.0),
    LoadPattern("long work", kinds=ORDERS_AND_SURVEYS, customer_priority=1),
)
"""The loads that the report plays."""
