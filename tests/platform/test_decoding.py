"""Tests of decoding the platform's headers and documents, also invalid ones."""

import re
import struct
from pathlib import Path
from typing import Any

import msgspec
import testtools
from bronzepost_platform.headers import decode_call
from bronzepost_platform.registry import decode_configuration
from bronzepost_platform.server_entries import decode_server
from bronzepost_platform.settings import decode_settings
from bronzepost_platform.store import StoreClient

from bronzepost._internal.core.gateway.entities import RouteKind
from bronzepost._internal.exceptions import LogServiceError, SettingsError
from bronzepost._internal.gateway.links.backend_connections import (
    ConnectionPool,
)
from bronzepost._internal.gateway.links.http_call import HttpService
from tests.builders_gateway_servers import ScriptedServer, answer_with
from tests.platform.builders_platform import (
    TOKENS_PER_EVENT,
    make_configuration,
    make_entry,
    make_settings,
)

ROOT = Path(__file__).resolve().parent.parent.parent
# Names of the platform's formats, allowed in the adapter only.
PLATFORM_NAMES = (
    'Server-Stamp',
    'Not-Executed',
    'Expect-Instance',
    'Token-Usage',
    'Token-Budget',
    'Prompt-Prefix',
    'Finish-Ms',
    'Deadline-Ms',
    'log-append',
    'log-newest',
    'log-read',
    'pathPrefix',
    'routeType',
    'retainHistory',
    'kvCapacityTokens',
    'coldRemainingMs',
    'keyed.op',
    'keyed.servers',
)
# The end and the first retained offset, then records of two bytes and of one.
TWO_RECORDS = struct.pack('>QQI2sI1s', 5, 0, 2, b'ab', 1, b'c')
RECORD_ENDS = (16, 22)
UNTIL_CLOSE = b'HTTP/1.1 200 OK\r\n\r\n'
FOLDERS_OUTSIDE_ADAPTER = ('src', 'standins', 'benchmarks', 'demo', 'capacity')


def has_name(text: str, name: str) -> bool:
    """Return whether a name occurs, other than at the end of a longer one."""
    pattern = rf'(?<![-\w]){re.escape(name)}(?!\w)'
    return re.search(pattern, text, re.IGNORECASE) is not None


class TestHeaders(testtools.TestCase):
    """Headers of requests are decoded."""

    def test_headers_of_a_turn(self) -> None:
        call = decode_call((
            (b'Request-Id', b'q'),
            (b'Program-Id', b'p'),
            (b'Session-Id', b's'),
            (b'Finish-Ms', b'5200'),
            (b'Token-Budget', b'4600'),
            (b'Token-Usage', b'1840,575'),
            (b'Prompt-Prefix', b'5c:800,e4:250'),
            (b'Deadline-Ms', b'3000'),
            (b'Previous-Turn', b't'),
        ))
        self.assertIs(True, call.is_turn)
        self.assertEqual(3.0, call.deadline_seconds)
        self.assertEqual(575, call.max_output_tokens)
        self.assertEqual(250, call.unshared_tokens)
        self.assertEqual('t', call.previous_turn)

    def test_headers_of_a_resumed_stream(self) -> None:
        call = decode_call((
            (b'Request-Id', b'q2'),
            (b'Resumes', b'q1'),
            (b'Last-Event-Id', b'7'),
        ))
        self.assertEqual('q1', call.resumed_request)
        self.assertEqual('7', call.resume_after)

    def test_invalid_values_are_ignored(self) -> None:
        call = decode_call((
            (b'Deadline-Ms', b'soon'),
            (b'Token-Usage', b'-1,x'),
            (b'Prompt-Prefix', b':,a,b:c'),
        ))
        self.assertIsNone(call.deadline_seconds)
        self.assertEqual((), call.prompt_parts)


