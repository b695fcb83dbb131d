"""Tests of the pages that a gateway serves about itself."""

import socket
from collections.abc import Mapping
from http import HTTPStatus

import testtools

from bronzepost._internal.gateway.http_messages import AnswerReader
from bronzepost._internal.gateway.pages import Page, serve_page
from tests.builders_gateway_servers import CallerSocket

PATH = '/api/resolve'


def find_port() -> int:
    """Return a free port of the loopback interface."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port: int = probe.getsockname()[1]
        return port


class PageTests(testtools.TestCase):
    """Guard what the platform and operators ask a VM for."""

    def setUp(self) -> None:
        """Serve a page that shows its query."""
        super().setUp()
        self.status = HTTPStatus.OK
        port = find_port()
        server = serve_page(f'127.0.0.1:{port}', PATH, self.render)
        self.addCleanup(server.stop)
        self.caller = CallerSocket(address=('127.0.0.1', port))

    def render(self, query: Mapping[str, str]) -> Page:
        """Return the zone of the query, or fail for the zone ``broken``."""
        if query.get('zone') == 'broken':
            raise ValueError('broken')
        return Page(status=self.status, body=query.get('zone', '').encode())

    def ask(self, target: str, *, method: str = 'GET') -> tuple[int, bytes]:
        """Return status and body of an answer."""
        lines = (f'{method} {target} HTTP/1.1', 'Host: a', '', '')
        self.caller.sock.sendall('\r\n'.join(lines).encode())
        answer: AnswerReader = self.caller.read_answer()
        assert answer.head is not None
        return answer.head.status, answer.take_body()

    def test_requests_on_one_connection(self) -> None:
        """Guard against a probe that has to connect again for each answer."""
        self.assertEqual((200, b'hall b'), self.ask(f'{PATH}?zone=hall%20b'))
        self.status = HTTPStatus.SERVICE_UNAVAILABLE
        self.assertEqual((503, b''), self.ask(PATH))

    def test_other_requests_are_refused(self) -> None:
        """Guard against an answer to a request of something else."""
        self.assertEqual(404, self.ask('/api/readyz')[0])
        self.assertEqual(405, self.ask(PATH, method='DELETE')[0])
        self.assertEqual((200, b'a'), self.ask(f'{PATH}?zone=a'))

    def test_error_is_answered(self) -> None:
        """Guard against a connection that breaks on an unexpected error."""
        status, body = self.ask(f'{PATH}?zone=broken')
        self.assertEqual(500, status)
        self.assertIn(b'"internal"', body)
        self.assertEqual((200, b'a'), self.ask(f'{PATH}?zone=a'))
