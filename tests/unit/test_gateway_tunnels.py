"""Tests of tunnels to backend servers through another VM."""

import dataclasses
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import gevent
import testtools
from gevent.server import StreamServer
from gevent.socket import create_connection
from testtools.matchers import LessThan

from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.exceptions import ExchangeError
from bronzepost._internal.gateway.links import relay_server
from bronzepost._internal.gateway.links.server_links import ServerLinks
from bronzepost._internal.gateway.links.tcp_options import set_reset_on_close
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.node.clock import read_clock
from tests.builders_gateway import make_server
from tests.builders_gateway_servers import READ_BYTES, find_port
from tests.builders_tunnels import RELAY_NAME, VmPair, open_pair

UNUSED_ADDRESS = f'127.0.0.1:{find_port()}'
# By rule a server stops a request within half a second of its caller's end.
CANCEL_SECONDS = 0.5
# More than the socket buffers of a tunnel hold.
LARGE_BYTES = 64_000_000


class RawServer:
    """A server that hands each connection to a test."""

    def __init__(self) -> None:
        """Listen on a free port."""
        self.sockets: list[Any] = []
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        for sock in self.sockets:
            sock.close()

    def _serve(self, sock: Any, _address: Any) -> None:
        self.sockets.append(sock)
        while sock.fileno() >= 0:
            gevent.sleep(0.01)


@contextmanager
def open_tunnel() -> Iterator[tuple[Any, Any]]:
    """Yield the two ends of a tunnel: of the VM and of the server."""
    server = RawServer()
    with open_pair(server.address) as pair:
        tunnel = pair.open()
        gevent.sleep(0.02)
        yield tunnel.sock, server.sockets[0]
        tunnel.close()
    server.close()


class TestTunnels(testtools.TestCase):
    """What passes a tunnel, and how it ends."""

    def test_bytes_pass_in_both_directions(self) -> None:
        """Guard against a tunnel that loses or adds bytes."""
        with open_tunnel() as (caller, server):
            caller.sendall(b'request')
            self.assertEqual(b'request', server.recv(READ_BYTES))
            server.sendall(b'answer')
            self.assertEqual(b'answer', caller.recv(READ_BYTES))

    def test_orderly_end_stays_orderly(self) -> None:
        """Guard against a whole answer without a length that looks broken."""
        with open_tunnel() as (caller, server):
            server.sendall(b'answer')
            server.close()
            self.assertEqual(b'answer', caller.recv(READ_BYTES))
            self.assertEqual(b'', caller.recv(READ_BYTES))

    def test_reset_stays_a_reset(self) -> None:
        """Guard against a broken answer without a length that looks whole."""
        with open_tunnel() as (caller, server):
            server.sendall(b'answer')
            self.assertEqual(b'answer', caller.recv(READ_BYTES))
            set_reset_on_close(server, is_reset=True)
            server.close()
            self.assertRaises(ConnectionResetError, caller.recv, READ_BYTES)

    def test_reset_during_a_long_body_stays_a_reset(self) -> None:
        """Guard against an error that only the sender of the body sees."""
        with open_tunnel() as (caller, server):
            # The relay is left with bytes that the server does not read.
            with gevent.Timeout(CANCEL_SECONDS, False):
                caller.sendall(bytes(LARGE_BYTES))
            set_reset_on_close(server, is_reset=True)
            server.close()
            with gevent.Timeout(CANCEL_SECONDS):
                self.assertRaises(ConnectionResetError, caller.recv, READ_BYTES)

    def test_end_of_the_caller_reaches_the_server(self) -> None:
        """Guard against a server that works on for a caller that has left."""
        with open_tunnel() as (caller, server):
            caller.sendall(b'request')
            server.recv(READ_BYTES)
            caller.close()
            with gevent.Timeout(CANCEL_SECONDS):
                self.assertEqual(b'', server.recv(READ_BYTES))

    def test_slow_reader_slows_down_its_sender(self) -> None:
        """Guard against a relay that buffers what a caller does not read."""
        with open_tunnel() as (caller, server):
            sender = gevent.spawn(server.sendall, bytes(LARGE_BYTES))
            gevent.sleep(0.3)
            self.assertFalse(sender.ready())
            received = 0
            while received < LARGE_BYTES:
                received += len(caller.recv(READ_BYTES))
            sender.join()


