"""Tests of the transport between nodes, over loopback sockets."""

import socket
import subprocess
import sys
import threading
import time

import gevent
import pynng
from testtools import TestCase

from bronzepost._internal.core import configuration
from bronzepost._internal.exceptions import ProtocolError
from bronzepost._internal.node.peers import messages, peers
from tests.builders_relay import Relay

WAIT_TIMEOUT_SECONDS = 5


def find_free_address() -> str:
    """Return a loopback address that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


class Peer:
    """A transport that records the messages and errors it receives."""

    def __init__(self, name: str, *, key: str = 'key') -> None:
        """Create a transport at a free address, without starting it."""
        self.address = find_free_address()
        self.received: list[tuple[str, messages.PeerMessage]] = []
        self.errors: list[Exception] = []
        self.threads: set[int] = set()
        self.codec = messages.MessageCodec(
            name=name, peer_address=self.address, boot=1, keys=[key]
        )
        self.transport = peers.PeerTransport(
            codec=self.codec,
            receive=self.receive,
            report=self.errors.append,
            idle_timeout_seconds=0.4,
        )

    def receive(self, sender: str, message: messages.PeerMessage) -> None:
        """Record a message and the thread that it arrives on."""
        self.threads.add(threading.get_native_id())
        self.received.append((sender, message))

    def send(self, target: 'Peer', offset: int) -> bool:
        """Send a small message that carries a number as its offset."""
        request = build_request(offset)
        return self.transport.send(target.address, request)

    def wait(self, count: int) -> None:
        """Wait until ``count`` messages and errors in all have arrived."""
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if len(self.received) + len(self.errors) >= count:
                return
            gevent.sleep(0.005)


def build_request(offset: int) -> configuration.ConfigurationRequest:
    """Return a small message that carries a number as its offset."""
    return configuration.ConfigurationRequest(
        peer_address='127.0.0.1:1', from_offset=offset
    )


class PeerTransportTest(TestCase):
    """Guard the transport between two nodes of one process."""

    def setUp(self) -> None:
        """Start two transports."""
        super().setUp()
        self.peer_a = self.start('a')
        self.peer_b = self.start('b')

    def start(self, name: str, *, key: str = 'key') -> Peer:
        """Start a transport and close it after the test."""
        peer = Peer(name, key=key)
        peer.transport.start()
        self.addCleanup(peer.transport.close)
        return peer

    def test_messages_arrive_in_both_directions(self) -> None:
        """Guard delivery, and that it happens on the event loop's thread."""
        self.peer_a.send(self.peer_b, 1)
        self.peer_b.send(self.peer_a, 2)
        self.peer_a.wait(1)
        self.peer_b.wait(1)
        self.assertEqual([('b', build_request(2))], self.peer_a.received)
        self.assertEqual([('a', build_request(1))], self.peer_b.received)
        self.assertEqual({threading.get_native_id()}, self.peer_b.threads)

    def test_wrong_key_is_rejected_and_counted(self) -> None:
        """Guard against messages from nodes without the key."""
        stranger = self.start('a', key='other')
        stranger.send(self.peer_b, 1)
        self.peer_b.wait(1)
        self.assertEqual([], self.peer_b.received)
        self.assertEqual(1, self.peer_b.transport.counts.rejected)
        self.assertIsInstance(self.peer_b.errors[0], ProtocolError)

    def test_tampered_body_is_rejected(self) -> None:
        """Guard against bytes that were changed in transit."""
        codec = messages.MessageCodec(
            name='a', peer_address=self.peer_a.address, boot=1, keys=['key']
        )
        content = codec.encode(
            build_request(1), receiver=self.peer_b.address, counter=1
        )
        with pynng.Push0() as push:
            push.dial(f'tcp://{self.peer_b.address}', block=True)
            push.send(b''.join((content[:-1], b'\x00')))
            push.send(content)
            self.peer_b.wait(2)
        self.assertEqual(1, self.peer_b.transport.counts.rejected)
        self.assertEqual([('a', build_request(1))], self.peer_b.received)

    def test_send_to_absent_peer_does_not_block(self) -> None:
        """Guard the event loop against a peer that does not listen."""
        absent = Peer('c')
        begin = time.monotonic()
        sent = [self.peer_a.send(absent, index) for index in range(1000)]
        self.assertLess(time.monotonic() - begin, 1)
        self.assertFalse(sent[-1])
        self.assertGreater(self.peer_a.transport.counts.dropped, 0)

    def test_idle_connection_is_closed_and_dialed_again(self) -> None:
        """Guard against processor time spent on dialing absent peers."""
        absent = Peer('c')
        self.peer_a.send(absent, 1)
        self.peer_a.send(self.peer_b, 1)
        gevent.sleep(0.7)
        self.assertEqual(0, self.peer_a.transport.count_connections())
        self.peer_a.send(self.peer_b, 2)
        self.peer_b.wait(2)
        self.assertEqual(2, len(self.peer_b.received))
        self.assertEqual(1, self.peer_a.transport.count_connections())

    def test_other_greenlets_run_during_a_burst(self) -> None:
        """Guard against a node that serves no callers during a burst."""
        received_counts: list[int] = []

        def run_beside_burst() -> None:
            while len(self.peer_b.received) < 300:
                received_counts.append(len(self.peer_b.received))
                gevent.sleep(0)

        other_greenlet = gevent.spawn(run_beside_burst)
        for block in range(3):
            # The queue of a connection holds 128 messages.
            for number in range(100):
                self.peer_a.send(self.peer_b, 100 * block + number)
            self.peer_b.wait(100 * (block + 1))
        other_greenlet.join(timeout=WAIT_TIMEOUT_SECONDS)
        offsets = [
            message.from_offset
            for _, message in self.peer_b.received
            if isinstance(message, configuration.ConfigurationRequest)
        ]
        self.assertEqual(list(range(300)), offsets)
        self.assertGreater(len(set(received_counts)), 3)

    def test_thread_count_is_independent_of_the_processors(self) -> None:
        """Guard against 30 threads in each of the processes of a machine."""
        program = (
            'import os; from tests.functional.test_peers import Peer;'
            " Peer('x').transport.start();"
            " print(len(os.listdir('/proc/self/task')))"
        )
        result = subprocess.run(
            [sys.executable, '-c', program],
            stdout=subprocess.PIPE,
            check=True,
        )
        self.assertLessEqual(int(result.stdout), 8)

    def test_silent_connection_is_replaced(self) -> None:
        """Guard against a connection that stays open but delivers nothing."""
        relay = Relay(self.peer_b.address)
        self.addCleanup(relay.close)
        # The receiver is reached at the address of the relay.
        self.peer_b.codec.peer_address = relay.address
        transport = self.peer_a.transport
        transport.send(relay.address, build_request(1))
        self.peer_b.wait(1)
        relay.freeze()
        transport.send(relay.address, build_request(2))
        gevent.sleep(0.3)
        self.assertEqual(1, len(self.peer_b.received))
        transport.reconnect(relay.address)
        transport.send(relay.address, build_request(3))
        self.peer_b.wait(2)
        requests = [message for _, message in self.peer_b.received]
        self.assertEqual([build_request(1), build_request(3)], requests)

    def test_new_connection_is_not_replaced_within_a_second(self) -> None:
        """Guard against the loss of messages queued for a new connection.

        Each of several failed probes used to replace the connection again.
        """
        address = self.peer_b.address
        transport = self.peer_a.transport
        transport.send(address, build_request(1))
        self.peer_b.wait(1)
        replaced = [transport.reconnect(address) for _ in range(3)]
        self.assertEqual([True, False, False], replaced)
        transport.send(address, build_request(2))
        transport.reconnect(address)
        self.peer_b.wait(2)
        self.assertEqual(1, transport.counts.reconnects)

    def test_empty_message_does_not_end_reception(self) -> None:
        """Guard against a node that a stranger's empty message makes deaf."""
        with pynng.Push0(dial=f'tcp://{self.peer_b.address}') as stranger:
            stranger.send(b'')
            self.peer_b.wait(1)
        self.peer_a.send(self.peer_b, 1)
        self.peer_b.wait(2)
        self.assertIsInstance(self.peer_b.errors[0], ProtocolError)
        self.assertEqual(1, len(self.peer_b.received))

    def test_error_of_the_handler_does_not_end_reception(self) -> None:
        """Guard against a node that receives nothing after one bad message."""
        codec = messages.MessageCodec(
            name='c', peer_address=find_free_address(), boot=1, keys=['key']
        )
        offsets: list[int] = []

        def receive(sender: str, message: messages.PeerMessage) -> None:
            assert isinstance(message, configuration.ConfigurationRequest)
            offsets.append(1 // message.from_offset)

        with peers.PeerTransport(codec=codec, receive=receive) as transport:
            for offset in (0, 1):
                self.peer_a.transport.send(
                    codec.peer_address, build_request(offset)
                )
            deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
            while not offsets and time.monotonic() < deadline:
                gevent.sleep(0.005)
            self.assertEqual(1, transport.counts.failed)
        self.assertEqual([1], offsets)
