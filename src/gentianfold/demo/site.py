"""What the demo publishes: the rules, keys and upstreams of a small gateway."""

from __future__ import annotations

from gentianfold.configuration.key_table import KeyRecord
from gentianfold.keys import digest_key

ZONES = ("ub-1", "ub-2", "ub-3", "ub-4")
"""Availability zones of the demo."""

UPSTREAM_COUNTS = {"registry": 4, "dispatch": 3}
"""Stand-in upstreams by service."""

RULES = """\
# Rules of the demo gateway, one a line; each ends with who asked for it and why.
service registry floor=50%  # Oyuna (registry): half must stay up for the finders
service dispatch floor=60%  # Bat (dispatch): couriers can't wait
route glove-lookup GET /gloves/** service=registry idempotent timeout=800ms retries=2  # Oyuna (registry): finders ask all day
route glove-claim POST /claims service=registry idempotency-key=required timeout=2s body=64KiB  # Oyuna (registry): a claim runs once
route courier-booking POST /bookings service=dispatch timeout=2s body=64KiB  # Bat (dispatch): a booking runs once
route opening-hours GET /hours service=dispatch open idempotent timeout=1s  # Bat (dispatch): shown on the web page
customer bus-drivers weight=2 rate=50/s burst=100  # Saraa (contracts): the large customer
customer market-stall rate=5/s burst=20  # Saraa (contracts): a small stall
"""
"""The rules file of the demo."""


def key_records(keys: dict[str, str]) -> list[KeyRecord]:
    """Return what is published for keys by customer."""
    return [KeyRecord(customer, digest_key(key)) for customer, key in keys.items()]
