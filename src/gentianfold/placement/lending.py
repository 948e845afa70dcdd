"""Decides how much of its slots and tokens the broker lends to VMs ahead of requests.

Answers the load of a fleet that places more requests a second than one broker decides:
a VM that holds a slot and a token places a request without a round trip. What is lent
to one VM is idle there while another VM's request waits, so the tighter the room and
the less busy the broker, the more it decides itself.
"""

from __future__ import annotations

import math

import attrs


@attrs.frozen
class ServiceRoom:
    """Slots of a service, as the broker knows them."""

    usable_slots: float
    """Slots of the upstreams that are healthy and not limited (count)."""
    slots_in_use: int
    """Slots that are granted or lent (count)."""
    waiting: int = 0
    """Requests in the queue of the service (count)."""
    upstreams: int = 0
    """Upstreams that take new requests (count)."""
    is_underserved: bool = False
    """Whether too many of its requests go unserved, so that all healthy upstreams must
    get requests."""


@attrs.frozen
class TokenRoom:
    """Tokens of a customer's rate limit, as the broker knows them."""

    free_tokens: float
    """Tokens that could be granted now (count)."""
    lent_tokens: int
    """Tokens that VMs hold and have not reported as used (count)."""
    window_requests: float
    """Requests that the limit allows in its window (count)."""
    asking_vms: int
    """VMs that had requests of the customer lately (count)."""


@attrs.frozen
class LendingPolicy:
    """Terms of loans by the load of the broker and by the room that is left."""

    decisions_per_core_s: float = 1500.0
    """Slot requests that a broker with one core decides in a second (count)."""
    min_load: float = 0.25
    """Fraction of that, 0 to 1, up to which the broker decides on all requests."""
    full_load: float = 0.6
    """Fraction of that from which slots are lent for the longest term, 0 to 1."""
    roomy_use: float = 0.5
    """Fraction of a service's slots in use up to which the term is longest, 0 to 1."""
    tight_use: float = 0.8
    """Fraction of a service's slots in use from which none is lent, 0 to 1."""
    max_term_s: float = 2.0
    """Longest term of a lent slot (seconds): the evidence on which its upstream was
    chosen is no older than that."""
    min_term_s: float = 0.1
    """Shortest term of a lent slot (seconds): a shorter one saves no round trip."""
    spread_per_s: float = 2.0
    """Decisions for each upstream of an underserved service that stay with the broker
    (per second): requests on lent slots go where earlier ones went."""
    lent_fraction: float = 0.125
    """Part of a limit's window that is lent at a time at most, 0 to 1: a broker that
    takes over does not know of tokens that its predecessor has lent."""

    def load(self, placements_per_s: float, cpu_share: float) -> float:
        """Return the load that all placements would put on the broker, 1 being full.

        Args:
            placements_per_s: Placements of the fleet, those by VMs included (per
                second).
            cpu_share: CPU share of the broker (cores).
        """
        return placements_per_s / max(cpu_share * self.decisions_per_core_s, 1.0)

    def eagerness(self, load: float) -> float:
        """Return how far the broker leaves decisions to VMs, 0 to 1."""
        return _rise(load, self.min_load, self.full_load)

    def slot_term_s(self, load: float, room: ServiceRoom) -> float:
        """Return the term for which a VM may keep a slot (seconds).

        Returns:
            The term; 0 if the VM has to return the slot after its request.
        """
        if room.waiting or room.usable_slots <= 0:
            return 0.0
        use = room.slots_in_use / room.usable_slots
        roominess = 1 - _rise(use, self.roomy_use, self.tight_use)
        term_s = self.max_term_s * roominess * self.eagerness(load)
        if room.is_underserved:
            spread_per_s = self.spread_per_s * max(room.upstreams, 1)
            term_s = min(term_s, room.slots_in_use / spread_per_s)
        return term_s if term_s >= self.min_term_s else 0.0

    def may_recall(self, upstreams: int, cpu_share: float) -> bool:
        """Tell whether the broker can decide for each upstream of a service each second.

        Args:
            upstreams: Upstreams of the service (count).
            cpu_share: CPU share of the broker (cores).
        """
        return self.spread_per_s * upstreams <= cpu_share * self.decisions_per_core_s

    def tokens(self, load: float, room: TokenRoom, wanted: int) -> int:
        """Return the tokens of a customer that a VM gets ahead of its requests (count).

        Half of the free tokens stay with the broker, the rest is divided among the VMs
        that ask. Where that is less than one token each, the broker decides on each
        request of the customer.
        """
        if not self.eagerness(load):
            return 0
        left = self.lent_fraction * room.window_requests - room.lent_tokens
        each = room.free_tokens / 2 / max(room.asking_vms, 1)
        return max(0, min(wanted, math.floor(each), math.floor(left)))


def _rise(value: float, start: float, end: float) -> float:
    """Return 0 up to ``start``, 1 from ``end`` on, and linear values between."""
    return min(max((value - start) / (end - start), 0.0), 1.0)
