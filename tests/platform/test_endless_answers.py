"""Tests of a gateway process whose backend servers send bytes without end."""

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any, Final

import gevent
import testtools
from gevent import subprocess as gevent_subprocess

from tests.builders_gateway_servers import CallerSocket, ScriptedServer
from tests.endless_peers import (
    DEADLINE_MS,
    EVENT_BYTES,
    HISTORY_EVENTS,
    LARGE_BYTES,
    LOOPBACK,
    TOKENS,
    CallOutcome,
)
from tests.platform.builders_platform import (
    HOST,
    make_configuration,
    make_entry,
)
from tests.platform.gateway_vm import ROOT, Vm
from tests.platform.standin_store import StandinStore
from tests.platform.test_slow_readers import (
    answer_small,
    make_call,
    read_status,
)

FAULTY_CALLS: Final = 100
# The memory limit of the smallest VM of the sites in force.
MEMORY_BYTES: Final = 160_000_000
BYTES_PER_KB: Final = 1024
# Other callers are answered, and deadlines met, within this time.
MAX_DELAY_SECONDS: Final = 0.5
PAUSE_SECONDS: Final = 0.02
ROUTE_TYPES: Final = ('streaming', 'idempotent', 'non_idempotent')


def make_routes() -> dict[str, Any]:
    """Return a configuration with a route of each type to the faulty servers."""
    document = make_configuration()
    chat, first = document['routes']
    document['routes'] = [
        {
            'name': name,
            'host': HOST,
            'pathPrefix': f'/{name}/',
            'routeType': name if name in ROUTE_TYPES else 'non_idempotent',
            'timeoutMs': 15000,
            'targetLatencyMs': first.get('targetLatencyMs', 1000),
            'upstream': name,
        }
        for name in (*ROUTE_TYPES, 'small')
    ]
    engines = document['upstreams'][0]
    document['upstreams'] = [
        {'name': name, 'maxConnections': 250}
        for name in (*ROUTE_TYPES, 'small')
    ]
    turns = {'name': 'turns', 'pathPrefix': '/turns/', 'upstream': 'turns'}
    document['routes'].append({**chat, **turns, 'timeoutMs': 15000})
    document['upstreams'].append({**engines, 'name': 'turns'})
    return document


