"""Kept turns reach no runner any more after gateways were restarted by plan."""

import asyncio
import json
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'shared-3'))

import standins  # noqa: E402

GATEWAYS = 5
PROGRAMS = 40
ROLLS = 2
BUDGET = 800
TURN_TOKENS = 100
# Turns use a quarter of their most.
TOKENS_PER_EVENT = 25
# The pause of the site between two events, or the last one and the end.
PAUSE_SECONDS = 0.3
MAX_SUB_AGENTS = 4
ROLL_GAP_SECONDS = 2.0
DOWN_SECONDS = 0.3
# For so long clients use a gateway that got SIGTERM.
RESOLVED_SECONDS = 2.0
CONTACT_SECONDS = 3.0
# A turn that failed is sent again twice, and each has one retry.
TRIES = 6
LOST_TRIES = 5
FINISH_SECONDS = 60
CONTROLS = 20


async def run_turn(runner, request, writer):
    """Run a turn: a stream of one event, in chunks."""
    headers = [*runner.own_headers(request), 'Transfer-Encoding: chunked']
    writer.write('\r\n'.join(['HTTP/1.1 200 OK', *headers, '', '']).encode())
    await asyncio.sleep(0.02)
    event = b'id: 1\ndata: %s\n\n' % (b't' * TOKENS_PER_EVENT)
    writer.write(b'%x\r\n%s\r\n' % (len(event), event))
    await writer.drain()
    await asyncio.sleep(PAUSE_SECONDS)
    writer.write(b'0\r\n\r\n')
    return True


def make_configuration():
    """Return a configuration with one route for turns that are kept."""
    engine = {
        'slotCount': 32, 'kvCapacityTokens': 1000000, 'pinMs': 4000.0,
        'tokensPerEvent': TOKENS_PER_EVENT,
    }
    return standins.make_configuration(
        [standins.make_route(
            'chat', 'streaming', 'engines', gapAimMs=300, stickySessions=True,
            resumable=False, retainHistory=True, retentionS=60, attempts=2,
        )],
        [{'name': 'engines', 'maxConnections': 250, 'inferenceEngine': engine}],
    )


class Fleet:
    """The gateways that clients use now, and since when all are in touch."""

    def __init__(self, world):
        self.used = list(world.gateways)
        self.in_touch_at = time.monotonic()
        self._world = world

    async def roll(self):
        """Stop each gateway with SIGTERM and start it again, one after another.

        They are restarted in turn so many times.
        """
        restarts = []
        for gateway in self._world.gateways * ROLLS:
            restarts.append(asyncio.create_task(self._restart(gateway)))
            await asyncio.sleep(ROLL_GAP_SECONDS)
        await asyncio.gather(*restarts)
        self.in_touch_at = time.monotonic() + CONTACT_SECONDS
        self._world.record.write('all gateways are ready')

    async def _restart(self, gateway):
        self._world.record.write('SIGTERM', gateway=gateway.name)
        leaving = asyncio.create_task(self._forget(gateway))
        await gateway.kill(signal.SIGTERM)
        await leaving
        await asyncio.sleep(DOWN_SECONDS)
        await gateway.start()
        await gateway.wait_until_ready(1)
        self.used.append(gateway)

    async def _forget(self, gateway):
        await asyncio.sleep(RESOLVED_SECONDS)
        self.used.remove(gateway)


