"""A machine is added while the machines that its settings name are gone."""

import asyncio
import json
import random
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'shared-2'))

import harness  # noqa: E402

VMS = 5
# Machines that are removed for good, just before one is added.
REMOVED = 3
PROGRAMS = 8
TOKENS_PER_EVENT = 18
TURN_TOKENS = 576
BUDGET = 8 * TURN_TOKENS
SEED_LAG_S = 3.0
# Until the machine is older than the time in which its start counts as a loss of all.
SETTLE_S = 22.0


class Program:
    """A program that goes on until its budget is spent."""

    def __init__(self, world, number):
        self.world = world
        self.program_id = f'p{number:02d}{random.randrange(16**8):08x}'
        self.turns = 0
        self.events = 0

    @property
    def tokens(self):
        return self.events * TOKENS_PER_EVENT

    async def run_turns(self, count, gateways):
        """Run up to so many turns; each failed one is sent three times in all."""
        for _ in range(count):
            for _ in range(3):
                status = await self.try_turn(random.choice(gateways))
                if status in (200, 402):
                    break
                await asyncio.sleep(random.uniform(0.1, 0.4))
            if status != 200:
                return
            self.turns += 1

    async def try_turn(self, gateway):
        request_id = f'{random.randrange(16**16):016x}'
        parts = ['5c1e07a2:12600']
        parts += [
            f'{self.program_id[3:]}{number:02x}:100' for number in range(self.turns + 1)
        ]
        answer = await harness.ask_once(
            gateway.front,
            'POST',
            '/chat/x',
            [
                ('Request-Id', request_id),
                ('Model', 'm'),
                ('Program-Id', self.program_id),
                ('Session-Id', 's0'),
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
            f'{self.program_id} turn {request_id} at {gateway.name}:'
            f' {answer.status or answer.error}, {events} events,'
            f' {self.tokens} of {BUDGET} tokens in all'
        )
        return answer.status


def write_seeds(gateway, addresses):
    """Write the settings of a machine with other seeds."""
    document = json.loads(gateway.path.read_text())
    document['seedNodes'] = [f'{address}:1' for address in addresses]
    gateway.path.write_text(json.dumps(document))


async def main(world, has_trouble):
    """Return whether a program got more tokens than the rule allows."""
    world.put_configuration(harness.make_configuration())
    for number in range(3):
        await world.add_runner(
            f'i-engine{number}', 'engines', harness.answer_stream(32, 0.003)
        )
    await world.start_gateways(VMS + REMOVED)
    fleet, removed = world.gateways[:VMS], world.gateways[VMS:]
    world.record.add(f'removed for good: {[g.name for g in removed]}')
    for gateway in removed:
        gateway.kill()
    added = harness.Gateway(
        number=VMS + REMOVED + 1,
        network=world.network,
        store_address=world.store.address,
        seeds=[g.ip for g in (removed if has_trouble else fleet[:3])],
        folder=world.folder,
    )
    world.gateways = [*fleet, added]
    world.record.add(f'added: {added.name}, seeds {json.loads(added.path.read_text())["seedNodes"]}')
    added.start()
    await asyncio.sleep(SEED_LAG_S)
    write_seeds(added, [gateway.ip for gateway in fleet[:3]])
    world.record.add(f'new settings: seeds {json.loads(added.path.read_text())["seedNodes"]}, SIGHUP')
    added.send_signal(signal.SIGHUP)
    await asyncio.sleep(SETTLE_S)
    if not await added.is_ready():
        raise harness.CannotRun('the machine that was added is not ready')
    for gateway in world.gateways:
        count = await gateway.count_members()
        world.record.add(f'{gateway.name} names {count} addresses to clients')
    programs = [Program(world, number) for number in range(PROGRAMS)]

    async def play(program):
        # Clients connect to addresses that one of the machines has named.
        await program.run_turns(2, fleet)
        await program.run_turns(2, [added])
        # Sub-agents, which run in parallel.
        await asyncio.gather(*(
            program.run_turns(1, gateways)
            for gateways in (fleet, [added])
            for _ in range(4)
        ))

    await asyncio.gather(*map(play, programs))
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
