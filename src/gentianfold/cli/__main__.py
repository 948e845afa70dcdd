"""Entry point of ``python -m gentianfold.cli``."""

from __future__ import annotations

from gentianfold.cli.main import main

if __name__ == "__main__":
    main()
