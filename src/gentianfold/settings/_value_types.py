"""Types of setting values: validate a JSON value and convert it to a setting."""

from __future__ import annotations

import enum
import ipaddress
import re
from typing import Any, Protocol

import attrs


class Invalid(enum.Enum):
    """Type of the sentinel ``INVALID``."""

    INVALID = "invalid"


INVALID = Invalid.INVALID
"""Returned by ``ValueType.parse`` for a value that fails validation."""
TYPE_KEY = "value_type"
"""Key of the value type in the metadata of an attrs field."""


class ValueType(Protocol):
    """Validates and converts one type of JSON value."""

    @property
    def expected(self) -> str:
        """Description of a valid value, for error messages."""
        ...

    def parse(self, value: Any) -> Any:
        """Return the setting for a JSON value, or ``INVALID`` if validation fails."""
        ...


def type_metadata(
    value_type: ValueType | ObjectType,
) -> dict[str, ValueType | ObjectType]:
    """Return metadata that declares the value type of an attrs field."""
    return {TYPE_KEY: value_type}


@attrs.frozen
class ObjectType:
    """A JSON object that is converted to an instance of an attrs class."""

    cls: type
    """The attrs class; each of its fields declares a value type."""
    expected: str = "an object"
    """Description of a valid value, for error messages."""


@attrs.frozen
class NumberType:
    """A number within inclusive bounds."""

    minimum: float
    """Smallest valid value."""
    maximum: float
    """Largest valid value."""
    is_integer: bool = False
    """Whether only integers are valid; ``1.0`` counts as an integer."""

    @property
    def expected(self) -> str:
        """Description of a valid value, for error messages."""
        kind = "a whole number" if self.is_integer else "a number"
        return f"{kind} from {self.minimum:g} to {self.maximum:g}"

    def parse(self, value: Any) -> Any:
        """Return the number, as ``float`` unless ``is_integer`` is set."""
        if isinstance(value, bool) or not isinstance(value, int | float):
            return INVALID
        # The comparison is also false for NaN.
        if not self.minimum <= value <= self.maximum:
            return INVALID
        if not self.is_integer:
            return float(value)
        return int(value) if value == int(value) else INVALID


@attrs.frozen
class BooleanType:
    """A Boolean."""

    expected: str = "true or false"
    """Description of a valid value, for error messages."""

    def parse(self, value: Any) -> Any:
        """Return the Boolean."""
        return value if isinstance(value, bool) else INVALID


@attrs.frozen
class TableType:
    """A JSON object that is kept as it is."""

    expected: str = "an object"
    """Description of a valid value, for error messages."""

    def parse(self, value: Any) -> Any:
        """Return the object."""
        return value if isinstance(value, dict) else INVALID


@attrs.frozen
class StringType:
    """A string that matches a regular expression."""

    expected: str
    """Description of a valid value, for error messages."""
    pattern: re.Pattern[str]
    """Must match the entire string."""

    def parse(self, value: Any) -> Any:
        """Return the string."""
        if not isinstance(value, str) or not self.pattern.fullmatch(value):
            return INVALID
        return value


@attrs.frozen
class IpAddressType:
    """An IPv4 or IPv6 address."""

    expected: str = "an IP address such as 10.0.0.7 or ::1"
    """Description of a valid value, for error messages."""

    def parse(self, value: Any) -> Any:
        """Return the address in its canonical notation."""
        if not isinstance(value, str):
            return INVALID
        try:
            return str(ipaddress.ip_address(value))
        except ValueError:
            return INVALID


@attrs.frozen
class Endpoint:
    """An IP address and a port."""

    host: str
    """IPv4 or IPv6 address, without brackets."""
    port: int
    """Port number; 0 lets the operating system select a free port."""

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen
class EndpointType:
    """An endpoint in the form ``ADDRESS:PORT``; brackets around IPv6 are optional."""

    expected: str = "an address such as 10.0.0.1:8500"
    """Description of a valid value, for error messages."""

    def parse(self, value: Any) -> Any:
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
class ListType:
    """A list whose items all have the same type."""

    item_type: ValueType
    """Type of each item."""
    min_length: int = 0
    """Smallest number of items."""
    max_length: int = 256
    """Largest number of items."""

    @property
    def expected(self) -> str:
        """Description of a valid value, for error messages."""
        return (
            f"a list of {self.min_length} to {self.max_length} values, "
            f"each {self.item_type.expected}"
        )

    def parse(self, value: Any) -> Any:
        """Return the converted items as a tuple."""
        if (
            not isinstance(value, list)
            or not self.min_length <= len(value) <= self.max_length
        ):
            return INVALID
        items = tuple(self.item_type.parse(item) for item in value)
        return INVALID if INVALID in items else items


NAME = StringType(
    "a name of up to 64 letters, digits, dots, dashes and underscores",
    re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", re.ASCII),
)
"""Name of a VM, availability zone or region."""
FILE_PATH = StringType("the path of a file", re.compile(r"[^\x00-\x1f]{1,4096}"))
"""Path of a file."""
ENDPOINT = EndpointType()
"""Endpoint of a listening server."""
PORT = NumberType(0, 65535, is_integer=True)
"""Port number; 0 lets the operating system select a free port."""
LOG_LEVEL = StringType(
    "one of debug, info, warning and error",
    re.compile("debug|info|warning|error"),
)
"""Minimum log level."""
