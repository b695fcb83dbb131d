"""The project's own programs as processes, with the command of the deploy file."""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

from common.standins import Record

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = 'ficu95.example'
METRICS_PORT = 9102
MAX_RUN_S = 115.0


class CannotRunError(Exception):
    """The case could not be set up."""


def choose_network():
    """Return a loopback network whose metrics address is free."""
    for number in range(60):
        network = f'127.{60 + (os.getpid() + number) % 60}.{1 + os.getpid() % 250}'
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                probe.bind((f'{network}.21', METRICS_PORT))
                return network
    raise CannotRunError('no free loopback network')


def find_ports(host, count):
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((host, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def make_route(name, prefix, kind, upstream, **changes):
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': prefix,
        'routeType': kind,
        'timeoutMs': 3000,
        'targetLatencyMs': 200,
        'priority': 0,
        'upstream': upstream,
        'attempts': 2,
        **changes,
    }


def make_configuration(routes, version=7):
    return {
        'version': version,
        'routes': routes,
        'upstreams': [
            {
                'name': 'engines',
                'healthCheck': '/healthz',
                'maxConnections': 250,
                'inferenceEngine': {
                    'slotCount': 32,
                    'kvCapacityTokens': 1022409,
                    'kvTokenBytes': 18432,
                    'tokensPerEvent': 25,
                    'models': [{'name': 'm'}],
                },
            },
            {'name': 'desks', 'healthCheck': '/healthz', 'maxConnections': 110},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }


class Deployment:
    """Gateways on loopback addresses of their own, three zones in turn."""

    def __init__(self, *, record, store, network, count):
        self._record = record
        self._folder = Path(tempfile.mkdtemp(prefix='review-'))
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            self._command = tomllib.load(file)['roles']['gateway']['run'].split()
        if not (ROOT / self._command[-1]).exists():
            raise CannotRunError('the build of deploy/system.toml is missing')
        first_port = find_ports(f'{network}.21', 1)[0]
        self.vms = [
            Vm(
                record=record, store=store, network=network, number=number,
                folder=self._folder, command=self._command,
                port_range=[first_port, first_port + 15],
            )
            for number in range(count)
        ]

    def start(self):
        for vm in self.vms:
            vm.start()

    async def wait_until_ready(self, timeout_s=20.0):
        """Return once all gateways are ready and know each other."""
        async with asyncio.timeout(timeout_s):
            for vm in self.vms:
                while await vm.count_addresses() != len(self.vms):
                    await asyncio.sleep(0.05)

    def close(self):
        for vm in self.vms:
            vm.kill()
        shutil.rmtree(self._folder, ignore_errors=True)


class Vm:
    """A gateway process, started as the platform does."""

    def __init__(
        self, *, record, store, network, number, folder, command, port_range
    ):
        ip = f'{network}.{21 + number}'
        front, readiness, control, directory = find_ports(ip, 4)
        self.name = f'edge-hall-{"abc"[number % 3]}-{1 + number // 3}'
        self.front = (ip, front)
        self.directory = (ip, directory)
        self.readiness = (ip, readiness)
        self.process = None
        self._record = record
        self._command = command
        self._settings_path = folder / f'{self.name}.json'
        self._log_path = folder / f'{self.name}.log'
        zones = {f'hall-{letter}': 'pl-central' for letter in 'abc'}
        self._settings_path.write_text(json.dumps({
            'nodeName': self.name,
            'role': 'gateway',
            'machineClass': 'edge',
            'serves': ['edge', 'registry', 'control_plane'],
            'ip': ip,
            'zone': f'hall-{"abc"[number % 3]}',
            'region': 'pl-central',
            'zones': zones,
            'listen': {
                'front': f'{ip}:{front}',
                'readiness': f'{ip}:{readiness}',
                'control': f'{ip}:{control}',
                'directory': f'{ip}:{directory}',
            },
            'portRange': port_range,
            'seedNodes': [f'{network}.{21 + seed}:{control}' for seed in range(3)],
            'bootstrap': True,
            'limits': {
                'cpuShare': 0.717, 'cpuCores': 3, 'memoryMb': 160,
                'maxFds': 8200, 'linkMbps': 1000.0, 'diskMb': 0,
            },
            'dataDir': None,
            'heartbeatMs': 1200,
            'contractParams': {
                'contactMs': 3000, 'drainTimeoutMs': 2000, 'gracePeriodS': 8,
                'configDeadlineMs': 2000, 'recoveryS': 12,
            },
            'platform': {
                'address': store.address, 'form': 'log', 'writesPerS': 800,
                'readsPerS': 2000, 'parts': 12, 'retentionS': 300,
            },
        }))

    def start(self):
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['BRONZEPOST_BOOT'] = str(self._settings_path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with open(self._log_path, 'ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, *self._command[1:]],
                cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self._record.write(f'start    {self.name} as process {self.process.pid}')

    def signal(self, number):
        self._record.write(f'signal   {self.name} {signal.Signals(number).name}')
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    async def wait_for_end(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        self._record.write(f'end      {self.name}, status {self.process.poll()}')

    def read_log(self):
        return self._log_path.read_text(errors='replace')

    async def count_addresses(self):
        """Return how many gateways this one lists to clients, 0 without answer."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.directory)
                writer.write(
                    b'GET /api/resolve?name=ficu95.example&region=pl-central'
                    b'&zone=hall-a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
                )
                text = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return 0
        _, _, body = text.partition(b'\r\n\r\n')
        try:
            return len(json.loads(body)['addresses'])
        except (ValueError, KeyError):
            return 0


async def _run(main, record, trouble):
    # The processes are ended in any case, also if the script is told to stop.
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asyncio.current_task().cancel)
    async with asyncio.timeout(MAX_RUN_S):
        return await main(record, trouble)


def run_case(main):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if not run."""
    record = Record(Path(sys.argv[1]) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write(f'trouble  {"on" if trouble else "off"}')
    try:
        broken = asyncio.run(_run(main, record, trouble))
    except (Exception, asyncio.CancelledError) as error:
        # The set-up failed, so nothing was judged.
        record.write(f'not run  {type(error).__name__}: {error}')
        sys.exit(2)
    record.write(f'verdict  {"broken" if broken else "held"}')
    sys.exit(1 if broken else 0)
