"""Keeps headers that concern one connection from passing to the next one.

The connection of a caller and that of an upstream have their own ends, framing and
options (RFC 9110, 7.6.1). What one of them states binds this VM alone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.forwarding.header_names import HeaderNames
    from gentianfold.forwarding.messages import Headers

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_HOP_PREFIX = b"proxy-"
_END_PREFIX = b"content-"
_END_TO_END = frozenset({b"host", b"date", b"retry-after"})


def is_hop_by_hop(name: bytes) -> bool:
    """Tell whether a header concerns one connection, whatever ``Connection`` lists."""
    return name in _HOP_BY_HOP or name.startswith(_HOP_PREFIX)


def connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the options that ``Connection`` lists, in lower case."""
    return frozenset(
        option.strip().lower()
        for name, value in headers
        if name == b"connection"
        for option in value.split(b",")
    )


@attrs.frozen
class HopFilter:
    """Removes the headers of one hop from a message.

    ``Connection`` can't name headers that both ends need: those that describe the body,
    and those of the deployment, without which a response is not the upstream's.
    """

    names: HeaderNames
    """Header names of the deployment."""

    def request_headers(self, headers: Headers) -> Headers:
        """Return the headers of a caller's request that an upstream may get.

        The body has been read, so its length and ``Expect`` are this VM's own.
        """
        return [
            (name, value)
            for name, value in self._end_to_end(headers)
            if name not in (b"content-length", b"expect")
        ]

    def response_headers(self, headers: Headers) -> Headers:
        """Return the headers of an upstream's response that the caller may get."""
        return self._end_to_end(headers)

    def _end_to_end(self, headers: Headers) -> Headers:
        named = connection_options(headers)
        return [
            (name, value)
            for name, value in headers
            if not is_hop_by_hop(name)
            and (name not in named or self._is_for_both_ends(name))
        ]

    def _is_for_both_ends(self, name: bytes) -> bool:
        return (
            name in _END_TO_END
            or name.startswith(_END_PREFIX)
            or name in self.names.all_names
        )
