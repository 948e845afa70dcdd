"""Headers as they are passed on, in both directions."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs

from gentianfold.requests.protocol import DEADLINE_HEADER, REQUEST_ID_HEADER

if TYPE_CHECKING:
    from collections.abc import Iterable

Headers = list[tuple[bytes, bytes]]
"""Headers in order, with names in lower case."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authentication-info",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Fields that concern one connection and are never passed on."""
REPLACED_IN_REQUEST = frozenset(
    {
        b"content-length",
        b"expect",
        b"forwarded",
        b"x-forwarded-host",
        b"x-forwarded-proto",
        b"x-forwarded-for",
        b"via",
        DEADLINE_HEADER,
        REQUEST_ID_HEADER,
    }
)
"""Fields of a request that the VM states anew."""
NOT_LISTABLE = frozenset({b"host", b"content-length", b"authorization"})
"""Fields that a Connection header can't remove: an upstream would misread the rest."""
PSEUDONYM = b"gentianfold"
"""Name of this software in Via."""


@attrs.frozen
class ForwardingPolicy:
    """What a request says of the hops before."""

    trusted_hosts: frozenset[str] = frozenset()
    """Addresses of balancers whose X-Forwarded-For is believed and extended."""
    scheme: bytes = b"http"
    """Scheme that callers used, for X-Forwarded-Proto."""


def request_headers(
    headers: Iterable[tuple[bytes, bytes]],
    framing: Headers,
    client_host: str,
    request_id: bytes,
    policy: ForwardingPolicy,
) -> Headers:
    """Return the headers for the upstream, but for the deadline of the attempt.

    Args:
        headers: Headers of the caller without its key.
        framing: How the body is framed towards the upstream.
        client_host: Address of the peer that sent the request.
        request_id: Identifies the request.
        policy: What to say of the hops before.
    """
    headers = list(headers)
    dropped = REPLACED_IN_REQUEST | _connection_fields(headers)
    passed = [pair for pair in headers if pair[0] not in dropped]
    via = _joined(headers, b"via", b"1.1 " + PSEUDONYM)
    client = client_host.encode("ascii", "replace")
    trusted = client_host in policy.trusted_hosts
    forwarded_for = _joined(headers, b"x-forwarded-for", client) if trusted else client
    return [
        *passed,
        *framing,
        (b"via", via),
        (b"x-forwarded-for", forwarded_for),
        (b"x-forwarded-proto", policy.scheme),
        (REQUEST_ID_HEADER, request_id),
    ]


def answer_headers(
    headers: Iterable[tuple[bytes, bytes]], request_id: bytes
) -> Headers:
    """Return the headers for the caller; names come out in lower case."""
    lowered = [(name.lower(), value) for name, value in headers]
    dropped = _connection_fields(lowered) | {b"via", REQUEST_ID_HEADER}
    passed = [pair for pair in lowered if pair[0] not in dropped]
    via = _joined(lowered, b"via", b"1.1 " + PSEUDONYM)
    return [*passed, (b"via", via), (REQUEST_ID_HEADER, request_id)]


def header_values(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> list[bytes]:
    """Return the values of all headers called ``name`` in lower case."""
    return [value for key, value in headers if key == name]


def _connection_fields(headers: Headers) -> frozenset[bytes]:
    listed = [value for name, value in headers if name == b"connection"]
    if not listed:
        return HOP_BY_HOP
    names = itertools.chain.from_iterable(value.split(b",") for value in listed)
    named = frozenset(name.strip().lower() for name in names)
    return HOP_BY_HOP | (named - NOT_LISTABLE)


def _joined(headers: Headers, name: bytes, last: bytes) -> bytes:
    return b", ".join([*header_values(headers, name), last])
