"""Builds settings from parsed JSON; collects all faults."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING, Any

import attrs

from gentianfold.codes import settings as codes
from gentianfold.errors import Failure, Location, ResultCode
from gentianfold.settings._forms import FORM_KEY, INVALID, Nested
from gentianfold.settings._scanner import nearest_position

if TYPE_CHECKING:
    from gentianfold.settings._scanner import Path, Position


@attrs.define
class SettingsReader:
    """Builds attrs objects by the forms of their fields."""

    source: str
    """Name of the settings text."""
    positions: dict[Path, Position]
    """Where each field stands."""
    failures: list[Failure] = attrs.field(factory=list)
    """Faults found."""

    def fail(self, code: ResultCode, path: Path, problem: str) -> None:
        """Note a fault at a path."""
        line, column = nearest_position(self.positions, path)
        reason = f"{format_path(path)}: {problem}" if path else problem
        location = Location(self.source, line, column)
        self.failures.append(Failure(code, reason, location=location))

    def read(self, cls: type, value: Any, path: Path) -> Any:
        """Build an object of an attrs class, or return ``INVALID``."""
        if not isinstance(value, dict):
            self.fail(codes.SETTING_INVALID, path, "needs an object")
            return INVALID
        fields = {field.name: field for field in attrs.fields(cls)}
        for name in value.keys() - fields.keys():
            nearest = difflib.get_close_matches(str(name)[:64], fields, n=1)
            hint = f"; did you mean {nearest[0]!r}?" if nearest else ""
            problem = f"there is no such field{hint}"
            self.fail(codes.SETTING_UNKNOWN, (*path, name), problem)
        found = {
            name: self._read_field(field, value, (*path, name))
            for name, field in fields.items()
            if name in value or field.default is attrs.NOTHING
        }
        return INVALID if INVALID in found.values() else cls(**found)

    def _read_field(self, field: attrs.Attribute[Any], parent: Any, path: Path) -> Any:
        """Return the value of a field, or ``INVALID``."""
        if field.name not in parent:
            self.fail(codes.SETTING_MISSING, path, "the field is missing")
            return INVALID
        value = parent[field.name]
        if value is None and field.default is None:
            return None
        value_form = field.metadata[FORM_KEY]
        if isinstance(value_form, Nested):
            return self.read(value_form.cls, value, path)
        setting = value_form.read(value)
        if setting is INVALID:
            # The value isn't quoted, since it may be a secret.
            self.fail(codes.SETTING_INVALID, path, f"needs {value_form.expected}")
        return setting


def format_path(path: Path) -> str:
    """Write a path as ``limits.max_connections``."""
    text = ".".join(str(part)[:64] for part in path)
    # An escape in the text can stand for half a character, which can't be printed.
    return text.encode(errors="replace").decode()
