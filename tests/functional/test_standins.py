"""Tests of the behaviour of stand-ins that other tests rely on."""

import json
import socket
import threading
import time
from http.client import HTTPConnection, RemoteDisconnected
from typing import Any
from urllib.error import HTTPError

from testtools import ExpectedException, TestCase

from standins.http_client import request_json
from standins.text import answer_text, answer_tokens
from tests.functional.standin_processes import running_standin

MESSAGES = ({'role': 'user', 'content': 'which pass do I need?'},)


def read_events(
    address: str, method: str, path: str, body: Any = None, **headers: str
) -> list[tuple[int, Any]]:
    """Return the offset and the chunk of each event of a stream."""
    connection = HTTPConnection(address, timeout=10)
    header_fields = {
        name.replace('_', '-'): text for name, text in headers.items()
    }
    connection.request(method, path, body and json.dumps(body), header_fields)
    text = connection.getresponse().read().decode()
    connection.close()
    events = [
        event.split('\n') for event in text.split('\n\n') if 'id: ' in event
    ]
    return [
        (int(lines[0][4:]), json.loads(lines[1].removeprefix('data: ')))
        for lines in events
    ]


def join_text(events: list[tuple[int, Any]]) -> str:
    """Return the text of the answer in a stream's chunks."""
    return ''.join(
        chunk['choices'][0]['delta'].get('content', '') for _, chunk in events
    )


class LogTest(TestCase):
    """Tests of the faults of the log service."""

    def test_append_with_lost_answer_is_stored(self) -> None:
        """Guard against a lost answer whose append is lost too."""
        with running_standin('log') as address:
            records = f'{address}/streams/configuration/records'
            request_json('PUT', f'{address}/faults', {'lose_answers': 1})
            with ExpectedException(RemoteDisconnected):
                request_json('POST', records, {'records': [{'path': 'lost'}]})
            request_json('POST', records, {'records': [{'path': 'kept'}]})
            answer = request_json('GET', records)
        self.assertEqual(
            [
                {'offset': 0, 'record': {'path': 'lost'}},
                {'offset': 1, 'record': {'path': 'kept'}},
            ],
            answer['records'],
        )

    def test_retention_and_rate_limit(self) -> None:
        """Guard against offsets that change when old records are dropped."""
        options = ('--retention-records', '2', '--appends-per-second', '1')
        with running_standin('log', *options) as address:
            records = f'{address}/streams/programs-00/records'
            request_json('POST', records, {'records': [{}, {}, {'n': 2}]})
            with ExpectedException(HTTPError, '.*429.*'):
                request_json('POST', records, {'records': [{}]})
            answer = request_json('GET', f'{records}?from=0&limit=2')
        self.assertEqual(1, answer['first_offset'])
        self.assertEqual(3, answer['next_offset'])
        self.assertEqual(
            {'offset': 2, 'record': {'n': 2}}, answer['records'][1]
        )


