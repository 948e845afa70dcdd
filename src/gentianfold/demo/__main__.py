"""Runs the demo."""

from __future__ import annotations

import sys

import anyio
from loguru import logger

from gentianfold.demo.tour import run_tour


def main() -> None:
    """Run the demo with only warnings on the error output."""
    logger.remove()
    logger.add(sys.stderr, level="WARNING", format="{message}")
    anyio.run(run_tour, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
