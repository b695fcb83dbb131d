"""A program in an outage of the store in which one machine is killed."""

import asyncio
import json
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
OUTAGE_S = 4.5
KILL_AFTER_S = 1.0
# Turns before the outage; they leave one turn of the budget.
EARLY_TURNS = 7
KILLED_S = 3.5


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
        running = [vm for vm in deployment.vms if vm.process.poll() is None]
        vm = running[number % len(running)]
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

    async def send_turns(count, seconds):
        """Send turns one after the other until the program is told to end."""
        end = record.now() + seconds
        left = count
        while left and record.now() < end:
            answer = await send_turn(next(numbers))
            if answer.status == 402:
                return
            if answer.status == 200:
                left -= 1
            else:
                await asyncio.sleep(0.4)

    def find_home():
        """Return the machine that last wrote to the store under a condition.

        Only the home of the program does, and the log names it.
        """
        lines = [
            json.loads(line)
            for vm in deployment.vms
            for line in vm.read_log().splitlines()
            if '"request_done"' in line
        ]
        name = max(lines, key=lambda line: line['at'])['home']
        return next(vm for vm in deployment.vms if vm.name == name)

    try:
        deployment.start()
        await deployment.wait_until_ready()
        await asyncio.sleep(25.0)
        await send_turns(EARLY_TURNS, 10.0)
        await asyncio.sleep(1.0)
        if trouble:
            store.mode = 'busy'
            record.write('store    is down, answers 503')
            down_at = record.now()
            await asyncio.sleep(KILL_AFTER_S)
            home = find_home()
            home.kill()
            await asyncio.sleep(1.5)
            sending = asyncio.ensure_future(send_turns(100, 2.0))
            await asyncio.sleep(KILLED_S - 1.5)
            home.start()
            await sending
            await asyncio.sleep(max(down_at + OUTAGE_S - record.now(), 0))
            store.mode = 'ok'
            record.write('store    is back')
            await asyncio.sleep(4.0)
        await send_turns(100, 4.0)
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
