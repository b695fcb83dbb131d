"""A kept turn reaches no runner any more after one gateway was killed."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'shared-3'))

import standins  # noqa: E402

BUDGET = 800
EVENTS = 4
TOKENS_PER_EVENT = 25
TURN_TOKENS = EVENTS * TOKENS_PER_EVENT
EVENT_SECONDS = 0.15
SUB_AGENTS = 4
# A turn that failed is sent again twice, and each has one retry.
TRIES = 6
LOST_TRIES = 5
CONTACT_SECONDS = 3.0
# The tools of the program take longer than that, by so much.
TOOL_SECONDS = 1.5
CONTROLS = 20
# Twice the time on idle runners: five turns of 0.6 s and the tools, 4.5 s.
FINISH_SECONDS = 15


async def run_turn(runner, request, writer):
    """Run a turn: a stream of events, in chunks."""
    headers = [*runner.own_headers(request), 'Transfer-Encoding: chunked']
    writer.write('\r\n'.join(['HTTP/1.1 200 OK', *headers, '', '']).encode())
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(EVENT_SECONDS)
        event = b'id: %d\ndata: %s\n\n' % (number, b't' * TOKENS_PER_EVENT)
        writer.write(b'%x\r\n%s\r\n' % (len(event), event))
        await writer.drain()
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
    """A program; its turns keep their history."""

    def __init__(self, world, name):
        self.tokens = 0
        self._world = world
        self._name = name
        self._begun_at = time.monotonic()

    async def send_turn(self, gateway, previous='', line='1'):
        """Send a turn once; return its id, the answer and whether it has run."""
        request_id = standins.make_id()
        left = FINISH_SECONDS - (time.monotonic() - self._begun_at)
        headers = [
            f'Request-Id: {request_id}', f'Program-Id: {self._name}',
            f'Session-Id: {self._name}-{line}', f'Finish-Ms: {left * 1000:.0f}',
            f'Token-Budget: {BUDGET}', f'Token-Usage: 800,{TURN_TOKENS}', 'Model: m',
            f'Prompt-Prefix: aa:600,{self._name}{line}:200', 'Deadline-Ms: 3000',
        ]
        if previous:
            headers.append(f'Previous-Turn: {previous}')
        self._world.record.write(
            'sent', request=request_id, gateway=gateway.name, previous=previous
        )
        answer = await standins.call(
            gateway.front, 'POST', '/chat/x', headers, b'input'
        )
        events = answer.body.count(b'\n\n') if answer.status == 200 else 0
        self.tokens += events * TOKENS_PER_EVENT
        has_run = any(
            run.find('request-id') == request_id
            for runner in self._world.runners for run in runner.runs
        )
        code = ''
        if answer.status not in {0, 200}:
            code = json.loads(answer.body or b'{}').get('error', {}).get('code', '')
        self._world.record.write(
            'answered', program=self._name, request=request_id, status=answer.status,
            code=code, events=events, whole=answer.is_whole, ran=has_run,
            tokens=self.tokens,
        )
        return request_id, answer, has_run

    async def run_turn(self, gateways, previous='', line='1'):
        """Send a turn until it is whole, a few times; return its id or nothing.

        The second value tells how often it was sent without reaching a runner.
        """
        unreached = 0
        for number in range(TRIES):
            gateway = gateways[number % len(gateways)]
            turn, answer, has_run = await self.send_turn(gateway, previous, line)
            if answer.is_whole and answer.status == 200:
                return turn, unreached
            if time.monotonic() - self._begun_at < FINISH_SECONDS:
                unreached = 0 if has_run else unreached + 1
            if answer.status in {400, 401, 402, 403, 404, 413}:
                return '', 0
            await asyncio.sleep(0.35)
        return '', unreached


async def play(world):
    """Kill the gateway that serves the sub-agents, once, and go on."""
    runners = [
        standins.Runner(
            f'{world.network}.{number}', service='engines', run=run_turn,
            record=world.record, slots=32,
        )
        for number in (101, 102)
    ]
    await world.start(3, runners, make_configuration())
    await asyncio.sleep(6)
    first, *others = world.gateways
    program = Program(world, 'b1')
    turn, _ = await program.run_turn(others)
    agents = [
        asyncio.create_task(
            program.run_turn([first, *others], previous=turn, line=f'a{number}')
        )
        for number in range(SUB_AGENTS)
    ]
    if world.has_trouble:
        await asyncio.sleep(1.5 * EVENT_SECONDS)
        await first.kill()
        world.record.write('one gateway is killed', gateway=first.name)
        await first.start()
    await asyncio.gather(*agents)
    await first.wait_until_ready(3)
    world.record.write('ready', gateway=first.name)
    # Tools of the program; the disruption is further back than contactMs then.
    await asyncio.sleep(CONTACT_SECONDS + TOOL_SECONDS)
    lost = False
    while turn and not lost:
        following, unreached = await program.run_turn(others, previous=turn)
        lost = unreached >= LOST_TRIES
        turn = following
    reached = 0
    for number in range(CONTROLS):
        _, _, has_run = await Program(world, f'c{number}').send_turn(others[0])
        reached += has_run
    world.record.write(
        'end', lost=lost, tokens=program.tokens, budget=BUDGET,
        first_turns=CONTROLS, reached=reached,
    )
    is_broken = lost and reached >= 0.9 * CONTROLS
    return standins.BROKEN if is_broken else standins.HELD


standins.run_case(play, FOLDER)
