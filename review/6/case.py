"""Most VMs are killed while the store is down; programs then come back."""

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'shared-2'))

import harness  # noqa: E402

VMS = 10
# A share of 0.55 to 0.6 of 10 VMs.
KILLED = 6
PROGRAMS = 12
# New programs that begin in the outage, as they do all day.
NEW_PROGRAMS = 60
TOKENS_PER_EVENT = 18
TURN_TOKENS = 576
BUDGET = 8 * TURN_TOKENS
# As in the list of troubles of the site file.
OUTAGE_S = 4.5
# The VMs are killed so long after its beginning at the latest.
KILL_S = 2.4
DARK_S = 2.0
PAUSE_S = 6.0


class Program:
    """A program that goes on until its budget is spent."""

    def __init__(self, world, number):
        self.world = world
        self.program_id = f'p{number:02d}{random.randrange(16**8):08x}'
        self.session = f's{number:02d}'
        self.turns = 0
        self.events = 0
        self.statuses = []

    @property
    def tokens(self):
        return self.events * TOKENS_PER_EVENT

    async def run_turns(self, count):
        """Run so many turns, with up to six tries each."""
        for _ in range(count):
            if not await self.run_turn():
                return

    async def run_turn(self):
        for number in range(6):
            status, back_s = await self.try_turn()
            if status == 200:
                self.turns += 1
                return True
            if status == 402:
                return False
            # One retry of the client, then the turn is sent again, twice.
            pause_s = random.uniform(0.1, 0.4) if number % 2 else min(back_s, 1.3)
            await asyncio.sleep(pause_s)
        return False

    async def try_turn(self):
        request_id = f'{random.randrange(16**16):016x}'
        parts = ['5c1e07a2:12600']
        parts += [
            f'{self.program_id[3:]}{number:02x}:100' for number in range(self.turns + 1)
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
                ('Session-Id', self.session),
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
        self.statuses.append(answer.status)
        self.world.record.add(
            f'{self.program_id} turn {request_id} at {gateway.name}:'
            f' {answer.status or answer.error}, {events} events,'
            f' {self.tokens} of {BUDGET} tokens in all'
        )
        return answer.status, float(answer.get('Retry-After') or 0.2)


async def main(world, has_trouble):
    """Return whether a program got more tokens than the rule allows."""
    world.put_configuration(harness.make_configuration())
    for number in range(3):
        await world.add_runner(
            f'i-engine{number}', 'engines', harness.answer_stream(32, 0.003)
        )
    await world.start_gateways(VMS)
    # Longer than the time in which the start counts as a loss of all VMs.
    await asyncio.sleep(22)
    programs = [Program(world, number) for number in range(PROGRAMS)]
    await asyncio.gather(*(program.run_turns(4) for program in programs))
    await asyncio.sleep(1)
    if has_trouble:
        world.record.add('the store is down')
        world.store.set_mode('reset')
    began_at = asyncio.get_running_loop().time()
    await asyncio.sleep(0.5)
    others = [Program(world, number) for number in range(PROGRAMS, PROGRAMS + NEW_PROGRAMS)]
    await asyncio.wait(
        [asyncio.create_task(program.try_turn()) for program in others], timeout=0.5
    )
    turns = [asyncio.create_task(program.run_turns(4)) for program in programs]
    await asyncio.wait(turns, timeout=KILL_S - 1.0)
    if has_trouble:
        killed = random.sample(world.gateways, KILLED)
        world.record.add(f'killed: {sorted(g.name for g in killed)}')
        for gateway in killed:
            gateway.kill()
        await asyncio.sleep(DARK_S)
        for gateway in killed:
            gateway.start()
        elapsed = asyncio.get_running_loop().time() - began_at
        await asyncio.sleep(max(OUTAGE_S - elapsed, 0))
        world.record.add(f'the store is back after {max(OUTAGE_S, elapsed):.1f} s')
        world.store.set_mode('up')
    await asyncio.gather(*turns)
    await world.wait_until_joined(VMS, world.gateways)
    await asyncio.sleep(PAUSE_S)
    world.record.add('the programs come back')
    await asyncio.gather(*(program.run_turns(6) for program in programs))
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
