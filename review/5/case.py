"""A runner leaves just after a machine has been stopped and started by plan."""

import asyncio
import itertools
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

# One of seven is taken away, a share of 0.14.
RUNNERS = 7
DRAIN_TIMEOUT_S = 2.0
CONTACT_S = 3.0
# From the first list of runners that the machine reads to the removal.
LEAVES_AFTER_S = 0.2
# How long the runner serves on after its entry is removed.
LINGER_S = 2.68
WORK_S = 0.15


class WatchedStore(Store):
    """Tells when a machine lists the runners, which it does at its start."""

    def __init__(self):
        super().__init__()
        self.listed = asyncio.Event()

    def _list_newest(self, records, query):
        if query['topicName'] == 'keyed.servers':
            self.listed.set()
        return super()._list_newest(records, query)


async def main(record, trouble):
    network = choose_network()
    store = WatchedStore()
    await store.start(f'{network}.1')
    route = make_route('r-book', '/book/', 'non_idempotent', 'desks', attempts=1)
    store.put('op', 'config', make_configuration([route]))
    runners = [
        Runner(
            store=store, record=record, upstream='desks',
            runner_id=f'i-{number}', work_s=WORK_S,
        )
        for number in range(RUNNERS)
    ]
    for runner in runners:
        await runner.start(f'{network}.2')
    deployment = Deployment(
        record=record, store=store, network=network, count=3
    )
    restarted = deployment.vms[0]
    leaving = runners[0]
    numbers = itertools.count(1)
    sent_at = {}
    answers = {}
    sends = []

    async def send_one():
        name = f'book-{next(numbers)}'
        sent_at[name] = record.now()
        answers[name] = await send_request(
            record, restarted.front, request_id=name, path='/book/x',
            host=HOST, headers=('Deadline-Ms: 2000',), body=b'{}',
        )

    try:
        deployment.start()
        await deployment.wait_until_ready()
        await asyncio.sleep(4.0)
        if trouble:
            restarted.signal(signal.SIGTERM)
            await restarted.wait_for_end()
            store.listed.clear()
            restarted.start()
            started_at = record.now()
            await store.listed.wait()
        else:
            started_at = record.now() - CONTACT_S
        await asyncio.sleep(LEAVES_AFTER_S)
        leaving.remove_entry()
        removed_at = record.now()
        record.write(f'entry    {leaving.runner_id} removed, it never drains')
        while record.now() < removed_at + LINGER_S:
            if record.now() > removed_at + 2.0:
                sends.append(asyncio.ensure_future(send_one()))
            await asyncio.sleep(0.005)
        leaving.stop()
        record.write(f'end      {leaving.runner_id}')
        await asyncio.gather(*sends)
    finally:
        deployment.close()
        for runner in runners:
            runner.stop()
        store.stop()
    served = sum(answer.status == 200 for answer in answers.values())
    if served < len(answers) // 2:
        raise RuntimeError('requests are not served')
    late = [
        run
        for run in leaving.runs
        if run.at > removed_at + DRAIN_TIMEOUT_S
        and sent_at[run.request_id] > started_at + CONTACT_S
    ]
    for run in late:
        record.write(
            f'result   {run.request_id} reached {leaving.runner_id}'
            f' {run.at - removed_at:.3f} s after the removal; the machine had'
            f' run for {sent_at[run.request_id] - started_at:.3f} s when it was'
            f' sent; answer {answers[run.request_id].status}'
        )
    record.write(f'result   {len(late)} requests reached the runner too late')
    return bool(late)


if __name__ == '__main__':
    run_case(main)