class EngineTest(TestCase):
    """Tests of the engine's streams, queue and cache."""

    def test_resumed_stream_returns_the_rest_of_the_answer(self) -> None:
        """Guard against a resumed stream with different or missing chunks."""
        body = {'messages': MESSAGES, 'stream': True, 'max_tokens': 12}
        path = '/v1/chat/completions'
        with running_standin('engine', '--step-seconds', '0.01') as address:
            whole = read_events(address, 'POST', path, body, X_Request_Id='r1')
            resumed = read_events(address, 'GET', '/v1/streams/r1?offset=5')
        expected = answer_text('model', MESSAGES, max_tokens=12)
        self.assertEqual(expected, join_text(whole))
        tokens = answer_tokens('model', MESSAGES, max_tokens=12)
        self.assertEqual(''.join(tokens[5:]), join_text(resumed))
        self.assertEqual(list(range(13)), [offset for offset, _ in whole])
        self.assertEqual(12, whole[-1][1]['usage']['completion_tokens'])

    def test_run_continues_after_a_disconnect(self) -> None:
        """Guard against a run that ends with its connection."""
        body = {'messages': MESSAGES, 'stream': True, 'max_tokens': 12}
        with running_standin('engine', '--step-seconds', '0.03') as address:
            connection = HTTPConnection(address, timeout=10)
            connection.request(
                'POST',
                '/v1/chat/completions',
                json.dumps(body),
                {'X-Request-Id': 'r1'},
            )
            connection.getresponse().read(10)
            connection.close()
            events = read_events(address, 'GET', '/v1/streams/r1?offset=0')
            effects = request_json('GET', f'{address}/effects')
        expected = answer_text('model', MESSAGES, max_tokens=12)
        self.assertEqual(expected, join_text(events))
        self.assertEqual({'r1': 1}, effects['by_request_id'])

    def test_waiting_requests_run_in_order_of_priority(self) -> None:
        """Guard against a queue that ignores the priority."""
        finished: list[str] = []

        def complete(address: str, name: str, priority: str) -> None:
            request_json(
                'POST',
                f'{address}/v1/chat/completions',
                {'messages': MESSAGES, 'max_tokens': 10},
                headers={'X-Request-Id': name, 'X-Priority': priority},
            )
            finished.append(name)

        options = ('--slots', '1', '--step-seconds', '0.03')
        with running_standin('engine', *options) as address:
            threads = []
            for name, priority in (('a', '5'), ('b', '9'), ('c', '1')):
                thread = threading.Thread(
                    target=complete, args=(address, name, priority)
                )
                thread.start()
                threads.append(thread)
                time.sleep(0.1)
            for started in threads:
                started.join(10)
        self.assertEqual(['a', 'c', 'b'], finished)

    def test_eviction_of_unused_prefix_is_counted(self) -> None:
        """Guard against wrong totals of used, evicted and released tokens."""
        options = ('--cache-tokens', '260', '--step-seconds', '0.005')
        with running_standin('engine', *options) as address:
            for session, size in (('p1', 400), ('p1', 400), ('p2', 800)):
                request_json(
                    'POST',
                    f'{address}/v1/chat/completions',
                    {
                        'messages': [{'role': 'user', 'content': 'x' * size}],
                        'max_tokens': 20,
                    },
                    headers={'X-Session': session},
                )
            totals = request_json('GET', f'{address}/v1/cache/totals')
            request_json('POST', f'{address}/v1/sessions/p2/release')
            sessions = request_json('GET', f'{address}/v1/sessions')
        self.assertEqual(340, totals['filled_tokens'])
        self.assertEqual(100, totals['used_tokens'])
        self.assertEqual(120, totals['evicted_tokens'])
        self.assertEqual(20, totals['evicted_unused_tokens'])
        self.assertEqual({'p2': 220}, totals['held_tokens_by_session'])
        self.assertEqual([], sessions['sessions'])

    def test_order_with_stale_fencing_number_is_refused(self) -> None:
        """Guard against an engine that accepts orders of a former holder."""
        with running_standin('engine') as address:
            order = {'kind': 'set_role', 'name': 'prefill', 'fencing': 2}
            request_json('POST', f'{address}/v1/orders', order)
            stale = order | {'name': 'decode', 'fencing': 1}
            with ExpectedException(HTTPError, '.*409.*'):
                request_json('POST', f'{address}/v1/orders', stale)
            request_json('PUT', f'{address}/faults', {'ignore_fencing': True})
            request_json('POST', f'{address}/v1/orders', stale)
            state = request_json('GET', f'{address}/v1/state')
        self.assertEqual('decode', state['role'])


class ServiceTest(TestCase):
    """Tests of the counts by which other tests detect duplicate runs."""

    def test_runs_are_counted_while_answers_hang(self) -> None:
        """Guard against runs that are not counted because no answer is sent."""
        with running_standin('tool') as address:
            for _ in range(2):
                request_json(
                    'POST',
                    f'{address}/calls/book',
                    {'business_key': 'hangar-7'},
                    headers={'X-Request-Id': 'r1'},
                )
            request_json('PUT', f'{address}/faults', {'hang': True})
            connection = HTTPConnection(address, timeout=0.5)
            connection.request('POST', '/calls/book', '{}')
            with ExpectedException(TimeoutError):
                connection.getresponse()
            connection.close()
            effects = request_json('GET', f'{address}/effects')
        self.assertEqual({'hangar-7': 2}, effects['by_business_key'])
        self.assertEqual(2, effects['by_request_id']['r1'])
        self.assertEqual(2, len(effects['by_request_id']))


class RelayTest(TestCase):
    """Tests of the fault of silent connections."""

    def test_only_open_connections_become_silent(self) -> None:
        """Guard against relays that close connections or silence new ones."""
        with running_standin('log') as target:
            with running_standin('relay', '--target', target) as addresses:
                relay, control = addresses.split()
                silent = HTTPConnection(relay, timeout=0.5)
                silent.request('GET', '/streams')
                silent.getresponse().read()
                request_json(
                    'PUT', f'{control}/connections', {'silent': ['to_client']}
                )
                silent.request('GET', '/streams')
                with ExpectedException(socket.timeout):
                    silent.getresponse()
                self.assertEqual({}, request_json('GET', f'{relay}/streams'))
                request_json('PUT', f'{control}/connections', {'silent': []})
                self.assertTrue(silent.sock.recv(100).startswith(b'HTTP/1.1'))
                silent.close()


class VmListTest(TestCase):
    """Tests of the lag of the VM list."""

    def test_answers_lag_behind_updates(self) -> None:
        """Guard against a list that shows updates immediately."""
        with running_standin('vm_list', '--lag-seconds', '0.5') as address:
            request_json('PUT', f'{address}/vms', {'vms': [{'id': 'a'}]})
            early = request_json('GET', f'{address}/vms')
            time.sleep(0.6)
            late = request_json('GET', f'{address}/vms')
        self.assertEqual([], early['vms'])
        self.assertEqual([{'id': 'a'}], late['vms'])
