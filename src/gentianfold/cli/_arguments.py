"""Arguments shared by several commands."""

from __future__ import annotations

from typing import Annotated

import cappa

JsonFlag = Annotated[bool, cappa.Arg(long="--json", help="Write JSON instead of text.")]
"""Flag that selects JSON output."""
RulesOption = Annotated[
    str, cappa.Arg(long="--rules", value_name="FILE", help="The rules file.")
]
"""Option for the path of the rules file."""
