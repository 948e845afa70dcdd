"""Keys of the peer link from the settings of a VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

import zmq
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.kdf.hkdf import HKDF
from zmq.utils import z85

from gentianfold.peers.link_keys import LinkKeys

if TYPE_CHECKING:
    from gentianfold.settings import PeerKeys
    from gentianfold.settings.secret import Secret

KEY_BYTES = 32
"""Length of a CURVE key (bytes)."""
DERIVATION_INFO = b"gentianfold peer link 1"
"""Binds derived keys to their use."""


def link_keys_of(keys: PeerKeys) -> LinkKeys:
    """Return the CURVE keys of a VM, derived if the fleet shares one secret.

    Raises:
        ValueError: The settings hold neither a key pair nor a fleet secret.
    """
    if keys.fleet_secret is not None:
        return _shared_keys(keys.fleet_secret, keys.next_fleet_secret)
    if keys.public_key is None or keys.secret_key is None:
        raise ValueError("the settings hold no keys for the peer link")
    return LinkKeys(
        keys.public_key.encode("ascii"),
        keys.secret_key.reveal().encode("ascii"),
        tuple(key.encode("ascii") for key in keys.allowed_public_keys),
    )


def _shared_keys(secret: Secret, next_secret: Secret | None) -> LinkKeys:
    own = _derive(secret)
    allowed = [zmq.curve_public(own)]
    if next_secret is not None:
        allowed.append(zmq.curve_public(_derive(next_secret)))
    return LinkKeys(allowed[0], own, tuple(allowed))


def _derive(secret: Secret) -> bytes:
    """Return a CURVE secret key in Z85, the same on all VMs with this secret."""
    derivation = HKDF(SHA256(), KEY_BYTES, salt=None, info=DERIVATION_INFO)
    return bytes(z85.encode(derivation.derive(secret.reveal().encode())))
