"""Deployments, and access to their state, for tests that inject failures."""

import sys
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from types import MappingProxyType
from typing import Any

from bronzepost._internal.core.rendezvous import (
    PARTITION_COUNT,
    first_members,
    partition_of,
)
from standins.deployment import NO_OPTIONS, Deployment
from standins.http_client import request_json
from standins.node_process import Node
from standins.organisations import HANGAR_TRUST
from tests.functional.callers import wait_until

MODEL = 'agent-pool'
SERVICE = 'booking-app'
CALL_PATH = f'/v1/services/{SERVICE}/calls/book'
# At this scale the organisation has one engine and one plain service.
SMALL_SCALE = 0.2
MAX_NAMES_TRIED = 1000
# Half the default time for a token, for tests that make many turns.
FAST_ENGINE: Mapping[str, Sequence[str]] = MappingProxyType({
    'engine': ('--step-seconds', '0.02')
})


@contextmanager
def running_cluster(
    nodes: int,
    *,
    scale: float = SMALL_SCALE,
    options: Mapping[str, Sequence[str]] = NO_OPTIONS,
    relayed: Sequence[str] = (),
    waits_until_settled: bool = True,
) -> Iterator[Deployment]:
    """Run a deployment; its nodes are killed at the end, not drained.

    By default, wait first until it is settled: see ``is_cluster_settled``.
    Backend servers of the services in ``relayed`` are reached through relays.
    """
    with Deployment(
        organisation=HANGAR_TRUST,
        nodes=nodes,
        scale=scale,
        options=options,
        relayed=relayed,
    ) as run:
        try:
            if waits_until_settled and not wait_until(
                lambda: is_cluster_settled(run)
            ):
                raise AssertionError(f'not settled: {list_node_states(run)}')
            yield run
        except BaseException:
            # The output files are deleted with the deployment, so pytest shows
            # the end of each.
            for failed in run.nodes:
                is_running = failed.process.is_running
                sys.stdout.write(f'{failed.plan.name}: {is_running=}\n')
                sys.stdout.write(failed.process.last_output())
            raise
        finally:
            for node in run.nodes:
                node.resume()
                node.kill()


def read_operator_api(run: Deployment, node: Node, path: str) -> Any:
    """Return the JSON answer of a node's operator API."""
    return request_json(
        'GET',
        f'{node.operator_address}{path}',
        headers={'Authorization': f'Bearer {run.operator_key}'},
    )


def is_cluster_settled(run: Deployment) -> bool:
    """Return whether all nodes are ready for the calls of a test.

    Each partition has one owner, each node knows all nodes, and each has load
    reports of all backend servers.
    """
    states = list_node_states(run)
    owned = sum(state['partitions'] for state in states)
    sees_all = all(state['members'] == len(run.nodes) for state in states)
    knows_loads = all(has_all_load_reports(run, node) for node in run.nodes)
    return owned == PARTITION_COUNT and sees_all and knows_loads


def has_all_load_reports(run: Deployment, node: Node) -> bool:
    """Return whether a node has a load report of each backend server."""
    runners = read_operator_api(run, node, '/v1/runners')['runners']
    reported = [runner for runner in runners if runner['slots'] > 1]
    return len(reported) == len(run.runners)


def list_node_states(run: Deployment) -> list[Any]:
    """Return the status of each node, as its operator API reports it."""
    return [read_operator_api(run, node, '/v1/status') for node in run.nodes]


def read_log(run: Deployment, program: str) -> list[dict[str, Any]]:
    """Return the records of a program's partition, in log order."""
    stream = f'programs-{partition_of(program):02}'
    address = run.addresses_by_kind['log']
    page = request_json('GET', f'{address}/streams/{stream}/records')
    return [entry['record'] for entry in page['records']]


def count_log_records(run: Deployment, program: str) -> int:
    """Return the number of records on the log of a program's partition.

    It reads no records, so it can also be used while the log is slow.
    """
    streams = request_json('GET', f'{run.addresses_by_kind["log"]}/streams')
    return int(streams.get(f'programs-{partition_of(program):02}', 0))


def choose_program(
    run: Deployment, prefix: str
) -> tuple[str, Node, list[Node]]:
    """Return a program name, the node that owns it, and the other nodes.

    The node is also the preferred owner, so it does not release the partition.
    """
    nodes_by_name = {node.plan.name: node for node in run.nodes}
    for number in range(MAX_NAMES_TRIED):
        program = f'{prefix}-{number}'
        stream = f'programs-{partition_of(program):02}'
        first = first_members(nodes_by_name, stream, 1)[0]
        if list_owners(run, program)[-1:] == [first]:
            owner = nodes_by_name.pop(first)
            return program, owner, list(nodes_by_name.values())
    raise AssertionError(f'no program name: {list_node_states(run)}')


def list_programs_of_partition(program: str, count: int) -> list[str]:
    """Return names of further programs in the partition of a program."""
    names = (f'{program}-{number}' for number in range(MAX_NAMES_TRIED))
    wanted = partition_of(program)
    siblings = [name for name in names if partition_of(name) == wanted]
    return siblings[:count]


def list_owners(run: Deployment, program: str) -> list[str]:
    """Return the owners of a program's partition, the current one last.

    An empty name stands for a release.
    """
    owners: list[str] = []
    epoch = 0
    for record in read_log(run, program):
        if record['kind'] == 'Claim' and record['epoch'] == epoch + 1:
            epoch += 1
            owners.append(record['node'])
        if record['kind'] == 'PartitionReleased' and record['epoch'] == epoch:
            owners.append('')
    return owners


def wait_for_takeover(run: Deployment, program: str, former: Node) -> bool:
    """Wait until another node has claimed the partition of a program."""
    return wait_until(
        lambda: list_owners(run, program)[-1] not in {'', former.plan.name}
    )


def set_log_faults(run: Deployment, **switches: Any) -> None:
    """Set fault switches of the log service."""
    run.set_faults(run.addresses_by_kind['log'], **switches)


def find_runner(run: Deployment, service: str) -> Any:
    """Return the first backend server of a service."""
    return next(
        runner for runner in run.runners if runner.group.service == service
    )


def count_effects(run: Deployment, business_key: str) -> int:
    """Return how often the plain services ran a call with this key."""
    return sum(
        effects['by_business_key'].get(business_key, 0)
        for effects in run.effects().values()
    )


def list_sessions(run: Deployment) -> set[str]:
    """Return the sessions that the engines hold, of all programs."""
    held: set[str] = set()
    for runner in run.runners:
        if runner.group.kind == 'engine':
            answer = request_json('GET', f'{runner.address}/v1/sessions')
            held |= {entry['session'] for entry in answer['sessions']}
    return held