class TestConfiguration(testtools.TestCase):
    """Configurations that the operator publishes are decoded."""

    def test_routes(self) -> None:
        body = msgspec.json.encode(make_configuration())
        configuration = decode_configuration(body)
        assert configuration is not None
        chat, lookup = configuration.routes
        self.assertIs(RouteKind.STREAM, chat.kind)
        self.assertIs(True, chat.keeps_history)
        self.assertEqual((('desks', 90.0), ('desks2', 10.0)), lookup.services)
        engine = configuration.services_by_name['engines'].engine
        assert engine is not None
        self.assertEqual(TOKENS_PER_EVENT, engine.tokens_per_event)

    def test_unknown_kind_is_refused(self) -> None:
        document = make_configuration()
        document['routes'][0]['routeType'] = 'other'
        body = msgspec.json.encode(document)
        self.assertIsNone(decode_configuration(body))

    def test_invalid_json_is_refused(self) -> None:
        self.assertIsNone(decode_configuration(b'\xff\x00'))


class TestEntries(testtools.TestCase):
    """Entries of servers are decoded; invalid ones are ignored."""

    def decode(self, **changes: Any) -> Any:
        return decode_server('i-1', msgspec.json.encode(make_entry(**changes)))

    def test_ready_server(self) -> None:
        server = self.decode()
        self.assertEqual('engines', server.service)
        self.assertIs(False, server.is_draining)

    def test_draining_server(self) -> None:
        self.assertIs(True, self.decode(state='draining').is_draining)

    def test_invalid_entries_are_ignored(self) -> None:
        invalid: tuple[dict[str, Any], ...] = (
            {'state': 'sleeping'},
            {'address': 'no port'},
            {'address': 7},
            {'slotCount': 'many'},
            {'version': 2},
            {'born': 1.5},
            {'upstream': None},
        )
        for changes in invalid:
            self.assertIsNone(self.decode(**changes))

    def test_incomplete_or_undecodable_entries_are_ignored(self) -> None:
        for body in (b'{}', b'[]', b'\xff', b''):
            self.assertIsNone(decode_server('i-1', body))


class TestSettings(testtools.TestCase):
    """Settings files of processes are decoded."""

    def test_addresses(self) -> None:
        settings = decode_settings(make_settings())
        self.assertEqual('127.0.0.1:7380', settings.peer_address)
        self.assertEqual(('127.0.0.2:7380',), settings.seeds)
        self.assertEqual(8.0, settings.grace_seconds)

    def test_error_names_the_invalid_field(self) -> None:
        content = make_settings(portRange=['a', 'b'])
        error = self.assertRaises(SettingsError, decode_settings, content)
        self.assertIs(True, 'portRange' in str(error))


class TestBoundary(testtools.TestCase):
    """Names of the platform's formats occur in the adapter only."""

    def test_no_platform_name_outside_the_adapter(self) -> None:
        for folder in FOLDERS_OUTSIDE_ADAPTER:
            for path in (ROOT / folder).rglob('*.py'):
                text = path.read_text(encoding='utf-8')
                found = [
                    name for name in PLATFORM_NAMES if has_name(text, name)
                ]
                self.assertEqual([], found, path.name)

    def test_folder_does_not_hide_the_standard_module(self) -> None:
        """Guard against libraries that import the folder by mistake."""
        init_file = ROOT / 'platform' / '__init__.py'
        self.assertIs(False, init_file.exists())


class TestReads(testtools.TestCase):
    """Answers of the store to reads."""

    def read(self, body: bytes) -> Any:
        server = ScriptedServer(
            script=answer_with(UNTIL_CLOSE + body, stays_open=False)
        )
        self.addCleanup(server.close)
        service = HttpService(
            address=server.address, pool=ConnectionPool(), timeout_seconds=2.0
        )
        client = StoreClient(service=service, partitions=1)
        return client.read_records('op', 0, start=3, wait_seconds=0)

    def test_records_have_their_offsets(self) -> None:
        self.assertEqual([(3, b'ab'), (4, b'c')], self.read(TWO_RECORDS))

    def test_cut_answer_is_an_error(self) -> None:
        """Guard against a cut configuration that replaces the one in force.

        An answer without a length may end with its connection.
        """
        sizes = set(range(len(TWO_RECORDS))).difference(RECORD_ENDS)
        for size in sorted(sizes):
            self.assertRaises(LogServiceError, self.read, TWO_RECORDS[:size])
