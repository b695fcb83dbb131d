"""Stand-ins of the platform's store, of runners and of clients.

They use the standard library alone and run in the event loop of the script. They
do what PROTOCOL.md says of a sound store, runner or client, unless a script asks
for a disruption that the pages name.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import struct
import time
from urllib.parse import parse_qs, urlsplit

READ_HEADER = struct.Struct('>QQ')
RECORD_LENGTH = struct.Struct('>I')
MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000
STORE_SECONDS = 0.004
REASONS = {200: 'OK', 404: 'Not Found', 410: 'Gone', 412: 'No', 503: 'Busy'}


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, text):
        line = f'{self.now():8.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()
        print(line, flush=True)


async def read_message(reader):
    """Return first line, headers by lower-case name and body; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    first, *lines = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).strip() or b'0', 16)
            block = await reader.readexactly(size + 2)
            body += block[:-2]
            if not size:
                break
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return first, headers, body


class Store:
    """The platform's log store, as PROTOCOL.md describes it.

    With ``mode`` 'busy' it answers 503 and does nothing.
    """

    def __init__(self):
        self.mode = 'ok'
        self.records = {}
        self._changed = asyncio.Event()
        self._server = None
        self.address = ''

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    def stop(self):
        self._server.close()

    def put(self, topic, key, value):
        """Append a record as the operator or a runner does; return its offset."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        records = self.records.setdefault((f'keyed.{topic}', 0), [])
        records.append((key.encode(), value))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                status, body = await self._answer(*message)
                head = (
                    f'HTTP/1.1 {status} {REASONS[status]}\r\n'
                    f'Content-Length: {len(body)}\r\n\r\n'
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, first, _headers, body):
        await asyncio.sleep(STORE_SECONDS)
        if self.mode == 'busy':
            return 503, b''
        _method, target, _version = first.split(' ')
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        place = (query.get('topicName', ''), int(query.get('part', 0)))
        records = self.records.setdefault(place, [])
        if parts.path == '/api/log-append':
            return self._append(records, query, body)
        if parts.path == '/api/log-newest':
            return self._list_newest(records, query)
        if parts.path == '/api/log-read':
            return await self._read(records, query)
        return 404, b''

    def _append(self, records, query, body):
        if 'at' in query and int(query['at']) != len(records):
            return 412, json.dumps({'endOffset': len(records)}).encode()
        first = len(records)
        position = 0
        while position < len(body):
            (size,) = RECORD_LENGTH.unpack_from(body, position)
            position += RECORD_LENGTH.size
            record = body[position : position + size]
            position += size
            records.append((record[1 : 1 + record[0]], record[1 + record[0] :]))
        self._changed.set()
        self._changed = asyncio.Event()
        answer = {'logOffset': first, 'endOffset': len(records)}
        return 200, json.dumps(answer).encode()

    def _list_newest(self, records, query):
        newest = {}
        for offset, (key, value) in enumerate(records):
            newest[key] = (offset, value)
        after = query.get('after', '').encode()
        items, size, has_more = [], 0, False
        for key in sorted(newest):
            offset, value = newest[key]
            if not value or key <= after:
                continue
            if len(items) == MAX_PAGE_ITEMS or size > MAX_PAGE_BYTES:
                has_more = True
                break
            size += len(value)
            items.append({
                'key': key.decode(),
                'value': base64.b64encode(value).decode(),
                'logOffset': offset,
            })
        answer = {
            'items': items,
            'hasMore': has_more,
            'endOffset': len(records),
        }
        return 200, json.dumps(answer).encode()

    async def _read(self, records, query):
        start = int(query['fromRev'])
        deadline = time.monotonic() + int(query.get('waitTimeoutMs', 0)) / 1000
        while len(records) <= start:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining)
        blocks = [READ_HEADER.pack(len(records), 0)]
        size = 0
        for key, value in records[start:]:
            record = bytes((len(key),)) + key + value
            blocks.append(RECORD_LENGTH.pack(len(record)) + record)
            size += len(record)
            if size > int(query.get('maxKb', 1024)) * 1024:
                break
        return 200, b''.join(blocks)


@dataclasses.dataclass
class Run:
    """A request that a runner ran."""

    request_id: str
    at: float
    body: bytes
    headers: dict
    events: int = 0
    is_whole: bool = False


class Runner:
    """A runner of a service, registered in the store under its id.

    A turn gets ``events`` events, one each ``gap_s``; another request is answered
    after ``work_s``.
    """

    def __init__(
        self, *, store, record, upstream, runner_id, events=4, gap_s=0.02,
        work_s=0.02, zone='hall-a', slots=24,
    ):
        self.runner_id = runner_id
        self.runs = []
        self.state = 'ready'
        self.address = ''
        self._store = store
        self._record = record
        self._upstream = upstream
        self.events = events
        self.gap_s = gap_s
        self.work_s = work_s
        self._zone = zone
        self._slots = slots
        self._seq = 0
        self._beat = None
        self._server = None
        self._born = int(time.time() * 1000)

    async def start(self, host, heartbeat_s=1.2):
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'
        self._beat = asyncio.ensure_future(self._register(heartbeat_s))

    def write_entry(self):
        self._seq += 1
        self._store.put('servers', self.runner_id, {
            'upstream': self._upstream,
            'address': self.address,
            'zone': self._zone,
            'version': 'v1',
            'slotCount': self._slots,
            'state': self.state,
            'coldRemainingMs': 0,
            'seq': self._seq,
            'born': self._born,
        })

    def remove_entry(self):
        self._beat.cancel()
        self._store.put('servers', self.runner_id, b'')

    def stop(self):
        self._beat.cancel()
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    _tasks = frozenset()

    async def _register(self, heartbeat_s):
        while True:
            if self._store.mode == 'ok':
                self.write_entry()
            await asyncio.sleep(heartbeat_s)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks = self._tasks | {task}
        try:
            while (message := await read_message(reader)) is not None:
                await self._answer(writer, *message)
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._tasks = self._tasks - {task}
            writer.close()

    async def _answer(self, writer, first, headers, body):
        request_id = headers.get('request-id', '')
        common = f'Request-Id: {request_id}\r\nServer-Stamp: s.{self.runner_id}\r\n'
        if headers.get('expect-instance', self.runner_id) != self.runner_id:
            writer.write((
                'HTTP/1.1 421 Misdirected Request\r\n'
                f'Request-Id: {request_id}\r\nNot-Executed: 1\r\n'
                'Content-Length: 0\r\n\r\n'
            ).encode())
            return
        run = Run(request_id, self._record.now(), body, headers)
        self.runs.append(run)
        self._record.write(
            f'run      {request_id} at {self.runner_id},'
            f' {first.split()[0]} body of {len(body)} bytes'
        )
        if 'token-usage' not in headers:
            await asyncio.sleep(self.work_s)
            content = f'{request_id} done by {self.runner_id}'.encode()
            writer.write((
                f'HTTP/1.1 200 OK\r\n{common}Content-Length: {len(content)}\r\n\r\n'
            ).encode() + content)
            await writer.drain()
            run.is_whole = True
            return
        writer.write((
            f'HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        ).encode())
        begin = int(headers.get('last-event-id', 0))
        for number in range(begin + 1, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = f'id: {number}\ndata: {request_id}.{number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            run.events += 1
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        run.is_whole = True


@dataclasses.dataclass
class Answer:
    """What a client got; ``status`` is 0 without a status line."""

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    is_whole: bool = False

    @property
    def events(self):
        return self.body.count(b'\nid: ') + self.body.startswith(b'id: ')


async def send_request(
    record, address, *, request_id, path, host, headers=(), body=b'',
    method='POST', timeout_s=5.0,
):
    """Send a request on a new connection and return the answer."""
    record.write(f'send     {request_id} to {address[0]}:{address[1]} {path}')
    answer = Answer()
    began_at = record.now()
    with contextlib.suppress(
        OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError
    ):
        await asyncio.wait_for(
            _exchange(
                answer, address, request_id=request_id, path=path, host=host,
                headers=headers, body=body, method=method,
            ),
            timeout_s,
        )
    record.write(
        f'answer   {request_id} {answer.status}'
        f' {"whole" if answer.is_whole else "not whole"},'
        f' {answer.events} events, {len(answer.body)} bytes,'
        f' {record.now() - began_at:.3f} s'
        f' {answer.body[:90].decode("latin-1") if answer.status != 200 else ""}'
    )
    return answer


async def _exchange(
    answer, address, *, request_id, path, host, headers, body, method
):
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(*address), 1.0
    )
    try:
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {host}',
            f'Request-Id: {request_id}',
            *headers,
            f'Content-Length: {len(body)}',
        ]
        writer.write('\r\n'.join((*lines, '', '')).encode() + body)
        await writer.drain()
        head = await reader.readuntil(b'\r\n\r\n')
        first, *rest = head[:-4].decode('latin-1').split('\r\n')
        answer.status = int(first.split(' ')[1])
        for line in rest:
            name, _, value = line.partition(':')
            answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get('transfer-encoding', '').lower() == 'chunked':
            while True:
                line = await reader.readline()
                if not line:
                    return
                size = int(line.strip(), 16)
                block = await reader.readexactly(size + 2)
                answer.body += block[:-2]
                if not size:
                    break
        else:
            size = int(answer.headers.get('content-length', 0))
            answer.body = await reader.readexactly(size)
        answer.is_whole = True
    finally:
        writer.close()
