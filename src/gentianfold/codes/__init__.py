"""The result code table, with one module per subsystem.

Numbers by subsystem: 1xxx settings and command line, 2xxx rules, 3xxx platform,
configuration and keys, 4xxx peers and membership, 5xxx rate limits and fairness,
6xxx routing and upstreams, 7xxx requests and internal errors.
"""

from __future__ import annotations

from gentianfold.errors import CODES, ResultCode


def all_codes() -> dict[int, ResultCode]:
    """Import all modules of this package and return all result codes by number."""
    # Imported on demand: a VM needs neither.
    import importlib
    import pkgutil

    for module in pkgutil.iter_modules(__path__):
        importlib.import_module(f"{__name__}.{module.name}")
    return dict(sorted(CODES.items()))