class TestRelay(testtools.TestCase):
    """Who may open which tunnels."""

    @contextmanager
    def open_pair(self) -> Iterator[VmPair]:
        server = RawServer()
        with open_pair(server.address) as pair:
            yield pair
        server.close()

    def check_refused(self, pair: VmPair) -> None:
        with testtools.ExpectedException(ExchangeError, 'no VM relays'):
            pair.open()

    def test_server_that_is_not_registered_is_refused(self) -> None:
        """Guard against a relay to any address."""
        with self.open_pair() as pair:
            pair.server = dataclasses.replace(pair.server, server_id='i-2')
            self.check_refused(pair)

    def test_earlier_start_of_a_server_is_refused(self) -> None:
        """Guard against a request to a server that took over an address."""
        with self.open_pair() as pair:
            pair.server = dataclasses.replace(pair.server, born=1)
            self.check_refused(pair)

    def test_leaving_server_is_refused(self) -> None:
        """Guard against a relay that hides that a server is leaving."""
        with self.open_pair() as pair:
            pair.directory.report_leaving(pair.server)
            self.check_refused(pair)

    def test_address_that_is_no_vm_is_rejected(self) -> None:
        """Guard against tunnels for others than the VMs of the fleet."""
        with self.open_pair() as pair:
            host, _, port = pair.fleet.members[1].forward_address.rpartition(
                ':'
            )
            stranger = create_connection(
                (host, int(port)), source_address=('127.0.0.9', 0)
            )
            stranger.settimeout(CANCEL_SECONDS)
            self.assertEqual(b'', stranger.recv(READ_BYTES))
            stranger.close()

    def test_tunnels_of_a_relay_are_bounded(self) -> None:
        """Guard against a relay that takes the load of all others."""
        with self.open_pair() as pair:
            pair.directory.tunnels = relay_server.MAX_TUNNELS
            self.check_refused(pair)

    def test_relay_without_links_passes_nothing_on(self) -> None:
        """Guard against relaying in circles when nobody has links."""
        with self.open_pair() as pair:
            pair.directory.links.record_failed(
                'i-1', tried_at=read_clock(), is_silent=True
            )
            pair.directory.links.record_cut_off()
            self.check_refused(pair)

    def test_relay_that_lost_its_links_is_not_asked(self) -> None:
        """Guard against a hop to a VM that has reported its cut."""
        with self.open_pair() as pair:
            pair.reports.put(is_cut_off=True)
            self.assertFalse(pair.relays.reaches('i-1'))

    def test_relay_that_does_not_answer_is_left_out(self) -> None:
        """Guard against waiting for a frozen VM with each request."""
        with self.open_pair() as pair:
            silent = socket.create_server(('127.0.0.1', 0))
            pair.fleet.members = (
                pair.fleet.members[0],
                dataclasses.replace(
                    pair.fleet.members[1],
                    forward_address=f'127.0.0.1:{silent.getsockname()[1]}',
                ),
            )
            self.check_refused(pair)
            started_at = read_clock()
            self.check_refused(pair)
            self.assertThat(read_clock() - started_at, LessThan(0.1))
            silent.close()


