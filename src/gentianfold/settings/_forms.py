"""Forms of setting values: what each accepts, and how it turns out."""

from __future__ import annotations

import enum
import ipaddress
import re
from typing import Any, Protocol

import attrs


class Invalid(enum.Enum):
    """The sentinel for a value of another form."""

    INVALID = "invalid"


INVALID = Invalid.INVALID
"""Returned by forms in place of a value."""
FORM_KEY = "form"
"""Key of a field's form in its metadata."""


class Form(Protocol):
    """Accepts one kind of value."""

    @property
    def expected(self) -> str:
        """What a value looks like, for messages."""
        ...

    def read(self, value: Any) -> Any:
        """Return the setting for a JSON value, or ``INVALID``."""
        ...


def form(value_form: Form | Nested) -> dict[str, Form | Nested]:
    """Return field metadata that names the form of the field."""
    return {FORM_KEY: value_form}


@attrs.frozen
class Nested:
    """A JSON object with fields of its own."""

    cls: type
    """The attrs class of the object."""
    expected: str = "an object"
    """What a value looks like, for messages."""


@attrs.frozen
class Number:
    """A number within bounds."""

    low: float
    """The smallest value."""
    high: float
    """The largest value."""
    whole: bool = False
    """Whether the number must be whole."""

    @property
    def expected(self) -> str:
        """What a value looks like, for messages."""
        kind = "a whole number" if self.whole else "a number"
        return f"{kind} from {self.low:g} to {self.high:g}"

    def read(self, value: Any) -> Any:
        """Return the number."""
        if isinstance(value, bool) or not isinstance(value, int | float):
            return INVALID
        # NaN is within no bounds.
        if not self.low <= value <= self.high:
            return INVALID
        if not self.whole:
            return float(value)
        return int(value) if value == int(value) else INVALID


@attrs.frozen
class Flag:
    """True or false."""

    expected: str = "true or false"
    """What a value looks like, for messages."""

    def read(self, value: Any) -> Any:
        """Return the truth value."""
        return value if isinstance(value, bool) else INVALID


@attrs.frozen
class Text:
    """A text that matches a pattern."""

    expected: str
    """What a value looks like, for messages."""
    pattern: re.Pattern[str]
    """Matches the whole text."""

    def read(self, value: Any) -> Any:
        """Return the text."""
        if not isinstance(value, str) or not self.pattern.fullmatch(value):
            return INVALID
        return value


@attrs.frozen
class Host:
    """An IP number."""

    expected: str = "an IP number such as 10.0.0.7 or ::1"
    """What a value looks like, for messages."""

    def read(self, value: Any) -> Any:
        """Return the number in its normal form."""
        if not isinstance(value, str):
            return INVALID
        try:
            return str(ipaddress.ip_address(value))
        except ValueError:
            return INVALID


@attrs.frozen
class Endpoint:
    """An IP number and a port."""

    host: str
    """IP number."""
    port: int
    """Port; 0 lets the system choose."""

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen
class EndpointForm:
    """An IP number and a port, written with a colon between them."""

    expected: str = "an address such as 10.0.0.1:8500"
    """What a value looks like, for messages."""

    def read(self, value: Any) -> Any:
        """Return the endpoint."""
        if not isinstance(value, str):
            return INVALID
        host, _, port = value.rpartition(":")
        if not re.fullmatch(r"[0-9]{1,5}", port, re.ASCII) or int(port) > 65535:
            return INVALID
        try:
            address = ipaddress.ip_address(host.strip("[]"))
        except ValueError:
            return INVALID
        return Endpoint(str(address), int(port))


@attrs.frozen
class ListOf:
    """A list of values of one form."""

    item: Form
    """The form of each value."""
    low: int = 0
    """Fewest values."""
    high: int = 256
    """Most values."""

    @property
    def expected(self) -> str:
        """What a value looks like, for messages."""
        return f"a list of {self.low} to {self.high} values, each {self.item.expected}"

    def read(self, value: Any) -> Any:
        """Return the values as a tuple."""
        if not isinstance(value, list) or not self.low <= len(value) <= self.high:
            return INVALID
        items = tuple(self.item.read(item) for item in value)
        return INVALID if INVALID in items else items


NAME = Text(
    "a name of up to 64 letters, digits, dots, dashes and underscores",
    re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", re.ASCII),
)
"""Name of a VM, zone or region."""
FILE = Text("the path of a file", re.compile(r"[^\x00-\x1f]{1,4096}"))
"""Path of a file."""
ENDPOINT = EndpointForm()
"""Where a server listens."""
PORT = Number(0, 65535, whole=True)
"""TCP port; 0 lets the system choose."""
LEVEL = Text(
    "one of debug, info, warning and error",
    re.compile("debug|info|warning|error"),
)
"""Lowest level that is logged."""
