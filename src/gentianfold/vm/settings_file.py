"""The settings file of a VM, and whether it has changed since it was read."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, TypeAlias

import attrs
from loguru import logger

from gentianfold.settings import load_settings

if TYPE_CHECKING:
    from gentianfold.errors import Failure
    from gentianfold.settings import Settings

_Version: TypeAlias = tuple[int, int, int]


@attrs.define
class SettingsFile:
    """A settings file that may be replaced at any time."""

    path: str
    """Path of the file."""
    _read_version: _Version | None = None

    def load(self) -> Settings | tuple[Failure, ...]:
        """Load the settings; a change from now on counts as one."""
        self._read_version = self._version()
        return load_settings(self.path)

    def has_changed(self) -> bool:
        """Tell whether the file is another one than that which was loaded."""
        version = self._version()
        return version is not None and version != self._read_version

    def _version(self) -> _Version | None:
        try:
            status = os.stat(self.path)
        except OSError as error:
            logger.debug("vm: can't read the status of the settings file, {}", error)
            return None
        return status.st_mtime_ns, status.st_ino, status.st_size