class TestFault(testtools.TestCase):
    """Whose fault it is that an exchange broke off."""

    def is_at_fault(
        self, *servers: BackendServer, relay: str = '', pair: VmPair
    ) -> bool:
        links = pair.make_links()
        directory = Directory(pool=links.pool)
        directory.put_servers(servers)
        links = ServerLinks(
            directory=directory, pool=links.pool, relays=pair.relays
        )
        return links.is_at_fault(servers[0], relay=relay)

    def test_crash_beside_a_server_that_is_reached(self) -> None:
        """Guard against a crash that no request is blamed for."""
        server = RawServer()
        with open_pair(server.address) as pair:
            crashed = make_server('i-2', address=UNUSED_ADDRESS)
            self.assertFalse(self.is_at_fault(crashed, pair.server, pair=pair))
        server.close()

    def test_crash_after_which_connections_were_refused(self) -> None:
        """Guard against blame for the first of many requests of a crash only."""
        server = RawServer()
        with open_pair(server.address) as pair:
            crashed = make_server('i-2', address=UNUSED_ADDRESS)
            directory = Directory(pool=pair.relays.pool)
            directory.put_servers([crashed, pair.server])
            links = ServerLinks(
                directory=directory,
                pool=pair.relays.pool,
                relays=pair.relays,
            )
            for _ in range(3):
                self.assertRaises(
                    ExchangeError, links.probes.open, crashed, step='forward'
                )
                self.assertFalse(links.is_at_fault(crashed, relay=''))
        server.close()

    def test_cut_of_all_links(self) -> None:
        """Guard against blame for requests at a VM that has lost its links."""
        with open_pair(UNUSED_ADDRESS) as pair:
            other = make_server('i-2', address=UNUSED_ADDRESS)
            self.assertTrue(self.is_at_fault(pair.server, other, pair=pair))

    def test_only_server(self) -> None:
        """Guard against a service of one server whose crashes do not count."""
        with open_pair(UNUSED_ADDRESS) as pair:
            self.assertFalse(self.is_at_fault(pair.server, pair=pair))

    def test_relay_that_is_gone(self) -> None:
        """Guard against blame for requests when the VM between was killed."""
        with open_pair(UNUSED_ADDRESS) as pair:
            pair.fleet.members = pair.fleet.members[:1]
            self.assertTrue(
                self.is_at_fault(pair.server, relay=RELAY_NAME, pair=pair)
            )

    def test_relay_that_does_not_reach_the_server_any_more(self) -> None:
        """Guard against a crash behind a relay that nobody is blamed for."""
        server = RawServer()
        with open_pair(UNUSED_ADDRESS) as pair:
            pair.directory.put_servers([
                pair.server,
                make_server('i-2', address=server.address),
            ])
            self.assertFalse(
                self.is_at_fault(pair.server, relay=RELAY_NAME, pair=pair)
            )
        server.close()

    def test_relay_that_lost_its_links_too(self) -> None:
        """Guard against blame for requests when the relay is cut off as well."""
        with open_pair(UNUSED_ADDRESS) as pair:
            pair.directory.put_servers([
                pair.server,
                make_server('i-2', address=UNUSED_ADDRESS),
            ])
            self.assertTrue(
                self.is_at_fault(pair.server, relay=RELAY_NAME, pair=pair)
            )


class TestPaths(testtools.TestCase):
    """Which way a VM takes to a server."""

    def test_tunnel_is_used_again(self) -> None:
        """Guard against a new tunnel for each request."""
        server = RawServer()
        with open_pair(server.address) as pair:
            pair.server = dataclasses.replace(
                pair.server, address=f'127.0.0.1:{find_port()}'
            )
            links = pair.make_links()
            first = links.acquire(
                pair.server, request_id='q-1', max_idle_seconds=1
            )
            self.assertEqual(RELAY_NAME, first.relay)
            first.usable_until = read_clock() + 1
            first.idle_since = read_clock()
            links.pool.keep(first)
            second = links.acquire(
                pair.server, request_id='q-2', max_idle_seconds=1
            )
            self.assertIs(first, second)
            links.pool.keep(second)
            pair.fleet.members = pair.fleet.members[:1]
            gevent.sleep(0.15)
            links.close_unusable()
            self.assertFalse(links.has_idle(pair.server, 1))
        server.close()
