"""Time until the partitions of a killed node have new owners."""

import time
from collections.abc import Iterable
from datetime import datetime
from typing import Any, Final

from standins.http_client import request_json
from standins.node_process import Node

from . import scale
from .fleet import SETTLE_SECONDS, Fleet
from .rows import Row, judge, percentile

NODES: Final = 4
REPETITIONS: Final = 7
TAKEOVER_WAIT_SECONDS: Final = 6.0
_MIDDLE: Final = 50


def measure_takeover() -> Iterable[Row]:
    """Yield how long takeovers took and how many partitions moved."""
    with Fleet(nodes=NODES) as fleet:
        time.sleep(SETTLE_SECONDS)
        results = [
            kill_and_wait(fleet, fleet.nodes[number % NODES])
            for number in range(REPETITIONS)
        ]
    seconds = [taken for taken, _, _ in results]
    lost = [owned for _, owned, _ in results]
    moved = [claimed for _, _, claimed in results]
    yield Row(
        role=f'takeover of a killed node, {NODES} nodes',
        slope=(
            f'median {percentile(seconds, _MIDDLE):.2f} s, largest'
            f' {max(seconds):.2f} s of {len(seconds)}'
        ),
        points='; '.join(f'{taken:.2f}' for taken in seconds),
        scaled='probe of each member in turn: see the page',
        bound=f'p99 {scale.TAKEOVER_SECONDS} s',
        fits=judge(max(seconds), scale.TAKEOVER_SECONDS),
        mechanism='SWIM finds the death; the next in order claims',
    )
    yield Row(
        role='partitions moved by the death of a node',
        slope=f'owned {lost}, claimed by others {moved}',
        scaled=f'{scale.PARTITIONS / scale.NODES:.2f} per death at 410 nodes',
        bound='as many as the node owned',
        fits='fits' if lost == moved else 'does not fit',
        mechanism='rendezvous order moves only the partitions of the dead',
    )


def kill_and_wait(fleet: Fleet, node: Node) -> tuple[float, int, int]:
    """Kill a node; return seconds, partitions owned and claimed by others.

    The node is started again and gets its partitions back before the end.
    """
    owned = count_owned(fleet, node)
    killed = time.time()
    node.kill()
    time.sleep(TAKEOVER_WAIT_SECONDS)
    claims = [at for at in read_claims(fleet) if at >= killed]
    fleet.start_node(node)
    time.sleep(SETTLE_SECONDS)
    return max(claims) - killed, owned, len(claims)


def read_claims(fleet: Fleet) -> list[float]:
    """Return the times at which nodes have become owners."""
    lines = fleet.read_events('partition_claimed')
    return [datetime.fromisoformat(line['at']).timestamp() for line in lines]


def count_owned(fleet: Fleet, node: Node) -> int:
    """Return how many partitions a node says that it owns."""
    status: Any = request_json(
        'GET',
        f'{node.operator_address}/v1/status',
        headers={'Authorization': f'Bearer {fleet.operator_key}'},
    )
    return int(status['partitions'])
