"""Stand-ins and processes for the scripts of this review.

Only the standard library is used. The platform's store, the runners and the
clients live in the process of the script, on asyncio; the gateways are separate
processes, started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = 'ficu95.example'
HEARTBEAT_S = 1.2
LONG_S = 600


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, in the order of events."""

    def __init__(self, path):
        self.began_at = time.monotonic()
        self._file = open(path, 'w', encoding='utf-8')

    def add(self, text):
        """Write a line with the seconds since the start."""
        at = time.monotonic() - self.began_at
        self._file.write(f'{at:9.3f} {text}\n')
        self._file.flush()


class Message:
    """A request or an answer: its first line, headers and body."""

    def __init__(self, first, headers, body=b''):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=''):
        """Return the value of a header."""
        for known, value in self.headers:
            if known.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """Return a message without its body, or None at the end."""
    try:
        block = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = block.decode('latin-1').split('\r\n')
    headers = [
        (name.strip(), value.strip())
        for name, _, value in (line.partition(':') for line in lines[1:] if line)
    ]
    return Message(lines[0], headers)


async def read_request(reader):
    """Return a whole request, or None at the end of the connection."""
    message = await read_head(reader)
    if message is None:
        return None
    length = int(message.get('Content-Length', '0') or 0)
    if message.get('Transfer-Encoding').lower() == 'chunked':
        message.body = b''.join([part async for part in read_chunks(reader)])
    elif length:
        message.body = await reader.readexactly(length)
    return message


async def read_chunks(reader):
    """Yield the chunks of a body."""
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        if size == 0:
            await reader.readuntil(b'\r\n')
            return
        yield await reader.readexactly(size)
        await reader.readexactly(2)


