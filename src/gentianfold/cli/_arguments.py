"""Arguments that several commands take."""

from __future__ import annotations

from typing import Annotated

import cappa

JsonFlag = Annotated[
    bool, cappa.Arg(long="--json", help="Write JSON for programs, not text.")
]
"""Chooses between text for people and JSON for programs."""
VmOption = Annotated[
    list[str],
    cappa.Arg(
        long="--vm",
        value_name="HOST:PORT",
        required=True,
        help="Operator port of a VM; repeat it for more VMs.",
    ),
]
"""Names the VMs that a command asks."""
RulesOption = Annotated[
    str, cappa.Arg(long="--rules", value_name="FILE", help="The rules file.")
]
"""Names the rules file."""
IntervalOption = Annotated[
    float,
    cappa.Arg(long="--interval", value_name="SECONDS", help="Time between two looks."),
]
"""Sets the pace of commands that look again and again."""
