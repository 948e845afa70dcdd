"""Normal form of request paths, and the forms that are refused.

A path that the proxy and an upstream read differently could be sent to a route
that was not meant for it. So every spelling that some server folds into another
path is refused, and harmless percent-encodings are decoded before matching, so that
each path has one normal form.
"""

from __future__ import annotations

import re

from gentianfold.codes.rules import PATH_REFUSED
from gentianfold.errors import Failure

MAX_PATH_BYTES = 8192
"""Longest request path."""

_FORBIDDEN = re.compile(r"[^\x21-\x7e]|[\\#;]")
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})")
_ENCODED_DOT = re.compile(r"%(25)*2e", re.IGNORECASE)
_ENCODED_SEPARATOR = re.compile(r"%(25)*(2f|5c)", re.IGNORECASE)
_ENCODED_CONTROL = re.compile(r"%(25)*([01][0-9a-f]|7f)", re.IGNORECASE)
_OVERLONG = re.compile(r"%(25)*(c[01]|e0%(25)*[89]|f0%(25)*8)", re.IGNORECASE)
_PARAMETER_START = re.compile("%3b", re.IGNORECASE)
# These would end a segment or a path, or start another escape, if they were decoded.
_KEPT_ENCODED = frozenset("/\\.;?#%")


def split_path(path: str) -> tuple[str, ...] | Failure:
    """Split a request path into normal segments.

    A query string is cut off first. One trailing slash is ignored, since most
    servers give ``/a/`` and ``/a`` the same meaning.

    Args:
        path: The path as received, percent-encoded.

    Returns:
        The segments, or a failure if the path could bypass a rule.
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
        # Some servers drop everything after ";" before they resolve dots.
        if _PARAMETER_START.split(segment, maxsplit=1)[0] in ("", ".", ".."):
            return Failure(PATH_REFUSED, f"the path has the segment {segment!r}")
    if "%" not in path:
        return tuple(segments)
    return tuple(_ESCAPE.sub(_normal_escape, segment) for segment in segments)


def _find_problem(path: str) -> str:
    """Return what is wrong with the characters of ``path``, or nothing."""
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


def _normal_escape(match: re.Match[str]) -> str:
    """Decode a visible character; else write the escape in upper case."""
    char = chr(int(match[1], 16))
    if "!" <= char <= "~" and char not in _KEPT_ENCODED:
        return char
    return match[0].upper()
