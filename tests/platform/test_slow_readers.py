"""Tests of a gateway process whose callers and backend servers read slowly."""

import hashlib
from pathlib import Path
from typing import Any

import gevent
import testtools

from bronzepost._internal.gateway.callers.answer_reader import (
    AnswerReader,
)
from bronzepost._internal.gateway.callers.http_messages import (
    HttpRequest,
)
from tests.builders_gateway_servers import (
    CallerSocket,
    ScriptedServer,
    make_answer,
)
from tests.builders_slow_readers import (
    SlowReader,
    SlowServer,
    make_body,
    send_in_blocks,
)
from tests.platform.builders_platform import (
    HOST,
    make_configuration,
    make_entry,
)
from tests.platform.gateway_vm import Vm
from tests.platform.standin_store import StandinStore

SLOW_CALLERS = 60
SLOW_UPLOADS = 60
ANSWER_BYTES = 3_000_000
BODY_BYTES = 1_000_000
SERVER_SECONDS = 4.0
SLOW_SECONDS = 4.0
OTHER_CALLS = 30
WAIT_SECONDS = 30.0
# The memory limit of the smallest VM.
MEMORY_BYTES = 128_000_000
BYTES_PER_KB = 1024


def answer_small(sock: Any, _request: HttpRequest) -> bool:
    """Answer at once."""
    sock.sendall(make_answer(b'small'))
    return True


def make_routes() -> dict[str, Any]:
    """Return a configuration with a route to each of three services."""
    document = make_configuration()
    first = document['routes'][1]
    document['routes'] = [
        {
            'name': name,
            'host': HOST,
            'pathPrefix': f'/{name}/',
            'routeType': 'non_idempotent',
            'timeoutMs': 15000,
            'targetLatencyMs': first.get('targetLatencyMs', 1000),
            'upstream': name,
        }
        for name in ('large', 'upload', 'small')
    ]
    document['upstreams'] = [
        {'name': name, 'maxConnections': 250}
        for name in ('large', 'upload', 'small')
    ]
    return document


def make_call(route: str, number: int, body: bytes = b'') -> bytes:
    """Return the bytes of a request for a route."""
    lines = [
        f'POST /{route}/x HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {route}-{number}',
        'Deadline-Ms: 15000',
        f'Content-Length: {len(body)}',
        '',
        '',
    ]
    return '\r\n'.join(lines).encode() + body


def read_status(answer: AnswerReader) -> int:
    """Return the status of an answer, 0 without one."""
    return answer.head.status if answer.head else 0


class TestSlowReaders(testtools.TestCase):
    """One VM of the smallest size with many slow readers on both sides."""

    def setUp(self) -> None:
        """Start the store, the servers and a VM."""
        super().setUp()
        store = StandinStore()
        self.addCleanup(store.close)
        servers: dict[str, Any] = {
            'large': ScriptedServer(
                script=send_in_blocks(ANSWER_BYTES, is_chunked=False)
            ),
            'upload': SlowServer(body_bytes=BODY_BYTES, seconds=SERVER_SECONDS),
            'small': ScriptedServer(script=answer_small),
        }
        for name, server in servers.items():
            self.addCleanup(server.close)
            entry = make_entry(
                upstream=name, address=server.address, slotCount=250
            )
            store.put('keyed.servers', f'i-{name}', entry)
        store.put('keyed.op', 'config', make_routes())
        self.vm = Vm(test=self, number=21, store=store.address)
        self.vm.wait_until_ready()

    def read_peak_bytes(self) -> int:
        """Return the highest resident memory of the process so far."""
        path = Path(f'/proc/{self.vm.process.pid}/status')
        lines = path.read_text(encoding='ascii').splitlines()
        peak = next(line for line in lines if line.startswith('VmHWM'))
        return int(peak.split()[1]) * BYTES_PER_KB

    def upload(self, number: int) -> AnswerReader:
        caller = CallerSocket(address=self.vm.front)
        caller.sock.settimeout(WAIT_SECONDS)
        caller.sock.sendall(make_call('upload', number, make_body(BODY_BYTES)))
        return caller.read_answer()

    def call_small(self, number: int) -> tuple[int, float]:
        """Return the status of a small call and the seconds that it took."""
        loop = gevent.get_hub().loop
        loop.update_now()
        started_at = loop.now()
        caller = CallerSocket(address=self.vm.front)
        caller.sock.sendall(make_call('small', number))
        status = read_status(caller.read_answer())
        return status, loop.now() - started_at

    def test_memory_stays_below_the_limit(self) -> None:
        """Guard against a process that is killed for what others leave unread."""
        readers = [
            SlowReader(self.vm.front, request=make_call('large', number))
            for number in range(SLOW_CALLERS)
        ]
        for reader in readers:
            reader.read_slowly(SLOW_SECONDS)
        uploads = [
            gevent.spawn(self.upload, number) for number in range(SLOW_UPLOADS)
        ]
        gevent.sleep(1)
        others = [self.call_small(number) for number in range(OTHER_CALLS)]
        gevent.joinall([reader.task for reader in readers])
        rest = [gevent.spawn(reader.read_rest) for reader in readers]
        gevent.joinall([*rest, *uploads], timeout=WAIT_SECONDS)
        self.assertTrue(all(task.ready() for task in (*rest, *uploads)))
        expected = hashlib.sha256(make_body(ANSWER_BYTES)).digest()
        for reader in readers:
            self.assertIs(True, reader.answer.is_complete)
            if read_status(reader.answer) == 200:
                self.assertEqual(expected, reader.digest.digest())
        statuses = [read_status(task.value) for task in uploads]
        self.assertTrue(set(statuses) <= {200, 503})
        self.assertIn(200, statuses)
        answered = [read_status(reader.answer) for reader in readers]
        self.assertTrue(set(answered) <= {200, 503})
        self.assertEqual({200}, {status for status, _ in others})
        peak_bytes = self.read_peak_bytes()
        self.assertTrue(peak_bytes < MEMORY_BYTES, peak_bytes)
