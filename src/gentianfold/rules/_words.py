"""Words of a rule line that aren't options: names, methods, headers."""

from __future__ import annotations

import difflib
import re
from typing import TYPE_CHECKING

from gentianfold.model import HeaderMatch

if TYPE_CHECKING:
    from collections.abc import Iterable

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
"""Methods that routes may list."""
ANY_METHOD = "*"
"""Stands for every method."""
HEADER_PREFIX = "header:"
"""Starts a header condition."""

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", re.ASCII)
_HEADER_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,63}", re.ASCII)
_HEADER_VALUE = re.compile(r"[\x21-\x7e]{1,256}")
_KEY_HEADERS = frozenset(("authorization", "proxy-authorization", "x-api-key"))


def is_name(word: str) -> bool:
    """Tell whether ``word`` can name a rule."""
    return _NAME.fullmatch(word) is not None


def parse_methods(word: str) -> frozenset[str] | str:
    """Parse a list of methods, or return what is wrong with it."""
    if word == ANY_METHOD:
        return frozenset()
    methods = word.split(",")
    for method in methods:
        if method not in METHODS:
            return f"unknown method {method!r}" + suggest(method.upper(), METHODS)
    if len(set(methods)) < len(methods):
        return f"{word!r} names a method twice"
    return frozenset(methods)


def parse_header(word: str) -> HeaderMatch | str:
    """Parse a ``header:name=value`` condition, or return what is wrong with it."""
    name, _, value = word.removeprefix(HEADER_PREFIX).partition("=")
    if not _HEADER_NAME.fullmatch(name):
        return f"{name!r} is no header name in lower case"
    if name in _KEY_HEADERS:
        return f"header {name!r} carries keys; rules don't match on keys"
    if not _HEADER_VALUE.fullmatch(value):
        return f"the value of header {name!r} must be visible ASCII without spaces"
    return HeaderMatch(name.encode(), value.encode())


def suggest(word: str, known: Iterable[str]) -> str:
    """Return a hint at the known word that is nearest to ``word``, if any is near."""
    nearest = difflib.get_close_matches(word[:64], list(known), n=1)
    return f"; did you mean {nearest[0]!r}?" if nearest else ""
