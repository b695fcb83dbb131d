"""The quota of a tenant, while a machine that was added stays alone."""

import asyncio
import json
import random
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent / 'shared-2'))

import harness  # noqa: E402

VMS = 5
# Machines that are removed for good, just before one is added.
REMOVED = 3
RATE = 10
BURST = 5
WINDOW_S = 5
# quotaOver 0.1 and quotaSlack 20.
ALLOWED = (RATE * WINDOW_S + BURST) * 1.1 + 20
SENT_PER_S = 30
LENGTH_S = 15
SEED_LAG_S = 3.0
# Until the machines that were removed are no longer counted.
SETTLE_S = 33.0


def write_seeds(gateway, addresses):
    """Write the settings of a machine with other seeds."""
    document = json.loads(gateway.path.read_text())
    document['seedNodes'] = [f'{address}:1' for address in addresses]
    gateway.path.write_text(json.dumps(document))


async def main(world, has_trouble):
    """Return whether more requests ran in a window than the quota allows."""
    tenant = {'name': 'blue', 'apiKeys': ['k1'], 'ratePerS': RATE, 'burstSize': BURST}
    world.put_configuration(harness.make_configuration(tenants=[tenant]))
    runs = []

    async def work(runner, request, reader, writer, connection):
        runs.append(time.monotonic())
        await harness.answer_plain(runner, request, reader, writer, connection)

    for number in range(3):
        await world.add_runner(f'i-desk{number}', 'desks', work)
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
    async def ask(gateway):
        request_id = f'{random.randrange(16**16):016x}'
        answer = await harness.ask_once(
            gateway.front,
            'POST',
            '/book/x',
            [('Request-Id', request_id), ('X-Api-Key', 'k1'), ('Deadline-Ms', 3000)],
            b'x',
            seconds=4,
        )
        world.record.add(f'{request_id} at {gateway.name}: {answer.status or answer.error}')

    tasks = []
    for _ in range(LENGTH_S * SENT_PER_S):
        tasks.append(asyncio.create_task(ask(random.choice(fleet))))
        tasks.append(asyncio.create_task(ask(added)))
        await asyncio.sleep(1 / SENT_PER_S)
    await asyncio.gather(*tasks)
    if not runs:
        raise harness.CannotRun('no request was run')
    most = max(sum(at <= run < at + WINDOW_S for run in runs) for at in runs)
    world.record.add(f'{most} requests ran in {WINDOW_S} s, {ALLOWED:.1f} are allowed')
    return most > ALLOWED


harness.run_case(main, HERE)
