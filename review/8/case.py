"""All machines are killed while turns are under way; the programs go on."""

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'shared-2'))

import harness  # noqa: E402

VMS = 5
PROGRAMS = 8
TURN_TOKENS = 800
TOKENS_PER_EVENT = 25
EVENTS = TURN_TOKENS // TOKENS_PER_EVENT
TURNS = 8
BUDGET = TURNS * TURN_TOKENS
DARK_S = 2.0
# After the kill, longer than contactMs.
CALM_S = 4.0
SLOW = 'slow'


class Program:
    """A program with one line of turns; the system keeps what was said."""

    def __init__(self, world, number):
        self.world = world
        self.program_id = f'p{number:02d}{random.randrange(16**8):08x}'
        self.whole = []
        self.events = 0
        self.lost_tries = 0

    @property
    def tokens(self):
        return self.events * TOKENS_PER_EVENT

    async def run_turns(self, count):
        for _ in range(count):
            if not await self.run_turn():
                return

    async def run_turn(self):
        """Send a turn, three times at most, each with one retry of the client."""
        tries = 0
        for _ in range(3):
            for _ in range(2):
                gateway = random.choice(self.world.gateways)
                answer = await self.try_turn(gateway)
                tries += 1
                if answer.status == 200 and answer.is_whole:
                    return True
                if answer.status != 503:
                    break
                back_s = float(answer.get('Retry-After') or 0.1)
                await asyncio.sleep(min(back_s, 1.0))
            if answer.status == 402:
                return False
            await asyncio.sleep(random.uniform(0.1, 0.4))
        self.lost_tries = max(self.lost_tries, tries)
        return False

    async def try_turn(self, gateway, body=b'input'):
        request_id = f'{random.randrange(16**16):016x}'
        parts = ['5c1e07a2:12600']
        parts += [
            f'{self.program_id[3:]}{number:02x}:100' for number in range(len(self.whole) + 1)
        ]
        headers = [
            ('Request-Id', request_id),
            ('Model', 'm'),
            ('Program-Id', self.program_id),
            ('Session-Id', 's0'),
            ('Finish-Ms', 60000),
            ('Token-Budget', BUDGET),
            ('Token-Usage', f'1840,{TURN_TOKENS}'),
            ('Prompt-Prefix', ','.join(parts)),
            ('Deadline-Ms', 3000),
        ]
        if self.whole:
            headers.append(('Previous-Turn', self.whole[-1]))
        answer = await harness.ask_once(
            gateway.front, 'POST', '/kept/x', headers, body, seconds=4
        )
        events = answer.body.count(b'\n\n')
        if answer.status == 200:
            self.events += events
            if answer.is_whole:
                self.whole.append(request_id)
        self.world.record.add(
            f'{self.program_id} turn {len(self.whole) + (answer.status != 200)}'
            f' {request_id} at {gateway.name}: {answer.status or answer.error},'
            f' {events} events, {self.tokens} of {BUDGET} tokens handed out'
            f' {answer.body[:110] if answer.status != 200 else ""}'
        )
        return answer


def answer_turn(world):
    """Return work that begins late if the input says so."""
    quick = harness.answer_stream(EVENTS, 0.002)

    async def work(runner, request, reader, writer, connection):
        if request.body.endswith(SLOW.encode()):
            await asyncio.sleep(2.0)
        await quick(runner, request, reader, writer, connection)

    return work


def make_configuration():
    configuration = harness.make_configuration()
    for route in configuration['routes']:
        if route['routeType'] == 'streaming':
            route['timeoutMs'] = 3000
            route['attempts'] = 2
    configuration['upstreams'][0]['inferenceEngine']['tokensPerEvent'] = TOKENS_PER_EVENT
    return configuration


async def main(world, has_trouble):
    """Return whether a turn within the budget reached no runner in five tries."""
    world.put_configuration(make_configuration())
    for number in range(3):
        await world.add_runner(f'i-engine{number}', 'engines', answer_turn(world))
    await world.start_gateways(VMS)
    # Longer than the time in which the start counts as a loss of all VMs.
    await asyncio.sleep(22)
    programs = [Program(world, number) for number in range(PROGRAMS)]
    await asyncio.gather(*(program.run_turns(2) for program in programs))
    if has_trouble:
        # One turn of each program is under way, and no event has come yet.
        running = [
            asyncio.create_task(
                program.try_turn(random.choice(world.gateways), SLOW.encode())
            )
            for program in programs
        ]
        await asyncio.sleep(0.8)
        world.record.add('all machines are killed')
        for gateway in world.gateways:
            gateway.kill()
        await asyncio.wait(running)
        await asyncio.sleep(DARK_S)
        for gateway in world.gateways:
            gateway.start()
    await world.wait_until_joined(VMS, world.gateways)
    await asyncio.sleep(CALM_S)
    world.record.add('the programs go on')
    others = [Program(world, number) for number in range(PROGRAMS, 3 * PROGRAMS)]
    await asyncio.gather(
        *(program.run_turns(TURNS - 2) for program in programs),
        *(program.run_turns(1) for program in others),
    )
    served = sum(bool(program.whole) for program in others)
    world.record.add(f'{served} of {len(others)} first turns of other programs were served')
    is_broken = False
    for program in programs:
        fits = program.tokens + TURN_TOKENS <= BUDGET
        is_lost = fits and program.lost_tries >= 5
        is_broken = is_broken or is_lost
        world.record.add(
            f'{program.program_id}: {len(program.whole)} turns, {program.tokens} of'
            f' {BUDGET} tokens handed out, {program.lost_tries} tries of the last turn'
            f' refused{", LOST" if is_lost else ""}'
        )
    if served < 0.9 * len(others):
        raise harness.CannotRun('first turns of other programs were not served')
    return is_broken


harness.run_case(main, HERE)