def encode(first, headers, body=b''):
    """Return the bytes of a message."""
    lines = [first, *(f'{name}: {value}' for name, value in headers), '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class Answer:
    """What a client got: a status, headers, a body and whether it is whole."""

    def __init__(self):
        self.status = 0
        self.message = None
        self.body = b''
        self.is_whole = False
        self.error = ''

    def get(self, name):
        return self.message.get(name) if self.message else ''


class Client:
    """One connection of a client."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def open(self):
        host, port = self.address.rsplit(':', 1)
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), 1
        )

    async def ask(self, method, target, headers, body=b'', seconds=10.0):
        """Send a request and return its answer."""
        answer = Answer()
        try:
            if self.writer is None:
                await self.open()
            names = {name.lower() for name, _ in headers}
            sent = [('Host', HOST), *headers]
            if 'content-length' not in names and (body or method != 'GET'):
                sent.append(('Content-Length', len(body)))
            self.writer.write(encode(f'{method} {target} HTTP/1.1', sent, body))
            await asyncio.wait_for(self._read(answer), seconds)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            answer.error = repr(error)
            self.close()
        return answer

    async def _read(self, answer):
        message = await read_head(self.reader)
        if message is None:
            raise ConnectionError('closed before an answer')
        answer.message = message
        answer.status = int(message.first.split()[1])
        if message.get('Transfer-Encoding').lower() == 'chunked':
            async for part in read_chunks(self.reader):
                answer.body += part
        elif message.get('Content-Length'):
            answer.body = await self.reader.readexactly(
                int(message.get('Content-Length'))
            )
        else:
            answer.body = await self.reader.read()
        answer.is_whole = True
        if message.get('Connection').lower() == 'close':
            self.close()

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def ask_once(address, method, target, headers, body=b'', seconds=10.0):
    """Send a request on a connection of its own."""
    client = Client(address)
    answer = await client.ask(method, target, headers, body, seconds)
    client.close()
    return answer


class Store:
    """The platform's store. ``mode`` is up, busy (503), reset or silent."""

    def __init__(self, ip, parts=12):
        self.mode = 'up'
        # Ports that answer otherwise than the others: by port, a mode.
        self.modes_by_view = {}
        self.parts = parts
        self.ip = ip
        self.address = ''
        self.partitions = {}
        self._changed = asyncio.Event()
        self._servers = []
        self._waiting = set()
        self.appends_by_key = {}

    async def start(self):
        self.address = await self.open_view('store')

    async def open_view(self, name):
        """Listen on one more port, whose mode may differ."""
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(name, reader, writer), self.ip, 0
        )
        self._servers.append(server)
        return f'{self.ip}:{server.sockets[0].getsockname()[1]}'

    def put(self, topic, key, value, part=0):
        """Append a record, as the operator and the runners do."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._get(topic, part).append(bytes((len(key),)) + key.encode() + content)
        self._changed.set()
        self._changed = asyncio.Event()

    def set_mode(self, mode):
        self.mode = mode
        if mode == 'reset':
            for writer in tuple(self._waiting):
                writer.transport.abort()

    def _get(self, topic, part):
        return self.partitions.setdefault((topic, part), [])

    async def _serve(self, name, reader, writer):
        self._waiting.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                mode = self.modes_by_view.get(name, self.mode)
                if mode == 'reset':
                    writer.transport.abort()
                    return
                if mode == 'silent':
                    await asyncio.sleep(LONG_S)
                if mode == 'busy':
                    status, body = 503, b''
                else:
                    await asyncio.sleep(0.004)
                    status, body = await self._handle(name, request)
                if self.modes_by_view.get(name, self.mode) in ('silent', 'reset'):
                    writer.transport.abort()
                    return
                writer.write(
                    encode(
                        f'HTTP/1.1 {status} X',
                        [
                            ('Content-Type', 'application/json'),
                            ('Content-Length', len(body)),
                        ],
                        body,
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._waiting.discard(writer)
            writer.close()

    async def _handle(self, name, request):
        url = urllib.parse.urlsplit(request.first.split()[1])
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        topic, part = query.get('topicName', ''), int(query.get('part', 0))
        records = self._get(topic, part)
        if url.path == '/api/log-append':
            return self._append(records, query, request.body)
        if url.path == '/api/log-newest':
            return self._list_newest(records, query)
        if url.path == '/api/log-read':
            return await self._read(records, query, name)
        return 404, b''

    def _append(self, records, query, body):
        if 'at' in query and int(query['at']) != len(records):
            return 412, json.dumps({'endOffset': len(records)}).encode()
        first = len(records)
        place = 0
        while place < len(body):
            (size,) = struct.unpack_from('>I', body, place)
            records.append(bytes(body[place + 4 : place + 4 + size]))
            place += 4 + size
        self._changed.set()
        self._changed = asyncio.Event()
        answer = {'logOffset': first, 'endOffset': len(records)}
        return 200, json.dumps(answer).encode()

    def _list_newest(self, records, query):
        newest = {}
        for offset, record in enumerate(records):
            key = record[1 : 1 + record[0]].decode()
            newest[key] = (offset, record[1 + record[0] :])
        after = query.get('after', '')
        listed = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'logOffset': offset,
            }
            for key, (offset, value) in sorted(newest.items())
            if value and key > after
        ]
        answer = {
            'items': listed[:500],
            'hasMore': len(listed) > 500,
            'endOffset': len(records),
        }
        return 200, json.dumps(answer).encode()

    async def _read(self, records, query, name):
        start = int(query.get('fromRev', 0))
        until = time.monotonic() + int(query.get('waitTimeoutMs', 0)) / 1000
        while len(records) <= start:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass
            if self.modes_by_view.get(name, self.mode) == 'busy':
                return 503, b''
        blocks = [struct.pack('>QQ', len(records), 0)]
        for record in records[start:]:
            blocks.append(struct.pack('>I', len(record)) + record)
        return 200, b''.join(blocks)


class Runner:
    """A runner; ``work`` answers a request that it runs."""

    def __init__(self, *, name, service, ip, record, work, zone='hall-a'):
        self.name = name
        self.service = service
        self.ip = ip
        self.zone = zone
        self.record = record
        self.work = work
        self.state = 'ready'
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.address = ''
        self.runs = []
        self.is_listed = True

    async def start(self):
        server = await asyncio.start_server(self._serve, self.ip, 0)
        self.address = f'{self.ip}:{server.sockets[0].getsockname()[1]}'

    def make_entry(self):
        self.seq += 1
        return {
            'upstream': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slotCount': 24,
            'state': self.state,
            'coldRemainingMs': 0,
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'loraAdapters': []}],
            'seq': self.seq,
            'born': self.born,
        }

    async def _serve(self, reader, writer):
        connection = {'answers': 0}
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                await self._answer(request, reader, writer, connection)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request, reader, writer, connection):
        target = request.first.split()[1]
        request_id = request.get('Request-Id')
        if target.startswith('/healthz'):
            writer.write(
                encode(
                    'HTTP/1.1 200 OK',
                    [('Instance-Id', self.name), ('Content-Length', 0)],
                )
            )
            return
        if target.startswith('/api/report'):
            body = json.dumps({
                'stage': 'both', 'models': [], 'busy': False, 'seq': 1,
                'waiting': 0, 'running': 0, 'kvUsedTokens': 0,
                'kvTotalTokens': 600000, 'openHandles': 0, 'born': self.born,
            }).encode()
            writer.write(encode('HTTP/1.1 200 OK', [('Content-Length', len(body))], body))
            return
        expected = request.get('Expect-Instance')
        if expected and expected != self.name:
            writer.write(
                encode(
                    'HTTP/1.1 421 Misdirected Request',
                    [('Instance-Id', self.name), ('Request-Id', request_id),
                     ('Not-Executed', 1), ('Content-Length', 0)],
                )
            )
            return
        self.runs.append(request_id)
        self.record.add(f'{self.name} runs {request_id} {request.first}')
        await self.work(self, request, reader, writer, connection)


def stamp(runner, request_id):
    """Return the headers that each answer of a runner bears."""
    return [('Request-Id', request_id), ('Server-Stamp', f'{runner.name}.{request_id}')]


async def answer_plain(runner, request, reader, writer, connection):
    """Answer with a body that names the request."""
    request_id = request.get('Request-Id')
    body = f'{runner.name} answers {request_id}'.encode()
    writer.write(
        encode(
            'HTTP/1.1 200 OK',
            [*stamp(runner, request_id), ('Content-Length', len(body))],
            body,
        )
    )
    await writer.drain()


def answer_stream(events, pause_s):
    """Return work that streams so many events."""

    async def work(runner, request, reader, writer, connection):
        request_id = request.get('Request-Id')
        first = int(request.get('Last-Event-Id') or 0)
        writer.write(
            encode(
                'HTTP/1.1 200 OK',
                [*stamp(runner, request_id), ('Content-Type', 'text/event-stream'),
                 ('Transfer-Encoding', 'chunked')],
            )
        )
        count = events(request) if callable(events) else events
        for number in range(first + 1, count + 1):
            await asyncio.sleep(pause_s)
            block = f'id: {number}\ndata: {request_id}-{number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(block), block))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    return work


class Gateway:
    """A gateway process on a loopback address of its own."""

    def __init__(self, *, number, network, store_address, seeds, folder,
                 zone='hall-a', settings=None):
        self.number = number
        self.name = f'edge-{zone}-{number}'
        self.ip = f'{network}.{number}'
        self.ports = [find_port(self.ip) for _ in range(3)]
        self.front, self.readiness, self.directory = (
            f'{self.ip}:{port}' for port in self.ports
        )
        self._folder = folder
        self._process = None
        document = {
            'nodeName': self.name, 'role': 'gateway', 'machineClass': 'edge',
            'serves': ['edge', 'registry', 'control_plane'],
            'ip': self.ip, 'zone': zone, 'region': 'pl-central',
            'zones': {zone: 'pl-central'},
            'listen': {
                'front': self.front, 'readiness': self.readiness,
                'control': f'{self.ip}:{find_port(self.ip)}',
                'directory': self.directory,
            },
            'portRange': [7380, 7395],
            'seedNodes': [f'{seed}:1' for seed in seeds],
            'bootstrap': True,
            'limits': {'cpuShare': 0.717, 'cpuCores': 3, 'memoryMb': 160,
                       'maxFds': 8200, 'linkMbps': 1000.0, 'diskMb': 0},
            'heartbeatMs': 1200,
            'contractParams': {
                'seedLagS': 3, 'reuseAfterS': 2, 'contactMs': 3000,
                'drainTimeoutMs': 2000, 'gracePeriodS': 8, 'lossSlackMs': 200,
                'configDeadlineMs': 2000, 'rollbackSlackMs': 250,
                'outerMs': 5000, 'recoveryS': 12, 'passMs': 120,
            },
            'platform': {
                'address': store_address, 'form': 'log', 'writesPerS': 800,
                'readsPerS': 2000, 'parts': 12, 'appendMs': 2.0,
                'recordBytes': 262144, 'callBytes': 2097152, 'retentionS': 300,
            },
            **(settings or {}),
        }
        self.path = Path(folder) / f'{self.name}.json'
        self.path.write_text(json.dumps(document))

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['gateway']['run'])
        if command[0] == 'python3':
            command[0] = sys.executable
        log = open(Path(self._folder) / f'{self.name}.log', 'ab')
        self._process = subprocess.Popen(
            command, cwd=ROOT, stdout=log, stderr=log,
            env={
                'PATH': os.environ.get('PATH', ''),
                'HOME': os.environ.get('HOME', ''),
                'LANG': os.environ.get('LANG', 'C.UTF-8'),
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'BRONZEPOST_BOOT': str(self.path),
            },
        )

    def send_signal(self, number):
        self._process.send_signal(number)

    def kill(self):
        """Kill the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    @property
    def exit_code(self):
        return self._process.poll()

    def read_log(self):
        return (Path(self._folder) / f'{self.name}.log').read_text(errors='replace')

    async def is_ready(self):
        answer = await ask_once(self.readiness, 'GET', '/api/readyz', [], seconds=1)
        return answer.status == 200

    async def count_members(self):
        answer = await ask_once(
            self.directory, 'GET',
            f'/api/resolve?name={HOST}&region=pl-central&zone=hall-a', [], seconds=1,
        )
        if answer.status != 200:
            return 0
        return len(json.loads(answer.body)['addresses'])


