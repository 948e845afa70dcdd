"""Syntax of names, methods and header conditions in rule lines."""

from __future__ import annotations

import difflib
import re
from typing import TYPE_CHECKING

from gentianfold.model import HeaderMatch

if TYPE_CHECKING:
    from collections.abc import Iterable

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
"""Request methods that routes can list, in the order in which they are written."""
ANY_METHOD = "*"
"""Written in place of methods to match any method."""
HEADER_PREFIX = "header:"
"""Prefix of a header condition."""

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", re.ASCII)
_HEADER_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,63}", re.ASCII)
_HEADER_VALUE = re.compile(r"[\x21-\x7e]{1,256}")
_CREDENTIAL_HEADERS = frozenset(("authorization", "proxy-authorization", "x-api-key"))


def is_name(text: str) -> bool:
    """Tell whether ``text`` is a valid name of a rule."""
    return _NAME.fullmatch(text) is not None


def parse_methods(text: str) -> frozenset[str] | str:
    """Parse a list of methods; return the reason if it is invalid.

    An empty set stands for any method.
    """
    if text == ANY_METHOD:
        return frozenset()
    methods = text.split(",")
    for method in methods:
        if method not in METHODS:
            return f"unknown method {method!r}" + suggest(method.upper(), METHODS)
    if len(set(methods)) < len(methods):
        return f"{text!r} lists a method twice"
    return frozenset(methods)


def parse_header(text: str) -> HeaderMatch | str:
    """Parse a ``header:name=value`` condition; return the reason if it is invalid."""
    name, _, value = text.removeprefix(HEADER_PREFIX).partition("=")
    if not _HEADER_NAME.fullmatch(name):
        return f"{name!r} is not a valid header name in lower case"
    if name in _CREDENTIAL_HEADERS:
        return f"header {name!r} contains API keys, which rules can't match"
    if not _HEADER_VALUE.fullmatch(value):
        return f"the value of header {name!r} must be visible ASCII without spaces"
    return HeaderMatch(name.encode(), value.encode())


def suggest(word: str, known: Iterable[str]) -> str:
    """Return a suggestion of the most similar known word; empty if none is similar."""
    nearest = difflib.get_close_matches(word[:64], list(known), n=1)
    return f"; did you mean {nearest[0]!r}?" if nearest else ""
