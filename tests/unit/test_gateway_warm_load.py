"""Replay loads of requests about subjects on servers that remember them.

Reports of the load of servers are up to 2 s old. The whole table is printed by
``python -m benchmarks.warm_servers``.
"""

import dataclasses
import functools

import testtools
from testtools.matchers import GreaterThan, LessThan

from bronzepost._internal.core.gateway.warm_gain import Phase
from tests.builders_warm_load import (
    BASE,
    LARGE,
    WarmLoad,
    WarmOutcome,
    WarmReplay,
)

SHORT = dataclasses.replace(BASE, seconds=24)
# A warm server has to save this part of what it can: half of the time.
MAX_MEAN_SECONDS = 0.75 * SHORT.request_seconds
# The requests in flight of the busiest server, over the mean.
MAX_PEAK_RATIO = 2.0


@functools.cache
def replay(load: WarmLoad, way: str = 'warm') -> WarmOutcome:
    """Return the outcome of a load, replayed once."""
    return WarmReplay(load=load, way=way).run()


class TestWarmLoad(testtools.TestCase):
    """Requests are faster, and no server is a hot spot."""

    def test_uniform_subjects_are_served_warm(self) -> None:
        self.assert_gains(SHORT)

    def test_few_popular_subjects_are_served_warm(self) -> None:
        self.assert_gains(dataclasses.replace(SHORT, skew=0.7))

    def test_very_popular_subjects_make_no_hot_spot(self) -> None:
        """Plain hashing fills the server of the first subject."""
        load = dataclasses.replace(SHORT, skew=1.2)
        self.assert_gains(load)
        hashed = replay(load, 'hashing')
        self.assertThat(hashed.peak_ratio, GreaterThan(MAX_PEAK_RATIO))

    def test_subject_that_takes_half_of_the_load_is_spread(self) -> None:
        self.assert_gains(
            dataclasses.replace(SHORT, skew=0.7, hot_from=12, hot_until=18)
        )

    def test_slow_server_is_left(self) -> None:
        load = dataclasses.replace(SHORT, skew=0.7, slow_from=12, slow_factor=4)
        warm = replay(load)
        self.assertThat(warm.mean_seconds, LessThan(MAX_MEAN_SECONDS))
        self.assertThat(
            warm.p99_seconds, LessThan(replay(load, 'none').p99_seconds)
        )
        mean = sum(warm.sent_by_server.values()) / load.servers
        self.assertThat(warm.sent_by_server['i-0'], LessThan(mean))

    def test_server_that_comes_back_is_not_flooded(self) -> None:
        self.assert_gains(
            dataclasses.replace(SHORT, skew=0.7, gone_from=12, gone_until=16)
        )

    def test_without_a_gain_stickiness_ends(self) -> None:
        load = dataclasses.replace(
            BASE, skew=0.7, gain=0, servers=6, seconds=80, measured_from=70
        )
        outcome = replay(load)
        self.assertIs(Phase.IDLE, outcome.phase)

    def test_small_service_gains(self) -> None:
        load = dataclasses.replace(
            SHORT, servers=3, vms=10, view_seconds=0.4, subjects=1000, skew=0.7
        )
        warm, none = replay(load), replay(load, 'none')
        self.assertThat(warm.mean_seconds, LessThan(none.mean_seconds))
        self.assertThat(warm.hit_share, GreaterThan(none.hit_share))
        self.assertThat(warm.peak_ratio, LessThan(MAX_PEAK_RATIO))

    def test_many_vms_choose_the_same_servers(self) -> None:
        """Each of 195 VMs sees one in 195 of a subject's requests."""
        load = dataclasses.replace(
            LARGE, servers=60, subjects=15_000, skew=0.7, seconds=14
        )
        self.assert_gains(load)

    def assert_gains(self, load: WarmLoad) -> None:
        warm, none = replay(load), replay(load, 'none')
        self.assertIs(Phase.ACTIVE, warm.phase)
        self.assertThat(warm.mean_seconds, LessThan(MAX_MEAN_SECONDS))
        self.assertThat(warm.p99_seconds, LessThan(none.p99_seconds))
        self.assertThat(warm.hit_share, GreaterThan(none.hit_share))
        self.assertThat(warm.peak_ratio, LessThan(MAX_PEAK_RATIO))
