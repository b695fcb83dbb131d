"""Stand-in of plain services and tools: calls of a fixed duration in slots."""

import time
from argparse import ArgumentParser, Namespace
from collections import Counter
from uuid import uuid4

import gevent
from gevent.lock import BoundedSemaphore

from standins.faults import Switches
from standins.pacing import LaggedValue, repeat_forever
from standins.web import Application, Reply, Request, get, json_reply, post

SAMPLE_SECONDS = 0.05


class Effects:
    """Counts of runs, by which tests find duplicates and late requests."""

    def __init__(self, *, switches: Switches) -> None:
        """Start with all counts at zero."""
        self._switches = switches
        self._by_request_id: Counter[str] = Counter()
        self._by_business_key: Counter[str] = Counter()
        self._last_received_at: float | None = None
        self._leaving_since: float | None = None
        self._received_after_leaving = 0

    def update_leaving_time(self) -> None:
        """Update the time since which the leaving switch is set.

        The time is that of the first call after the switch was set.
        """
        if not self._switches.leaving:
            self._leaving_since = None
        elif self._leaving_since is None:
            self._leaving_since = time.time()

    def record_received(self) -> None:
        """Record the arrival of a request."""
        self.update_leaving_time()
        self._last_received_at = time.time()
        if self._leaving_since is not None:
            self._received_after_leaving += 1

    def count_run(self, request_id: str, business_key: str = '') -> int:
        """Count one run of a request and return its number of runs."""
        self._by_request_id[request_id] += 1
        if business_key:
            self._by_business_key[business_key] += 1
        return self._by_request_id[request_id]

    def report(self, request: Request) -> Reply:
        """Return all counts; times are Unix times in seconds."""
        self.update_leaving_time()
        return json_reply({
            'by_request_id': self._by_request_id,
            'by_business_key': self._by_business_key,
            'last_received_at': self._last_received_at,
            'leaving_since': self._leaving_since,
            'received_after_leaving': self._received_after_leaving,
        })


class PlainService:
    """Run calls in a limited number of slots, each for a fixed time."""

    def __init__(
        self, *, switches: Switches, slots: int, call_seconds: float
    ) -> None:
        """Start idle."""
        self.effects = Effects(switches=switches)
        self._switches = switches
        self._slots = slots
        self._call_seconds = call_seconds
        self._free_slots = BoundedSemaphore(slots)
        self._requests_in_progress = 0
        self._lagged_load = LaggedValue(initial=self.current_load())

    def run_call(self, request: Request) -> Reply:
        """Run one call; its run is counted once it has a slot."""
        self.effects.record_received()
        body = request.json_object()
        request_id = request.headers.get('x-request-id', uuid4().hex)
        self._requests_in_progress += 1
        with self._free_slots:
            run = self.effects.count_run(
                request_id, str(body.get('business_key', ''))
            )
            gevent.sleep(self._call_seconds)
        self._requests_in_progress -= 1
        return json_reply({
            'name': request.captured['name'],
            'request_id': request_id,
            'run': run,
            'echo': body,
        })

    def current_load(self) -> dict[str, int | bool]:
        """Return the load at this moment."""
        running = min(self._requests_in_progress, self._slots)
        return {
            'running': running,
            'waiting': self._requests_in_progress - running,
            'slots': self._slots,
            'cache_tokens': 0,
            'cache_capacity': 0,
            'leaving': self._switches.leaving,
        }

    def report_load(self, request: Request) -> Reply:
        """Return the load of ``lag_seconds`` ago."""
        return json_reply(
            self._lagged_load.read(lag_seconds=self._switches.lag_seconds)
        )

    def sample_load(self) -> None:
        """Record the current load for lagged reports."""
        self.effects.update_leaving_time()
        self._lagged_load.record(self.current_load())


def add_options(parser: ArgumentParser) -> None:
    """Declare the options of this stand-in."""
    parser.add_argument('--slots', type=int, default=16)
    parser.add_argument('--call-seconds', type=float, default=0.02)
    parser.add_argument('--lag-seconds', type=float, default=0.2)


def build_application(options: Namespace) -> Application:
    """Return the service that the options describe."""
    switches = Switches(lag_seconds=options.lag_seconds)
    service = PlainService(
        switches=switches,
        slots=options.slots,
        call_seconds=options.call_seconds,
    )
    gevent.spawn(
        repeat_forever, service.sample_load, pause_seconds=SAMPLE_SECONDS
    )
    return Application(
        switches=switches,
        routes=(
            post('/calls/(?P<name>.+)', service.run_call),
            get('/v1/load', service.report_load),
            get('/effects', service.effects.report, is_exempt=True),
        ),
    )
