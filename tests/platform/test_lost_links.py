"""Tests of VMs that have lost their links to backend servers."""

import itertools
import time
from collections import Counter
from typing import Any, Final

import gevent
import testtools
from testtools.matchers import LessThan

from bronzepost._internal.gateway.callers.header_names import find_header
from bronzepost._internal.gateway.callers.http_messages import (
    HttpRequest,
)
from tests.builders_gateway_servers import CallerSocket, ScriptedServer
from tests.platform.builders_links import start_linked_vms
from tests.platform.builders_platform import (
    HOST,
    make_configuration,
    make_entry,
)
from tests.platform.gateway_vm import Vm
from tests.platform.standin_store import StandinStore
from tests.soak.links import Cut

VM_COUNT: Final = 3
# From this time after a cut on, requests at VMs without links have to be served.
CONTACT_SECONDS: Final = 3.0
REQUESTS: Final = 30
PATHS: Final = ('/chat/x', '/look/x', '/book/x')
DEADLINE_MS: Final = 1000
# Far below the deadline, which is what a refusal at once saves.
MAX_REFUSAL_SECONDS: Final = 0.3
ANSWER_SECONDS: Final = 0.01
# The begin of the body of requests that take longer.
LONG: Final = b'long'
LONG_SECONDS: Final = 0.3
# The body of a request whose answer ends with its connection.
UNFRAMED: Final = 'unframed'
UNFRAMED_ANSWER: Final = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Stamp: s\r\n\r\n'
    b'id: 1\ndata: a\n\n'
)
# Longer than the time between two probes of a server that is down.
IDLE_SECONDS: Final = 1.3
# The grace period of the platform.
STOP_SECONDS: Final = 8.0
ANSWER = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Stamp: s\r\n'
    b'Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n'
)


def answer(sock: Any, request: HttpRequest) -> bool:
    is_long = request.body.startswith(LONG)
    gevent.sleep(LONG_SECONDS if is_long else ANSWER_SECONDS)
    request_id = find_header(request.headers, b'request-id') or b''
    if request.body == UNFRAMED.encode():
        sock.sendall(UNFRAMED_ANSWER % request_id)
        gevent.sleep(LONG_SECONDS)
        return False
    # The connection may have been reset meanwhile.
    try:
        sock.sendall(ANSWER % request_id)
    except OSError:
        return False
    return True


def make_request(request_id: str, path: str, body: str) -> bytes:
    lines = [
        f'POST {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {request_id}',
        f'Deadline-Ms: {DEADLINE_MS}',
        'Token-Usage: 10,50',
        f'Content-Length: {len(body)}',
        '',
        body,
    ]
    return '\r\n'.join(lines).encode()


