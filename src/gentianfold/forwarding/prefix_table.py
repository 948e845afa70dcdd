"""Finds the route of a request by host and longest path prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianfold.model import Route


class PrefixTable:
    """Routes by host and path; a lookup takes one step for each slash in the path."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host, {})[route.path] = route

    def find(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of the path, or ``None``.

        Args:
            host: Value of the ``Host`` header, with or without a port.
            target: Path and query as received.
        """
        prefixes = self._hosts.get(_without_port(host).lower())
        if prefixes is None:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
