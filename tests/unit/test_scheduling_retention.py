"""Tests of prefix retention, cached prefixes and the end of programs."""

from testtools import TestCase

from bronzepost._internal.core.scheduling.actions import (
    ReleaseSession,
    Retention,
)
from bronzepost._internal.core.scheduling.apply import apply_event
from bronzepost._internal.core.scheduling.events import (
    BackendServerGone,
    CacheEventKind,
    CacheEventReceived,
    CallFinished,
    PauseEnded,
    ProgramEnded,
)
from bronzepost._internal.core.scheduling.policies import (
    ProgramAware,
    StickyFcfs,
)
from bronzepost._internal.core.scheduling.prefix_retention import (
    decide_retention,
)
from bronzepost._internal.core.scheduling.tables import (
    ProgramPause,
    SchedulingTables,
)
from tests.builders_scheduling import (
    build_call,
    build_server,
    build_tables,
    send_call,
)

PAUSE = ProgramPause(program_id='program', tool='tool', paused_at=10)


def build_paused_tables(pause_seconds: float) -> SchedulingTables:
    """Return tables under memory pressure with five pauses of the tool."""
    tables = build_tables(build_server('one', cache_capacity=6000))
    call = build_call(prompt_tokens=6000)
    send_call(tables, call, 'one', call_id='a', at=0)
    apply_event(tables, CallFinished(at=10, call_id='a', output_tokens=10))
    for at in range(5):
        apply_event(
            tables, PauseEnded(at=at, tool='tool', seconds=pause_seconds)
        )
    return tables


class RetentionTest(TestCase):
    """Guard which paused programs keep their cached prefix."""

    def test_observed_pauses_decide(self) -> None:
        """Guard against a decision that ignores the tool's pauses."""
        decisions = [
            decide_retention(
                ProgramAware(), build_paused_tables(seconds), PAUSE, 10
            )
            for seconds in (0.1, 100)
        ]
        self.assertEqual([Retention.KEEP, Retention.RELEASE], decisions)

    def test_prefix_is_released_in_a_long_pause(self) -> None:
        """Guard against a hanging tool that holds memory forever."""
        tables = build_paused_tables(0.1)
        decision = decide_retention(ProgramAware(), tables, PAUSE, 1000)
        self.assertIs(Retention.RELEASE, decision)

    def test_cache_weight_prolongs_retention(self) -> None:
        """Guard against a cache weight without effect."""
        tables = build_paused_tables(2)
        decisions = [
            decide_retention(
                ProgramAware(cache_weight=weight), tables, PAUSE, 10
            )
            for weight in (0, 1)
        ]
        self.assertEqual([Retention.RELEASE, Retention.KEEP], decisions)

    def test_free_memory_and_baselines_keep(self) -> None:
        """Guard against releases by a baseline or without memory pressure."""
        tables = build_paused_tables(100)
        baseline = decide_retention(StickyFcfs(), tables, PAUSE, 10)
        send_call(tables, build_call(), 'one', call_id='b', at=11)
        free = decide_retention(ProgramAware(), tables, PAUSE, 10)
        self.assertEqual([Retention.KEEP, Retention.KEEP], [baseline, free])


class CachedPrefixTest(TestCase):
    """Guard the scheduler's estimates of cached prefixes."""

    def test_late_eviction_shortens_the_prefix(self) -> None:
        """Guard against a prefix that stays recorded after its eviction."""
        tables = build_paused_tables(1)
        for number, remaining in ((1, 4010), (2, 2010)):
            evicted = CacheEventReceived(
                at=12,
                backend_server_id='one',
                number=number,
                kind=CacheEventKind.EVICTED,
                session='program',
                tokens=2000,
            )
            apply_event(tables, evicted)
            prefix = tables.prefixes_by_session['program']['one']
            server = tables.backend_servers_by_id['one']
            self.assertEqual(
                (remaining, remaining),
                (prefix.tokens, server.estimated_cache_tokens),
            )

    def test_end_releases_every_copy(self) -> None:
        """Guard against engine memory kept for ended programs or sub-agents."""
        tables = build_paused_tables(1)
        send_call(
            tables, build_call('program.child'), 'one', call_id='b', at=11
        )
        apply_event(tables, CallFinished(at=12, call_id='b'))
        actions = apply_event(tables, ProgramEnded(at=13, program_id='program'))
        released = {
            ReleaseSession(backend_server_id='one', session=session)
            for session in ('program', 'program.child')
        }
        self.assertEqual(released, set(actions))
        self.assertEqual({}, tables.programs_by_id)
        self.assertEqual(0, tables.history_tokens_by_service['pool'])

    def test_gone_server_loses_its_prefixes(self) -> None:
        """Guard against calls routed to a lost cache."""
        tables = build_paused_tables(1)
        apply_event(tables, BackendServerGone(at=11, backend_server_id='one'))
        prefixes = tables.prefixes_by_session.get('program', {})
        self.assertEqual({}, prefixes)
