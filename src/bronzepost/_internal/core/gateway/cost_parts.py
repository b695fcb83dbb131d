"""Split the cost of a server for a request into its parts.

Each part is what the cost falls by without it, computed by the function that the
choice itself uses, so the parts can't differ from it.
"""

import dataclasses
from collections.abc import Iterator

from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.core.gateway.placement import (
    PlacementContext,
    build_sort_key,
)


def find_cost(server: BackendServer, context: PlacementContext) -> float:
    """Return the cost of a server, in times of a request on an idle one."""
    _, cost, _ = build_sort_key(server, context)
    return cost


def list_parts(
    server: BackendServer, context: PlacementContext
) -> dict[str, float]:
    """Return what each circumstance adds to the cost of a server.

    >>> from tests.builders_gateway import make_server
    >>> context = PlacementContext(
    ...     availability_zone='hall-b', in_flight={'i-1': 0}
    ... )
    >>> parts = list_parts(make_server('i-1'), context)
    >>> {name: round(part, 3) for name, part in parts.items() if part}
    {'zone': 0.01, 'connection': 0.02}
    """
    cost = find_cost(server, context)
    return {
        name: cost - find_cost(server, without)
        for name, without in _vary(server, context)
    }


def _vary(
    server: BackendServer, context: PlacementContext
) -> Iterator[tuple[str, PlacementContext]]:
    own = frozenset((server.server_id,))
    yield 'load', dataclasses.replace(context, in_flight={})
    yield (
        'prompt',
        dataclasses.replace(context, unshared_tokens=0, shared_tokens=0),
    )
    yield 'speed', dataclasses.replace(context, latency_ratio_by_id={})
    yield (
        'zone',
        dataclasses.replace(
            context, availability_zone=server.availability_zone
        ),
    )
    yield 'connection', dataclasses.replace(context, connected_ids=own)
    yield 'relay', dataclasses.replace(context, relayed_ids=frozenset())
    yield (
        'move',
        dataclasses.replace(context, report_age_seconds=0),
    )
