"""A version moves a route to another service while turns of a program run."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common.deployment import (  # noqa: E402
    HOST,
    Deployment,
    choose_network,
    make_configuration,
    make_route,
    run_case,
)
from common.standins import Runner, Store, send_request  # noqa: E402

TOKENS_PER_EVENT = 25
EVENTS = 8
TURN_TOKENS = EVENTS * TOKENS_PER_EVENT
BUDGET = 8 * TURN_TOKENS
# Turns of sub-agents that run at the same time.
HELPERS = 7
EVENT_GAP_S = 0.15


def make_version(version, upstream):
    """Return a configuration whose route goes to a service, the only one in it."""
    route = make_route(
        'r-ask', '/ask/', 'streaming', upstream, retainHistory=False,
        retentionS=60.0, stickySessions=True, resumable=True, gapAimMs=300,
    )
    document = make_configuration([route], version)
    engines = document['upstreams'][0]
    document['upstreams'] = [{**engines, 'name': upstream}]
    return document


async def main(record, trouble):
    network = choose_network()
    store = Store()
    await store.start(f'{network}.1')
    store.put('op', 'config', make_version(7, 'engines'))
    runners = [
        Runner(
            store=store, record=record, upstream=upstream,
            runner_id=f'i-{upstream}', events=EVENTS, gap_s=EVENT_GAP_S,
            slots=32,
        )
        for upstream in ('engines', 'engines-next')
    ]
    for runner in runners:
        await runner.start(f'{network}.2')
    deployment = Deployment(
        record=record, store=store, network=network, count=3
    )
    handed_out = 0

    async def send_turn(number):
        nonlocal handed_out
        parts = 'aa:500,b1:300'
        if number:
            parts += f',d{number}:100'
        vm = deployment.vms[number % len(deployment.vms)]
        answer = await send_request(
            record, vm.front, request_id=f'turn-{number}', path='/ask/x',
            host=HOST, body=b'{}', headers=(
                'Program-Id: 3fa81c', f'Session-Id: s{number}',
                'Finish-Ms: 60000', f'Token-Budget: {BUDGET}',
                f'Token-Usage: {800 + 100 * bool(number)},{TURN_TOKENS}',
                f'Prompt-Prefix: {parts}', 'Model: m', 'Deadline-Ms: 3000',
            ),
        )
        handed_out += answer.events * TOKENS_PER_EVENT
        record.write(f'tokens   {handed_out} of {BUDGET} handed out')
        return answer

    numbers = iter(range(1000))
    try:
        deployment.start()
        await deployment.wait_until_ready()
        await asyncio.sleep(2.0)
        if (await send_turn(next(numbers))).status != 200:
            raise RuntimeError('the first turn is not served')
        helpers = [
            asyncio.ensure_future(send_turn(next(numbers)))
            for _ in range(HELPERS)
        ]
        await asyncio.sleep(2 * EVENT_GAP_S)
        if trouble:
            store.put('op', 'config', make_version(8, 'engines-next'))
            record.write('config   version 8 moves the route to engines-next')
        await asyncio.gather(*helpers)
        await asyncio.sleep(1.0)
        end = record.now() + 20.0
        status = 200
        while status != 402 and record.now() < end:
            status = (await send_turn(next(numbers))).status
            if status != 200:
                await asyncio.sleep(0.4)
    finally:
        deployment.close()
        for runner in runners:
            runner.stop()
        store.stop()
    record.write(
        f'result   {handed_out} tokens handed to the client, the budget is'
        f' {BUDGET} and the most of one turn {TURN_TOKENS}'
    )
    return handed_out > BUDGET + TURN_TOKENS


if __name__ == '__main__':
    run_case(main)
