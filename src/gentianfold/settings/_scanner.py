"""Finds where each field of a JSON text with comments stands."""

from __future__ import annotations

import bisect
import itertools
import re
from typing import TypeAlias

import attrs

Path: TypeAlias = tuple[str | int, ...]
"""Names of fields and indices of list items, from the outermost."""
Position: TypeAlias = tuple[int, int]
"""Line and column, from 1."""

_TOKEN = re.compile(
    r"""
      (?P<comment> //[^\n]* | /\*.*?\*/ )
    | (?P<string> "(?:\\.|[^"\\])*" | '(?:\\.|[^'\\])*' )
    | (?P<mark> [{}\[\]:,] )
    | (?P<word> [^\s{}\[\]:,"'/]+ )
    """,
    re.VERBOSE | re.DOTALL,
)


@attrs.define
class _Container:
    """An object or a list that is open at some place of the text."""

    path: Path
    """Path of the container."""
    is_list: bool
    """Whether it is a list."""
    index: int = 0
    """Index of the current list item."""
    field: str | None = None
    """Name of the current field, once its colon was read."""
    pending: str | None = None
    """A string or word that turns out to be a name if a colon follows."""

    def child_path(self) -> Path:
        """Return the path of the current value."""
        return (*self.path, self.index if self.is_list else self.field or "")


def find_positions(text: str) -> dict[Path, Position]:
    """Return where each field and list item stands.

    Args:
        text: A text that was parsed without errors; of another text some positions
            may be missing.

    Returns:
        Line and column by path: of a field its name, of an item its value.
    """
    lines = [0, *(match.end() for match in re.finditer("\n", text))]
    positions: dict[Path, Position] = {(): (1, 1)}
    stack: list[_Container] = []
    for token in _TOKEN.finditer(text):
        if token.lastgroup == "comment":
            continue
        line = bisect.bisect_right(lines, token.start())
        position = line, token.start() - lines[line - 1] + 1
        _read_token(token[0], position, stack, positions)
    return positions


def _read_token(
    token: str,
    position: Position,
    stack: list[_Container],
    positions: dict[Path, Position],
) -> None:
    """Follow one token."""
    top = stack[-1] if stack else None
    if token in ("}", "]"):
        if stack:
            stack.pop()
        return
    if top and top.is_list and token not in (",", ":"):
        positions.setdefault(top.child_path(), position)
    if token in ("{", "["):
        path = top.child_path() if top else ()
        stack.append(_Container(path, token == "["))
    elif top is None:
        return
    elif token == ",":
        top.index += 1
        top.field = top.pending = None
    elif token == ":":
        top.field = top.pending
    elif not top.is_list and top.field is None:
        top.pending = token[1:-1] if token[0] in "\"'" else token
        positions.setdefault((*top.path, top.pending), position)


def nearest_position(positions: dict[Path, Position], path: Path) -> Position:
    """Return the position of a path, or else of what encloses it."""
    lengths = range(len(path), -1, -1)
    known = (positions[path[:n]] for n in lengths if path[:n] in positions)
    return next(itertools.chain(known, ((1, 1),)))
