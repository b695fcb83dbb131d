"""Late bytes on a kept connection to a runner become the answer of a client."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'shared-3'))

import standins  # noqa: E402

REQUESTS = 300
# One answer in fifty is followed by bytes that belong to no request.
ANSWERS_PER_FAULT = 50
EXTRA = {
    0: b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok',
    1: b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n',
}


class FaultyRuns:
    """Run requests; a part of the answers is followed by more bytes, late."""

    def __init__(self, world):
        self._world = world
        self._answers = 0
        self._faults = 0
        # The connections on which more bytes are due.
        self._due = {}

    async def __call__(self, runner, request, writer):
        """Answer a request."""
        extra = self._due.pop(writer, None)
        if extra is not None:
            # At the point where the answer to this request is expected.
            writer.write(extra)
            self._world.record.write('extra', request=request.find('request-id'))
            await asyncio.sleep(0.03)
        body = b'done ' + request.body
        writer.write(
            standins.encode_answer('200 OK', runner.own_headers(request), body)
        )
        self._answers += 1
        if self._world.has_trouble and self._answers % ANSWERS_PER_FAULT == 0:
            self._due[writer] = EXTRA[self._faults % len(EXTRA)]
            self._faults += 1
        return True


async def play(world):
    """Send requests one after another; check each answer."""
    run = FaultyRuns(world)
    runners = [
        standins.Runner(
            f'{world.network}.{number}', service='desks', run=run, record=world.record
        )
        for number in (101, 102)
    ]
    configuration = standins.make_configuration(
        [standins.make_route('book', 'non_idempotent', 'desks')],
        [{'name': 'desks', 'maxConnections': 110}],
    )
    await world.start(1, runners, configuration)
    front = world.gateways[0].front
    broken = 0
    for number in range(REQUESTS):
        request_id = standins.make_id()
        body = b'%d' % number
        world.record.write('sent', request=request_id)
        answer = await standins.call(
            front, 'POST', '/book/x',
            (f'Request-Id: {request_id}', 'Deadline-Ms: 3000'), body,
        )
        world.record.write(
            'answered', request=request_id, status=answer.status,
            stamp=answer.headers.find('server-stamp'), body=answer.body.decode(),
        )
        stamp = answer.headers.find('server-stamp')
        runs = [
            one for runner in runners for one in runner.runs
            if one.find('request-id') == request_id
        ]
        if answer.status == 200 and not (
            stamp.endswith(request_id) and answer.body == b'done ' + body
        ):
            broken += 1
            world.record.write('broken', rule='MIXED', request=request_id)
        if answer.status == 503 and not stamp and runs:
            # The same fault breaks this rule too; the verdict is on MIXED alone.
            world.record.write('also broken', rule='REFUSED', request=request_id)
    return standins.BROKEN if broken else standins.HELD


standins.run_case(play, FOLDER)
