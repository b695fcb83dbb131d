"""Tests of streams that callers take up again on another VM."""

import contextlib
import os
import signal
from collections.abc import Sequence
from typing import Any

import gevent
import testtools

from bronzepost._internal.gateway.callers.header_names import find_header
from bronzepost._internal.gateway.callers.http_messages import (
    AnswerReader,
    HttpRequest,
)
from tests.builders_gateway_servers import ScriptedServer
from tests.platform.builders_platform import make_configuration, make_entry
from tests.platform.gateway_vm import (
    POLL_INTERVAL_SECONDS,
    START_TIMEOUT_SECONDS,
    Vm,
)
from tests.platform.standin_store import StandinStore

VM_COUNT = 3
VERSIONS = ('v1', 'v2')
# Streams that begin on one VM; with two versions both begin some of them.
STREAM_COUNT = 12
# Longer than a VM reads the list of servers again.
LIST_SECONDS = 1.0
# By then the first event of a stream that runs has reached its caller.
FIRST_EVENT_SECONDS = 0.5
HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Stamp: s\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n%b'
)
FIRST_EVENT = b'id: 1\ndata: a\n\n'
LAST_EVENT = b'id: 2\ndata: b\n\n'
CHUNK = b'%x\r\n%b\r\n'


def answer_half(sock: Any, request: HttpRequest) -> bool:
    """Send the first event and wait, or go on after it and end."""
    request_id = find_header(request.headers, b'request-id') or b''
    is_resumed = find_header(request.headers, b'last-event-id') is not None
    event = LAST_EVENT if is_resumed else FIRST_EVENT
    sock.sendall(HEAD % (request_id, CHUNK % (len(event), event)))
    if is_resumed:
        sock.sendall(CHUNK % (0, b''))
        return True
    with contextlib.suppress(OSError):
        sock.recv(1)
    return False


class StreamVersionTests(testtools.TestCase):
    """Three VMs before engines of two software versions."""

    def setUp(self) -> None:
        """Start the stand-ins and the VMs."""
        super().setUp()
        self.store = StandinStore()
        self.addCleanup(self.store.close)
        self.engines_by_version = {
            version: self.start_engine(version) for version in VERSIONS
        }
        configuration = make_configuration()
        chat = configuration['routes'][0]
        chat.update(retainHistory=False, resumable=True)
        self.store.put('keyed.op', 'config', configuration)
        self.vms = [
            Vm(test=self, number=21 + number, store=self.store.address)
            for number in range(VM_COUNT)
        ]
        for vm in self.vms:
            vm.wait_until_ready()
        for vm in self.vms:
            vm.wait_for_vms(VM_COUNT)
        gevent.sleep(LIST_SECONDS)

    def start_engine(self, version: str) -> ScriptedServer:
        engine = ScriptedServer(script=answer_half)
        self.addCleanup(engine.close)
        self.put_engine(version, engine)
        return engine

    def put_engine(
        self, version: str, engine: ScriptedServer, state: str = 'ready'
    ) -> None:
        entry = make_entry(address=engine.address, version=version, state=state)
        self.store.put('keyed.servers', f'i-{version}', entry)

    def begin_streams(self) -> list[str]:
        """Begin streams on the first VM and kill it after their first event."""
        request_ids = [f'first-{number}' for number in range(STREAM_COUNT)]
        calls = [
            gevent.spawn(self.vms[0].send_turn, request_id)
            for request_id in request_ids
        ]
        with gevent.Timeout(START_TIMEOUT_SECONDS):
            while self.count_runs() < STREAM_COUNT:
                gevent.sleep(POLL_INTERVAL_SECONDS)
        gevent.sleep(FIRST_EVENT_SECONDS)
        os.kill(self.vms[0].process.pid, signal.SIGKILL)
        gevent.joinall(calls)
        return request_ids

    def count_runs(self) -> int:
        return sum(
            len(engine.requests) for engine in self.engines_by_version.values()
        )

    def find_version(self, request_id: str) -> str:
        """Return the version of the engine that ran a request, or nothing."""
        for version, engine in self.engines_by_version.items():
            for request in engine.requests:
                if find_header(request.headers, b'request-id') == (
                    request_id.encode()
                ):
                    return version
        return ''

    def take_up(self, request_ids: Sequence[str]) -> dict[str, AnswerReader]:
        """Take streams up on the other VMs; return the answers by stream."""
        others = self.vms[1:]
        return {
            request_id: others[number % len(others)].send_turn(
                f'again-{request_id}',
                f'Resumes: {request_id}',
                'Last-Event-Id: 1',
            )
            for number, request_id in enumerate(request_ids)
        }

    def test_streams_of_a_lost_vm_go_on_at_their_version(self) -> None:
        """Guard against streams that mix what two versions wrote."""
        request_ids = self.begin_streams()
        answers = self.take_up(request_ids)
        begun = {key: self.find_version(key) for key in request_ids}
        resumed = {
            key: self.find_version(f'again-{key}') for key in request_ids
        }
        self.assertEqual(set(VERSIONS), set(begun.values()))
        self.assertEqual(begun, resumed)
        for answer in answers.values():
            self.assertIs(True, answer.is_complete)
            self.assertEqual(LAST_EVENT, answer.pop_body())

    def test_streams_without_their_version_are_refused(self) -> None:
        """Guard against going on elsewhere when the version has gone."""
        request_ids = self.begin_streams()
        self.put_engine('v1', self.engines_by_version['v1'], state='draining')
        gevent.sleep(LIST_SECONDS)
        for request_id, answer in self.take_up(request_ids).items():
            version = self.find_version(request_id)
            is_served = self.find_version(f'again-{request_id}') == version
            assert answer.head is not None
            self.assertEqual(version == 'v2', is_served)
            self.assertEqual(200 if is_served else 503, answer.head.status)

    def test_stream_that_no_vm_knows_is_refused(self) -> None:
        """Guard against guessing the version of a stream."""
        answers = self.take_up(['unknown-1', 'unknown-2'])
        for request_id, answer in answers.items():
            assert answer.head is not None
            self.assertEqual(503, answer.head.status)
            self.assertEqual('', self.find_version(f'again-{request_id}'))
