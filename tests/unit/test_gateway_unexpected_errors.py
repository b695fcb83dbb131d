"""Tests of requests whose handling fails with an error of the VM itself."""

import contextlib
import errno

import testtools

from bronzepost._internal.gateway.callers.caller_answer import (
    CallerAnswer,
)
from bronzepost._internal.gateway.callers.caller_server import CallerServer
from bronzepost._internal.gateway.callers.http_messages import HttpRequest
from bronzepost._internal.gateway.callers.stopping import StoppingError
from tests.builders_gateway_servers import (
    LIMITS,
    CallerSocket,
    find_port,
    make_request,
)

ERRORS = (
    OSError(errno.EMFILE, 'Too many open files'),
    KeyError('server'),
    StoppingError(),
)


class TestUnexpectedErrors(testtools.TestCase):
    """The handler of requests raises."""

    def call(self, error: Exception) -> int:
        """Return the status of the answer, 0 without one."""

        def fail(_request: HttpRequest, _answer: CallerAnswer) -> None:
            raise error

        port = find_port()
        server = CallerServer(
            address=f'127.0.0.1:{port}', answer=fail, read_limits=lambda: LIMITS
        )
        server.start()
        self.addCleanup(server.stop)
        caller = CallerSocket(address=('127.0.0.1', port))
        with contextlib.closing(caller.sock):
            caller.sock.sendall(make_request())
            head = caller.read_answer().head
        return head.status if head else 0

    def test_request_is_answered_in_spite_of_an_error(self) -> None:
        """Guard against a connection that ends without an answer."""
        statuses = {self.call(error) for error in ERRORS}
        self.assertEqual({500}, statuses)
