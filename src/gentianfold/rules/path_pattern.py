"""Path patterns of routes: literal segments, ``*`` and a final ``**``."""

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
"""Pattern segment that matches any one segment."""
ANY_SUFFIX = "**"
"""Last pattern segment; matches any number of remaining segments, including none."""
MAX_SEGMENTS = 64
"""Maximum number of segments in the path of a route."""


@attrs.frozen
class PathPattern:
    """The parsed path of a route."""

    segments: tuple[str, ...]
    """Literal segments and ``*``, without a final ``**``."""
    is_prefix: bool = False
    """Whether the path ends with ``**``."""

    @classmethod
    def parse(cls, text: str) -> PathPattern | str:
        """Parse a path as written in a rule; return the reason if it is invalid."""
        segments = split_path(text)
        if isinstance(segments, Failure):
            return segments.reason
        if len(segments) > MAX_SEGMENTS:
            return f"the path has more than {MAX_SEGMENTS} segments"
        normalized = "/" + "/".join(segments)
        if normalized != text:
            return f"the path isn't in normal form; write {normalized!r}"
        is_prefix = segments[-1:] == (ANY_SUFFIX,)
        segments = segments[:-1] if is_prefix else segments
        for segment in segments:
            if "*" in segment and segment != ANY_SEGMENT:
                return f"{segment!r}: '*' must be a whole segment, '**' the last one"
        return cls(segments, is_prefix)

    @classmethod
    def of_route(cls, route: Route) -> PathPattern:
        """Return the pattern of a route.

        Raises:
            ValueError: If the path of the route is invalid.
        """
        pattern = cls.parse(route.path)
        if isinstance(pattern, PathPattern):
            return pattern
        raise ValueError(f"route {route.name!r}: {pattern}")

    @property
    def kind(self) -> PathKind:
        """How the pattern is matched against a request path."""
        if self.is_prefix:
            return PathKind.PREFIX
        return PathKind.PATTERN if ANY_SEGMENT in self.segments else PathKind.EXACT

    def matches(self, segments: tuple[str, ...]) -> bool:
        """Tell whether the pattern matches a request path, given as its segments."""
        if len(segments) < len(self.segments):
            return False
        if len(segments) > len(self.segments) and not self.is_prefix:
            return False
        pairs = zip(self.segments, segments, strict=False)
        return all(expected in (ANY_SEGMENT, actual) for expected, actual in pairs)

    def is_more_specific_than(self, other: PathPattern) -> bool:
        """Tell whether this pattern has precedence if ``other`` matches too."""
        return self._sort_key() < other._sort_key()

    def _sort_key(self) -> tuple[int, ...]:
        """Return a key that ranks each segment: end or literal, ``*``, then ``**``."""
        ranks = (int(segment == ANY_SEGMENT) for segment in self.segments)
        return tuple(itertools.chain(ranks, (2,) if self.is_prefix else ()))
