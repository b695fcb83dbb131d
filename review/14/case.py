"""A program exceeds its budget after a loss of all gateways in an outage."""

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
EVENT_SECONDS = 0.02
# The longest outage of the site is 7.0 s.
OUTAGE_SECONDS = 6.5
KILL_AFTER_SECONDS = 3.0
# A turn that failed is sent again twice, and each has one retry.
TRIES = 6
# The program that was stopped returns so long after the store.
RETURN_SECONDS = 2.0
END_SECONDS = 30


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
    """Return a configuration with one route for turns."""
    engine = {
        'slotCount': 8, 'kvCapacityTokens': 500000, 'pinMs': 4000.0,
        'tokensPerEvent': TOKENS_PER_EVENT,
    }
    return standins.make_configuration(
        [standins.make_route(
            'chat', 'streaming', 'engines', gapAimMs=400, stickySessions=True,
            resumable=False, retainHistory=False, retentionS=60,
        )],
        [{'name': 'engines', 'maxConnections': 200, 'inferenceEngine': engine}],
    )


class Program:
    """A program that loops: one line of turns, until it is told to stop."""

    def __init__(self, world):
        self.tokens = 0
        self.is_spent = False
        self._world = world
        self._turns = 0
        self._session_tokens = 200

    async def run(self, seconds):
        """Send turns for a time, one after the other, until one fails."""
        end = asyncio.get_running_loop().time() + seconds
        failed = 0
        while (
            not self.is_spent
            and failed < TRIES
            and asyncio.get_running_loop().time() < end
        ):
            status = await self._send_turn()
            failed = 0 if status == 200 else failed + 1
            await asyncio.sleep(0.02 if status == 200 else 0.35)

    async def _send_turn(self):
        self._turns += 1
        request_id = standins.make_id()
        gateway = self._world.gateways[self._turns % len(self._world.gateways)]
        self._world.record.write('sent', request=request_id, gateway=gateway.name)
        # The last part of a prompt belongs to its session, and grows with it.
        answer = await standins.call(gateway.front, 'POST', '/chat/x', (
            f'Request-Id: {request_id}', 'Program-Id: p1', 'Session-Id: s1',
            'Finish-Ms: 30000', f'Token-Budget: {BUDGET}',
            f'Token-Usage: {600 + self._session_tokens},{TURN_TOKENS}', 'Model: m',
            f'Prompt-Prefix: aa:600,bb:{self._session_tokens}', 'Deadline-Ms: 3000',
        ), b'input')
        events = answer.body.count(b'\n\n')
        if answer.status == 200:
            self.tokens += events * TOKENS_PER_EVENT
            self._session_tokens += TURN_TOKENS
        self.is_spent = answer.status == 402
        self._world.record.write(
            'answered', request=request_id, status=answer.status, events=events,
            whole=answer.is_whole, tokens=self.tokens,
        )
        return answer.status


async def play(world):
    """Stop the store, run the program, kill all gateways, and go on."""
    runner = standins.Runner(
        f'{world.network}.101', service='engines', run=run_turn, record=world.record
    )
    await world.start(3, [runner], make_configuration())
    # Until every gateway has read what the store has.
    await asyncio.sleep(6)
    program = Program(world)
    if world.has_trouble:
        clock = asyncio.get_running_loop().time
        down_at = clock()
        world.store.refuses = lambda topic, part: True
        world.record.write('the store is down')
        await asyncio.sleep(0.5)
        await program.run(KILL_AFTER_SECONDS - 0.5)
        await asyncio.sleep(max(down_at + KILL_AFTER_SECONDS - clock(), 0))
        await asyncio.gather(*(gateway.kill() for gateway in world.gateways))
        world.record.write('all gateways are killed', tokens=program.tokens)
        for gateway in world.gateways:
            await gateway.start()
        await asyncio.sleep(max(down_at + OUTAGE_SECONDS - clock(), 0))
        world.store.refuses = lambda topic, part: False
        seconds = round(clock() - down_at, 3)
        world.record.write('the store is back', tokens=program.tokens, after=seconds)
        await asyncio.sleep(RETURN_SECONDS)
    await program.run(END_SECONDS)
    bound = BUDGET + TURN_TOKENS
    world.record.write('end', tokens=program.tokens, bound=bound)
    return standins.BROKEN if program.tokens > bound else standins.HELD


standins.run_case(play, FOLDER)
