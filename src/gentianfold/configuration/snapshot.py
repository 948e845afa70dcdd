"""One whole version of the configuration, as the system uses it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gentianfold.configuration.fleet import FleetOptions
    from gentianfold.configuration.key_table import KeyTable
    from gentianfold.model import Service, Upstream


@attrs.frozen(eq=False)
class Snapshot:
    """A configuration that was checked whole and is swapped in whole."""

    version: int
    """Version of its root."""
    rules: object
    """What the rules parser made of the ``rules`` shard."""
    services: Mapping[str, Service]
    """Services by name: those of the rules, defaults for the other upstreams'."""
    upstreams: Mapping[str, Upstream]
    """Upstreams by name."""
    keys: KeyTable
    """Customer names by key digest; withdrawn keys are absent."""
    fleet: FleetOptions
    """Options of the whole fleet."""
