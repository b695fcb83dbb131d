"""Deployments for tests that bring about failures."""

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
# One engine and one plain service of the organisation.
SMALL_SCALE = 0.2
PLACE_ATTEMPTS = 1000
# Half the usual time for a token, for tests that make many turns.
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
    is_settled: bool = True,
) -> Iterator[Deployment]:
    """Run a deployment; its nodes are killed at the end, not drained.

    A settled one has a single owner for each partition.
    """
    with Deployment(
        organisation=HANGAR_TRUST,
        nodes=nodes,
        scale=scale,
        options=options,
        relayed=relayed,
    ) as run:
        try:
            if is_settled and not wait_until(lambda: has_settled(run)):
                raise AssertionError(f'not settled: {list_states(run)}')
            yield run
        except BaseException:
            # The files are deleted with the deployment; pytest shows this.
            for failed in run.nodes:
                is_running = failed.process.is_running
                sys.stdout.write(f'{failed.plan.name}: {is_running=}\n')
                sys.stdout.write(failed.process.last_output())
            raise
        finally:
            for node in run.nodes:
                node.resume()
                node.kill()


def ask_operator(run: Deployment, node: Node, path: str) -> Any:
    """Return what an operator reads from a node."""
    return request_json(
        'GET',
        f'{node.operator_address}{path}',
        headers={'Authorization': f'Bearer {run.operator_key}'},
    )


def has_settled(run: Deployment) -> bool:
    """Return whether the nodes know all and agree on each owner."""
    states = list_states(run)
    owned = sum(state['partitions'] for state in states)
    sees_all = all(state['members'] == len(run.nodes) for state in states)
    knows_loads = all(knows_each_load(run, node) for node in run.nodes)
    return owned == PARTITION_COUNT and sees_all and knows_loads


def knows_each_load(run: Deployment, node: Node) -> bool:
    """Return whether a node has a load report of each runner."""
    runners = ask_operator(run, node, '/v1/runners')['runners']
    reported = [runner for runner in runners if runner['slots'] > 1]
    return len(reported) == len(run.runners)


def list_states(run: Deployment) -> list[Any]:
    """Return the state of each node."""
    return [ask_operator(run, node, '/v1/status') for node in run.nodes]


def read_log(run: Deployment, program: str) -> list[dict[str, Any]]:
    """Return the records of a program's partition, in log order."""
    stream = f'programs-{partition_of(program):02}'
    address = run.addresses_by_kind['log']
    page = request_json('GET', f'{address}/streams/{stream}/records')
    return [entry['record'] for entry in page['records']]


def log_length(run: Deployment, program: str) -> int:
    """Return how many records a partition has, also when the log is slow."""
    streams = request_json('GET', f'{run.addresses_by_kind["log"]}/streams')
    return int(streams.get(f'programs-{partition_of(program):02}', 0))


def place_program(run: Deployment, prefix: str) -> tuple[str, Node, list[Node]]:
    """Return a program name, the node that owns it, and the other nodes.

    The owner is also the first choice, so it does not hand the partition over.
    """
    nodes_by_name = {node.plan.name: node for node in run.nodes}
    for number in range(PLACE_ATTEMPTS):
        program = f'{prefix}-{number}'
        stream = f'programs-{partition_of(program):02}'
        first = first_members(nodes_by_name, stream, 1)[0]
        if list_owners(run, program)[-1:] == [first]:
            owner = nodes_by_name.pop(first)
            return program, owner, list(nodes_by_name.values())
    raise AssertionError(f'no program name: {list_states(run)}')


def list_siblings(program: str, count: int) -> list[str]:
    """Return names of other programs in the partition of a program."""
    names = (f'{program}-{number}' for number in range(PLACE_ATTEMPTS))
    wanted = partition_of(program)
    siblings = [name for name in names if partition_of(name) == wanted]
    return siblings[:count]


def list_owners(run: Deployment, program: str) -> list[str]:
    """Return who owned a partition, in order, empty for released ones."""
    owners: list[str] = []
    epoch = 0
    for record in read_log(run, program):
        if record['kind'] == 'Claim' and record['epoch'] == epoch + 1:
            epoch += 1
            owners.append(record['node'])
        if record['kind'] == 'PartitionReleased' and record['epoch'] == epoch:
            owners.append('')
    return owners


def wait_taken_over(run: Deployment, program: str, former: Node) -> bool:
    """Wait until another node has claimed a program's partition."""
    return wait_until(
        lambda: list_owners(run, program)[-1] not in {'', former.plan.name}
    )


def set_log_faults(run: Deployment, **switches: Any) -> None:
    """Set fault switches of the log."""
    run.set_faults(run.addresses_by_kind['log'], **switches)


def find_runner(run: Deployment, service: str) -> Any:
    """Return the address of the first runner of a service."""
    return next(
        runner for runner in run.runners if runner.group.service == service
    )


def count_effects(run: Deployment, business_key: str) -> int:
    """Return how often the plain services ran the call with this key."""
    return sum(
        effects['by_business_key'].get(business_key, 0)
        for effects in run.effects().values()
    )


def list_sessions(run: Deployment) -> set[str]:
    """Return the sessions that engines hold."""
    held: set[str] = set()
    for runner in run.runners:
        if runner.group.kind == 'engine':
            answer = request_json('GET', f'{runner.address}/v1/sessions')
            held |= {entry['session'] for entry in answer['sessions']}
    return held
