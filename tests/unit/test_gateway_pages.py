"""Tests of the pages with the state of a gateway."""

import socket
from collections.abc import Mapping
from http import HTTPStatus

import testtools

from bronzepost._internal.gateway.callers.answer_reader import (
    AnswerReader,
)
from bronzepost._internal.gateway.callers.pages import Page, start_page_server
from tests.builders_gateway_servers import CallerSocket

PATH = '/api/resolve'


def find_port() -> int:
    """Return a free port of the loopback interface."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port: int = probe.getsockname()[1]
        return port


class PageTests(testtools.TestCase):
    """Pages answer the platform and operators, also after errors."""

    def setUp(self) -> None:
        """Serve a page that returns a parameter of its query."""
        super().setUp()
        self.status = HTTPStatus.OK
        port = find_port()
        server = start_page_server(f'127.0.0.1:{port}', PATH, self.render)
        self.addCleanup(server.stop)
        self.caller = CallerSocket(address=('127.0.0.1', port))

    def render(self, query: Mapping[str, str]) -> Page:
        """Return the zone of the query, or raise for the zone ``broken``."""
        if query.get('zone') == 'broken':
            raise ValueError('broken')
        return Page(status=self.status, body=query.get('zone', '').encode())

    def send(self, target: str, *, method: str = 'GET') -> tuple[int, bytes]:
        """Send a request; return the status and body of the answer."""
        lines = (f'{method} {target} HTTP/1.1', 'Host: a', '', '')
        self.caller.sock.sendall('\r\n'.join(lines).encode())
        answer: AnswerReader = self.caller.read_answer()
        assert answer.head is not None
        return answer.head.status, answer.pop_body()

    def test_requests_on_one_connection(self) -> None:
        """Guard against a health check that must connect for each request."""
        self.assertEqual((200, b'hall b'), self.send(f'{PATH}?zone=hall%20b'))
        self.status = HTTPStatus.SERVICE_UNAVAILABLE
        self.assertEqual((503, b''), self.send(PATH))

    def test_other_requests_are_refused(self) -> None:
        """Guard against a page that answers other paths and methods."""
        self.assertEqual(404, self.send('/api/readyz')[0])
        self.assertEqual(405, self.send(PATH, method='DELETE')[0])
        self.assertEqual((200, b'a'), self.send(f'{PATH}?zone=a'))

    def test_unexpected_error_is_answered(self) -> None:
        """Guard against a connection that breaks on an unexpected error."""
        status, body = self.send(f'{PATH}?zone=broken')
        self.assertEqual(500, status)
        self.assertIn(b'"internal"', body)
        self.assertEqual((200, b'a'), self.send(f'{PATH}?zone=a'))
