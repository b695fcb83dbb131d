"""Find the route of a request by its host and its path."""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Self

from bronzepost._internal.core.gateway.entities import Route


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RouteTable:
    """Routes by host, those with the longest prefix first."""

    routes_by_host: Mapping[str, tuple[Route, ...]]

    @classmethod
    def build(cls, *, routes: Sequence[Route]) -> Self:
        """Return the table of a configuration's routes."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        return cls(
            routes_by_host={
                host: tuple(sorted(group, key=_prefix_length, reverse=True))
                for host, group in by_host.items()
            }
        )

    def find_route(self, *, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix that begins the path.

        ``target`` is the request target as sent, with its query; ``host`` may
        carry a port.
        """
        path = target.partition('?')[0]
        for route in self.routes_by_host.get(_strip_port(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def choose_service(route: Route, *, point: float) -> str:
    """Return the service of a route for a point from 0 up to 1.

    Services are chosen in proportion to their weights.
    """
    total = sum(weight for _, weight in route.services)
    reached: float = 0
    for service, weight in route.services:
        reached += weight
        if point * total < reached:
            return service
    return route.services[-1][0]


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)


def _strip_port(host: str) -> str:
    name, colon, port = host.rpartition(':')
    if colon and port.isdigit():
        return name.lower()
    return host.lower()
