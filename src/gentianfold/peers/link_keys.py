"""Keys for the encryption of peer links."""

from __future__ import annotations

import attrs


@attrs.frozen
class LinkKeys:
    """CURVE keys in the Z85 form of ZeroMQ; two generations allow rotation.

    To rotate, allow the next public key everywhere, then give VMs the next key pair
    one by one, then drop the former public key.
    """

    public: bytes
    """Public key of this VM."""
    secret: bytes = attrs.field(repr=False)
    """Secret key of this VM."""
    allowed: tuple[bytes, ...]
    """Public keys of all peers: of the present and the next or former generation."""
