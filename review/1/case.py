"""An entry that can't be read, by another writer, and then a planned release."""

import asyncio
import itertools
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

DRAIN_TIMEOUT_S = 2.0
# How long the old runners serve on after they have reported draining.
LINGER_S = 4.0
RELEASE_GAP_S = 2.0
# Bytes that can't be read: cut off inside a list.
UNREADABLE = b'{"extra":' + b'[' * 4000


async def main(record, trouble):
    network = choose_network()
    store = Store()
    await store.start(f'{network}.1')
    route = make_route('r-book', '/book/', 'non_idempotent', 'desks', attempts=1)
    store.put('op', 'config', make_configuration([route]))
    runners = {
        name: Runner(
            store=store, record=record, upstream='desks', runner_id=name
        )
        for name in ('i-old-1', 'i-old-2', 'i-new-1', 'i-new-2')
    }
    old = [runners['i-old-1'], runners['i-old-2']]
    new = [runners['i-new-1'], runners['i-new-2']]
    for runner in old:
        await runner.start(f'{network}.2')
    deployment = Deployment(
        record=record, store=store, network=network, count=3
    )
    numbers = itertools.count(1)
    results = []
    drained_at = {}
    sends = []

    async def send_one():
        number = next(numbers)
        vm = deployment.vms[number % len(deployment.vms)]
        sent_at = record.now()
        answer = await send_request(
            record, vm.front, request_id=f'book-{number}', path='/book/x',
            host=HOST, headers=('Deadline-Ms: 2000',), body=b'{}',
        )
        results.append((f'book-{number}', sent_at, answer))

    async def send_for(seconds):
        end = record.now() + seconds
        while record.now() < end:
            sends.append(asyncio.ensure_future(send_one()))
            await asyncio.sleep(0.1)

    try:
        deployment.start()
        await deployment.wait_until_ready()
        await asyncio.sleep(1.5)
        await send_for(1.0)
        await asyncio.gather(*sends)
        if not all(answer.status == 200 for _, _, answer in results):
            raise RuntimeError('requests are not served before the disruption')
        if trouble:
            store.put('servers', 'i-other', UNREADABLE)
            record.write('entry    i-other written by another writer, unreadable')
        await send_for(1.0)
        for runner in new:
            await runner.start(f'{network}.2')
            record.write(f'entry    {runner.runner_id} ready')
        await send_for(2.5)
        # One after the other, each a share of 0.5 of the old runners.
        for runner in old:
            runner.state = 'draining'
            runner.write_entry()
            drained_at[runner] = record.now()
            record.write(f'entry    {runner.runner_id} draining')
            await send_for(RELEASE_GAP_S)
        await send_for(LINGER_S - RELEASE_GAP_S)
        for runner in old:
            runner.remove_entry()
            runner.stop()
            record.write(f'end      {runner.runner_id}, entry removed')
        gone_at = record.now()
        await send_for(6.0)
        await asyncio.gather(*sends)
    finally:
        deployment.close()
        for runner in (*old, *new):
            if runner.address:
                runner.stop()
        store.stop()
    sent_at_by_id = {request_id: sent_at for request_id, sent_at, _ in results}
    late = [
        run
        for runner in old
        for run in runner.runs
        if run.at > drained_at[runner] + DRAIN_TIMEOUT_S
        and sent_at_by_id[run.request_id] > drained_at[runner] + DRAIN_TIMEOUT_S
    ]
    after = [answer for _, sent_at, answer in results if sent_at > gone_at + 1.0]
    served = sum(answer.status == 200 for answer in after)
    record.write(
        f'result   {len(late)} requests run by draining runners later than'
        f' {DRAIN_TIMEOUT_S} s after their report'
    )
    record.write(
        f'result   {served} of {len(after)} requests served after the old runners'
        ' have ended, while two new runners are registered as ready'
    )
    return bool(late)


if __name__ == '__main__':
    run_case(main)