def find_port(ip):
    """Return a free port of a loopback address."""
    import socket

    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class World:
    """A small deployment: a store, runners and gateways."""

    def __init__(self, folder, settings=None):
        draw = random.SystemRandom()
        self.network = f'127.{draw.randrange(20, 250)}.{draw.randrange(1, 250)}'
        self.record = Record(Path(folder) / 'record.txt')
        self.folder = tempfile.mkdtemp(prefix='bronzepost-review-')
        self.store = Store(f'{self.network}.250')
        self.runners = []
        self.gateways = []
        self.settings = settings
        self._beats = None

    def put_configuration(self, configuration):
        """Publish a configuration, as the operator does."""
        self.record.add(f'operator publishes version {configuration["version"]}')
        self.store.put('keyed.op', 'config', configuration)

    async def add_runner(self, name, service, work):
        runner = Runner(
            name=name, service=service, ip=f'{self.network}.{200 + len(self.runners)}',
            record=self.record, work=work,
        )
        await runner.start()
        self.runners.append(runner)
        self.store.put('keyed.servers', name, runner.make_entry())
        return runner

    async def start_gateways(self, count, seconds=40):
        """Start gateways and return once each knows all others."""
        seeds = [f'{self.network}.{number}' for number in range(1, min(count, 3) + 1)]
        for number in range(1, count + 1):
            gateway = Gateway(
                number=number, network=self.network, store_address=self.store.address,
                seeds=seeds, folder=self.folder, settings=self.settings,
            )
            self.gateways.append(gateway)
            gateway.start()
        if self._beats is None:
            self._beats = asyncio.create_task(self._beat())
        await self.wait_until_joined(count, self.gateways, seconds)

    async def wait_until_joined(self, count, gateways, seconds=40):
        until = time.monotonic() + seconds
        for gateway in gateways:
            while not (await gateway.is_ready() and await gateway.count_members() >= count):
                if time.monotonic() > until:
                    raise CannotRun(f'{gateway.name} does not get ready')
                await asyncio.sleep(0.05)

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.store.mode == 'up':
                for runner in self.runners:
                    if runner.is_listed:
                        self.store.put('keyed.servers', runner.name, runner.make_entry())

    def close(self):
        if self._beats is not None:
            self._beats.cancel()
        for gateway in self.gateways:
            gateway.kill()


