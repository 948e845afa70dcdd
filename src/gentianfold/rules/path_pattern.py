"""The path of a route: literal segments, ``*`` for one and ``**`` for the rest."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs

from gentianfold.errors import Failure
from gentianfold.model import PathKind
from gentianfold.rules.paths import split_path

if TYPE_CHECKING:
    from gentianfold.model import Route

ANY_SEGMENT = "*"
"""Matches one segment."""
ANY_REST = "**"
"""Matches any number of further segments, none included."""
MAX_SEGMENTS = 64
"""Most segments of a route's path."""


@attrs.frozen
class PathPattern:
    """A parsed route path."""

    segments: tuple[str, ...]
    """Literal segments and ``*``, without the final ``**``."""
    open_ended: bool = False
    """Whether the path ends with ``**``."""

    @classmethod
    def parse(cls, text: str) -> PathPattern | str:
        """Parse a path as written in a rule, or return what is wrong with it."""
        segments = split_path(text)
        if isinstance(segments, Failure):
            return segments.reason
        if len(segments) > MAX_SEGMENTS:
            return f"the path has more than {MAX_SEGMENTS} segments"
        normal = "/" + "/".join(segments)
        if normal != text:
            return f"the path isn't in normal form; write {normal!r}"
        open_ended = segments[-1:] == (ANY_REST,)
        segments = segments[:-1] if open_ended else segments
        for segment in segments:
            if "*" in segment and segment != ANY_SEGMENT:
                return f"{segment!r}: '*' stands for a segment, '**' for the last ones"
        return cls(segments, open_ended)

    @classmethod
    def of(cls, route: Route) -> PathPattern:
        """Return the path of a route whose path was checked before."""
        pattern = cls.parse(route.path)
        if isinstance(pattern, PathPattern):
            return pattern
        raise ValueError(f"route {route.name!r}: {pattern}")

    @property
    def kind(self) -> PathKind:
        """How the path is compared."""
        if self.open_ended:
            return PathKind.PREFIX
        return PathKind.PATTERN if ANY_SEGMENT in self.segments else PathKind.EXACT

    def matches(self, segments: tuple[str, ...]) -> bool:
        """Tell whether a request path with these segments matches."""
        if len(segments) < len(self.segments):
            return False
        if len(segments) > len(self.segments) and not self.open_ended:
            return False
        pairs = zip(self.segments, segments, strict=False)
        return all(own in (ANY_SEGMENT, other) for own, other in pairs)

    def is_more_specific(self, other: PathPattern) -> bool:
        """Tell whether this path goes before ``other`` if both match."""
        return self._rank() < other._rank()

    def _rank(self) -> tuple[int, ...]:
        """Rank segment by segment: the end and literals, then ``*``, then ``**``."""
        ranks = (int(segment == ANY_SEGMENT) for segment in self.segments)
        return tuple(itertools.chain(ranks, (2,) if self.open_ended else ()))
