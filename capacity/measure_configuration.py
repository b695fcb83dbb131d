"""Time until a configuration change is in force on all nodes."""

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
from .rows import Point, Row, judge, percentile, show_points

NODE_COUNTS: Final = (2, 4, 8, 16)
CHANGES: Final = 30
PAUSE_SECONDS: Final = 0.33
SPREAD_SECONDS: Final = 2.0
_MIDDLE: Final = 50
_HIGH: Final = 99
_MILLISECONDS: Final = 1000


def measure_changes() -> Iterable[Row]:
    """Yield the time until all nodes log a change as accepted."""
    middles: list[Point] = []
    highs: list[Point] = []
    for nodes in NODE_COUNTS:
        with Fleet(nodes=nodes) as fleet:
            time.sleep(SETTLE_SECONDS)
            taken = measure_fleet(fleet)
        middles.append((nodes, percentile(taken, _MIDDLE)))
        highs.append((nodes, percentile(taken, _HIGH)))
    yield _row(middles, highs)


def _row(middles: list[Point], highs: list[Point]) -> Row:
    levels = count_levels(scale.NODES)
    most_nodes, most = highs[-1]
    most_levels = count_levels(int(most_nodes))
    found = most / most_levels * levels
    bound = scale.CONFIGURATION_SECONDS * _MILLISECONDS
    return Row(
        role='ms until a change is in force on all nodes, against nodes',
        slope=f'at most {most / most_levels:.1f} ms per level (p99)',
        points=f'p50 {show_points(middles)} / p99 {show_points(highs)}',
        scaled=f'{found:.0f} ms for {levels} levels at 410 nodes',
        bound=f'{scale.CONFIGURATION_SECONDS} s',
        fits=judge(found, bound),
        mechanism='readers push records over a tree of fan-out 6',
    )


def measure_fleet(fleet: Fleet) -> list[float]:
    """Return the milliseconds from each proposal to the last node."""
    proposed_by_revision: dict[int, float] = {}
    base = 0
    for number in range(CHANGES):
        node = fleet.nodes[number % len(fleet.nodes)]
        proposed = time.time()
        answer = propose(fleet, node.operator_address, number + 1, base)
        base = int(answer['revision'])
        proposed_by_revision[base] = proposed
        time.sleep(PAUSE_SECONDS)
    time.sleep(SPREAD_SECONDS)
    last_by_revision = find_last(fleet)
    return [
        (last_by_revision[revision] - proposed) * _MILLISECONDS
        for revision, proposed in proposed_by_revision.items()
    ]


def propose(fleet: Fleet, address: str, budget: int, base: int) -> Any:
    """Change one setting; the answer comes when it has been read back."""
    return request_json(
        'POST',
        f'{address}/v1/configuration',
        {
            'path': 'capacity:budget',
            'value': budget,
            'base_revision': base,
            'author': 'capacity',
        },
        headers={'Authorization': f'Bearer {fleet.operator_key}'},
    )


def find_last(fleet: Fleet) -> dict[int, float]:
    """Return when the last node accepted each revision.

    Raises:
        ValueError: if a node has not accepted a revision.
    """
    times: dict[int, list[float]] = {}
    for line in fleet.read_events('change_accepted'):
        at = datetime.fromisoformat(line['at']).timestamp()
        times.setdefault(line['revision'], []).append(at)
    if any(len(seen) != len(fleet.nodes) for seen in times.values()):
        raise ValueError('a node has not accepted a change in time')
    return {revision: max(seen) for revision, seen in times.items()}


def count_levels(nodes: int) -> int:
    """Return how many hops a record takes from a reader to the last node."""
    members = build_members(nodes).members_by_name
    depth_by_name = {min(members): 0}
    waiting = [min(members)]
    for name in waiting:
        tables = create_tables(name, own_peer_address='', boot=1)
        tables.peers_by_name = {
            other: member for other, member in members.items() if other != name
        }
        for child in list_children(tables, min(members)):
            depth_by_name[child.name] = depth_by_name[name] + 1
            waiting.append(child.name)
    return max(depth_by_name.values())
