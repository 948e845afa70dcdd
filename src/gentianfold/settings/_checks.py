"""Checks of settings against each other."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianfold.settings._scanner import Path
    from gentianfold.settings.settings import PeerKeys, Settings

_ANY_HOSTS = frozenset(("0.0.0.0", "::"))


def find_conflicts(settings: Settings) -> Iterator[tuple[Path, str]]:
    """Yield the path and the problem of fields that don't fit each other."""
    yield from _find_port_conflicts(settings)
    yield from _find_key_conflicts(settings.peer_keys)


def _find_port_conflicts(settings: Settings) -> Iterator[tuple[Path, str]]:
    """Find two listeners on one address."""
    listeners = (
        ("caller_port", settings.caller_host, settings.caller_port),
        ("operator_port", settings.operator_host, settings.operator_port),
        ("peer_port", settings.peer_host, settings.peer_port),
    )
    for one, other in itertools.combinations(listeners, 2):
        same_host = one[1] == other[1] or not _ANY_HOSTS.isdisjoint((one[1], other[1]))
        if same_host and one[2] == other[2] != 0:
            yield (other[0],), f"port {other[2]} is the same as {one[0]}"


def _find_key_conflicts(keys: PeerKeys) -> Iterator[tuple[Path, str]]:
    """Find halves of key pairs, and next keys without a key in use."""
    for prefix in ("", "next_"):
        public = getattr(keys, f"{prefix}public_key")
        secret = getattr(keys, f"{prefix}secret_key")
        if (public is None) != (secret is None):
            given = "public_key" if secret is None else "secret_key"
            missing = "secret_key" if secret is None else "public_key"
            problem = f"needs {prefix}{missing} beside it"
            yield ("peer_keys", prefix + given), problem
    for name in ("public_key", "fleet_secret"):
        if getattr(keys, f"next_{name}") and not getattr(keys, name):
            problem = f"needs {name}, the key in use"
            yield ("peer_keys", f"next_{name}"), problem
    if keys.public_key and keys.fleet_secret:
        problem = "give either a key pair or a fleet secret"
        yield ("peer_keys", "fleet_secret"), problem
    if keys.public_key and not keys.allowed_public_keys:
        problem = "needs allowed_public_keys, the keys of the other VMs"
        yield ("peer_keys", "public_key"), problem
