"""The log of the daemon."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from gentianfold.settings import Logging

LINE_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {message}"
"""Each message starts with the prefix of its part."""


def set_up_log(settings: Logging) -> None:
    """Send the log where the settings say."""
    logger.remove()
    target = settings.file if settings.file is not None else sys.stderr
    # Tracebacks must not show values of variables: some of them are keys.
    logger.add(
        target,
        level=settings.level.upper(),
        format=LINE_FORMAT,
        diagnose=False,
        backtrace=False,
    )
    # The HTTP server's own log repeats what the parts log with numbers.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
