"""Tests of requests of real processes that must not end without an answer."""

import signal
from pathlib import Path

import gevent
import testtools

from tests.builders_gateway_servers import CallerSocket
from tests.platform.builders_unanswered import (
    DescriptorLimit,
    connect,
    fill_pipe,
    find_status,
    find_statuses,
    make_request,
    open_servers,
)
from tests.platform.gateway_vm import START_TIMEOUT_SECONDS, Vm

# The VM closes its listening socket so long after the signal to stop.
ACCEPT_SECONDS = 3.0
MARGIN_SECONDS = 0.4
# More than gevent accepts at a time.
CALLERS = 150
# More than the buffers of both sides of a connection.
LARGE_BYTES = 3_000_000
# As long as a caller may go on without reading.
PAUSE_SECONDS = 2.5
POLL_SECONDS = 0.02
# Servers that were not reached are tried again at least once in this time.
PROBE_SECONDS = 3.0


class UnansweredTests(testtools.TestCase):
    """One VM with one sound server."""

    def setUp(self) -> None:
        """Start the stand-ins and the VM."""
        super().setUp()
        self.store = open_servers(self)
        self.vm = Vm(test=self, number=21, store=self.store.address)
        self.vm.wait_until_ready()
        gevent.sleep(1)

    def connect(self, count: int) -> list[CallerSocket]:
        """Return connections to the VM."""
        return [connect(self.vm.front) for _ in range(count)]

    def test_connections_in_the_queue_at_the_stop_are_answered(self) -> None:
        """Guard against a reset of connections that were not accepted yet."""
        self.vm.process.send_signal(signal.SIGTERM)
        gevent.sleep(ACCEPT_SECONDS - MARGIN_SECONDS)
        self.vm.process.send_signal(signal.SIGSTOP)
        callers = self.connect(CALLERS)
        for number, caller in enumerate(callers):
            caller.sock.sendall(make_request(f'q-{number}'))
        gevent.sleep(MARGIN_SECONDS * 2)
        self.vm.process.send_signal(signal.SIGCONT)
        statuses = {find_status(caller) for caller in callers}
        self.assertLessEqual(statuses, {200, 503})

    def test_requests_that_were_read_together_at_a_stop_are_answered(
        self,
    ) -> None:
        """Guard against a close with requests that were read and not run."""
        caller = connect(self.vm.front)
        requests = (make_request(f'q-{number}', seconds=2) for number in '123')
        caller.sock.sendall(b''.join(requests))
        gevent.sleep(MARGIN_SECONDS)
        self.vm.process.send_signal(signal.SIGTERM)
        # The third request is the turn of the VM when it accepts no more.
        self.assertEqual([200, 200, 503], find_statuses(caller))

    def test_bytes_behind_a_request_do_not_cut_its_answer(self) -> None:
        """Guard against a reset that takes the rest of an answer with it."""
        for surplus in (b'\r\n', make_request('q-2')):
            caller = connect(self.vm.front)
            caller.sock.sendall(
                make_request(
                    'q-1', 'Connection: close', seconds=0.5, size=LARGE_BYTES
                )
            )
            gevent.sleep(0.1)
            caller.sock.sendall(surplus)
            gevent.sleep(PAUSE_SECONDS)
            self.assertEqual((surplus, 200), (surplus, find_status(caller)))

    def test_request_without_a_free_descriptor_is_answered(self) -> None:
        """Guard against an error on this VM that ends a caller's connection."""
        callers = self.connect(2)
        gevent.sleep(MARGIN_SECONDS)
        limit = DescriptorLimit(self.vm.process.pid)
        limit.leave(0)
        for caller in callers:
            caller.sock.sendall(make_request('q-1'))
        # A descriptor may become free meanwhile.
        statuses = {find_status(caller) for caller in callers}
        self.assertLessEqual(statuses, {200, 503})
        limit.lift()
        gevent.sleep(PROBE_SECONDS)
        for caller in callers:
            caller.sock.sendall(make_request('q-2'))
        self.assertEqual([200, 200], [find_status(call) for call in callers])


class UnreadErrorsTests(testtools.TestCase):
    """One VM whose standard error nobody reads."""

    def test_full_standard_error_stops_no_request(self) -> None:
        """Guard against a traceback that stops the loop of the process."""
        store = open_servers(self)
        vm = Vm(
            test=self,
            number=21,
            store=store.address,
            stderr=fill_pipe(self),
        )
        vm.wait_until_ready()
        gevent.sleep(1)
        caller = connect(vm.front)
        limit = DescriptorLimit(vm.process.pid)
        limit.leave(0)
        # gevent prints a traceback when the process cannot accept.
        waiting = connect(vm.front)
        gevent.sleep(MARGIN_SECONDS)
        limit.lift()
        for caller in (caller, waiting):
            caller.sock.sendall(make_request('q-1'))
            self.assertEqual(200, find_status(caller))


class EarlySignalTests(testtools.TestCase):
    """A VM gets signals while it starts."""

    def test_signal_to_reload_does_not_end_a_start(self) -> None:
        """Guard against SIGHUP before the process handles it."""
        store = open_servers(self)
        vm = Vm(test=self, number=21, store=store.address)
        # The interpreter itself has to start first.
        maps = Path(f'/proc/{vm.process.pid}/maps')
        with gevent.Timeout(START_TIMEOUT_SECONDS):
            while b'gevent' not in maps.read_bytes():
                gevent.sleep(POLL_SECONDS)
            while vm.fetch_page(vm.readiness, '/api/readyz')[0] != 200:
                self.assertIsNone(vm.process.poll())
                vm.process.send_signal(signal.SIGHUP)
                gevent.sleep(POLL_SECONDS)
        self.assertIsNone(vm.process.poll())
