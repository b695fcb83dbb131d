"""A refusal that a faulty server repeats is not taken for the next answer."""

import math
from typing import Any

import testtools
from gevent import socket

from bronzepost._internal.gateway.links.backend_connections import (
    REMEMBERED_REFUSALS,
    BackendConnection,
    ConnectionPool,
)
from bronzepost._internal.gateway.links.backend_exchange import BackendExchange

ADDRESS = '127.0.0.1:1'
MAX_IDLE_SECONDS = 9.0
REFUSAL = (
    b'HTTP/1.1 503 Full\r\nRequest-Id: %b\r\nNot-Run: 1\r\nContent-Length: 0'
    b'\r\n\r\n'
)
REFUSAL_WITHOUT_ID = (
    b'HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n'
)


class TestRefusals(testtools.TestCase):
    """A refused request is sent again, to the same server among others."""

    def setUp(self) -> None:
        """Open a connection to a server that refuses."""
        super().setUp()
        self.pool = ConnectionPool()
        own, server = socket.socketpair()
        self.server = server
        self.addCleanup(own.close)
        self.addCleanup(server.close)
        self.connection = BackendConnection(
            sock=own, address=ADDRESS, usable_until=math.inf
        )

    def refuse(self, request_id: str, refusal: bytes = b'') -> bool:
        """Send a request that the server refuses; return if that is certain."""
        exchange = BackendExchange(
            pool=self.pool,
            connection=self.connection,
            request_id=request_id.encode(),
            id_header=b'request-id',
            step='test',
        )
        with exchange:
            exchange.send(b'POST /a HTTP/1.1\r\n\r\n', b'')
            self.server.sendall(refusal or REFUSAL % request_id.encode())
            exchange.read_head()
            return exchange.confirm_refusal()

    def find(self, request_id: str) -> Any:
        """Return the connection that a request may use, if any."""
        return self.pool.find_idle(
            ADDRESS, MAX_IDLE_SECONDS, request_id=request_id
        )

    def test_next_attempt_uses_another_connection(self) -> None:
        """The refusal of the first attempt was taken for that of the second.

        The request ran, and its caller was told that it had not.
        """
        self.refuse('q-1')
        self.assertIsNone(self.find('q-1'))

    def test_refusal_without_an_id_promises_nothing(self) -> None:
        """Callers were told that a request had not run, which had."""
        self.assertIs(True, self.refuse('q-1'))
        self.assertIs(False, self.refuse('q-2', REFUSAL_WITHOUT_ID))

    def test_other_requests_use_the_connection(self) -> None:
        """Guard against a new connection for each refusal of a full server."""
        self.refuse('q-1')
        self.assertIsNone(self.find('q-1'))
        self.assertIs(self.connection, self.find('q-2'))

    def test_remembered_refusals_are_bounded(self) -> None:
        """Guard against memory that grows with each refusal."""
        for number in range(REMEMBERED_REFUSALS + 1):
            self.refuse(f'q-{number}')
            self.assertIs(self.connection, self.find('other'))
        self.assertEqual(REMEMBERED_REFUSALS, len(self.connection.refused_ids))
