"""Reads the input files of commands."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import attrs

from gentianfold.codes.cli import FILE_UNREADABLE
from gentianfold.errors import Failure, Location
from gentianfold.platform.configuration_document import (
    find_ignored,
    read_configuration,
)
from gentianfold.rules import RuleSet, parse_rules

if TYPE_CHECKING:
    from gentianfold.model import Configuration


@attrs.frozen
class ReadConfiguration:
    """A configuration that VMs accept, and what they ignore of its document."""

    configuration: Configuration
    """The configuration."""
    ignored: tuple[Failure, ...]
    """Entries and limits of the document that have no effect."""


def read_text(path: str) -> str | Failure:
    """Return the content of a UTF-8 text file, or a failure."""
    content = _read_bytes(path)
    if isinstance(content, Failure):
        return content
    try:
        return content.decode()
    except UnicodeDecodeError:
        return _unreadable(path, "the file isn't UTF-8 text")


def read_rules(path: str) -> RuleSet | tuple[Failure, ...]:
    """Parse a rules file; return the errors if it is unreadable or invalid."""
    text = read_text(path)
    return (text,) if isinstance(text, Failure) else parse_rules(text, path)


def read_configuration_file(path: str) -> ReadConfiguration | tuple[Failure, ...]:
    """Decode a configuration file; return the errors if VMs would refuse it."""
    content = _read_bytes(path)
    if isinstance(content, Failure):
        return (content,)
    return decode_document(content, path)


def decode_document(
    document: bytes, source: str
) -> ReadConfiguration | tuple[Failure, ...]:
    """Decode a configuration document of a file or of a VM."""
    configuration = read_configuration(document, source)
    if isinstance(configuration, tuple):
        return configuration
    return ReadConfiguration(configuration, find_ignored(document, source))


def _read_bytes(path: str) -> bytes | Failure:
    try:
        return Path(path).read_bytes()
    except (OSError, ValueError) as error:
        return _unreadable(
            path, getattr(error, "strerror", None) or "the path is invalid"
        )


def _unreadable(path: str, reason: str) -> Failure:
    return Failure(FILE_UNREADABLE, reason, location=Location(path, 1))
