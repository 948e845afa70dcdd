"""Values in rules: numbers with units, bounded, and how they are written."""

from __future__ import annotations

import re
from decimal import Decimal
from typing import Any, Protocol

import attrs

_NUMBER = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,30})?)(.*)", re.ASCII)


class ValueForm(Protocol):
    """Reads and writes one kind of value."""

    @property
    def expected(self) -> str:
        """What a value looks like, for messages."""
        ...

    def parse(self, text: str) -> Any:
        """Return the value, or ``None`` if ``text`` has another form."""
        ...

    def format(self, value: Any) -> str:
        """Write a value so that ``parse`` reads it again."""
        ...


@attrs.frozen
class Quantity:
    """A number with a unit, within bounds."""

    expected: str
    """What a value looks like, for messages."""
    units: dict[str, Decimal]
    """Factor by unit; the first writes values that are whole in none."""
    low: Decimal
    """The smallest value."""
    high: Decimal
    """The largest value."""
    whole: bool = False
    """Whether the value must be a whole number."""

    def parse(self, text: str) -> float | int | None:
        """Return the value, its unit applied."""
        match = _NUMBER.fullmatch(text)
        if not match or match[2] not in self.units:
            return None
        value = Decimal(match[1]) * self.units[match[2]]
        if not self.low <= value <= self.high:
            return None
        if not self.whole:
            return float(value)
        return int(value) if value == value.to_integral_value() else None

    def format(self, value: float) -> str:
        """Write ``value`` in the largest unit in which it is a whole number."""
        exact = Decimal(repr(value))
        for unit, factor in sorted(self.units.items(), key=lambda item: -item[1]):
            count = exact / factor
            if count and count == count.to_integral_value() and count * factor == exact:
                return f"{int(count)}{unit}"
        unit, factor = next(iter(self.units.items()))
        return f"{exact / factor:f}{unit}"


@attrs.frozen
class Choice:
    """One of a few words."""

    words: dict[str, bool]
    """Value by word."""

    @property
    def expected(self) -> str:
        """What a value looks like, for messages."""
        return " or ".join(self.words)

    def parse(self, text: str) -> bool | None:
        """Return the value of the word."""
        return self.words.get(text)

    def format(self, value: bool) -> str:
        """Write the word of the value."""
        words = (word for word, meaning in self.words.items() if meaning == value)
        return next(words, "none")


def _count(low: int, high: int) -> Quantity:
    """Return the form of a whole number."""
    expected = f"a whole number from {low} to {high}"
    return Quantity(expected, {"": Decimal(1)}, Decimal(low), Decimal(high), True)


DURATION = Quantity(
    "a duration from 1ms to 1h, such as 800ms, 2s or 1min",
    {"s": Decimal(1), "ms": Decimal("0.001"), "min": Decimal(60), "h": Decimal(3600)},
    Decimal("0.001"),
    Decimal(3600),
)
"""Seconds."""
SIZE = Quantity(
    "a size up to 1GiB, such as 512B, 64KiB or 2MiB",
    {
        "B": Decimal(1),
        "KiB": Decimal(1 << 10),
        "MiB": Decimal(1 << 20),
        "GiB": Decimal(1 << 30),
    },
    Decimal(0),
    Decimal(1 << 30),
    whole=True,
)
"""Bytes."""
RATE = Quantity(
    "a rate from 0.001/s to 1000000/s, such as 50/s or 6/min",
    {"/s": Decimal(1), "/min": Decimal(1) / 60},
    Decimal("0.001"),
    Decimal(1_000_000),
)
"""Tokens each second."""
PERCENT = Quantity(
    "a percentage from 0% to 100%, such as 50%",
    {"%": Decimal("0.01")},
    Decimal(0),
    Decimal(1),
)
"""A fraction."""
BURST = Quantity(
    "a number from 1 to 1000000",
    {"": Decimal(1)},
    Decimal(1),
    Decimal(1_000_000),
)
"""Tokens."""
WEIGHT = Quantity(
    "a number from 0.01 to 1000",
    {"": Decimal(1)},
    Decimal("0.01"),
    Decimal(1000),
)
"""Relative share."""
RETRIES = _count(0, 10)
"""Attempts after the first."""
QUEUE = _count(0, 100_000)
"""Waiting requests."""
SWITCH = Choice({"on": True, "off": False})
"""On or off."""
REQUIRED = Choice({"required": True})
"""Only one word: the option's absence is the other value."""
