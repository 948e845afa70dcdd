"""Loads settings from JSON with comments and reports all faults at once."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any

from gentianfold.codes import settings as codes
from gentianfold.errors import Failure, Location, ResultCode
from gentianfold.settings._checks import find_conflicts
from gentianfold.settings._forms import INVALID
from gentianfold.settings._reader import SettingsReader
from gentianfold.settings._scanner import find_positions
from gentianfold.settings.settings import Settings

MAX_SETTINGS_BYTES = 256 << 10
"""Largest settings text."""

_SYNTAX_ERROR = re.compile(r"<string>:(\d+) (.*?)(?: at column (\d+))?", re.DOTALL)


def load_settings(path: str | Path) -> Settings | tuple[Failure, ...]:
    """Load settings from a file.

    Args:
        path: The file.

    Returns:
        The settings, or every fault.
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
    """Parse and check a settings text.

    Args:
        text: The whole text.
        source: Its name, for locations.

    Returns:
        The settings, or every fault in the order of the lines.
    """
    if len(text) > MAX_SETTINGS_BYTES:
        reason = f"the text is larger than {MAX_SETTINGS_BYTES} bytes"
        return (_failure(codes.SETTINGS_SYNTAX, reason, source),)
    data = _parse_json(text, source)
    if isinstance(data, Failure):
        return (data,)
    reader = SettingsReader(source, find_positions(text))
    settings = reader.read(Settings, data, ())
    if isinstance(settings, Settings):
        for path, problem in find_conflicts(settings):
            reader.fail(codes.SETTINGS_CONFLICT, path, problem)
    if settings is INVALID or reader.failures:
        return tuple(sorted(reader.failures, key=_position))
    assert isinstance(settings, Settings)
    return settings


def _parse_json(text: str, source: str) -> Any:
    """Parse JSON with comments, or return a failure."""
    try:
        return json.loads(text, object_pairs_hook=_unique_fields)
    except (ValueError, RecursionError):
        # Text with comments, or with a fault that the other reader names better.
        pass
    # Loaded late: it takes longer to import than everything else at a start.
    import json5

    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except RecursionError:
        return _failure(codes.SETTINGS_SYNTAX, "the text is nested too deeply", source)
    except (ValueError, ArithmeticError, TypeError, LookupError) as error:
        return _syntax_failure(str(error), source)


def _unique_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Build an object whose fields stand once each."""
    fields = dict(pairs)
    if len(fields) < len(pairs):
        raise ValueError("duplicate field")
    return fields


def _syntax_failure(message: str, source: str) -> Failure:
    """Return a failure at the place that the library's message names."""
    match = _SYNTAX_ERROR.fullmatch(message)
    if match is None:
        # The message could quote a value, so only its kind is kept.
        reason = "a field stands twice" if "uplicate" in message else "invalid text"
        return _failure(codes.SETTINGS_SYNTAX, reason, source)
    location = Location(source, int(match[1]), int(match[3] or 1))
    return Failure(codes.SETTINGS_SYNTAX, match[2][:80], location=location)


def _failure(code: ResultCode, reason: str, source: str) -> Failure:
    """Return a failure of the whole text."""
    return Failure(code, reason, location=Location(source, 1))


def _position(failure: Failure) -> tuple[int, int]:
    """Return where a fault stands."""
    location = failure.location
    return (location.line, location.column) if location else (0, 0)
