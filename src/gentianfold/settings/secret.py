"""A secret text that representations, logs and tracebacks don't show."""

from __future__ import annotations

import hmac


class Secret:
    """Holds a secret text; only ``reveal`` gives it out."""

    __slots__ = ("_text",)

    def __init__(self, text: str) -> None:
        self._text = text

    def reveal(self) -> str:
        """Return the secret text."""
        return self._text

    def __repr__(self) -> str:
        return "Secret(...)"

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Secret):
            return NotImplemented
        return hmac.compare_digest(self._text.encode(), other._text.encode())

    def __hash__(self) -> int:
        return hash(self._text)

    def __reduce__(self) -> str:
        raise TypeError("a secret can't be serialised")
