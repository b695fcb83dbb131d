"""VMs before engines of two software versions, and streams that break off."""

import contextlib
import os
import signal
from collections.abc import Sequence
from typing import Any

import gevent
import testtools

from bronzepost._internal.gateway.callers.answer_reader import (
    AnswerReader,
)
from bronzepost._internal.gateway.callers.header_names import find_header
from bronzepost._internal.gateway.callers.http_messages import (
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


class StreamVersionCase(testtools.TestCase):
    """Three VMs before engines of two software versions."""

    versions: tuple[str, ...] = VERSIONS

    def setUp(self) -> None:
        """Start the stand-ins and the VMs."""
        super().setUp()
        self.store = StandinStore()
        self.addCleanup(self.store.close)
        self.engines_by_version = {
            version: self.start_engine(version) for version in self.versions
        }
        configuration = make_configuration()
        chat = configuration['routes'][0]
        chat.update(retainHistory=False, resumable=True)
        self.store.put('keyed.op', 'config', configuration)
        self.vms = self.start_vms()
        gevent.sleep(LIST_SECONDS)

    def start_vms(self) -> list[Vm]:
        """Start all VMs; return once they know each other."""
        vms = [
            Vm(test=self, number=21 + number, store=self.store.address)
            for number in range(VM_COUNT)
        ]
        for vm in vms:
            vm.wait_until_ready()
        for vm in vms:
            vm.wait_for_vms(VM_COUNT)
        return vms

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

    def begin_streams(self, lost: Sequence[Vm]) -> list[str]:
        """Begin streams on the first VM and kill VMs after their first event."""
        request_ids = [f'first-{number}' for number in range(STREAM_COUNT)]
        calls = [
            gevent.spawn(self.vms[0].send_turn, request_id)
            for request_id in request_ids
        ]
        with gevent.Timeout(START_TIMEOUT_SECONDS):
            while self.count_runs() < STREAM_COUNT:
                gevent.sleep(POLL_INTERVAL_SECONDS)
        gevent.sleep(FIRST_EVENT_SECONDS)
        kill(lost)
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


def kill(vms: Sequence[Vm]) -> None:
    """Kill processes and return once they have ended."""
    for vm in vms:
        os.kill(vm.process.pid, signal.SIGKILL)
    for vm in vms:
        vm.process.wait()
