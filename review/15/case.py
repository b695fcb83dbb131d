"""Requests reach a runner that left before an outage of the store, after it."""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'shared-3'))

import standins  # noqa: E402

GATEWAYS = 3
OUTAGE_SECONDS = 4.2
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
# The runner serves for so long after its entry was removed.
SERVING_SECONDS = 10.0
REQUEST_SECONDS = 0.006
WORK_SECONDS = 0.01


async def run_plain(runner, request, writer):
    """Run a request."""
    await asyncio.sleep(WORK_SECONDS)
    writer.write(standins.encode_answer('200 OK', runner.own_headers(request), b'done'))
    return True


async def send(world, sent_at):
    """Send a request to any gateway."""
    request_id = standins.make_id()
    gateway = random.choice(world.gateways)
    sent_at[request_id] = time.monotonic()
    world.record.write('sent', request=request_id, gateway=gateway.name)
    answer = await standins.call(
        gateway.front, 'GET', '/look/x',
        (f'Request-Id: {request_id}', 'Deadline-Ms: 1200'),
    )
    world.record.write('answered', request=request_id, status=answer.status)


async def play(world):
    """Let a runner leave, then the store be silent; look who gets requests."""
    runners = [
        standins.Runner(
            f'{world.network}.{number}', service='desks', run=run_plain,
            record=world.record, slots=6,
        )
        for number in range(101, 108)
    ]
    configuration = standins.make_configuration(
        [standins.make_route('look', 'idempotent', 'desks', timeoutMs=1200, attempts=2)],
        [{'name': 'desks', 'maxConnections': 110}],
    )
    await world.start(GATEWAYS, runners, configuration)
    await asyncio.sleep(CONTACT_SECONDS + 1 + random.random())
    sent_at, tasks = {}, []
    leaver = runners[0]
    await leaver.leave(world.store)
    left_at = time.monotonic()
    world.record.write('a runner has left', runner=leaver.id)
    back_at = left_at
    if world.has_trouble:
        # Before a gateway has read that the entry is gone, which takes up to 0.4 s.
        world.store.is_silent = True
        silent_at = time.monotonic()
        world.record.write('the store is silent')
        back_at = silent_at + OUTAGE_SECONDS
    while time.monotonic() < left_at + SERVING_SECONDS:
        if world.store.is_silent and time.monotonic() >= back_at:
            world.store.is_silent = False
            back_at = time.monotonic()
            world.record.write('the store is back', after=round(back_at - silent_at, 3))
        tasks.append(asyncio.create_task(send(world, sent_at)))
        await asyncio.sleep(REQUEST_SECONDS)
    await asyncio.gather(*tasks)
    # From then on all gateways are in touch, and the runner is gone for long.
    judged_from = max(back_at + CONTACT_SECONDS, left_at + DRAIN_SECONDS)
    late = [
        round(sent_at[run.find('request-id')] - back_at, 3)
        for run in leaver.runs
        if sent_at.get(run.find('request-id'), 0) > judged_from
    ]
    world.record.write('end', late_requests=len(late), seconds_after_return=late[-20:])
    return standins.BROKEN if late else standins.HELD


standins.run_case(play, FOLDER)
