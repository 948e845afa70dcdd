"""Checks of the head of a request, against smuggling above all.

Two servers that read one head differently disagree on where the next request starts.
Whatever could be read in two ways is refused, even where the RFCs allow a repair.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from gentianfold.codes.requests import (
    EXPECTATION_REFUSED,
    HTTP_VERSION_REFUSED,
    LENGTH_AMBIGUOUS,
    REQUEST_MALFORMED,
    UPGRADE_REFUSED,
)
from gentianfold.errors import Failure

if TYPE_CHECKING:
    from collections.abc import Sequence

TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
"""A field name or method of RFC 9110."""
FORBIDDEN_IN_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
"""Control characters; an obsolete line folding has CR and LF among them."""
TARGET = re.compile(rb"(/[^\x00-\x20\x7f#]*|\*)")
"""A path with an optional query, or the asterisk of OPTIONS."""
LENGTH = re.compile(rb"[0-9]{1,18}")
"""A Content-Length without sign, list or leading blanks."""


def check_request_head(
    method: str,
    target: bytes,
    http_version: str,
    headers: Sequence[tuple[bytes, bytes]],
) -> Failure | None:
    """Return why a request can't be forwarded, or ``None`` if it can.

    Args:
        method: The method as sent.
        target: Path and query as sent.
        http_version: For example ``1.1``.
        headers: Headers with names in lower case, in order, duplicates kept.
    """
    if http_version != "1.1":
        return Failure(HTTP_VERSION_REFUSED, f"the version is {http_version}")
    if not TOKEN.fullmatch(method.encode("latin-1", "replace")):
        return Failure(REQUEST_MALFORMED, "the method is not a token")
    if method == "CONNECT":
        return Failure(UPGRADE_REFUSED, "the method is CONNECT")
    if not TARGET.fullmatch(target) or (target == b"*" and method != "OPTIONS"):
        return Failure(REQUEST_MALFORMED, "the target is not a path")
    return _check_fields(headers) or _check_framing(headers)


def _check_fields(headers: Sequence[tuple[bytes, bytes]]) -> Failure | None:
    names = [name for name, _ in headers]
    # One match over all names costs less than one for each; an empty one hides in it.
    if not all(names) or not TOKEN.fullmatch(b"".join(names)):
        return Failure(REQUEST_MALFORMED, "a field name is not a token")
    if FORBIDDEN_IN_VALUE.search(b"".join([value for _, value in headers])):
        return Failure(REQUEST_MALFORMED, "a field value holds a control character")
    hosts = names.count(b"host")
    for name, value in headers:
        if name == b"upgrade":
            return Failure(UPGRADE_REFUSED, "the request has an Upgrade header")
        elif name == b"expect" and value.lower() != b"100-continue":
            return Failure(EXPECTATION_REFUSED)
    if hosts != 1:
        return Failure(REQUEST_MALFORMED, f"the request has {hosts} Host headers")
    return None


def _check_framing(headers: Sequence[tuple[bytes, bytes]]) -> Failure | None:
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if len(lengths) > 1:
        return Failure(LENGTH_AMBIGUOUS, "there are several Content-Length headers")
    if lengths and codings:
        reason = "there are both Content-Length and Transfer-Encoding"
        return Failure(LENGTH_AMBIGUOUS, reason)
    if lengths and not LENGTH.fullmatch(lengths[0]):
        return Failure(LENGTH_AMBIGUOUS, "the Content-Length is not a number")
    if codings and [coding.lower() for coding in codings] != [b"chunked"]:
        return Failure(LENGTH_AMBIGUOUS, "the transfer coding is not just chunked")
    return None