class Program:
    """A program that sends turns until its budget is spent or a turn fails."""

    def __init__(self, world, fleet, name):
        self.name = name
        self.tokens = 0
        self.is_spent = False
        # Tries of the turn that failed, all of which reached no runner.
        self.lost_tries = 0
        self._world = world
        self._fleet = fleet
        self._begun_at = time.monotonic()

    async def run(self, calls_sub_agents):
        """Send turn after turn, some with sub-agents, as long as they are asked for."""
        turn = await self.run_turn('', '0')
        number = 0
        while turn and not self.is_spent:
            number += 1
            if calls_sub_agents():
                await asyncio.gather(*(
                    self.run_turn(turn, f'{number}a{agent}')
                    for agent in range(random.randint(2, MAX_SUB_AGENTS))
                ))
                # The program calls its tools.
                await asyncio.sleep(random.uniform(0.5, 1))
            turn = await self.run_turn(turn, '0')

    async def run_turn(self, previous, line):
        """Send a turn until it is whole, a few times; return its id or nothing."""
        unreached = 0
        begun_at = time.monotonic()
        for _ in range(TRIES):
            turn, answer, has_run = await self.send_turn(previous, line)
            if answer.status == 200 and answer.is_whole:
                return turn
            unreached = 0 if has_run else unreached + 1
            if answer.status == 402:
                self.is_spent = True
            if answer.status in {400, 401, 402, 403, 404, 413}:
                return ''
            await asyncio.sleep(random.uniform(0.3, 0.4))
        if begun_at > self._fleet.in_touch_at and previous:
            self.lost_tries = max(self.lost_tries, unreached)
        return ''

    async def send_turn(self, previous, line):
        """Send a turn once; return its id, the answer and whether it has run."""
        request_id = standins.make_id()
        gateway = random.choice(self._fleet.used)
        left = FINISH_SECONDS - (time.monotonic() - self._begun_at)
        headers = [
            f'Request-Id: {request_id}', f'Program-Id: {self.name}',
            f'Session-Id: {self.name}-{line}', f'Finish-Ms: {left * 1000:.0f}',
            f'Token-Budget: {BUDGET}', f'Token-Usage: 800,{TURN_TOKENS}', 'Model: m',
            f'Prompt-Prefix: aa:600,{self.name}{line}:200', 'Deadline-Ms: 3000',
        ]
        if previous:
            headers.append(f'Previous-Turn: {previous}')
        self._world.record.write(
            'sent', program=self.name, request=request_id, gateway=gateway.name
        )
        answer = await standins.call(
            gateway.front, 'POST', '/chat/x', headers, b'input'
        )
        events = answer.body.count(b'\n\n') if answer.status == 200 else 0
        self.tokens += events * TOKENS_PER_EVENT
        has_run = any(
            request_id in runner.run_ids for runner in self._world.runners
        )
        code = ''
        if answer.status not in {0, 200}:
            code = json.loads(answer.body or b'{}').get('error', {}).get('code', '')
        self._world.record.write(
            'answered', program=self.name, request=request_id, status=answer.status,
            code=code, events=events, whole=answer.is_whole, ran=has_run,
            tokens=self.tokens,
        )
        return request_id, answer, has_run


async def play(world):
    """Restart the gateways in turn while programs run; see how these end."""
    runners = [
        standins.Runner(
            f'{world.network}.{number}', service='engines', run=run_turn,
            record=world.record, slots=32,
        )
        for number in (101, 102, 103, 104)
    ]
    await world.start(GATEWAYS, runners, make_configuration(), parts=4)
    await asyncio.sleep(6)
    fleet = Fleet(world)
    rolls = []
    if world.has_trouble:
        rolls.append(asyncio.create_task(fleet.roll()))
    roll_seconds = ROLL_GAP_SECONDS * GATEWAYS * ROLLS
    calm_at = time.monotonic() + roll_seconds + 3
    programs = []

    async def run_later(number):
        await asyncio.sleep(number * roll_seconds / PROGRAMS)
        program = Program(world, fleet, f'{number:x}c')
        programs.append(program)
        await program.run(lambda: time.monotonic() < calm_at)

    await asyncio.gather(*map(run_later, range(PROGRAMS)), *rolls)
    await asyncio.sleep(max(fleet.in_touch_at - time.monotonic(), 0))
    reached = 0
    for number in range(CONTROLS):
        _, _, has_run = await Program(world, fleet, f'e{number}').send_turn('', '0')
        reached += has_run
    # A turn at its most fits into what their clients have not got.
    lost = {
        program.name: program.tokens
        for program in programs
        if program.lost_tries >= LOST_TRIES
        and program.tokens + TURN_TOKENS <= BUDGET
    }
    world.record.write(
        'end', lost=lost, spent=sum(program.is_spent for program in programs),
        programs=len(programs), first_turns=CONTROLS, reached=reached,
    )
    is_broken = lost and reached >= 0.9 * CONTROLS
    return standins.BROKEN if is_broken else standins.HELD


standins.run_case(play, FOLDER)