def run_case(main, folder, settings=None):
    """Run a case and exit: 1 if the rule was broken, 0 if not, 2 if it could not run.

    ``main`` is called with the world and whether the disruption is made.
    """
    world = None
    # The processes that were started are ended then too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def play():
        nonlocal world
        world = World(folder, settings)
        await world.store.start()
        async with asyncio.timeout(110):
            return await main(world, has_trouble)

    code = 2
    try:
        code = 1 if asyncio.run(play()) else 0
    except (CannotRun, TimeoutError, OSError) as error:
        print(f'the case could not run: {error!r}')
    finally:
        if world is not None:
            world.record.add(f'exit code {code}')
            world.close()
            if os.environ.get('KEEP_LOGS'):
                print(world.folder)
            else:
                import shutil

                shutil.rmtree(world.folder, ignore_errors=True)
    print({0: 'held', 1: 'broken', 2: 'could not run'}[code])
    sys.exit(code)


def make_configuration(version=7, *, routes=None, limits=None, tenants=None):
    """Return a configuration of a small deployment."""
    base = {
        'host': HOST, 'priority': 1, 'attempts': 1, 'timeoutMs': 4000,
        'targetLatencyMs': 250, 'retainHistory': False, 'retentionS': 60.0,
        'stickySessions': False, 'resumable': False,
    }
    default_routes = [
        {**base, 'name': 'r-chat', 'pathPrefix': '/chat/', 'routeType': 'streaming',
         'upstream': 'engines', 'stickySessions': True, 'resumable': True,
         'gapAimMs': 400},
        {**base, 'name': 'r-kept', 'pathPrefix': '/kept/', 'routeType': 'streaming',
         'upstream': 'engines', 'stickySessions': True, 'retainHistory': True,
         'gapAimMs': 400},
        {**base, 'name': 'r-look', 'pathPrefix': '/look/', 'routeType': 'idempotent',
         'upstream': 'desks', 'timeoutMs': 1200, 'targetLatencyMs': 150, 'attempts': 2},
        {**base, 'name': 'r-book', 'pathPrefix': '/book/',
         'routeType': 'non_idempotent', 'upstream': 'desks', 'timeoutMs': 3000,
         'targetLatencyMs': 500},
    ]
    configuration = {
        'version': version,
        'routes': routes or default_routes,
        'upstreams': [
            {'name': 'engines', 'healthCheck': '/healthz', 'maxConnections': 200,
             'protocol': 'h1', 'tls': False,
             'inferenceEngine': {
                 'slotCount': 24, 'kvCapacityTokens': 651734, 'kvTokenBytes': 18432,
                 'linkMbps': 1100000.0, 'tokensPerEvent': 18, 'pinMs': 4000.0,
                 'holdMs': 2000.0, 'handle_s': 5.0, 'models': [{'name': 'm'}]}},
            {'name': 'desks', 'healthCheck': '/healthz', 'maxConnections': 100,
             'protocol': 'h1', 'tls': False},
        ],
        'limits': limits or {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
    }
    if tenants is not None:
        configuration['tenants'] = tenants
    return configuration
