"""Normalization of request paths, and rejection of ambiguous paths.

If the proxy and an upstream interpreted a path differently, a request could bypass
the rules of its route. Every path that some server normalizes to another path is
therefore rejected. Percent-encodings that are safe to decode are decoded before
matching, so that each path has one normal form.
"""

from __future__ import annotations

import re

from gentianfold.codes.rules import PATH_REFUSED
from gentianfold.errors import Failure

MAX_PATH_BYTES = 8192
"""Maximum length of a request path (bytes)."""

_FORBIDDEN = re.compile(r"[^\x21-\x7e]|[\\#;]")
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})")
_ENCODED_DOT = re.compile(r"%(25)*2e", re.IGNORECASE)
_ENCODED_SEPARATOR = re.compile(r"%(25)*(2f|5c)", re.IGNORECASE)
_ENCODED_CONTROL = re.compile(r"%(25)*([01][0-9a-f]|7f)", re.IGNORECASE)
_OVERLONG = re.compile(r"%(25)*(c[01]|e0%(25)*[89]|f0%(25)*8)", re.IGNORECASE)
_PARAMETER_START = re.compile("%3b", re.IGNORECASE)
# Decoding these would end a segment or a path, or start another escape sequence.
_NOT_DECODED = frozenset("/\\.;?#%")


def split_path(path: str) -> tuple[str, ...] | Failure:
    """Split a request path into normalized segments.

    The query string is removed first. One trailing slash is ignored, since most
    servers treat ``/a/`` and ``/a`` as the same resource.

    Args:
        path: Percent-encoded path as received.

    Returns:
        The segments, empty for ``/``, or a failure with the code ``PATH_REFUSED`` if
        the path could bypass a rule.
    """
    path = path.partition("?")[0]
    problem = _find_problem(path)
    if problem:
        return Failure(PATH_REFUSED, problem)
    if path == "/":
        return ()
    segments = path.removesuffix("/").split("/")[1:]
    for segment in segments:
        if not segment:
            return Failure(PATH_REFUSED, "the path has an empty segment")
        # Some servers remove everything after ";" before they resolve dot segments.
        if _PARAMETER_START.split(segment, maxsplit=1)[0] in ("", ".", ".."):
            return Failure(PATH_REFUSED, f"the path has the segment {segment!r}")
    if "%" not in path:
        return tuple(segments)
    return tuple(_ESCAPE.sub(_normalize_escape, segment) for segment in segments)


def _find_problem(path: str) -> str:
    """Return why the characters of ``path`` are invalid; empty if they are valid."""
    if not path.startswith("/"):
        return "the path doesn't start with a slash"
    if len(path) > MAX_PATH_BYTES:
        return f"the path is longer than {MAX_PATH_BYTES} bytes"
    if _FORBIDDEN.search(path):
        return "the path has a character that must be percent-encoded"
    if "%" not in path:
        return ""
    if _BAD_ESCAPE.search(path):
        return "the path has a percent sign without two hexadecimal digits"
    if _ENCODED_DOT.search(path):
        return "the path has an encoded dot"
    if _ENCODED_SEPARATOR.search(path):
        return "the path has an encoded slash or backslash"
    if _ENCODED_CONTROL.search(path):
        return "the path has an encoded control character"
    if _OVERLONG.search(path):
        return "the path has a character in an overlong encoding"
    return ""


def _normalize_escape(match: re.Match[str]) -> str:
    """Decode a visible character; return other escapes in upper case."""
    char = chr(int(match[1], 16))
    if "!" <= char <= "~" and char not in _NOT_DECODED:
        return char
    return match[0].upper()
