"""One connection to an upstream, used by one request at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.requests._parsed_connection import ParsedConnection
    from gentianfold.requests._transport_stream import TransportStream


@attrs.define(eq=False)
class Connection:
    """A row of the connection table."""

    upstream: str
    """Name of the upstream."""
    stream: TransportStream
    """The bytes below."""
    http: ParsedConnection
    """The protocol above."""
    opened_at_s: float
    """When the connection was made."""
    expires_at_s: float
    """When the connection is closed instead of used again."""
    idle_since_s: float = 0.0
    """When the last answer ended."""
    requests_count: int = 0
    """Requests sent on it."""
    bytes_written_before: int = 0
    """Bytes written when the current request took the connection."""
    listed: bool = True
    """Whether the table still counts it."""

    @property
    def was_written(self) -> bool:
        """Whether any byte of the current request may have left."""
        return self.stream.bytes_written > self.bytes_written_before

    @property
    def has_stray_bytes(self) -> bool:
        """Whether the upstream sent more than the answer."""
        return self.http.has_stray_bytes or self.stream.has_unread

    def is_reusable(self, now_s: float, idle_limit_s: float) -> bool:
        """Return whether the next request may use the connection."""
        return (
            self.http.is_idle()
            and not self.stream.ended
            and not self.stream.has_unread
            and now_s < self.expires_at_s
            and now_s - self.idle_since_s < idle_limit_s
        )
