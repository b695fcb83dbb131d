"""A configuration moves a route to another service while turns are running."""

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'shared-2'))

import harness  # noqa: E402

VMS = 4
PROGRAMS = 4
SUB_AGENTS = 7
TOKENS_PER_EVENT = 18
TURN_TOKENS = 576
BUDGET = 8 * TURN_TOKENS


class Program:
    """A program whose sub-agents run turns in parallel."""

    def __init__(self, world, number):
        self.world = world
        self.program_id = f'p{number:02d}{random.randrange(16**8):08x}'
        self.events = 0

    @property
    def tokens(self):
        return self.events * TOKENS_PER_EVENT

    async def run_turn(self, session, turn):
        """Run a turn; a failed one is sent three times in all."""
        status = 0
        for _ in range(3):
            status = await self.try_turn(session, turn)
            if status in (200, 402):
                break
            await asyncio.sleep(random.uniform(0.1, 0.4))
        return status == 200

    async def try_turn(self, session, turn):
        request_id = f'{random.randrange(16**16):016x}'
        parts = ['5c1e07a2:12600', f'{self.program_id[3:]}00:100']
        parts += [
            f'{self.program_id[3:]}{session:02x}{number:02x}:100'
            for number in range(turn)
        ]
        gateway = random.choice(self.world.gateways)
        answer = await harness.ask_once(
            gateway.front,
            'POST',
            '/chat/x',
            [
                ('Request-Id', request_id),
                ('Model', 'm'),
                ('Program-Id', self.program_id),
                ('Session-Id', f's{session}'),
                ('Finish-Ms', 20000),
                ('Token-Budget', BUDGET),
                ('Token-Usage', f'1840,{TURN_TOKENS}'),
                ('Prompt-Prefix', ','.join(parts)),
                ('Deadline-Ms', 4000),
            ],
            b'input',
            seconds=5,
        )
        events = answer.body.count(b'\n\n')
        if answer.status == 200:
            self.events += events
        self.world.record.add(
            f'{self.program_id} session {session} turn {request_id} at {gateway.name}:'
            f' {answer.status or answer.error}, {events} events,'
            f' {self.tokens} of {BUDGET} tokens in all'
        )
        return answer.status


def make_configuration(version, service):
    """Return a configuration with one route, to a service of model runners."""
    configuration = harness.make_configuration(version)
    route = {**configuration['routes'][0], 'upstream': service}
    engine = configuration['upstreams'][0]
    return {
        **configuration,
        'routes': [route],
        'upstreams': [{**engine, 'name': service}],
    }


async def main(world, has_trouble):
    """Return whether a program got more tokens than the rule allows."""
    world.put_configuration(make_configuration(7, 'engines-a'))
    for service in ('engines-a', 'engines-b'):
        for number in range(3):
            # A turn of 32 events takes two seconds.
            await world.add_runner(
                f'i-{service}-{number}', service, harness.answer_stream(32, 0.06)
            )
    await world.start_gateways(VMS)
    # Longer than the time in which the start counts as a loss of all VMs.
    await asyncio.sleep(22)
    programs = [Program(world, number) for number in range(PROGRAMS)]
    await asyncio.gather(*(program.run_turn(0, 0) for program in programs))
    running = [
        asyncio.create_task(program.run_turn(session, 2))
        for program in programs
        for session in range(1, SUB_AGENTS + 1)
    ]
    await asyncio.sleep(0.7)
    if has_trouble:
        # The runners of the old service go on with what they run.
        world.put_configuration(make_configuration(12, 'engines-b'))
    await asyncio.gather(*running)
    await asyncio.sleep(1)
    for _ in range(2):
        await asyncio.gather(*(
            program.run_turn(session, 3)
            for program in programs
            for session in range(1, SUB_AGENTS + 1)
        ))
    is_broken = False
    for program in programs:
        is_over = program.tokens > BUDGET + TURN_TOKENS
        is_broken = is_broken or is_over
        world.record.add(
            f'{program.program_id}: {program.tokens} tokens, budget {BUDGET},'
            f' most of a turn {TURN_TOKENS}{", BUDGET BROKEN" if is_over else ""}'
        )
    if all(program.tokens < BUDGET for program in programs):
        raise harness.CannotRun('no program could use its budget')
    return is_broken


harness.run_case(main, HERE)
