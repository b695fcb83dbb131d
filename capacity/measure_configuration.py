"""Time until a configuration change is in effect on all nodes."""

import time
from collections.abc import Iterable
from datetime import datetime
from typing import Any, Final

from bronzepost._internal.core.configuration.dissemination import (
    list_children,
)
from bronzepost._internal.core.configuration.entities import create_tables
from standins.http_client import request_json

from . import scale
from .builders import build_members
from .fleet import SETTLE_SECONDS, Fleet
from .rows import Point, Row, check_bound, format_points, percentile

NODE_COUNTS: Final = (2, 4, 8, 16)
CHANGES: Final = 30
PAUSE_SECONDS: Final = 0.33
PROPAGATION_SECONDS: Final = 2.0
_P50: Final = 50
_P99: Final = 99
_MILLISECONDS_PER_SECOND: Final = 1000


def measure_changes() -> Iterable[Row]:
    """Yield the time until all nodes log a change as accepted."""
    medians: list[Point] = []
    p99s: list[Point] = []
    for nodes in NODE_COUNTS:
        with Fleet(nodes=nodes) as fleet:
            time.sleep(SETTLE_SECONDS)
            milliseconds = measure_fleet(fleet)
        medians.append((nodes, percentile(milliseconds, _P50)))
        p99s.append((nodes, percentile(milliseconds, _P99)))
    yield _row(medians, p99s)


def _row(medians: list[Point], p99s: list[Point]) -> Row:
    levels = count_levels(scale.NODES)
    max_nodes, p99 = p99s[-1]
    max_levels = count_levels(int(max_nodes))
    p99_at_scale = p99 / max_levels * levels
    bound = scale.MAX_CONFIGURATION_SECONDS * _MILLISECONDS_PER_SECOND
    return Row(
        role='ms until a change is in force on all nodes, against nodes',
        slope=f'at most {p99 / max_levels:.1f} ms per level (p99)',
        points=f'p50 {format_points(medians)} / p99 {format_points(p99s)}',
        scaled=f'{p99_at_scale:.0f} ms for {levels} levels at 410 nodes',
        bound=f'{scale.MAX_CONFIGURATION_SECONDS} s',
        fits=check_bound(p99_at_scale, bound),
        mechanism='readers push records over a tree of fan-out 6',
    )


def measure_fleet(fleet: Fleet) -> list[float]:
    """Return the ms from each proposal to its acceptance on the last node."""
    proposed_by_revision: dict[int, float] = {}
    base_revision = 0
    for number in range(CHANGES):
        node = fleet.nodes[number % len(fleet.nodes)]
        proposed_at = time.time()
        answer = propose(
            fleet, node.operator_address, number + 1, base_revision
        )
        base_revision = int(answer['revision'])
        proposed_by_revision[base_revision] = proposed_at
        time.sleep(PAUSE_SECONDS)
    time.sleep(PROPAGATION_SECONDS)
    last_by_revision = find_last_acceptance(fleet)
    return [
        (last_by_revision[revision] - proposed_at) * _MILLISECONDS_PER_SECOND
        for revision, proposed_at in proposed_by_revision.items()
    ]


def propose(fleet: Fleet, address: str, budget: int, base_revision: int) -> Any:
    """Change a setting; the node answers once it has read the change back."""
    return request_json(
        'POST',
        f'{address}/v1/configuration',
        {
            'path': 'capacity:budget',
            'value': budget,
            'base_revision': base_revision,
            'author': 'capacity',
        },
        headers={'Authorization': f'Bearer {fleet.operator_key}'},
    )


def find_last_acceptance(fleet: Fleet) -> dict[int, float]:
    """Return the time at which the last node accepted each revision.

    Raises:
        ValueError: if a node has not accepted a revision.
    """
    times: dict[int, list[float]] = {}
    for line in fleet.read_events('change_accepted'):
        at = datetime.fromisoformat(line['at']).timestamp()
        times.setdefault(line['revision'], []).append(at)
    if any(
        len(node_times) != len(fleet.nodes) for node_times in times.values()
    ):
        raise ValueError('a node did not accept a change in time')
    return {revision: max(node_times) for revision, node_times in times.items()}


def count_levels(nodes: int) -> int:
    """Return the depth of the dissemination tree, in hops from its root."""
    members = build_members(nodes).members_by_name
    depth_by_name = {min(members): 0}
    names_to_visit = [min(members)]
    for name in names_to_visit:
        tables = create_tables(name, own_peer_address='', boot=1)
        tables.peers_by_name = {
            peer: member for peer, member in members.items() if peer != name
        }
        for child in list_children(tables, min(members)):
            depth_by_name[child.name] = depth_by_name[name] + 1
            names_to_visit.append(child.name)
    return max(depth_by_name.values())
