"""Builds settings objects from parsed JSON and collects all errors."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from gentianfold.codes import settings as codes
from gentianfold.errors import Failure, Location, ResultCode
from gentianfold.settings._scanner import nearest_position
from gentianfold.settings._value_types import INVALID, TYPE_KEY, ObjectType

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianfold.settings._scanner import FieldPath, Position


@attrs.define
class SettingsBuilder:
    """Builds attrs objects according to the value types of their fields."""

    source: str
    """Name of the settings file, for error locations."""
    positions: dict[FieldPath, Position]
    """Line and column of each field in the settings file."""
    failures: list[Failure] = attrs.field(factory=list)
    """Errors found so far."""

    def add_failure(self, code: ResultCode, path: FieldPath, problem: str) -> None:
        """Record an error in the field at a path; an empty path is the whole file."""
        line, column = nearest_position(self.positions, path)
        reason = f"{format_path(path)}: {problem}" if path else problem
        location = Location(self.source, line, column)
        self.failures.append(Failure(code, reason, location=location))

    def build(self, cls: type, value: Any, path: FieldPath) -> Any:
        """Build an instance of an attrs class from a JSON object.

        Returns:
            The instance, or ``INVALID`` if a field is missing or invalid. An unknown
            field is recorded as an error, but does not prevent the build.
        """
        if not isinstance(value, dict):
            self.add_failure(codes.SETTING_INVALID, path, "needs an object")
            return INVALID
        fields = {field.name: field for field in attrs.fields(cls)}
        for name in value.keys() - fields.keys():
            hint = _suggest(str(name)[:64], fields)
            problem = f"there is no such field{hint}"
            self.add_failure(codes.SETTING_UNKNOWN, (*path, name), problem)
        values = {
            name: self._build_field(field, value, (*path, name))
            for name, field in fields.items()
            if name in value or field.default is attrs.NOTHING
        }
        return INVALID if INVALID in values.values() else cls(**values)

    def _build_field(
        self, field: attrs.Attribute[Any], parent: Any, path: FieldPath
    ) -> Any:
        """Return the value of a field, or record an error and return ``INVALID``."""
        if field.name not in parent:
            self.add_failure(codes.SETTING_MISSING, path, "the field is missing")
            return INVALID
        value = parent[field.name]
        if value is None and field.default is None:
            return None
        value_type = field.metadata[TYPE_KEY]
        if isinstance(value_type, ObjectType):
            return self.build(value_type.cls, value, path)
        setting = value_type.parse(value)
        if setting is INVALID:
            # The message omits the value, which may be a secret.
            self.add_failure(
                codes.SETTING_INVALID, path, f"needs {value_type.expected}"
            )
        return setting


def format_path(path: FieldPath) -> str:
    """Format a path in dotted notation, such as ``fleet.port``."""
    text = ".".join(str(part)[:64] for part in path)
    # A JSON escape can yield a lone surrogate, which can't be encoded as UTF-8.
    return text.encode(errors="replace").decode()


def _suggest(name: str, fields: Iterable[str]) -> str:
    """Return a hint at the field that a name is most like; empty if there is none."""
    # Imported on demand: only a faulty settings file needs it.
    import difflib

    nearest = difflib.get_close_matches(name, fields, n=1)
    return f"; did you mean {nearest[0]!r}?" if nearest else ""
