"""Runs one stand-in upstream as a process of its own."""

from __future__ import annotations

import asyncio
import sys

from gentianfold.standins.upstream import UpstreamStandin


async def serve_until_input_ends() -> None:
    """Print the port and serve until the standard input is closed."""
    async with UpstreamStandin() as server:
        print(server.port, flush=True)
        await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(serve_until_input_ends())
