"""Tells whether the head of a caller's request is acceptable, before its body is read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianfold.codes.requests import (
    BODY_TOO_LARGE,
    HEADERS_TOO_LARGE,
    REQUEST_MALFORMED,
)
from gentianfold.errors import Failure

if TYPE_CHECKING:
    from gentianfold.forwarding.messages import Headers
    from gentianfold.model import CallerLimits


def find_head_failure(
    version: str, target: bytes, headers: Headers, limits: CallerLimits
) -> Failure | None:
    """Return why a request is not acceptable; ``None`` if it is.

    Args:
        version: Version of HTTP, such as ``1.1``.
        target: Target as received.
        headers: All headers, names in lower case.
        limits: Size limits for callers.
    """
    size = len(target) + sum(len(name) + len(value) + 4 for name, value in headers)
    if size > limits.max_header_bytes:
        return Failure(HEADERS_TOO_LARGE)
    failure = _find_ambiguity(version, headers)
    if failure is not None:
        return failure
    if not target.startswith(b"/"):
        return Failure(REQUEST_MALFORMED, "the target is not a path")
    return _check_length(headers, limits)


def expects_continue(headers: Headers) -> bool:
    """Tell whether the caller waits for an interim response before the body."""
    return any(
        name == b"expect" and value.lower() == b"100-continue"
        for name, value in headers
    )


def _find_ambiguity(version: str, headers: Headers) -> Failure | None:
    """Return a failure if the message framing or host is ambiguous, else ``None``."""
    names = [name for name, _ in headers]
    if names.count(b"host") != 1 and (version != "1.0" or b"host" in names):
        return Failure(REQUEST_MALFORMED, "a request has one host header")
    if names.count(b"content-length") > 1:
        return Failure(REQUEST_MALFORMED, "the length is given twice")
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if codings and (len(codings) > 1 or codings[0].strip().lower() != b"chunked"):
        return Failure(REQUEST_MALFORMED, "the transfer coding is not chunked")
    if codings and b"content-length" in names:
        return Failure(REQUEST_MALFORMED, "both a length and a transfer coding")
    return None


def _check_length(headers: Headers, limits: CallerLimits) -> Failure | None:
    for name, value in headers:
        if name == b"content-length":
            if not value.isdigit():
                return Failure(REQUEST_MALFORMED, "the length is not a number")
            if int(value) > limits.max_body_bytes:
                return Failure(BODY_TOO_LARGE)
    return None
