"""Stand-ins of the platform for the cases 11 to 15, without dependencies.

A case starts gateways with the command of the deploy file. The store, the runners
and the clients are here: they speak what the platform's pages say, on loopback
addresses, in one asyncio loop.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = 'ficu95.example'
HEARTBEAT_SECONDS = 1.2
HELD, BROKEN, NOT_RUN = 0, 1, 2
READ_HEADER = struct.Struct('>QQ')
RECORD_LENGTH = struct.Struct('>I')


class Record:
    """What was sent, answered and run, one JSON object a line."""

    def __init__(self, folder):
        self._started_at = time.monotonic()
        self._file = open(Path(folder) / 'record.txt', 'w', encoding='utf-8')

    def write(self, event, **fields):
        """Write one line."""
        seconds = round(time.monotonic() - self._started_at, 3)
        line = json.dumps({'s': seconds, 'event': event, **fields})
        self._file.write(f'{line}\n')
        self._file.flush()


class Message:
    """A request or an answer: its first line, headers and body."""

    def __init__(self, first_line, headers, body=b''):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    def find(self, name):
        """Return the first value of a header, an empty text if it is missing."""
        for header, value in self.headers:
            if header.lower() == name:
                return value
        return ''


async def read_head(reader):
    """Return the head of the next message; raise EOFError at the end."""
    content = await reader.readuntil(b'\r\n\r\n')
    first_line, *lines = content.decode('latin-1')[:-4].split('\r\n')
    pairs = (line.partition(':') for line in lines)
    return Message(first_line, [(name, text.strip()) for name, _, text in pairs])


async def read_chunks(reader, on_block=None):
    """Return a body in chunks."""
    body = b''
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        block = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body
        body += block
        if on_block is not None:
            on_block(block)


async def read_message(reader, on_block=None):
    """Return a whole message."""
    message = await read_head(reader)
    if message.find('transfer-encoding'):
        message.body = await read_chunks(reader, on_block)
    elif message.find('content-length'):
        message.body = await reader.readexactly(int(message.find('content-length')))
        if on_block is not None and message.body:
            on_block(message.body)
    return message


class Service:
    """A server on a free port that answers each request of a connection."""

    def __init__(self, ip):
        self.ip = ip
        self.port = 0
        self._server = None
        self.writers = set()

    @property
    def address(self):
        """Return the address as the platform writes it."""
        return f'{self.ip}:{self.port}'

    async def start(self):
        """Listen; a second call listens on the same port again."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def answer(self, request, writer):
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError

    def reset_connections(self):
        """Reset all open connections."""
        for writer in tuple(self.writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.answer(await read_message(reader), writer):
                pass
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            # Cancelled at the end of the case.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    writer.transport.abort()


def encode_answer(status, headers=(), body=b''):
    """Return an answer with a length."""
    lines = [f'HTTP/1.1 {status}', *headers, f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body


class Store(Service):
    """The platform's store: keyed topics.

    Calls for which ``refuses`` is true get 503 and do nothing. Calls that come while
    it ``is_silent`` do nothing and are never answered.
    """

    def __init__(self, ip):
        super().__init__(ip)
        self.records = {}
        self.is_silent = False
        self.refuses = lambda topic, part: False
        self._changed = asyncio.Condition()

    async def put(self, topic, key, document):
        """Append a record as the operator or a runner does."""
        body = json.dumps(document).encode() if document is not None else b''
        await self._append((topic, 0), [(key, body)])

    async def answer(self, request, writer):
        """Answer a call."""
        method, target, _ = request.first_line.split(' ')
        parts = urlsplit(target)
        query = {name: texts[0] for name, texts in parse_qs(parts.query).items()}
        place = (query.get('topicName', ''), int(query.get('part', 0)))
        if self.is_silent:
            await asyncio.Event().wait()
        status, body = '503 Down', b''
        if not self.refuses(*place):
            call = parts.path.rpartition('/')[2].replace('-', '_')
            status, body = await getattr(self, f'_{call}')(place, query, request.body)
        writer.write(encode_answer(status, (), body))
        await writer.drain()
        return True

    async def _append(self, place, records):
        self.records.setdefault(place, []).extend(records)
        async with self._changed:
            self._changed.notify_all()

    async def _log_append(self, place, query, body):
        known = self.records.setdefault(place, [])
        if 'at' in query and int(query['at']) != len(known):
            return '412 Conflict', json.dumps({'endOffset': len(known)}).encode()
        first, position, added = len(known), 0, []
        while position < len(body):
            size = RECORD_LENGTH.unpack_from(body, position)[0]
            position += RECORD_LENGTH.size
            content = body[position : position + size]
            position += size
            key_end = 1 + content[0]
            added.append((content[1:key_end].decode(), content[key_end:]))
        await self._append(place, added)
        answer = {'logOffset': first, 'endOffset': first + len(added)}
        return '200 OK', json.dumps(answer).encode()

    async def _log_newest(self, place, query, _body):
        records = self.records.setdefault(place, [])
        newest = {key: (at, value) for at, (key, value) in enumerate(records)}
        items = [
            {'key': key, 'value': base64.b64encode(value).decode(), 'logOffset': at}
            for key, (at, value) in sorted(newest.items())
            if value and key > query.get('after', '')
        ]
        page = {
            'items': items[:500],
            'hasMore': len(items) > 500,
            'endOffset': len(records),
        }
        return '200 OK', json.dumps(page).encode()

    async def _log_read(self, place, query, _body):
        records = self.records.setdefault(place, [])
        start = int(query['fromRev'])
        seconds = int(query.get('waitTimeoutMs', 0)) / 1000
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(seconds), self._changed:
                await self._changed.wait_for(lambda: len(records) > start)
        blocks = [READ_HEADER.pack(len(records), 0)]
        for key, value in records[start:]:
            content = bytes((len(key),)) + key.encode() + value
            blocks.append(RECORD_LENGTH.pack(len(content)) + content)
        return '200 OK', b''.join(blocks)


class Runner(Service):
    """A runner: answers 421 to what is meant for another one, and runs the rest.

    ``run`` is a coroutine that gets the runner, the request and the writer.
    """

    def __init__(self, ip, *, service, run, record, slots=8):
        super().__init__(ip)
        self.service = service
        self.id = f'i-{random.getrandbits(40):010x}'
        self.born = int(time.time() * 1000)
        self.slots = slots
        self.runs = []
        self.run_ids = set()
        # Whether it is leaving and writes no entry any more.
        self.has_left = False
        self._run = run
        self._record = record
        self._seq = 0

    async def leave(self, store):
        """Remove the entry; the runner serves on for a while."""
        self.has_left = True
        await store.put('keyed.servers', self.id, None)

    def describe(self, state='ready'):
        """Return the entry in the store."""
        self._seq += 1
        return {
            'upstream': self.service, 'address': self.address, 'zone': 'hall-a',
            'version': 'v1', 'slotCount': self.slots, 'state': state,
            'coldRemainingMs': 0, 'seq': self._seq, 'born': self.born,
        }

    def own_headers(self, request):
        """Return the headers that each of its answers has."""
        request_id = request.find('request-id')
        return [f'Request-Id: {request_id}', f'Server-Stamp: {self.id}.{request_id}']

    async def answer(self, request, writer):
        """Run a request, or refuse one for another runner."""
        if request.find('expect-instance') != self.id:
            writer.write(encode_answer('421 Other', self.own_headers(request)))
            return True
        self.runs.append(request)
        self.run_ids.add(request.find('request-id'))
        self._record.write(
            'run', runner=self.id, request=request.find('request-id'),
            target=request.first_line, bytes=len(request.body),
        )
        is_open = await self._run(self, request, writer)
        await writer.drain()
        return is_open


class Gateway:
    """A gateway process on a loopback address of its own."""

    def __init__(self, number, *, network, store, folder, parts=2):
        self.name = f'edge-{number}'
        self.ip = f'{network}.{number}'
        self._ports = [find_port(self.ip) for _ in range(3)]
        self._path = Path(folder) / f'{self.name}.json'
        self._log_path = Path(folder) / f'{self.name}.log'
        self.process = None
        front, readiness, directory = self._ports
        self.settings = {
            'nodeName': self.name, 'role': 'gateway', 'machineClass': 'edge',
            'serves': ['edge', 'registry', 'control_plane'],
            'ip': self.ip, 'zone': 'hall-a', 'region': 'pl-central',
            'zones': {'hall-a': 'pl-central'},
            'listen': {
                'front': f'{self.ip}:{front}',
                'readiness': f'{self.ip}:{readiness}',
                'control': f'{self.ip}:8144',
                'directory': f'{self.ip}:{directory}',
            },
            'portRange': [7380, 7395],
            'seedNodes': [f'{network}.{seed}:8144' for seed in (11, 12, 13)],
            'bootstrap': True, 'heartbeatMs': 1200,
            'limits': {'cpuShare': 0.7, 'cpuCores': 3, 'memoryMb': 160, 'maxFds': 8200},
            'contractParams': {'gracePeriodS': 8},
            'platform': {
                'address': store, 'form': 'log', 'writesPerS': 800,
                'readsPerS': 2000, 'parts': parts,
            },
        }

    @property
    def front(self):
        """Return where clients connect."""
        return self.ip, self._ports[0]

    async def start(self):
        """Start the process; its output goes to a file."""
        is_first = self.process is None
        settings = {**self.settings, 'bootstrap': is_first}
        self._path.write_text(json.dumps(settings), encoding='utf-8')
        environment = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG')
                       if name in os.environ}
        environment['BRONZEPOST_BOOT'] = str(self._path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self._log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3', '-S', 'target/gateway/serve.py',
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )

    async def wait_until_ready(self, peers=0):
        """Wait until the gateway is ready and lists so many gateways."""
        async with asyncio.timeout(25):
            while not await self._is_ready(peers):
                await asyncio.sleep(0.1)

    async def _is_ready(self, peers):
        try:
            ready = await call((self.ip, self._ports[1]), 'GET', '/api/readyz')
            page = await call(
                (self.ip, self._ports[2]), 'GET', '/api/resolve?zone=hall-a'
            )
        except OSError:
            return False
        if ready.status != 200 or page.status != 200:
            return False
        return len(json.loads(page.body)['addresses']) >= peers

    async def kill(self, number=signal.SIGKILL):
        """Send a signal that ends the process, and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.wait()


def find_port(ip):
    """Return a free port of an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Answer:
    """What a client got: ``status`` is 0 without an answer."""

    def __init__(self):
        self.status = 0
        self.headers = Message('', [])
        self.body = b''
        self.is_whole = False


async def call(address, method, target, headers=(), body=b'', *, seconds=5.0):
    """Send a request on a new connection and return its answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            await exchange(reader, writer, answer, method, target, headers, body)
    except (OSError, EOFError, ValueError, asyncio.TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


async def exchange(reader, writer, answer, method, target, headers=(), body=b''):
    """Send a request on a connection and fill in its answer."""
    lines = [f'{method} {target} HTTP/1.1', f'Host: {HOST}', *headers]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    writer.write('\r\n'.join([*lines, '', '']).encode() + body)
    head = await read_head(reader)
    answer.headers = head
    answer.status = int(head.first_line.split(' ')[1])

    def add(block):
        answer.body += block

    if head.find('transfer-encoding'):
        await read_chunks(reader, add)
    else:
        add(await reader.readexactly(int(head.find('content-length') or 0)))
    answer.is_whole = True


def make_id():
    """Return a new request id."""
    return f'{random.getrandbits(64):016x}'


class World:
    """The store, the runners and the gateways of one case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self._folder = tempfile.TemporaryDirectory()
        self.network = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        self.store = Store(f'{self.network}.1')
        self.runners = []
        self.gateways = []
        self.version = 0
        self._beat = None

    async def start(self, gateways, runners, configuration, *, parts=2):
        """Start everything and wait until the gateways know each other."""
        await self.store.start()
        self.runners = list(runners)
        for runner in self.runners:
            await runner.start()
        await self.publish(configuration)
        self._beat = asyncio.create_task(self._write_entries())
        for number in range(gateways):
            gateway = Gateway(
                11 + number, network=self.network, store=self.store.address,
                folder=self._folder.name, parts=parts,
            )
            self.gateways.append(gateway)
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_until_ready(gateways)

    async def publish(self, configuration):
        """Publish the next version of the configuration, as the operator does."""
        self.version += random.randint(1, 5)
        await self.store.put(
            'keyed.op', 'config', {'version': self.version, **configuration}
        )
        self.record.write('configuration', version=self.version)

    async def close(self):
        """End all that was started."""
        if self._beat is not None:
            self._beat.cancel()
        for gateway in self.gateways:
            await gateway.kill()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for path in Path(self._folder.name).iterdir():
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self._folder.cleanup()

    async def _write_entries(self):
        while True:
            for runner in self.runners:
                is_up = not (self.store.is_silent or self.store.refuses('keyed.servers', 0))
                if is_up and not runner.has_left:
                    await self.store.put('keyed.servers', runner.id, runner.describe())
            await asyncio.sleep(HEARTBEAT_SECONDS)


def make_route(name, kind, service, **fields):
    """Return a route at ``/NAME/``."""
    return {
        'name': name, 'host': HOST, 'pathPrefix': f'/{name}/', 'routeType': kind,
        'timeoutMs': 3000, 'targetLatencyMs': 250, 'priority': 1, 'attempts': 1,
        'upstream': service, **fields,
    }


def make_configuration(routes, upstreams):
    """Return a configuration without its version."""
    return {
        'routes': routes,
        'upstreams': upstreams,
        'limits': {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
        },
    }


def run_case(play, folder):
    """Run the coroutine function ``play`` of a case, and exit with its verdict."""
    async def run():
        world = World(folder)
        try:
            async with asyncio.timeout(110):
                return await play(world)
        except Exception as error:  # noqa: BLE001
            world.record.write('not run', error=repr(error))
            return NOT_RUN
        finally:
            await world.close()

    verdict = asyncio.run(run())
    print({HELD: 'held', BROKEN: 'broken', NOT_RUN: 'could not run'}[verdict])
    sys.exit(verdict)
