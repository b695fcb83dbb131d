"""Tests of the benchmark's parts and of its determinism."""

import io

import msgspec
from testtools import TestCase

from benchmarks.figures import run_case
from benchmarks.prefix_cache import PrefixCache
from benchmarks.replay import Case, Replay
from benchmarks.report import list_rows, write_json
from benchmarks.settings import Shapes, load_shapes

POLICIES = ('sticky_fcfs', 'program_aware')


def build_case(policy: str, trace: str = 'ordinary_day') -> Case:
    """Return a case of the smaller deployment."""
    return Case(deployment='trust', trace=trace, policy=policy, seed=7)


def shorten(shapes: Shapes) -> Shapes:
    """Return shapes whose traces have a tenth of the duration.

    The working set of such a short crowd is smaller than one long prompt, so
    the caches get a larger share of it.
    """
    traces = tuple(
        msgspec.structs.replace(
            trace,
            seconds=trace.seconds / 10,
            crowd_from=trace.crowd_from / 10,
            crowd_until=trace.crowd_until / 10,
            zone_lost_at=trace.zone_lost_at and trace.zone_lost_at / 10,
        )
        for trace in shapes.traces
    )
    cache = msgspec.structs.replace(shapes.cache, working_set_share=3)
    return msgspec.structs.replace(shapes, traces=traces, cache=cache)


def build_cache() -> PrefixCache:
    """Return a cache of 1,000 tokens in blocks of 10."""
    return PrefixCache(capacity=1000, block_tokens=10, listener=lambda *_: None)


class DeterminismTest(TestCase):
    """Runs with the same seed print the same bytes and lose no program."""

    def test_two_runs_print_the_same_bytes(self) -> None:
        """Results must depend on the case alone."""
        printed: list[str] = []
        for _ in range(2):
            cases = [build_case(policy) for policy in POLICIES]
            stream = io.StringIO()
            rows = list_rows({case: run_case(case) for case in cases})
            write_json(rows, stream)
            printed.append(stream.getvalue())
        self.assertEqual(*printed)

    def test_every_program_completes(self) -> None:
        """Calls of a failed server must be sent again, not lost."""
        shapes = shorten(load_shapes())
        for trace in shapes.traces:
            replay = Replay(shapes, build_case('program_aware', trace.name))
            replay.run()
            self.assertEqual(
                len(replay.trace.programs),
                replay.program_latencies.recorded_count,
            )


class WasteTest(TestCase):
    """Definition of wasted tokens."""

    def test_only_tokens_never_hit_are_wasted(self) -> None:
        """Tokens that a prompt hit before eviction are not wasted."""
        cache = build_cache()
        cache.reserve('one', 300, 100)
        cache.finish('one', 300, 100)
        self.assertEqual(400, cache.reserve('one', 450, 50))
        cache.finish('one', 450, 50)
        cache.reserve('two', 800, 200)
        self.assertEqual(100, cache.figures.wasted)
        self.assertEqual(1500 - 200, cache.figures.filled)

    def test_ended_programs_waste_nothing(self) -> None:
        """Tokens of ended programs are not wasted."""
        cache = build_cache()
        for session, is_live in (('one', False), ('two', True)):
            cache.reserve(session, 100, 10)
            cache.finish(session, 100, 10)
            cache.release(session, is_live=is_live)
        self.assertEqual(110, cache.figures.wasted)
        self.assertEqual(0, cache.held_tokens)
