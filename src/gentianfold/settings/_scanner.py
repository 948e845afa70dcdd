"""Finds the position of each field in JSON with comments."""

from __future__ import annotations

import bisect
import itertools
import re
from typing import TypeAlias

import attrs

FieldPath: TypeAlias = tuple[str | int, ...]
"""Field names and list indices that lead from the root to a value."""
Position: TypeAlias = tuple[int, int]
"""Line and column, both from 1."""

_TOKEN = re.compile(
    r"""
      (?P<comment> //[^\n]* | /\*.*?\*/ )
    | (?P<string> "(?:\\.|[^"\\])*" | '(?:\\.|[^'\\])*' )
    | (?P<punctuation> [{}\[\]:,] )
    | (?P<word> [^\s{}\[\]:,"'/]+ )
    """,
    re.VERBOSE | re.DOTALL,
)


@attrs.define
class _Container:
    """A JSON object or list whose closing bracket has not been read."""

    path: FieldPath
    """Path of the object or list."""
    is_list: bool
    """Whether this is a list rather than an object."""
    index: int = 0
    """Index of the current item; used only for lists."""
    field: str | None = None
    """Name of the current field; ``None`` until its colon has been read."""
    pending: str | None = None
    """Last string or word, which is a field name if a colon follows."""

    def child_path(self) -> FieldPath:
        """Return the path of the current item or field value."""
        return (*self.path, self.index if self.is_list else self.field or "")


def find_positions(text: str) -> dict[FieldPath, Position]:
    """Return the position of each field and list item.

    Args:
        text: Valid JSON with comments; for invalid input, positions may be missing.

    Returns:
        Positions by path: the position of a field is that of its name, the position
        of a list item that of its value.
    """
    line_starts = [0, *(match.end() for match in re.finditer("\n", text))]
    positions: dict[FieldPath, Position] = {(): (1, 1)}
    stack: list[_Container] = []
    for token in _TOKEN.finditer(text):
        if token.lastgroup == "comment":
            continue
        line = bisect.bisect_right(line_starts, token.start())
        position = line, token.start() - line_starts[line - 1] + 1
        _process_token(token[0], position, stack, positions)
    return positions


def _process_token(
    token: str,
    position: Position,
    stack: list[_Container],
    positions: dict[FieldPath, Position],
) -> None:
    """Update the open containers and add the position of the token, if it has one."""
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


def nearest_position(positions: dict[FieldPath, Position], path: FieldPath) -> Position:
    """Return the position of a path or, if unknown, of the innermost known parent."""
    lengths = range(len(path), -1, -1)
    known = (positions[path[:n]] for n in lengths if path[:n] in positions)
    return next(itertools.chain(known, ((1, 1),)))
