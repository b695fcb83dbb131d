"""Tests of requests with bytes behind them that cannot be read."""

import itertools
import traceback

import testtools

from bronzepost._internal.exceptions import ProtocolError
from bronzepost._internal.gateway.callers import caller_connections
from bronzepost._internal.gateway.callers.request_reader import (
    MAX_PARSED,
    RequestReader,
)
from tests.builders_gateway import make_route
from tests.builders_gateway_servers import (
    LIMITS,
    READ_BYTES,
    CallerSocket,
    ScriptedServer,
    answer_with,
    make_request,
    open_gateway,
)

STREAM = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Content-Length: 9\r\n\r\ndata: a\n\n'
)
UNREADABLE = b'no request\r\n\r\n'
UPGRADE = make_request(b'Connection: upgrade', b'Upgrade: websocket')
LARGE_HEAD = make_request(b'X: %b' % (b'a' * 2 * LIMITS.header_bytes))
LARGE_BODY = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n' % (
    2 * LIMITS.body_bytes
)
READER_BYTES = 65536


def read_statuses(caller: CallerSocket) -> list[int]:
    """Return the status of each answer until the connection is closed."""
    received = b''.join(iter(lambda: caller.sock.recv(READ_BYTES), b''))
    return [
        int(part[: len('200')]) for part in received.split(b'HTTP/1.1 ')[1:]
    ]


class TestBytesBehindRequests(testtools.TestCase):
    """A caller sends requests and, in the same block, bytes that are none."""

    def test_request_is_answered_before_the_refusal(self) -> None:
        """Guard against a refusal in place of the answer to another request."""
        for behind, status in (
            (UNREADABLE, 400),
            (UPGRADE, 400),
            (LARGE_HEAD, 431),
            (LARGE_BODY, 413),
        ):
            statuses, runs = self.send(make_request() + behind)
            self.assertEqual(([200, status], 1), (statuses, runs))

    def test_all_requests_before_are_answered(self) -> None:
        """Guard against a refusal in place of a request that is waiting."""
        count = MAX_PARSED + 2
        statuses, runs = self.send(make_request() * count + UNREADABLE)
        self.assertEqual(
            ((*itertools.repeat(200, count), 400), count),
            (tuple(statuses), runs),
        )

    def test_bytes_behind_the_last_request_are_not_answered(self) -> None:
        """Guard against an answer to no request after ``Connection: close``."""
        last = make_request(b'Connection: close')
        self.assertEqual(([200], 1), self.send(last + UNREADABLE))

    def test_request_behind_unreadable_bytes_is_not_run(self) -> None:
        """Guard against requests that are found in unreadable bytes."""
        content = make_request() + UNREADABLE + make_request()
        self.assertEqual(([200, 400], 1), self.send(content))

    def test_request_for_an_upgrade_is_refused(self) -> None:
        """Guard against a request that is run as if it asked for no upgrade."""
        self.assertEqual(([400], 0), self.send(UPGRADE))

    def test_draining_gateway_answers_both(self) -> None:
        """Guard against a close before the refusal that is still to come."""
        statuses, runs = self.send(
            make_request() + UNREADABLE, is_draining=True
        )
        self.assertEqual(([200, 400], 1), (statuses, runs))

    def test_refusal_is_logged_once(self) -> None:
        """Guard against an error that is kept and never logged."""
        events: list[str] = []
        self.patch(
            caller_connections,
            'emit',
            lambda event, **_: events.append(event.event_name),
        )
        self.send(make_request() + UNREADABLE)
        self.assertEqual(['request_unreadable'], events)

    def send(
        self, content: bytes, *, is_draining: bool = False
    ) -> tuple[list[int], int]:
        """Return the statuses of the answers, and how many requests ran."""
        server = ScriptedServer(script=answer_with(STREAM))
        self.addCleanup(server.close)
        with open_gateway(make_route(), server) as gateway:
            if is_draining:
                gateway.server.drain()
            statuses = read_statuses(gateway.call(content))
        return statuses, len(server.requests)


class TestKeptError(testtools.TestCase):
    """A reader that has an error behind complete requests."""

    def test_error_is_raised_once_the_requests_are_taken(self) -> None:
        """Guard against an error that is lost with later bytes."""
        reader = self.read(make_request() + UNREADABLE)
        reader.feed(make_request())
        self.assertEqual(1, len(reader.requests))
        reader.requests.clear()
        self.assertIs(False, reader.is_between_requests)
        self.assertRaises(ProtocolError, reader.feed, b'')
        self.assertEqual(0, len(reader.requests))

    def test_error_does_not_keep_the_bytes_in_memory(self) -> None:
        """Guard against memory that no account knows of while a request runs."""
        reader = self.read(make_request() + UNREADABLE)
        reader.requests.clear()
        error = self.assertRaises(ProtocolError, reader.feed, b'')
        causes = (error.__cause__, error.__context__)
        self.assertEqual((None, None), causes)
        frames = traceback.extract_tb(error.__traceback__)
        self.assertEqual(
            [], [frame.name for frame in frames if 'piece' in frame.name]
        )

    def read(self, content: bytes) -> RequestReader:
        """Return a reader that was fed."""
        reader = RequestReader(
            header_bytes=READER_BYTES, body_bytes=READER_BYTES
        )
        reader.feed(content)
        return reader
