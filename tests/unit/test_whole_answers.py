"""Tests of answers that are read whole."""

from typing import Any, Final

import gevent
import testtools

from bronzepost._internal.core.gateway.held_bytes import HeldKind
from bronzepost._internal.exceptions import ExchangeError
from bronzepost._internal.gateway.callers.http_messages import HttpRequest
from bronzepost._internal.gateway.links.backend_connections import (
    ConnectionPool,
)
from bronzepost._internal.gateway.links.http_call import GET, HttpService
from tests.builders_gateway_servers import (
    Endless,
    ScriptedServer,
    make_answer,
)

TIMEOUT_SECONDS: Final = 1.5
# The largest page of the store: 1 MB of records in base64, with 500 keys.
PAGE_BYTES: Final = 1_600_000
# What a whole answer may take, with what is in the buffers of the sockets.
MAX_SENT_BYTES: Final = 32_000_000
BLOCK: Final = b'a' * 65536


class WholeAnswerTests(testtools.TestCase):
    """Calls whose answers are read whole."""

    def make_service(self, script: Any) -> HttpService:
        """Return a service that a script answers."""
        server = ScriptedServer(script=script)
        self.addCleanup(server.close)
        return HttpService(
            address=server.address,
            pool=ConnectionPool(),
            timeout_seconds=TIMEOUT_SECONDS,
        )

    def test_answer_without_end(self) -> None:
        """Guards against an answer that is kept until the timeout."""
        endless = Endless(start=b'HTTP/1.1 200 OK\r\n\r\n', block=BLOCK)
        service = self.make_service(endless.send)
        error = self.assertRaises(
            ExchangeError, service.call, GET, '/page', step='read page'
        )
        self.assertIn('bytes', str(error))
        self.assertIn('read page', str(error))
        self.assertIn(service.address, str(error))
        self.assertLess(endless.sent_bytes, MAX_SENT_BYTES)

    def test_largest_page(self) -> None:
        """Guards against a bound that breaks off pages of the store."""
        page = b'a' * PAGE_BYTES

        def answer(sock: Any, _request: HttpRequest) -> bool:
            sock.sendall(make_answer(page))
            return True

        service = self.make_service(answer)
        for _ in range(2):
            whole = service.call(GET, '/page', step='read page')
            self.assertEqual(page, whole.body)
        self.assertEqual(1, service.pool.opened_count)

    def test_body_is_counted_while_it_arrives(self) -> None:
        """Guards against answers that are not in the account of held bytes."""

        def answer(sock: Any, _request: HttpRequest) -> bool:
            sock.sendall(make_answer(b'a' * PAGE_BYTES)[:-1])
            gevent.sleep(TIMEOUT_SECONDS / 2)
            sock.sendall(b'a')
            return True

        service = self.make_service(answer)
        call = gevent.spawn(service.call, GET, '/page', step='read page')
        gevent.sleep(TIMEOUT_SECONDS / 4)
        held = service.pool.memory.bytes_by_kind
        self.assertGreaterEqual(held[HeldKind.ANSWERS], PAGE_BYTES - 1)
        self.assertEqual(PAGE_BYTES, len(call.get().body))
        self.assertEqual(0, held[HeldKind.ANSWERS])
