"""Arguments that several commands take."""

from __future__ import annotations

from typing import Annotated

import cappa

JsonFlag = Annotated[
    bool, cappa.Arg(long="--json", help="Write JSON for programs, not text.")
]
"""Chooses between text for people and JSON for programs."""
RulesOption = Annotated[
    str, cappa.Arg(long="--rules", value_name="FILE", help="The rules file.")
]
"""Names the rules file."""
