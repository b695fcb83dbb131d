"""Tests of a VM that is told to stop while requests are running."""

import contextlib
import dataclasses
import itertools
import random
import signal
from typing import Any

import gevent
import testtools

from bronzepost._internal.gateway.callers.header_names import find_header
from bronzepost._internal.gateway.callers.http_messages import (
    HttpRequest,
)
from bronzepost._internal.node.clock import read_clock
from tests.builders_gateway_servers import CallerSocket, ScriptedServer
from tests.platform.builders_platform import (
    HOST,
    make_configuration,
    make_entry,
)
from tests.platform.gateway_vm import Vm
from tests.platform.standin_store import StandinStore

# The grace period of the platform, and how long after the signal a caller still
# uses a connection that was kept open.
GRACE_SECONDS = 8.0
LATE_SECONDS = 7.2
# The VM accepts connections for so long after the signal. An answer that is cut in
# the last sixth of the grace period is allowed to requests sent before that.
ACCEPT_SECONDS = 3.0
LAST_SECONDS = GRACE_SECONDS / 6
CALLERS = 60
# Many requests last from before the signal until the VM accepts no more.
WORK_SECONDS = (0.05, 1.0, 4.0, 4.2)
# The body of a request holds the seconds for which the server works on it.
ANSWER_HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Stamp: s\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'f\r\nid: 1\ndata: a\n\n\r\n'
)


def answer(sock: Any, request: HttpRequest) -> bool:
    """Begin an answer, and end it after the time that the request names."""
    request_id = find_header(request.headers, b'request-id') or b''
    seconds = float(request.body)
    try:
        if request.target.startswith(b'/chat/'):
            sock.sendall(ANSWER_HEAD % request_id)
            gevent.sleep(seconds)
            sock.sendall(b'0\r\n\r\n')
        else:
            gevent.sleep(seconds)
            sock.sendall(b'%b0\r\n\r\n' % (ANSWER_HEAD % request_id))
    except OSError:
        # The gateway has given the request up.
        return False
    return True


def make_request(path: str, request_id: str, seconds: float) -> bytes:
    """Return a request that its server works on for some seconds."""
    body = f'{seconds}'
    lines = (
        f'POST {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {request_id}',
        'Token-Usage: 10,50',
        'Deadline-Ms: 30000',
        f'Content-Length: {len(body)}',
        '',
        body,
    )
    return '\r\n'.join(lines).encode()


@dataclasses.dataclass(frozen=True, kw_only=True)
class CutRequest:
    """A request whose connection ended without a whole answer."""

    request_id: bytes
    sent_at: float
    cut_at: float

    def is_allowed(self, stopped_at: float) -> bool:
        """Return whether its VM, told to stop at a time, may have cut it."""
        is_early = self.sent_at <= stopped_at + ACCEPT_SECONDS
        last_at = stopped_at + GRACE_SECONDS - LAST_SECONDS
        return is_early and self.cut_at >= last_at


class StopTests(testtools.TestCase):
    """One VM with a slow server, in calm, that gets SIGTERM."""

    def setUp(self) -> None:
        """Start the stand-ins and the VM."""
        super().setUp()
        store = StandinStore()
        self.addCleanup(store.close)
        configuration = make_configuration()
        turns, bookings = configuration['routes']
        turns.update(retainHistory=False, timeoutMs=30000)
        bookings.pop('weightedUpstreams')
        bookings.update(
            upstream='engines', timeoutMs=30000, routeType='non_idempotent'
        )
        store.put('keyed.op', 'config', configuration)
        self.server = ScriptedServer(script=answer)
        self.addCleanup(self.server.close)
        store.put(
            'keyed.servers', 'i-1', make_entry(address=self.server.address)
        )
        self.numbers = itertools.count(1)
        self.vm = Vm(test=self, number=21, store=store.address)
        self.vm.wait_until_ready()
        gevent.sleep(1)

    def begin(self, path: str, request_id: str, seconds: float) -> CallerSocket:
        """Send a request on a new connection."""
        caller = CallerSocket(address=self.vm.front)
        caller.sock.settimeout(GRACE_SECONDS * 2)
        caller.sock.sendall(make_request(path, request_id, seconds))
        gevent.sleep(0.1)
        return caller

    def test_late_request_on_an_open_connection_is_not_cut(self) -> None:
        """Guard against requests that are taken at the end of a stop."""
        caller = self.begin('/chat/x', 'q-1', 4)
        self.vm.process.send_signal(signal.SIGTERM)
        stopped_at = read_clock()
        self.assertIs(True, caller.read_answer().is_complete)
        gevent.sleep(stopped_at + LATE_SECONDS - read_clock())
        status = 0
        try:
            caller.sock.sendall(make_request('/look/x', 'q-2', 2))
            head = caller.read_answer().head
            status = head.status if head else 0
        except OSError:
            # Closed before the request was sent: the caller goes elsewhere.
            status = 0
        self.assertIn(status, (0, 503))
        sent = {
            find_header(request.headers, b'request-id')
            for request in self.server.requests
        }
        self.assertEqual({b'q-1'}, sent)

    def test_callers_that_go_on_lose_no_request(self) -> None:
        """Guard against requests that are passed on and get no answer."""
        callers = [
            gevent.spawn(self.call_until_closed, number)
            for number in range(CALLERS)
        ]
        gevent.sleep(1)
        self.vm.process.send_signal(signal.SIGTERM)
        stopped_at = read_clock()
        self.vm.process.wait()
        unanswered = {
            cut.request_id
            for call in callers
            for cut in call.get()
            if not cut.is_allowed(stopped_at)
        }
        sent = {
            find_header(request.headers, b'request-id')
            for request in self.server.requests
        }
        self.assertGreater(len(sent), CALLERS)
        self.assertEqual(set(), unanswered & sent)

    def call_until_closed(self, caller_number: int) -> list[CutRequest]:
        """Use connections until there are none; return what had no answer."""
        draw = random.Random(caller_number)
        unanswered: list[CutRequest] = []
        while True:
            try:
                caller = CallerSocket(address=self.vm.front)
            except OSError:
                return unanswered
            caller.sock.settimeout(GRACE_SECONDS * 2)
            is_open = True
            while is_open:
                is_open = self.call(caller, draw, unanswered)
            caller.sock.close()

    def call(
        self,
        caller: CallerSocket,
        draw: random.Random,
        unanswered: list[CutRequest],
    ) -> bool:
        """Send a request; return whether its connection stays open."""
        request_id = f'q-{next(self.numbers)}'
        path = draw.choice(('/chat/x', '/look/x'))
        seconds = draw.choice(WORK_SECONDS)
        sent_at = read_clock()
        received = None
        with contextlib.suppress(OSError):
            caller.sock.sendall(make_request(path, request_id, seconds))
            received = caller.read_answer()
        if received is None or not received.is_complete:
            unanswered.append(
                CutRequest(
                    request_id=request_id.encode(),
                    sent_at=sent_at,
                    cut_at=read_clock(),
                )
            )
            return False
        return received.head is not None and received.head.keep_alive

    def test_request_that_outlasts_the_stop_is_answered(self) -> None:
        """Guard against a connection that ends without an answer."""
        caller = self.begin('/look/x', 'q-1', GRACE_SECONDS * 2)
        self.vm.process.send_signal(signal.SIGTERM)
        stopped_at = read_clock()
        received = caller.read_answer()
        self.assertIs(True, received.is_complete)
        assert received.head is not None
        self.assertEqual(502, received.head.status)
        self.vm.process.wait()
        self.assertLess(read_clock() - stopped_at, GRACE_SECONDS)
