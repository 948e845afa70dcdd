"""Formats of option values: bounded numbers with units, and keywords."""

from __future__ import annotations

import re
from decimal import Decimal
from typing import Any, Protocol

import attrs

_NUMBER = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,30})?)(.*)", re.ASCII)


class ValueFormat(Protocol):
    """Parses and formats the values of an option."""

    @property
    def expected(self) -> str:
        """Description of a valid value, for messages."""
        ...

    def parse(self, text: str) -> Any:
        """Return the value, or ``None`` if ``text`` is invalid."""
        ...

    def format(self, value: Any) -> str:
        """Return the text from which ``parse`` returns ``value``."""
        ...


@attrs.frozen
class Quantity:
    """Format of a number with a unit, within bounds."""

    expected: str
    """Description of a valid value, for messages."""
    units: dict[str, Decimal]
    """Factor by unit; ``format`` falls back to the first unit if the value is an
    integer in none."""
    minimum: Decimal
    """Smallest valid value, after the factor is applied."""
    maximum: Decimal
    """Largest valid value, after the factor is applied."""
    is_integer: bool = False
    """Whether the value must be an integer."""

    def parse(self, text: str) -> float | int | None:
        """Return the value times the factor of its unit, or ``None`` if invalid."""
        match = _NUMBER.fullmatch(text)
        if not match or match[2] not in self.units:
            return None
        value = Decimal(match[1]) * self.units[match[2]]
        if not self.minimum <= value <= self.maximum:
            return None
        if not self.is_integer:
            return float(value)
        return int(value) if value == value.to_integral_value() else None

    def format(self, value: float) -> str:
        """Format ``value`` in the largest unit in which it is an integer."""
        exact = Decimal(repr(value))
        for unit, factor in sorted(self.units.items(), key=lambda item: -item[1]):
            count = exact / factor
            if count and count == count.to_integral_value() and count * factor == exact:
                return f"{int(count)}{unit}"
        unit, factor = next(iter(self.units.items()))
        return f"{exact / factor:f}{unit}"


@attrs.frozen
class Keyword:
    """Format of a value that is one of a few keywords."""

    keywords: dict[str, bool]
    """Value by keyword."""

    @property
    def expected(self) -> str:
        """Description of a valid value, for messages."""
        return " or ".join(self.keywords)

    def parse(self, text: str) -> bool | None:
        """Return the value of the keyword, or ``None`` if it is unknown."""
        return self.keywords.get(text)

    def format(self, value: bool) -> str:
        """Return the keyword of ``value``, or ``none`` if it has no keyword."""
        keywords = (
            keyword for keyword, meaning in self.keywords.items() if meaning == value
        )
        return next(keywords, "none")


def _integer(minimum: int, maximum: int) -> Quantity:
    """Return the format of an integer without a unit."""
    expected = f"a whole number from {minimum} to {maximum}"
    return Quantity(
        expected, {"": Decimal(1)}, Decimal(minimum), Decimal(maximum), True
    )


DURATION = Quantity(
    "a duration from 1ms to 1h, such as 800ms, 2s or 1min",
    {"s": Decimal(1), "ms": Decimal("0.001"), "min": Decimal(60), "h": Decimal(3600)},
    Decimal("0.001"),
    Decimal(3600),
)
"""Duration (seconds)."""
BYTE_SIZE = Quantity(
    "a size up to 1GiB, such as 512B, 64KiB or 2MiB",
    {
        "B": Decimal(1),
        "KiB": Decimal(1 << 10),
        "MiB": Decimal(1 << 20),
        "GiB": Decimal(1 << 30),
    },
    Decimal(0),
    Decimal(1 << 30),
    is_integer=True,
)
"""Size (bytes)."""
RATE = Quantity(
    "a rate from 0.001/s to 1000000/s, such as 50/s or 6/min",
    {"/s": Decimal(1), "/min": Decimal(1) / 60},
    Decimal("0.001"),
    Decimal(1_000_000),
)
"""Refill rate of a token bucket (tokens per second)."""
PERCENT = Quantity(
    "a percentage from 0% to 100%, such as 50%",
    {"%": Decimal("0.01")},
    Decimal(0),
    Decimal(1),
)
"""Percentage, as a fraction from 0 to 1."""
BURST = Quantity(
    "a number from 1 to 1000000",
    {"": Decimal(1)},
    Decimal(1),
    Decimal(1_000_000),
)
"""Capacity of a token bucket (tokens)."""
WEIGHT = Quantity(
    "a number from 0.01 to 1000",
    {"": Decimal(1)},
    Decimal("0.01"),
    Decimal(1000),
)
"""Relative weight."""
RETRIES = _integer(0, 10)
"""Maximum number of attempts after the first."""
QUEUE_LENGTH = _integer(0, 100_000)
"""Maximum number of waiting requests."""
ON_OFF = Keyword({"on": True, "off": False})
"""Boolean, written as ``on`` or ``off``."""
REQUIRED = Keyword({"required": True})
"""Boolean, written as ``required`` if true; false if the option is absent."""
