"""Responses that this product generates itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from gentianfold.forwarding.messages import Response

if TYPE_CHECKING:
    from gentianfold.errors import Failure


def error_response(failure: Failure) -> Response:
    """Return the response that describes a failure to the caller."""
    code = failure.code
    body = msgspec.json.encode(
        {
            "error": code.number,
            "name": code.name,
            "reason": failure.reason or code.meaning,
            "remedy": code.remedy,
        }
    )
    headers = [(b"content-type", b"application/json")]
    if failure.retry_after_s is not None:
        headers.append((b"retry-after", b"%.2f" % failure.retry_after_s))
    return Response(code.status or 500, headers, body)
