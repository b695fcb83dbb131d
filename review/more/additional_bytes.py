"""A faulty runner that sends additional bytes after a complete response."""

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

# One of the two runners spoils one of so many of its responses.
SPOILED = 50
REQUESTS = 400
ADDITIONAL = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 8\r\n\r\n'
    b'leftover'
)


class FaultyRunner(Runner):
    """Sends additional bytes after some responses, before it reads on."""

    is_faulty = False
    _answered = 0

    async def _answer(self, writer, first, headers, body):
        if getattr(writer, 'owes', False):
            writer.owes = False
            self._record.write(f'bytes    additional ones from {self.runner_id}')
            writer.write(ADDITIONAL)
        await super()._answer(writer, first, headers, body)
        self._answered += 1
        writer.owes = self.is_faulty and self._answered % SPOILED == 0


async def main(record, trouble):
    network = choose_network()
    store = Store()
    await store.start(f'{network}.1')
    route = make_route('r-book', '/book/', 'non_idempotent', 'desks', attempts=1)
    store.put('op', 'config', make_configuration([route]))
    runners = [
        FaultyRunner(
            store=store, record=record, upstream='desks', runner_id=f'i-{number}'
        )
        for number in range(2)
    ]
    runners[0].is_faulty = trouble
    for runner in runners:
        await runner.start(f'{network}.2')
    deployment = Deployment(
        record=record, store=store, network=network, count=2
    )
    answers = {}

    async def send_one(number):
        name = f'book-{number}'
        vm = deployment.vms[number % len(deployment.vms)]
        answers[name] = await send_request(
            record, vm.front, request_id=name, path='/book/x',
            host=HOST, headers=('Deadline-Ms: 2000',), body=b'{}',
        )

    try:
        deployment.start()
        await deployment.wait_until_ready()
        await asyncio.sleep(1.5)
        numbers = itertools.count()
        for _ in range(REQUESTS // 4):
            await asyncio.gather(*(send_one(next(numbers)) for _ in range(4)))
            await asyncio.sleep(0.02)
    finally:
        deployment.close()
        for runner in runners:
            runner.stop()
        store.stop()
    served = [name for name, answer in answers.items() if answer.status == 200]
    if len(served) < REQUESTS // 2:
        raise RuntimeError('requests are not served')
    mixed = [n for n in served if 'server-stamp' not in answers[n].headers]
    for name in mixed:
        record.write(
            f'result   {name} got 200 without a Server-Stamp, body'
            f' {answers[name].body!r}'
        )
    record.write(f'result   {len(mixed)} of {len(served)} successes are foreign')
    return bool(mixed)


if __name__ == '__main__':
    run_case(main)
