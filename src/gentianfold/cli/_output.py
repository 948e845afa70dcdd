"""Writes results: tables and sentences for people, JSON for programs."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from gentianfold.errors import Failure

_GAP = "  "


def write_line(text: str) -> None:
    """Write a line of the result."""
    print(text, flush=True)


def write_json(value: Any) -> None:
    """Write a result as one line of JSON."""
    write_line(msgspec.json.encode(value).decode())


def write_failures(failures: Iterable[Failure]) -> None:
    """Write failures with their remedies to the standard error output."""
    for failure in failures:
        print(f"{failure}\n  remedy: {failure.code.remedy}", file=sys.stderr)


def failure_fields(failure: Failure) -> dict[str, Any]:
    """Return a failure as fields for JSON."""
    location = failure.location
    fields = {
        "number": failure.code.number,
        "name": failure.code.name,
        "reason": failure.reason or failure.code.meaning,
        "remedy": failure.code.remedy,
    }
    if location:
        fields |= {
            "source": location.source,
            "line": location.line,
            "column": location.column,
        }
    return fields


def format_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return rows in columns of equal width, numbers to the right.

    Args:
        header: The title of each column.
        rows: The cells; ``None`` stands for an unknown value.
    """
    cells = [[_format_cell(cell) for cell in row] for row in rows]
    table = [list(header), *cells]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    numeric = [
        bool(cells) and all(_is_number(row[index]) for row in cells)
        for index in range(len(widths))
    ]
    lines = (
        _GAP.join(
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(row, widths, numeric, strict=True)
        )
        for row in table
    )
    return "\n".join(line.rstrip() for line in lines)


def _format_cell(cell: object) -> str:
    """Return the text of a cell, without characters that steer a terminal."""
    if cell is None:
        return "-"
    if isinstance(cell, float):
        return f"{cell:.2f}".rstrip("0").rstrip(".")
    return "".join(char if char.isprintable() else "?" for char in str(cell))


def _is_number(text: str) -> bool:
    """Tell whether a cell holds a number or nothing."""
    return text == "-" or text.replace(".", "", 1).removeprefix("-").isdecimal()
