"""Reads the input files of commands."""

from __future__ import annotations

from pathlib import Path

from gentianfold.codes.cli import FILE_UNREADABLE
from gentianfold.errors import Failure, Location
from gentianfold.rules import RuleSet, parse_rules


def read_text(path: str) -> str | Failure:
    """Return the content of a UTF-8 text file, or a failure."""
    try:
        return Path(path).read_bytes().decode()
    except UnicodeDecodeError:
        reason = "the file isn't UTF-8 text"
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "the path is invalid"
    return Failure(FILE_UNREADABLE, reason, location=Location(path, 1))


def read_rules(path: str) -> RuleSet | tuple[Failure, ...]:
    """Parse a rules file; return the errors if it is unreadable or invalid."""
    text = read_text(path)
    return (text,) if isinstance(text, Failure) else parse_rules(text, path)
