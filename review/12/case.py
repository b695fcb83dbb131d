"""A program exceeds its budget when its route moves to another service."""

import asyncio
import sys
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
MAX_TURNS = 30


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


def make_configuration(service):
    """Return a configuration with one route for turns, to a service."""
    engine = {
        'slotCount': 8, 'kvCapacityTokens': 500000, 'pinMs': 4000.0,
        'tokensPerEvent': TOKENS_PER_EVENT,
    }
    return standins.make_configuration(
        [standins.make_route(
            'chat', 'streaming', service, gapAimMs=400, stickySessions=True,
            resumable=False, retainHistory=False, retentionS=60,
        )],
        [{'name': service, 'maxConnections': 200, 'inferenceEngine': engine}],
    )


class Program:
    """The turns of one program, and the tokens that its client got."""

    def __init__(self, world):
        self.tokens = 0
        self._world = world
        self._turns = 0

    async def send_turn(self):
        """Send a turn; return the status."""
        self._turns += 1
        request_id = standins.make_id()
        # The first turn, and then sub-agents whose prompts begin with its prompt.
        prefix = 'aa:600,bb:200'
        if self._turns > 1:
            prefix = f'{prefix},{self._turns:x}:200'
        gateway = self._world.gateways[self._turns % len(self._world.gateways)]
        self._world.record.write('sent', request=request_id, gateway=gateway.name)
        answer = await standins.call(gateway.front, 'POST', '/chat/x', (
            f'Request-Id: {request_id}', 'Program-Id: p1',
            f'Session-Id: s{self._turns}', 'Finish-Ms: 30000',
            f'Token-Budget: {BUDGET}', f'Token-Usage: 1000,{TURN_TOKENS}', 'Model: m',
            f'Prompt-Prefix: {prefix}', 'Deadline-Ms: 3000',
        ), b'input')
        events = answer.body.count(b'\n\n')
        if answer.status == 200:
            self.tokens += events * TOKENS_PER_EVENT
        self._world.record.write(
            'answered', request=request_id, status=answer.status, events=events,
            whole=answer.is_whole, tokens=self.tokens,
        )
        return answer.status


async def play(world):
    """Run sub-agents, move the route meanwhile, and go on until the budget ends."""
    runners = [
        standins.Runner(
            f'{world.network}.{number}', service=service, run=run_turn,
            record=world.record,
        )
        for number, service in ((101, 'engines-a'), (102, 'engines-b'))
    ]
    await world.start(3, runners, make_configuration('engines-a'))
    # Until every gateway has read what the store has.
    await asyncio.sleep(6)
    program = Program(world)
    await program.send_turn()
    turns = [asyncio.create_task(program.send_turn()) for _ in range(SUB_AGENTS)]
    await asyncio.sleep(EVENT_SECONDS)
    if world.has_trouble:
        await world.publish(make_configuration('engines-b'))
    await asyncio.gather(*turns)
    # A gateway may use the former service until the deadline of a change.
    await asyncio.sleep(2)
    for _ in range(MAX_TURNS):
        status = await program.send_turn()
        if status == 402:
            break
        await asyncio.sleep(0.05 if status == 200 else 1)
    bound = BUDGET + TURN_TOKENS
    world.record.write('end', tokens=program.tokens, bound=bound)
    return standins.BROKEN if program.tokens > bound else standins.HELD


standins.run_case(play, FOLDER)
