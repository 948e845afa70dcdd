"""Reads the head of an upstream's response, and tells whether it is valid.

The parser takes some heads that are no answer in the protocol, such as a status of 000.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gentianfold.forwarding.messages import Headers, Response

_VERSIONS = ("1.0", "1.1")
_MIN_STATUS, _MAX_STATUS = 100, 599
_SWITCHING_PROTOCOLS = 101


def find_head_fault(version: str, status: int, headers: Headers) -> str:
    """Return why the head of a response is not valid; empty if it is.

    Args:
        version: Version of HTTP, such as ``1.1``.
        status: Status code of an interim or final response.
        headers: All headers, names in lower case.
    """
    if version not in _VERSIONS:
        return f"version {version}"
    if not _MIN_STATUS <= status <= _MAX_STATUS:
        return f"status {status:03d}"
    if status == _SWITCHING_PROTOCOLS:
        return "protocol switched unasked"
    return _find_framing_fault(version, status, headers)


def _find_framing_fault(version: str, status: int, headers: Headers) -> str:
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    lengths = [value for name, value in headers if name == b"content-length"]
    if status < 200 or status == 204:
        is_empty = not codings and not any(value.strip(b"0") for value in lengths)
        return "" if is_empty else f"status {status} with a body"
    if codings and (
        version == "1.0" or len(codings) > 1 or codings[0].strip().lower() != b"chunked"
    ):
        # A body in another coding would pass for the upstream's own bytes.
        return "transfer coding is not chunked"
    return ""


def keep_alive_timeout_s(response: Response) -> float | None:
    """Return the server's idle timeout (seconds); ``None`` if the header lacks one."""
    value = response.header(b"keep-alive")
    if value is None:
        return None
    for part in value.split(b","):
        name, _, number = part.partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
