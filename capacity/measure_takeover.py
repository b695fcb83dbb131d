"""Time until the partitions of a killed node have new owners."""

import time
from collections.abc import Iterable
from datetime import datetime
from typing import Any, Final

from standins.http_client import request_json
from standins.node_process import Node

from . import scale
from .fleet import SETTLE_SECONDS, Fleet
from .rows import Row, check_bound, percentile

NODES: Final = 4
TAKEOVERS: Final = 7
TAKEOVER_WAIT_SECONDS: Final = 6.0
_P50: Final = 50


def measure_takeover() -> Iterable[Row]:
    """Yield the durations of takeovers and the numbers of moved partitions."""
    with Fleet(nodes=NODES) as fleet:
        time.sleep(SETTLE_SECONDS)
        results = [
            kill_and_wait(fleet, fleet.nodes[number % NODES])
            for number in range(TAKEOVERS)
        ]
    seconds = [duration for duration, _, _ in results]
    owned_counts = [owned for _, owned, _ in results]
    claimed_counts = [claimed for _, _, claimed in results]
    yield Row(
        role=f'takeover of a killed node, {NODES} nodes',
        slope=(
            f'median {percentile(seconds, _P50):.2f} s, largest'
            f' {max(seconds):.2f} s of {len(seconds)}'
        ),
        points='; '.join(f'{duration:.2f}' for duration in seconds),
        scaled='probe of each member in turn: see the page',
        bound=f'p99 {scale.MAX_TAKEOVER_SECONDS} s',
        fits=check_bound(max(seconds), scale.MAX_TAKEOVER_SECONDS),
        mechanism=(
            'SWIM detects the failure; the next node in rendezvous order claims'
        ),
    )
    yield Row(
        role='partitions moved by the death of a node',
        slope=f'owned {owned_counts}, claimed by others {claimed_counts}',
        scaled=f'{scale.PARTITIONS / scale.NODES:.2f} per death at 410 nodes',
        bound='as many as the node owned',
        fits='fits' if owned_counts == claimed_counts else 'does not fit',
        mechanism=(
            'rendezvous order moves only the partitions of the failed node'
        ),
    )


def kill_and_wait(fleet: Fleet, node: Node) -> tuple[float, int, int]:
    """Kill a node and measure the takeover of its partitions.

    Returns the seconds until the last claim, the number of partitions that
    the node owned, and the number that others claimed. Then restarts the node
    and waits until it has its partitions back.
    """
    owned = count_owned(fleet, node)
    killed_at = time.time()
    node.kill()
    time.sleep(TAKEOVER_WAIT_SECONDS)
    claims = [at for at in read_claims(fleet) if at >= killed_at]
    fleet.start_node(node)
    time.sleep(SETTLE_SECONDS)
    return max(claims) - killed_at, owned, len(claims)


def read_claims(fleet: Fleet) -> list[float]:
    """Return the times at which nodes claimed partitions."""
    lines = fleet.read_events('partition_claimed')
    return [datetime.fromisoformat(line['at']).timestamp() for line in lines]


def count_owned(fleet: Fleet, node: Node) -> int:
    """Return the number of owned partitions that a node reports."""
    status: Any = request_json(
        'GET',
        f'{node.operator_address}/v1/status',
        headers={'Authorization': f'Bearer {fleet.operator_key}'},
    )
    return int(status['partitions'])
