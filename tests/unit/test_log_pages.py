"""Tests of pages of the log service that hold large records."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import parse_qs

import msgspec
from gevent.pywsgi import WSGIServer
from testtools import TestCase

from bronzepost._internal.exceptions import LogServiceError
from bronzepost._internal.node.callers.http_exchange import MAX_ANSWER_BYTES
from bronzepost._internal.node.ledger.log_client import LogPage
from tests.builders_node import build_log_client

_RECORD_BYTES: Final = 100_000
_RECORD_COUNT: Final = 2 * MAX_ANSWER_BYTES // _RECORD_BYTES
_HISTORY_BYTES: Final = 2_000_000


class TestLargePages(TestCase):
    """Reads of a log whose records are large."""

    def setUp(self) -> None:
        """Start a log service on the loopback address."""
        super().setUp()
        self.record_bytes = _RECORD_BYTES
        self.server = WSGIServer(('127.0.0.1', 0), self.answer, log=None)
        self.server.start()
        self.addCleanup(self.server.stop)

    def answer(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Answer with as many records as were asked for."""
        query = parse_qs(environ['QUERY_STRING'])
        first = int(query['from'][0])
        last = min(first + int(query['limit'][0]), _RECORD_COUNT)
        record = {'text': 'x' * self.record_bytes}
        page = {
            'records': [
                {'offset': offset, 'record': record}
                for offset in range(first, last)
            ],
            'first_offset': 0,
            'next_offset': _RECORD_COUNT,
        }
        start_response(f'{HTTPStatus.OK.value} OK', [])
        return [msgspec.json.encode(page)]

    def read(self, limit: int) -> LogPage:
        """Read a page from the first offset."""
        log = build_log_client(f'127.0.0.1:{self.server.server_port}')
        return log.read_records('programs-01', 0, limit)

    def test_page_above_the_bound_is_read_in_smaller_ones(self) -> None:
        """Guards against a partition that a bound makes unreadable."""
        page = self.read(limit=1000)
        offsets = [offset for offset, _record in page.records]
        self.assertEqual(list(range(100)), offsets)
        self.assertEqual(_RECORD_COUNT, page.next_offset)

    def test_history_of_megabytes_is_read(self) -> None:
        """Guards against a bound below what programs keep."""
        self.record_bytes = _HISTORY_BYTES
        self.assertEqual(5, len(self.read(limit=5).records))

    def test_record_above_the_bound_is_an_error(self) -> None:
        """Guards against reads without end of a record that is too large."""
        self.record_bytes = MAX_ANSWER_BYTES
        error = self.assertRaises(LogServiceError, self.read, limit=1000)
        self.assertIn('read programs-01', str(error))
