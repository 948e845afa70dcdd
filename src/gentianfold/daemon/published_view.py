"""What requests need of the configuration in force, swapped whole."""

from __future__ import annotations

import attrs

from gentianfold.codes.requests import KEY_MISSING, KEY_UNKNOWN
from gentianfold.configuration.snapshot import Snapshot
from gentianfold.errors import Failure
from gentianfold.keys import digest_key, is_key
from gentianfold.model import Customer
from gentianfold.rules import RouteTable, RuleSet


@attrs.frozen
class Identity:
    """Who a request comes from."""

    customer: Customer
    """The customer whose key came with it."""
    key_digest: str
    """Digest of that key, kept in place of the key."""


@attrs.define
class PublishedView:
    """The rules and keys in force on this VM."""

    snapshot: Snapshot | None = None
    """The configuration in force; ``None`` before the first."""
    rules: RuleSet = attrs.field(factory=RuleSet)
    """Its rules."""
    routes: RouteTable = attrs.field(factory=lambda: RouteTable(()))
    """Its routes, ready for lookup."""

    def adopt(self, snapshot: Snapshot) -> None:
        """Put a snapshot in force for all requests from now on."""
        rules = snapshot.rules
        if not isinstance(rules, RuleSet):
            raise TypeError("the snapshot was assembled without the rules parser")
        self.snapshot = snapshot
        self.rules = rules
        self.routes = RouteTable(rules.routes)

    def identify(self, key: str | None) -> Identity | Failure:
        """Return the customer that holds a key."""
        if key is None:
            return Failure(KEY_MISSING)
        # A text of another shape could reach an upstream in some other header,
        # since what is stripped there is found by the shape.
        if not is_key(key):
            return Failure(KEY_UNKNOWN)
        return self.identify_digest(digest_key(key))

    def identify_digest(self, key_digest: str) -> Identity | Failure:
        """Return the customer of a key by its digest; tells a withdrawn key too."""
        name = self.snapshot.keys.get(key_digest) if self.snapshot else None
        if name is None:
            return Failure(KEY_UNKNOWN)
        customer = self.rules.customers.get(name) or Customer(name)
        return Identity(customer, key_digest)
