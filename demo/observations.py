"""Settings of a running deployment, and the figures read from it."""

import time
from collections import Counter
from dataclasses import dataclass
from typing import Any, Final

from standins.deployment import Deployment
from standins.http_client import request_json

READY_TIMEOUT_SECONDS: Final = 15.0
SWEEP_TIMEOUT_SECONDS: Final = 10.0
POLL_SECONDS: Final = 0.2


@dataclass(frozen=True, kw_only=True, slots=True)
class Observation:
    """Figures of a deployment after a replay.

    ``runs_by_program`` counts runs at backend servers by program, and
    ``runs_by_key`` those at plain services by idempotency key.
    """

    runs_by_program: Counter[str]
    runs_by_key: Counter[str]
    stranded_tokens: int
    filled_tokens: int
    evicted_unused_tokens: int


def wait_until_ready(deployment: Deployment) -> None:
    """Wait until every node knows all nodes and runners.

    Raises:
        TimeoutError: if that takes longer than 15 seconds.
    """
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    while not all(_is_ready(deployment, node) for node in deployment.nodes):
        if time.monotonic() > deadline:
            raise TimeoutError('the nodes do not know each other')
        time.sleep(POLL_SECONDS)


def set_value(deployment: Deployment, path: str, value: object) -> None:
    """Set a value of the settings tree and wait until all nodes have it.

    Raises:
        TimeoutError: if a node does not have it after 15 seconds.
    """
    change = {'path': path, 'value': value, 'author': 'demo'}
    first = deployment.nodes[0].operator_address
    _request_operator(deployment, 'POST', f'{first}/v1/configuration', change)
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    for node in deployment.nodes:
        location = f'{node.operator_address}/v1/configuration?path={path}'
        while _read_value(deployment, location) != value:
            if time.monotonic() > deadline:
                raise TimeoutError(f'{path} is not in force everywhere')
            time.sleep(POLL_SECONDS)


def observe(deployment: Deployment) -> Observation:
    """Return the figures after the sweep, which has 10 seconds to run."""
    stranded_tokens = _wait_for_sweep(deployment)
    runs_by_request_id: Counter[str] = Counter()
    runs_by_key: Counter[str] = Counter()
    for effects in deployment.effects().values():
        runs_by_request_id.update(effects['by_request_id'])
        runs_by_key.update(effects['by_business_key'])
    totals = _sum_cache_totals(deployment)
    return Observation(
        runs_by_program=_count_runs_by_program(runs_by_request_id),
        runs_by_key=runs_by_key,
        stranded_tokens=stranded_tokens,
        filled_tokens=totals['filled_tokens'],
        evicted_unused_tokens=totals['evicted_unused_tokens'],
    )


def _count_runs_by_program(runs_by_request_id: dict[str, int]) -> Counter[str]:
    # A request id is PROGRAM:SEQUENCE:EPOCH:ATTEMPT.
    counts: Counter[str] = Counter()
    for request_id, runs in runs_by_request_id.items():
        counts[request_id.partition(':')[0]] += runs
    return counts


def _sum_cache_totals(deployment: Deployment) -> Counter[str]:
    totals: Counter[str] = Counter()
    for address in _engine_addresses(deployment):
        answer = request_json('GET', f'{address}/v1/cache/totals')
        answer.pop('held_tokens_by_session')
        totals.update(answer)
    return totals


def _engine_addresses(deployment: Deployment) -> list[str]:
    return [
        runner.address
        for runner in deployment.runners
        if runner.group.kind == 'engine'
    ]


def _wait_for_sweep(deployment: Deployment) -> int:
    """Return the tokens that engines still hold after the sweep."""
    deadline = time.monotonic() + SWEEP_TIMEOUT_SECONDS
    while True:
        held = sum(map(_count_held_tokens, _engine_addresses(deployment)))
        if not held or time.monotonic() > deadline:
            return held
        time.sleep(POLL_SECONDS)


def _count_held_tokens(address: str) -> int:
    sessions = request_json('GET', f'{address}/v1/sessions')['sessions']
    return sum(int(session['tokens']) for session in sessions)


def _is_ready(deployment: Deployment, node: Any) -> bool:
    endpoints = request_json('GET', f'{node.caller_address}/v1/endpoints')
    location = f'{node.operator_address}/v1/runners'
    runners = _request_operator(deployment, 'GET', location)['runners']
    # Until its first load report a runner has no slots, and new programs wait
    # for seconds.
    reported = [runner for runner in runners if runner['slots']]
    return len(endpoints['endpoints']) == len(deployment.nodes) and (
        len(reported) == len(deployment.runners)
    )


def _read_value(deployment: Deployment, location: str) -> object:
    answer = _request_operator(deployment, 'GET', location)
    return answer['entries'][0]['value']


def _request_operator(
    deployment: Deployment, method: str, location: str, body: object = None
) -> Any:
    key = f'Bearer {deployment.operator_key}'
    return request_json(method, location, body, headers={'Authorization': key})
