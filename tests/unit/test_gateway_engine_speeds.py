"""How fast engines stream, as the VMs of a large fleet measure it together."""

import itertools
from typing import Any
from unittest import mock

import testtools
from testtools.matchers import GreaterThan, LessThan

from bronzepost._internal.core.gateway import engine_speeds
from bronzepost._internal.gateway.servers import engine_ratings
from bronzepost._internal.telemetry.events import LogEvent
from tests.builders_gateway import make_servers

NORMAL_SECONDS = 0.03
SLOW_SECONDS = 0.06
SERVERS = make_servers(24)


def make_samples(
    *seconds: float, samples: int = 10, at: float = 0
) -> dict[str, engine_speeds.EngineSamples]:
    """Return samples of i-0, i-1 and so on with these seconds per event."""
    return {
        f'i-{number}': engine_speeds.EngineSamples(
            seconds=mean * samples, samples=samples, at=at
        )
        for number, mean in enumerate(seconds)
    }


class TestEngineSpeeds(testtools.TestCase):
    """Engines are compared with the median of all of them."""

    def rate(
        self,
        own: engine_speeds.SampleTable,
        *reports: engine_speeds.ReportedSpeeds,
        at: float = 0,
    ) -> dict[str, float]:
        total = engine_speeds.sum_samples(
            own, ((at, report) for report in reports), at=at
        )
        return engine_speeds.rate_engines(
            total, engine_speeds.find_reference(total)
        )

    def test_slow_engine_is_rated_without_own_streams_there(self) -> None:
        """A VM of 87 sends to one of 24 engines once in seven seconds."""
        own = make_samples(NORMAL_SECONDS, NORMAL_SECONDS, NORMAL_SECONDS)
        reports = itertools.repeat({'i-3': (60_000, 2.0)}, 10)
        self.assertThat(self.rate(own, *reports)['i-3'], GreaterThan(1.6))

    def test_single_stream_says_little(self) -> None:
        """Reading of other prompts lengthens single streams."""
        own = make_samples(NORMAL_SECONDS, NORMAL_SECONDS, NORMAL_SECONDS)
        rated = self.rate(own, {'i-3': (60_000, 1.0)})
        self.assertThat(rated['i-3'], LessThan(1.25))

    def test_engines_that_hardly_differ_are_rated_alike(self) -> None:
        own = make_samples(
            NORMAL_SECONDS, NORMAL_SECONDS, 1.05 * NORMAL_SECONDS
        )
        self.assertEqual({1}, set(self.rate(own).values()))

    def test_old_samples_are_dropped(self) -> None:
        """An engine that gets no requests is tried again."""
        own = make_samples(NORMAL_SECONDS, SLOW_SECONDS)
        self.assertEqual({}, self.rate(own, at=60))

    def test_nothing_is_reported_if_nothing_differs(self) -> None:
        own = make_samples(*itertools.repeat(NORMAL_SECONDS, 24))
        reported = engine_speeds.list_reported(
            own, reference_seconds=NORMAL_SECONDS, at=0
        )
        self.assertEqual({}, reported)

    def test_reported_engines_are_bounded(self) -> None:
        """The report of a VM before 600 engines stays small."""
        own = make_samples(*itertools.repeat(SLOW_SECONDS, 600))
        reported = engine_speeds.list_reported(
            own, reference_seconds=NORMAL_SECONDS, at=0
        )
        self.assertEqual(engine_speeds.MAX_REPORTED_ENGINES, len(reported))

    def test_load_does_not_make_an_engine_slow(self) -> None:
        sample = engine_speeds.add_sample(
            None, seconds_per_event=0.048, running=20, at=0
        )
        self.assertAlmostEqual(NORMAL_SECONDS, sample.seconds)


class TestEngineRatings(testtools.TestCase):
    """Operators see which engines are slow."""

    def setUp(self) -> None:
        """Replace the clock and the log."""
        super().setUp()
        self.now = 100.0
        self.events: list[LogEvent] = []
        self.replace('read_clock', lambda: self.now)
        self.replace('emit', self.record_event)
        self.ratings = engine_ratings.EngineRatings()

    def replace(self, name: str, replacement: object) -> None:
        patch = mock.patch.object(engine_ratings, name, replacement)
        patch.start()
        self.addCleanup(patch.stop)

    def record_event(self, event: LogEvent, **_fields: Any) -> None:
        self.events.append(event)

    def record(self, slow_seconds: float) -> None:
        for server in SERVERS[:4]:
            is_slow = server.server_id == 'i-0'
            for _ in range(10):
                self.ratings.record(
                    server,
                    seconds_per_event=slow_seconds
                    if is_slow
                    else NORMAL_SECONDS,
                    running=0,
                )

    def test_slow_and_recovered_engine_is_logged_once_each(self) -> None:
        for slow_seconds in (SLOW_SECONDS, SLOW_SECONDS, NORMAL_SECONDS):
            self.now += 20
            self.record(slow_seconds)
            self.ratings.find_ratios('engines', SERVERS)
            self.ratings.find_ratios('engines', SERVERS)
        self.assertEqual(
            [LogEvent.ENGINE_SLOW, LogEvent.ENGINE_RECOVERED], self.events
        )

    def test_silent_peer_is_forgotten(self) -> None:
        """Guard against memory that grows with VMs that have left."""
        self.record(NORMAL_SECONDS)
        self.ratings.put_reported('vm-2', {'i-0': (120_000, 50.0)})
        self.ratings.find_ratios('engines', SERVERS)
        self.assertThat(self.ratings.list_ratios()['i-0'], GreaterThan(1.4))
        self.now += 2 * engine_ratings.REPORT_LIFETIME_SECONDS
        self.record(NORMAL_SECONDS)
        self.ratings.find_ratios('engines', SERVERS)
        self.assertEqual(1, self.ratings.list_ratios()['i-0'])
