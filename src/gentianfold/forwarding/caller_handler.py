"""What the connections of callers ask of the handler of their requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from gentianfold.errors import Failure
    from gentianfold.forwarding.messages import CallerRequest, Response
    from gentianfold.model import CallerLimits


class RequestHandler(Protocol):
    """Answers requests and malformed input; independent of the connections."""

    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        ...

    def is_stopping(self) -> bool:
        """Return whether connections are closed once their requests are answered."""
        ...

    def start(
        self, request: CallerRequest, reply: Callable[[Response], None]
    ) -> Callable[[], None]:
        """Start to handle a request.

        Args:
            request: The complete request.
            reply: Called at most once, with the response.

        Returns:
            A function to call when the caller disconnects before the response.
        """
        ...

    def reject(self, failure: Failure) -> Response:
        """Return the response to input that is not an acceptable request."""
        ...

    def record_broken_off(self) -> None:
        """Count an answer whose rest is missing, as its upstream sends no more."""
        ...

    def record_cut(self, count: int, cause: str) -> None:
        """Count and log answers that had not left when their connection ended."""
        ...
