"""Writes the results of commands as text, tables or JSON."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from gentianfold.errors import Failure
    from gentianfold.rules import RuleChange

_COLUMN_SEPARATOR = "  "


def write_line(text: str) -> None:
    """Write text and a newline to the standard output."""
    print(text, flush=True)


def write_json(value: Any) -> None:
    """Write a result to the standard output as a single line of JSON."""
    write_line(msgspec.json.encode(value).decode())


def write_failures(failures: Iterable[Failure]) -> None:
    """Write failures and their remedies to the standard error."""
    for failure in failures:
        print(f"{failure}\n  remedy: {failure.code.remedy}", file=sys.stderr)


def failure_fields(failure: Failure) -> dict[str, Any]:
    """Return the JSON fields of a failure."""
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


def change_fields(change: RuleChange) -> dict[str, Any]:
    """Return the JSON fields of a change."""
    return attrs.asdict(
        change, value_serializer=lambda _, __, value: getattr(value, "value", value)
    )


def format_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a table with aligned columns; numeric columns are right-aligned.

    Args:
        header: Titles of the columns.
        rows: Cells of each row; ``None`` for an unknown value, shown as ``-``.
    """
    cells = [[_format_cell(cell) for cell in row] for row in rows]
    table = [list(header), *cells]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    numeric_columns = [
        bool(cells) and all(_is_numeric_cell(row[index]) for row in cells)
        for index in range(len(widths))
    ]
    lines = (
        _COLUMN_SEPARATOR.join(
            cell.rjust(width) if align_right else cell.ljust(width)
            for cell, width, align_right in zip(
                row, widths, numeric_columns, strict=True
            )
        )
        for row in table
    )
    return "\n".join(line.rstrip() for line in lines)


def _format_cell(cell: object) -> str:
    """Return the text of a cell, with ``?`` in place of terminal control characters."""
    if cell is None:
        return "-"
    if isinstance(cell, float):
        return f"{cell:.2f}".rstrip("0").rstrip(".")
    return "".join(char if char.isprintable() else "?" for char in str(cell))


def _is_numeric_cell(text: str) -> bool:
    """Tell whether a cell holds a number or ``-``, which marks an unknown value."""
    return text == "-" or text.replace(".", "", 1).removeprefix("-").isdecimal()
