"""Serves the stand-in platform on a loopback port."""

from __future__ import annotations

import contextlib
import logging
import socket
from typing import TYPE_CHECKING

import anyio
import uvicorn

if TYPE_CHECKING:
    from collections.abc import Iterator

    from anyio.abc import TaskStatus

    from gentianfold.standins.platform import StandinPlatform


class _Server(uvicorn.Server):
    """A server that leaves signals to its process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


async def run_platform(
    platform: StandinPlatform,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; the started value is the base URL."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(1024)
        # A watch that is cut off when the platform stops is no error.
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        config = uvicorn.Config(
            platform, lifespan="off", log_config=None, access_log=False, ws="none"
        )
        task_status.started(f"http://127.0.0.1:{listener.getsockname()[1]}")
        await _Server(config).serve(sockets=[listener])
