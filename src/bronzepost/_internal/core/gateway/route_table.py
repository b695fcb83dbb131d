"""Find the route of a request by host and path prefix."""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Self

from bronzepost._internal.core.gateway.entities import Route


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RouteTable:
    """Routes by host, with the longest path prefix first."""

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
        """Return the route with the longest prefix that matches the path.

        ``target`` is the request target with its query. ``host`` may include a
        port.
        """
        path = target.partition('?')[0]
        for route in self.routes_by_host.get(_strip_port(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def choose_service(route: Route, *, point: float) -> str:
    """Choose a service of a route by weight.

    ``point`` is a uniform random number that is at least 0 and less than 1.
    """
    total = sum(weight for _, weight in route.services)
    cumulative_weight: float = 0
    for service, weight in route.services:
        cumulative_weight += weight
        if point * total < cumulative_weight:
            return service
    return route.services[-1][0]


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)


def _strip_port(host: str) -> str:
    name, colon, port = host.rpartition(':')
    if colon and port.isdigit():
        return name.lower()
    return host.lower()
