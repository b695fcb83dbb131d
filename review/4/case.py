"""A conversation that goes on within its retention, after a restart in turn."""

import asyncio
import signal
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

RETENTION_S = 60.0
FIRST_TURN_AT_S = 3.0
# The machines are stopped and started in turn, each this long after the first turn
# and after the one before.
STOP_AFTER_S = 8.5
START_AFTER_S = 12.0
RESTART_GAP_S = 3.5
# After the first turn; both are in one conversation.
SECOND_TURN_AFTER_S = 28.0
# After the end of the second turn, inside its retention.
RETURN_AFTER_S = 56.0
# The program's aim: 1.8 times the time that its turns and pauses take.
AIM_S = 1.8 * (SECOND_TURN_AFTER_S + RETURN_AFTER_S)
TRIES = 6
TRY_GAP_S = 0.4


async def main(record, trouble):
    network = choose_network()
    store = Store()
    await store.start(f'{network}.1')
    route = make_route(
        'r-chat', '/chat/', 'streaming', 'engines', retainHistory=True,
        retentionS=RETENTION_S, stickySessions=True, resumable=False,
        gapAimMs=300,
    )
    store.put('op', 'config', make_configuration([route]))
    runners = [
        Runner(
            store=store, record=record, upstream='engines',
            runner_id=f'i-{number}', slots=32,
        )
        for number in range(2)
    ]
    for runner in runners:
        await runner.start(f'{network}.2')
    deployment = Deployment(
        record=record, store=store, network=network, count=3
    )
    ends = {}
    begun = {}

    async def send_turn(name, vm, program, prefix, previous=None):
        first_at = begun.setdefault(program, record.now())
        finish_ms = 1000 * (first_at + AIM_S - record.now())
        headers = [
            f'Program-Id: {program}', f'Session-Id: s-{program}',
            f'Finish-Ms: {finish_ms:.0f}', 'Token-Budget: 4600', 'Token-Usage: 800,200',
            f'Prompt-Prefix: {prefix}', 'Model: m', 'Deadline-Ms: 3000',
        ]
        if previous:
            headers.append(f'Previous-Turn: {previous}')
        answer = await send_request(
            record, vm.front, request_id=name, path='/chat/x', host=HOST,
            headers=headers, body=f'<{name}>'.encode(),
        )
        if answer.status == 200 and answer.is_whole:
            ends[name] = record.now()
        return answer

    def find_run(name):
        return next(
            (r for q in runners for r in q.runs if r.request_id == name), None
        )

    async def sleep_until(at):
        await asyncio.sleep(max(at - record.now(), 0))

    try:
        started_at = record.now()
        deployment.start()
        await deployment.wait_until_ready()
        await sleep_until(started_at + FIRST_TURN_AT_S)
        await asyncio.sleep(1.0)
        await send_turn('turn-1', deployment.vms[0], 'p1', 'aa:500,b1:300')
        for number, vm in enumerate(deployment.vms):
            gap = number * RESTART_GAP_S
            await sleep_until(ends['turn-1'] + STOP_AFTER_S + gap)
            if trouble:
                vm.signal(signal.SIGTERM)
                await vm.wait_for_end()
                await sleep_until(ends['turn-1'] + START_AFTER_S + gap)
                vm.start()
        await deployment.wait_until_ready()
        await sleep_until(ends['turn-1'] + SECOND_TURN_AFTER_S)
        await send_turn(
            'turn-2', deployment.vms[1], 'p1', 'aa:500,b1:300,b2:100', 'turn-1'
        )
        if find_run('turn-2') is None or 'turn-2' not in ends:
            raise RuntimeError('the second turn was not served')
        await sleep_until(ends['turn-2'] + RETURN_AFTER_S)
        answers = []
        for number in range(TRIES):
            vm = deployment.vms[number % len(deployment.vms)]
            first = await send_turn(
                f'first-{number}', vm, f'f{number}', f'aa:500,c{number}:300'
            )
            answer = await send_turn(
                f'turn-3-{number}', vm, 'p1', 'aa:500,b1:300,b2:100,b3:100',
                'turn-2',
            )
            age = record.now() - ends['turn-2']
            record.write(f'check    the turn continued from is {age:.1f} s old')
            answers.append((first, answer, age))
            await asyncio.sleep(TRY_GAP_S)
        lines = [
            line for vm in deployment.vms for line in vm.read_log().splitlines()
            if 'turn_not_found' in line or 'greenlet_failed' in line
        ]
        for line in lines:
            record.write(f'log      {line[:220]}')
    finally:
        deployment.close()
        for runner in runners:
            runner.stop()
        store.stop()
    body = b'<turn-1>' + _join('turn-1') + b'<turn-2>' + _join('turn-2')
    tried = [item for item in answers if item[2] < RETENTION_S]
    reached = [
        number for number in range(len(tried)) if find_run(f'turn-3-{number}')
    ]
    for number in reached:
        run = find_run(f'turn-3-{number}')
        if run.body != body + f'<turn-3-{number}>'.encode():
            record.write(f'result   turn-3-{number} ran with another body')
    first_served = sum(first.status == 200 for first, _, _ in tried)
    record.write(
        f'result   {len(reached)} of {len(tried)} tries reached a runner, within'
        f' {RETENTION_S:g} s of the end of turn-2; {first_served} of'
        f' {len(tried)} first turns were served at the same time'
    )
    return len(tried) >= 5 and not reached and first_served == len(tried)


def _join(name, events=4):
    return b''.join(b'%b.%d\n' % (name.encode(), n + 1) for n in range(events))


if __name__ == '__main__':
    run_case(main)
