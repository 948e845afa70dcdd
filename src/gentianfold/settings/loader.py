"""Loads settings from JSON with comments and reports all errors at once."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any

from gentianfold.codes import settings as codes
from gentianfold.errors import Failure, Location, ResultCode
from gentianfold.settings._builder import SettingsBuilder
from gentianfold.settings._checks import find_conflicts
from gentianfold.settings._scanner import find_positions
from gentianfold.settings._value_types import INVALID
from gentianfold.settings.settings import Settings

MAX_SETTINGS_BYTES = 256 << 10
"""Size limit of a settings file (characters, which are bytes in ASCII text)."""

_SYNTAX_ERROR = re.compile(r"<string>:(\d+) (.*?)(?: at column (\d+))?", re.DOTALL)


def load_settings(path: str | Path) -> Settings | tuple[Failure, ...]:
    """Load settings from a file.

    Args:
        path: The settings file.

    Returns:
        The settings, or all errors.
    """
    try:
        content = Path(path).read_bytes()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "the path is invalid"
        return (_failure(codes.SETTINGS_UNREADABLE, reason, str(path)),)
    try:
        text = content.decode()
    except UnicodeDecodeError:
        reason = "the file isn't UTF-8 text"
        return (_failure(codes.SETTINGS_UNREADABLE, reason, str(path)),)
    return parse_settings(text, str(path))


def parse_settings(text: str, source: str) -> Settings | tuple[Failure, ...]:
    """Parse and validate settings.

    Args:
        text: Content of a settings file.
        source: Name of the file, for error locations.

    Returns:
        The settings, or all errors in the order of their positions.
    """
    if len(text) > MAX_SETTINGS_BYTES:
        reason = f"the text is larger than {MAX_SETTINGS_BYTES} bytes"
        return (_failure(codes.SETTINGS_SYNTAX, reason, source),)
    data = _parse_json(text, source)
    if isinstance(data, Failure):
        return (data,)
    builder = SettingsBuilder(source, find_positions(text))
    settings = builder.build(Settings, data, ())
    if isinstance(settings, Settings):
        for path, problem in find_conflicts(settings):
            builder.add_failure(codes.SETTINGS_CONFLICT, path, problem)
    if settings is INVALID or builder.failures:
        return tuple(sorted(builder.failures, key=_location_key))
    assert isinstance(settings, Settings)
    return settings


def _parse_json(text: str, source: str) -> Any:
    """Parse JSON with comments; return a failure for a syntax error."""
    try:
        return json.loads(text, object_pairs_hook=_unique_fields)
    except (ValueError, RecursionError):
        # The text has comments or a syntax error; json5 accepts comments and reports
        # the position of the error.
        pass
    # Imported on demand: the import takes longer than the rest of the startup.
    import json5

    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except RecursionError:
        return _failure(codes.SETTINGS_SYNTAX, "the text is nested too deeply", source)
    except (ValueError, ArithmeticError, TypeError, LookupError) as error:
        return _syntax_failure(str(error), source)


def _unique_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Build an object from its fields.

    Raises:
        ValueError: If a field appears twice.
    """
    fields = dict(pairs)
    if len(fields) < len(pairs):
        raise ValueError("duplicate field")
    return fields


def _syntax_failure(message: str, source: str) -> Failure:
    """Return a failure at the position given in an error message of json5."""
    match = _SYNTAX_ERROR.fullmatch(message)
    if match is None:
        # The message may quote a value, which may be a secret, so it is replaced.
        reason = "a field appears twice" if "uplicate" in message else "invalid text"
        return _failure(codes.SETTINGS_SYNTAX, reason, source)
    location = Location(source, int(match[1]), int(match[3] or 1))
    return Failure(codes.SETTINGS_SYNTAX, match[2][:80], location=location)


def _failure(code: ResultCode, reason: str, source: str) -> Failure:
    """Return a failure without a specific position in the file."""
    return Failure(code, reason, location=Location(source, 1))


def _location_key(failure: Failure) -> tuple[int, int]:
    """Return a key that sorts failures by line and column."""
    location = failure.location
    return (location.line, location.column) if location else (0, 0)
