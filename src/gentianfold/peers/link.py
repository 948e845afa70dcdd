"""Carries bytes between VMs."""

from __future__ import annotations

from typing import Protocol


class PeerLink(Protocol):
    """Sends to peers by name; messages may be lost, late, reordered or doubled."""

    def connect(self, peer: str, host: str, port: int) -> None:
        """Start to keep a connection to a peer, or move it to a new address."""
        ...

    def disconnect(self, peer: str) -> None:
        """Close the connection to a peer."""
        ...

    def redial(self, peer: str) -> None:
        """Replace the connection to a peer by a fresh one."""
        ...

    def send(self, peer: str, data: bytes) -> bool:
        """Queue a message; return ``False`` if it was dropped at once."""
        ...