class LostLinkTests(testtools.TestCase):
    """Three VMs, one of which loses its links to three engines and two desks."""

    def setUp(self) -> None:
        """Start the stand-ins and the VMs."""
        super().setUp()
        self.store = StandinStore()
        self.addCleanup(self.store.close)
        configuration = make_configuration()
        turns = configuration['routes'][0]
        lookups = configuration['routes'][1]
        turns.update(retainHistory=False, resumable=True)
        lookups.update(targetLatencyMs=200, attempts=2)
        lookups.pop('weightedUpstreams')
        lookups['upstream'] = 'desks'
        bookings = {
            **lookups,
            'name': 'r-book',
            'pathPrefix': '/book/',
            'routeType': 'non_idempotent',
        }
        configuration['routes'].append(bookings)
        self.store.put('keyed.op', 'config', configuration)
        self.servers = [
            self.start_server(f'i-{service}-{number}', service)
            for service, count in (('engines', 3), ('desks', 2))
            for number in range(count)
        ]
        started = start_linked_vms(self, self.store, VM_COUNT)
        self.vms = started.vms
        self.links = started.links
        self.numbers = itertools.count(1)

    def start_server(self, server_id: str, service: str) -> ScriptedServer:
        server = ScriptedServer(script=answer)
        self.addCleanup(server.close)
        entry = make_entry(upstream=service, address=server.address)
        self.store.put('keyed.servers', server_id, entry)
        return server

    def call(self, vm: Vm, path: str, body: str = '') -> tuple[int, float]:
        """Send a request; return its status and seconds."""
        started_at = time.monotonic()
        request_id = f'q-{next(self.numbers)}'
        body = body or request_id
        caller = CallerSocket(address=vm.front)
        caller.sock.sendall(make_request(request_id, path, body))
        head = caller.read_answer().head
        seconds = time.monotonic() - started_at
        return (head.status if head else 0), seconds

    def call_all(self, vm: Vm) -> Counter[int]:
        """Send requests of all kinds at once; count how they end, 0 if late.

        Late ones end after their deadline.
        """
        calls = [
            gevent.spawn(self.call, vm, path)
            for path in itertools.islice(itertools.cycle(PATHS), REQUESTS)
        ]
        gevent.joinall(calls, raise_error=True)
        results = [greenlet.value for greenlet in calls]
        return Counter(
            status if seconds * 1000 < DEADLINE_MS else 0
            for status, seconds in results
        )

    def send_for(self, seconds: float) -> None:
        """Send requests of all kinds to all VMs for a time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            calls = [
                gevent.spawn(self.call, vm, path)
                for vm in self.vms
                for path in PATHS
            ]
            gevent.joinall(calls, timeout=0.2)

    def check_served(self, how: Cut) -> None:
        self.send_for(0.5)
        self.links[0].cut(how)
        self.send_for(CONTACT_SECONDS)
        self.assertEqual({200: REQUESTS}, self.call_all(self.vms[0]))
        self.links[0].heal()
        gevent.sleep(CONTACT_SECONDS)
        self.assertEqual({200: REQUESTS}, self.call_all(self.vms[0]))

    def test_vm_whose_links_hang_serves_requests(self) -> None:
        """Guard against waiting for server after server without a link."""
        self.check_served(Cut.SILENT)

    def test_vm_whose_links_are_reset_serves_requests(self) -> None:
        """Guard against a refusal at a VM while others reach the servers."""
        self.check_served(Cut.RESET)

    def test_vm_whose_new_connections_are_refused_serves_requests(
        self,
    ) -> None:
        """Guard against a refusal when all open connections are busy."""
        self.check_served(Cut.REFUSE)

    def test_vm_that_lost_some_links_serves_requests(self) -> None:
        """Guard against waiting for servers that only this VM has lost."""
        self.send_for(0.5)
        links = self.links[0].list_links()
        for link in (links[0], links[1], links[3]):
            link.cut(Cut.SILENT)
        self.send_for(CONTACT_SECONDS)
        self.assertEqual({200: REQUESTS}, self.call_all(self.vms[0]))

    def test_servers_that_stay_down_cause_no_refusals(self) -> None:
        """Guard against VMs that take silence between requests for a cut."""
        for server, links in itertools.product(self.servers[:2], self.links):
            links.links_by_target[server.address].cut(Cut.SILENT)
        for vm in itertools.islice(itertools.cycle(self.vms), 2 * VM_COUNT):
            self.call(vm, '/chat/x')
        for vm in itertools.islice(itertools.cycle(self.vms), 2 * VM_COUNT):
            gevent.sleep(IDLE_SECONDS)
            self.assertEqual(200, self.call(vm, '/chat/x')[0])

    def test_relay_that_stops_by_plan_breaks_no_request(self) -> None:
        """Guard against a stop that forgets the requests of other VMs."""
        self.links[0].cut(Cut.RESET)
        self.links[2].cut(Cut.RESET)
        self.send_for(CONTACT_SECONDS)
        calls = [
            gevent.spawn(self.call, self.vms[0], path, f'{LONG.decode()}{path}')
            for path in PATHS
        ]
        gevent.sleep(LONG_SECONDS / 2)
        self.vms[1].process.terminate()
        gevent.joinall(calls, raise_error=True)
        self.assertEqual({200}, {greenlet.value[0] for greenlet in calls})
        self.vms[1].process.wait(STOP_SECONDS)
        self.assertEqual(0, self.vms[1].process.returncode)

    def test_killed_relay_makes_no_request_run_twice(self) -> None:
        """Guard against sending again what the VM between may have passed on."""
        self.links[0].cut(Cut.RESET)
        self.send_for(CONTACT_SECONDS)
        calls = [
            gevent.spawn(self.call, self.vms[0], '/book/x', f'long {number}')
            for number in range(REQUESTS)
        ]
        gevent.sleep(LONG_SECONDS / 2)
        for vm in self.vms[1:]:
            vm.process.kill()
        gevent.joinall(calls, raise_error=True)
        bodies = Counter(
            request.body
            for server in self.servers
            for request in server.requests
            if request.body.startswith(LONG)
        )
        self.assertEqual({1}, set(bodies.values()))
        statuses = {greenlet.value[0] for greenlet in calls}
        self.assertEqual({502}, statuses - {200})

    def test_stream_through_a_killed_relay_is_not_complete(self) -> None:
        """Guard against the end of a process that ends an answer in order."""
        self.links[0].cut(Cut.RESET)
        self.send_for(CONTACT_SECONDS)
        caller = CallerSocket(address=self.vms[0].front)
        caller.sock.sendall(make_request('q-unframed', '/chat/x', UNFRAMED))
        reader = gevent.spawn(caller.read_answer)
        gevent.sleep(LONG_SECONDS / 2)
        for vm in self.vms[1:]:
            vm.process.kill()
        answer = reader.get()
        self.assertEqual(200, answer.head.status)
        self.assertFalse(answer.is_complete)

    def test_vms_without_any_link_refuse_at_once(self) -> None:
        """Guard against holding what is known not to be served."""
        for link_set in self.links:
            link_set.cut(Cut.SILENT)
        self.send_for(CONTACT_SECONDS)
        for path in PATHS:
            status, seconds = self.call(self.vms[0], path)
            self.assertEqual(503, status)
            self.assertThat(seconds, LessThan(MAX_REFUSAL_SECONDS))
        for link_set in self.links:
            link_set.heal()
        gevent.sleep(CONTACT_SECONDS)
        self.assertEqual({200: REQUESTS}, self.call_all(self.vms[0]))

    def test_cut_of_one_vm_makes_no_suspects_at_others(self) -> None:
        """Guard against taking servers for crashed when the link of a VM is cut."""
        body = LONG.decode()
        calls = [
            gevent.spawn(self.call, self.vms[0], '/chat/same', body)
            for _ in range(REQUESTS)
        ]
        gevent.sleep(LONG_SECONDS / 2)
        self.links[0].cut(Cut.RESET)
        gevent.joinall(calls)
        status, _ = self.call(self.vms[1], '/chat/same', body)
        self.assertEqual(200, status)
