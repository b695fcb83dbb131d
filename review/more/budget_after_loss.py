"""A program that returns after an outage of the store and a loss of all machines."""

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
OUTAGE_S = 6.0
KILL_AFTER_S = 4.0
# The platform starts a killed process again after a short delay.
RESTART_DELAY_S = 1.0
# From the loss of the machines to the return of the program; its turns are kept,
# and it may return, for 60 s.
RETURN_AFTER_S = 26.0


async def main(record, trouble):
    network = choose_network()
    store = Store()
    await store.start(f'{network}.1')
    route = make_route(
        'r-ask', '/ask/', 'streaming', 'engines', retainHistory=False,
        retentionS=60.0, stickySessions=True, resumable=True, gapAimMs=300,
    )
    store.put('op', 'config', make_configuration([route]))
    runner = Runner(
        store=store, record=record, upstream='engines', runner_id='i-1',
        events=EVENTS, slots=32,
    )
    await runner.start(f'{network}.2')
    deployment = Deployment(
        record=record, store=store, network=network, count=4
    )
    handed_out = 0
    statuses = []

    async def send_turn(number):
        # Each turn after the first is one of a sub-agent: its prompt begins with
        # that of the first turn.
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
        statuses.append(answer.status)
        record.write(f'tokens   {handed_out} of {BUDGET} handed out')
        return answer

    numbers = iter(range(1000))

    async def send_turns(seconds):
        """Send turns one after the other until the program is told to end."""
        end = record.now() + seconds
        while record.now() < end:
            answer = await send_turn(next(numbers))
            if answer.status == 402:
                return
            if answer.status != 200:
                await asyncio.sleep(0.4)

    try:
        deployment.start()
        await deployment.wait_until_ready()
        await asyncio.sleep(5.0)
        if trouble:
            store.mode = 'busy'
            record.write('store    is down, answers 503')
            down_at = record.now()
            await asyncio.sleep(1.0)
        await send_turns(KILL_AFTER_S - 1.0)
        if trouble:
            await asyncio.sleep(max(down_at + KILL_AFTER_S - record.now(), 0))
            for vm in deployment.vms:
                vm.kill()
            lost_at = record.now()
            await asyncio.sleep(RESTART_DELAY_S)
            deployment.start()
            await asyncio.sleep(max(down_at + OUTAGE_S - record.now(), 0))
            store.mode = 'ok'
            record.write('store    is back')
            await deployment.wait_until_ready()
            await asyncio.sleep(max(lost_at + RETURN_AFTER_S - record.now(), 0))
        record.write('program  returns')
        await send_turns(12.0)
    finally:
        deployment.close()
        runner.stop()
        store.stop()
    if 200 not in statuses:
        raise RuntimeError('no turn was served')
    record.write(
        f'result   {handed_out} tokens handed to the client, the budget is'
        f' {BUDGET} and the most of one turn {TURN_TOKENS}'
    )
    return handed_out > BUDGET + TURN_TOKENS


if __name__ == '__main__':
    run_case(main)
