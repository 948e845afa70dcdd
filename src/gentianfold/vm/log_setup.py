"""Sends the log to standard output."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

    from gentianfold.settings import Logging
    from gentianfold.vm.log_writer import LogWriter

LINE_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {message}"
"""Each message starts with the prefix of its part."""
ROUTINE_LEVEL_NUMBER = 20
"""Level up to which lines give way when the reader is slow (INFO)."""


def set_up_log(settings: Logging, writer: LogWriter) -> None:
    """Send the log where the settings say."""
    logger.remove()

    def sink(message: Message) -> None:
        is_routine = message.record["level"].no <= ROUTINE_LEVEL_NUMBER
        writer.write(message, is_routine)

    # Tracebacks must not show values of variables: some of them are keys.
    logger.add(
        sink,
        level=settings.level.upper(),
        format=LINE_FORMAT,
        diagnose=False,
        backtrace=False,
    )