class EndlessAnswersCase(testtools.TestCase):
    """A VM with faulty servers, and a sound one for other callers."""

    def setUp(self) -> None:
        """Start the store, the servers and a VM."""
        super().setUp()
        store = StandinStore()
        self.addCleanup(store.close)
        sound = ScriptedServer(script=answer_small)
        self.addCleanup(sound.close)
        addresses = [
            (name, self.start_server()) for name in (*ROUTE_TYPES, 'turns')
        ]
        for name, address in (*addresses, ('small', sound.address)):
            entry = make_entry(upstream=name, address=address, slotCount=250)
            store.put('keyed.servers', f'i-{name}', entry)
        store.put('keyed.op', 'config', make_routes())
        self.vm = Vm(test=self, number=21, store=store.address)
        self.vm.wait_until_ready()

    def start_server(self) -> str:
        """Start a process of servers and return its address."""
        process = subprocess.Popen(
            [sys.executable, '-m', 'tests.endless_peers', 'serve'],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        assert process.stdout is not None
        self.addCleanup(process.stdout.close)
        return f'{LOOPBACK}:{int(process.stdout.readline())}'

    def start_calls(self, target: str, count: int) -> Any:
        """Start a process of callers and return a greenlet of their outcomes."""
        host, port = self.vm.front
        command = ['call', str(port), host, str(count), target]
        process = gevent_subprocess.Popen(
            [sys.executable, '-m', 'tests.endless_peers', *command],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return gevent.spawn(lambda: process.communicate()[0])

    def call_beside(
        self, target: str, count: int
    ) -> tuple[list[CallOutcome], list[float]]:
        """Return outcomes, and the seconds of small calls beside them."""
        calls = self.start_calls(target, count)
        seconds: list[float] = []
        while not calls.ready():
            seconds.append(self.call_small(len(seconds)))
            gevent.sleep(PAUSE_SECONDS)
        outcomes = [CallOutcome(**one) for one in json.loads(calls.value)]
        self.assertEqual(count, len(outcomes))
        return outcomes, seconds

    def call_small(self, number: int) -> float:
        """Return the seconds of a call of a sound server.

        The time in which this process or the gateway could run and had no processor
        is left out, since it is that of other programs on the machine.
        """
        loop = gevent.get_hub().loop
        loop.update_now()
        started_at = loop.now()
        delayed_at = self.read_run_delay()
        caller = CallerSocket(address=self.vm.front)
        caller.sock.settimeout(20)
        caller.sock.sendall(make_call('small', number))
        self.assertEqual(200, read_status(caller.read_answer()))
        caller.sock.close()
        seconds = float(loop.now() - started_at)
        return seconds - (self.read_run_delay() - delayed_at)

    def read_run_delay(self) -> float:
        """Return for how long both processes have waited for a processor."""
        return sum(
            int(Path(f'/proc/{pid}/schedstat').read_text().split()[1]) / 1e9
            for pid in (os.getpid(), self.vm.process.pid)
        )

    def read_peak_bytes(self) -> int:
        """Return the highest resident memory of the gateway so far."""
        path = Path(f'/proc/{self.vm.process.pid}/status')
        lines = path.read_text(encoding='ascii').splitlines()
        peak = next(line for line in lines if line.startswith('VmHWM'))
        return int(peak.split()[1]) * BYTES_PER_KB


class TestFaultyServers(EndlessAnswersCase):
    """Many calls at once whose servers send without end."""

    def check(self, route: str, shape: str) -> None:
        """Check memory, deadlines and other callers of a VM beside a shape."""
        delayed_at = self.read_run_delay()
        outcomes, seconds = self.call_beside(f'/{route}/{shape}', FAULTY_CALLS)
        delay_seconds = self.read_run_delay() - delayed_at
        self.assertLess(self.read_peak_bytes(), MEMORY_BYTES)
        self.assertLess(max(seconds), MAX_DELAY_SECONDS)
        latest = max(outcome.seconds for outcome in outcomes)
        max_seconds = DEADLINE_MS / 1000 + MAX_DELAY_SECONDS
        self.assertLess(latest - delay_seconds, max_seconds)

    def test_headers(self) -> None:
        """Guards against heads that take many times their bytes in memory."""
        self.check('streaming', 'headers')

    def test_trailers(self) -> None:
        """Guards against trailers that take many times their bytes."""
        self.check('non_idempotent', 'trailers')

    def test_long_header(self) -> None:
        """Guards against one header without end."""
        self.check('streaming', 'long-header')

    def test_tiny_events(self) -> None:
        """Guards against a loop that stands still for tiny events."""
        self.check('streaming', 'tiny-events')

    def test_tiny_events_of_turns(self) -> None:
        """Guards against histories of tiny events that fill the memory."""
        self.check('turns', 'tiny-events')

    def test_large_events_of_turns(self) -> None:
        """Guards against histories of large events that fill the memory."""
        self.check('turns', 'large-events')

    def test_large_events(self) -> None:
        """Guards against fast streams that keep the loop for themselves."""
        self.check('streaming', 'large-events')

    def test_tiny_chunks(self) -> None:
        """Guards against chunks of one byte that keep the loop."""
        self.check('streaming', 'tiny-chunks')

    def test_tiny_chunks_of_an_answer(self) -> None:
        """Guards against tiny chunks of answers that are passed on as they arrive."""
        self.check('idempotent', 'tiny-chunks')

    def test_event_of_many_lines(self) -> None:
        """Guards against one event without end."""
        self.check('streaming', 'event-lines')

    def test_blank_lines(self) -> None:
        """Guards against blank lines that keep the loop."""
        self.check('streaming', 'blank-lines')

    def test_extensions(self) -> None:
        """Guards against long extensions of chunks that keep the loop."""
        self.check('non_idempotent', 'extensions')

    def test_error_body(self) -> None:
        """Guards against the body of an error without end."""
        self.check('streaming', 'error-body')

    def test_refusal_body(self) -> None:
        """Guards against the body of a refusal that is read without end."""
        self.check('streaming', 'refusal-body')

    def test_late_answers(self) -> None:
        """Guards against answers to other requests without end."""
        self.check('streaming', 'late-answers')

    def test_interim_answers(self) -> None:
        """Guards against interim answers without end."""
        self.check('idempotent', 'interim')


class TestSoundServers(EndlessAnswersCase):
    """Servers that send slowly or much."""

    def check_whole(self, target: str, count: int, size: int) -> None:
        """Check that callers get whole answers of at least a size."""
        outcomes, _ = self.call_beside(target, count)
        for outcome in outcomes:
            self.assertEqual((200, True), (outcome.status, outcome.is_whole))
            self.assertGreaterEqual(outcome.received_bytes, size)

    def test_slow_stream(self) -> None:
        """Guards against a stream of tokens that is taken for a faulty one."""
        self.check_whole('/turns/tokens', 50, TOKENS)

    def test_history_of_megabytes(self) -> None:
        """Guards against events of 200 KB that are refused."""
        self.check_whole('/streaming/history', 3, HISTORY_EVENTS * EVENT_BYTES)

    def test_large_answer(self) -> None:
        """Guards against a bound on answers that are passed on."""
        self.check_whole('/non_idempotent/large', 3, LARGE_BYTES)

    def test_large_idempotent_answer(self) -> None:
        """Guards against a bound on answers that may be hedged."""
        self.check_whole('/idempotent/large', 3, LARGE_BYTES)

    def test_slow_stream_beside_faulty_ones(self) -> None:
        """Guards against sound streams that wait for faulty ones."""
        faulty = self.start_calls('/non_idempotent/tiny-chunks', FAULTY_CALLS)
        self.check_whole('/turns/tokens', 10, TOKENS)
        faulty.join()
