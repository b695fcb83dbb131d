"""Tests of servers whose entries are removed, after a start and around outages."""

import itertools
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

SERVER_COUNT = 3
# The platform's bound: so long after its entry is removed a server may still get
# requests, and so soon after an outage live servers have written theirs again.
DRAIN_SECONDS = 2.0
# The grace period after a start has to be over in tests of later outages.
SETTLE_SECONDS = 3.5
# Two heartbeats of servers are 2.4 s apart: no entry expires in a shorter outage.
SHORT_OUTAGE_SECONDS = 0.5
LONG_OUTAGE_SECONDS = 4.0
# Longer than a VM waits between two reads of the list, and than it waits for one.
READ_INTERVAL_SECONDS = 0.45
HANGING_SECONDS = 10.0
# How long requests are sent, one every ``SEND_INTERVAL_SECONDS``. Several run at a
# time, so that they go to all servers that the VM knows.
SEND_SECONDS = 0.8
SEND_INTERVAL_SECONDS = 0.02
ANSWER_SECONDS = 0.1
ANSWER = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Stamp: s\r\n'
    b'Content-Length: 2\r\n\r\nok'
)


def answer(sock: Any, request: HttpRequest) -> bool:
    """Answer after a short time."""
    gevent.sleep(ANSWER_SECONDS)
    request_id = find_header(request.headers, b'request-id') or b''
    sock.sendall(ANSWER % request_id)
    return True


class DepartedServerTests(testtools.TestCase):
    """A VM before three servers of one service."""

    def setUp(self) -> None:
        """Start the stand-ins and the VM."""
        super().setUp()
        self.store = StandinStore()
        self.addCleanup(self.store.close)
        configuration = make_configuration()
        lookups = configuration['routes'][1]
        lookups.pop('weightedUpstreams')
        lookups.update(upstream='desks', attempts=1)
        self.store.put('keyed.op', 'config', configuration)
        self.servers = [
            ScriptedServer(script=answer) for _ in range(SERVER_COUNT)
        ]
        for server in self.servers:
            self.addCleanup(server.close)
        self.register()
        self.numbers = itertools.count(1)
        # The VM has a link to the store of its own.
        address = self.store.open_view(bytes)
        self.view = self.store.views_by_address[address]
        self.vm = Vm(test=self, number=21, store=address)
        self.vm.wait_until_ready()

    def register(self) -> None:
        """Write the entries of all servers."""
        for number, server in enumerate(self.servers):
            entry = make_entry(upstream='desks', address=server.address)
            self.store.put('keyed.servers', f'i-{number}', entry)

    def remove_entries(self, count: int) -> float:
        """Remove the entries of the first servers; return when."""
        for number in range(count):
            self.store.put('keyed.servers', f'i-{number}', b'')
        return read_clock()

    def send_requests(self) -> set[int]:
        """Send requests for a time; return the statuses of their answers."""
        calls = []
        end = read_clock() + SEND_SECONDS
        while read_clock() < end:
            calls.append(gevent.spawn(self.send_request))
            gevent.sleep(SEND_INTERVAL_SECONDS)
        return {call.get() for call in calls}

    def send_request(self) -> int:
        """Send one request; return the status of its answer."""
        lines = (
            'GET /look/x HTTP/1.1',
            f'Host: {HOST}',
            f'Request-Id: q-{next(self.numbers)}',
            'Deadline-Ms: 1000',
            '\r\n',
        )
        caller = CallerSocket(address=self.vm.front)
        caller.sock.sendall('\r\n'.join(lines).encode())
        head = caller.read_answer().head
        assert head is not None
        return head.status

    def assert_departed(self, removed_at: float) -> None:
        """Check that requests go to the servers that are left only."""
        gevent.sleep(removed_at + DRAIN_SECONDS - read_clock())
        departed = self.servers[0]
        before = len(departed.requests)
        self.assertEqual({200}, self.send_requests())
        self.assertEqual(before, len(departed.requests))

    def test_server_that_leaves_after_a_start_gets_no_requests(self) -> None:
        """Guard against a start that counts as the return of the store."""
        self.assert_departed(self.remove_entries(1))

    def test_server_that_leaves_after_a_failed_read_gets_no_requests(
        self,
    ) -> None:
        """Guard against an outage in which no entry can have expired."""
        gevent.sleep(SETTLE_SECONDS)
        self.store.is_down = True
        gevent.sleep(SHORT_OUTAGE_SECONDS)
        self.store.is_down = False
        self.assert_departed(self.remove_entries(1))

    def test_server_that_leaves_while_a_read_hangs_gets_no_requests(
        self,
    ) -> None:
        """Guard against a list that is read again too late after a timeout."""
        gevent.sleep(SETTLE_SECONDS)
        self.store.delay_seconds = HANGING_SECONDS
        gevent.sleep(READ_INTERVAL_SECONDS)
        self.store.delay_seconds = 0
        self.assert_departed(self.remove_entries(1))

    def test_server_that_leaves_after_a_cut_of_the_vm_gets_no_requests(
        self,
    ) -> None:
        """Guard against a cut of one VM that counts as an outage of the store."""
        other = Vm(test=self, number=22, store=self.store.address)
        other.wait_until_ready()
        self.vm.wait_for_vms(2)
        gevent.sleep(SETTLE_SECONDS)
        self.view.is_refusing = True
        gevent.sleep(LONG_OUTAGE_SECONDS)
        removed_at = self.remove_entries(1)
        self.view.is_refusing = False
        self.assert_departed(removed_at)

    def test_expired_servers_are_used_until_they_register_again(self) -> None:
        """Guard against refusals after an outage in which entries expired."""
        gevent.sleep(SETTLE_SECONDS)
        self.store.is_down = True
        gevent.sleep(LONG_OUTAGE_SECONDS)
        self.remove_entries(SERVER_COUNT)
        self.store.is_down = False
        returned_at = read_clock()
        self.assertEqual({200}, self.send_requests())
        gevent.sleep(returned_at + DRAIN_SECONDS / 2 - read_clock())
        self.register()
        gevent.sleep(returned_at + DRAIN_SECONDS - read_clock())
        self.assertEqual({200}, self.send_requests())
