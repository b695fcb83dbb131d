"""Tests of the choice of a backend server."""

from testtools import TestCase

from bronzepost._internal.core.scheduling.apply import apply_event
from bronzepost._internal.core.scheduling.events import (
    BackendServerLeaving,
    BackendServerListed,
    CallFinished,
)
from bronzepost._internal.core.scheduling.policies import (
    LeastOutstanding,
    Policy,
    ProgramAware,
    RoundRobin,
    StickyFcfs,
)
from bronzepost._internal.core.scheduling.routing import (
    choose_backend_server,
    count_outstanding,
)
from bronzepost._internal.core.scheduling.tables import SchedulingTables
from tests.builders_scheduling import (
    build_call,
    build_report,
    build_server,
    build_tables,
    send_call,
)

POLICIES: tuple[Policy, ...] = (
    RoundRobin(),
    LeastOutstanding(),
    StickyFcfs(),
    ProgramAware(),
)


def choose(policy: Policy, tables: SchedulingTables, at: float = 1) -> str:
    """Return the identifier of the server chosen for one call."""
    choice = choose_backend_server(policy, tables, build_call(), at)
    return '' if choice is None else choice.backend_server_id


class LeavingServerTest(TestCase):
    """Guard against new work for a server that is leaving."""

    def test_leaving_server_is_never_chosen(self) -> None:
        """Guard against choosing a leaving server for its warm cache."""
        for policy in POLICIES:
            tables = build_tables(build_server('one'), build_server('two'))
            send_call(tables, build_call(), 'one', call_id='a', at=0)
            apply_event(
                tables, CallFinished(at=1, call_id='a', output_tokens=9)
            )
            apply_event(
                tables, BackendServerLeaving(at=1, backend_server_id='one')
            )
            chosen = {choose(policy, tables, at) for at in range(2, 6)}
            self.assertEqual({'two'}, chosen)

    def test_late_report_does_not_end_leaving(self) -> None:
        """Guard against a stale report or VM list without the leaving state."""
        tables = build_tables(build_server('one'))
        apply_event(tables, BackendServerLeaving(at=1, backend_server_id='one'))
        apply_event(tables, build_report('one', at=2, measured_at=2))
        apply_event(
            tables,
            BackendServerListed(at=2, backend_server=build_server('one')),
        )
        for policy in POLICIES:
            self.assertEqual('', choose(policy, tables))


class InFlightCorrectionTest(TestCase):
    """Guard the correction of lagging load reports."""

    def test_own_calls_since_report_count(self) -> None:
        """Guard against sending all calls to the server last reported idle."""
        tables = build_tables(build_server('one'), build_server('two'))
        for number in range(8):
            chosen = choose(ProgramAware(), tables)
            send_call(
                tables,
                build_call(f'program-{number}'),
                chosen,
                call_id=str(number),
                at=number,
            )
        loads = [
            count_outstanding(server)
            for server in tables.backend_servers_by_id.values()
        ]
        self.assertEqual([4, 4], loads)

    def test_report_is_not_counted_twice(self) -> None:
        """Guard against counting a call both in the report and as sent."""
        tables = build_tables(build_server('one'))
        send_call(tables, build_call(), 'one', call_id='a', at=1)
        send_call(tables, build_call('other'), 'one', call_id='b', at=3)
        apply_event(tables, build_report('one', at=4, measured_at=2, running=3))
        server = tables.backend_servers_by_id['one']
        self.assertEqual(4, count_outstanding(server))

    def test_calls_finished_since_report_count(self) -> None:
        """Guard against counting finished calls of a lagging report."""
        tables = build_tables(build_server('one'))
        send_call(tables, build_call(), 'one', call_id='a', at=1)
        apply_event(tables, CallFinished(at=3, call_id='a'))
        apply_event(tables, build_report('one', at=4, measured_at=2, running=1))
        server = tables.backend_servers_by_id['one']
        self.assertEqual(0, count_outstanding(server))
