"""Version of the messages between VMs, which heartbeats and their replies state.

A deployment replaces VMs one after the other, so builds of two versions run in one fleet,
and the broker may be of either. A build reads messages of every version: fields that it
doesn't know are skipped, those that are missing have a default, and messages with an
unknown tag are dropped. The version tells a VM what the other one does not understand or
does not keep to, so that it neither relies on that nor takes a default for a statement.
"""

from __future__ import annotations

NO_PROTOCOL = 0
"""Version of builds that state none: they know neither lent slots and tokens, evacuated
zones, homes, bounds of cold upstreams nor evidence of a fleet's size."""
PROTOCOL = 1
"""Version of this build."""


def is_older(protocol: int) -> bool:
    """Tell whether a build of a version lacks what this build relies on."""
    return protocol < PROTOCOL
