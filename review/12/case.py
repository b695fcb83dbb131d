"""Kept turns reach no runner any more after one home was killed."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'shared-3'))

import standins  # noqa: E402

GATEWAYS = 3
PROGRAMS = 24
BUDGET = 800
TURN_TOKENS = 100
# Turns use a quarter of their most.
TOKENS_PER_EVENT = 25
# The pause of the site between two events, or the last one and the end.
PAUSE_SECONDS = 0.3
SUB_AGENTS = 4
# When all sub-agents have their only event, and none has ended.
KILL_SECONDS = 0.2
CONTACT_SECONDS = 3.0
# A turn that failed is sent again twice, and each has one retry.
TRIES = 6
LOST_TRIES = 5
# Twice the time on idle runners: 25 turns of 0.32 s and the tools, 7 s.
FINISH_SECONDS = 30
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


class Program:
    """A program that sends turns until its budget is spent or a turn fails."""

    def __init__(self, world, gateways, name):
        self.name = name
        self.tokens = 0
        self.is_spent = False
        # Tries of the turn that failed, all of which reached no runner.
        self.lost_tries = 0
        self._world = world
        self._gateways = gateways
        self._begun_at = time.monotonic()
        self._turn = ''

    async def begin(self):
        """Send the first turn."""
        self._turn = await self.run_turn('', '0')

    async def run_sub_agents(self):
        """Run one turn of each sub-agent at the same time, at all gateways by turns."""
        await asyncio.gather(*(
            self.run_turn(self._turn, f'a{agent}', agent)
            for agent in range(SUB_AGENTS)
        ))

    async def go_on(self):
        """Send turn after turn until the budget is spent or a turn fails."""
        while self._turn and not self.is_spent:
            self._turn = await self.run_turn(self._turn, '0')

    async def run_turn(self, previous, line, number=0):
        """Send a turn until it is whole, a few times; return its id or nothing."""
        unreached = 0
        for trial in range(TRIES):
            gateway = self._gateways[(number + trial) % len(self._gateways)]
            turn, answer, has_run = await self.send_turn(gateway, previous, line)
            if answer.status == 200 and answer.is_whole:
                return turn
            if time.monotonic() - self._begun_at < FINISH_SECONDS:
                unreached = 0 if has_run else unreached + 1
            if answer.status == 402:
                self.is_spent = True
            if answer.status in {400, 401, 402, 403, 404, 413}:
                return ''
            await asyncio.sleep(random.uniform(0.3, 0.4))
        self.lost_tries = unreached
        return ''

    async def send_turn(self, gateway, previous, line):
        """Send a turn once; return its id, the answer and whether it has run."""
        request_id = standins.make_id()
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
    """Kill a gateway that no client uses while programs run; see how these end."""
    runners = [
        standins.Runner(
            f'{world.network}.{number}', service='engines', run=run_turn,
            record=world.record, slots=32,
        )
        for number in (101, 102, 103, 104)
    ]
    await world.start(GATEWAYS, runners, make_configuration(), parts=12)
    await asyncio.sleep(6)
    killed, *others = world.gateways
    programs = [Program(world, others, f'{number:x}c') for number in range(PROGRAMS)]
    await asyncio.gather(*(program.begin() for program in programs))
    agents = [asyncio.create_task(program.run_sub_agents()) for program in programs]
    if world.has_trouble:
        await asyncio.sleep(KILL_SECONDS)
        world.record.write('one gateway is killed', gateway=killed.name)
        await killed.kill()
        await killed.start()
    await asyncio.gather(*agents)
    await killed.wait_until_ready(GATEWAYS)
    world.record.write('all gateways are ready')
    await asyncio.sleep(CONTACT_SECONDS + 0.5)
    await asyncio.gather(*(program.go_on() for program in programs))
    reached = 0
    for number in range(CONTROLS):
        control = Program(world, others, f'e{number}')
        _, _, has_run = await control.send_turn(others[0], '', '0')
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
