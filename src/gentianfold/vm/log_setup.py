"""Configures logging to standard output."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

    from gentianfold.settings import LoggingSettings
    from gentianfold.vm.log_writer import LogWriter

LINE_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {message}"
"""Time, level and message; each message starts with the name of its component."""
MAX_ROUTINE_LEVEL = 20
"""Highest level number of routine lines (INFO), which are dropped first when the reader
is slow."""


def set_up_log(settings: LoggingSettings, writer: LogWriter) -> None:
    """Route all log messages to the writer.

    Args:
        settings: Provides the minimum level.
        writer: Buffers the formatted lines.
    """
    logger.remove()

    def sink(message: Message) -> None:
        is_routine = message.record["level"].no <= MAX_ROUTINE_LEVEL
        writer.write(message, is_routine)

    # Tracebacks must not include the values of variables, which may be customer keys.
    logger.add(
        sink,
        level=settings.level.upper(),
        format=LINE_FORMAT,
        diagnose=False,
        backtrace=False,
    )
