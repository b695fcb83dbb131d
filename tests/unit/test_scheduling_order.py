"""Tests of the order of calls."""

from testtools import TestCase

from bronzepost._internal.core.scheduling.apply import apply_event
from bronzepost._internal.core.scheduling.events import CallFinished
from bronzepost._internal.core.scheduling.order import order_key, priority
from bronzepost._internal.core.scheduling.policies import (
    ProgramAware,
    StickyFcfs,
)
from bronzepost._internal.core.scheduling.tables import SchedulingTables
from tests.builders_scheduling import (
    build_call,
    build_server,
    build_tables,
    send_call,
)

POLICY = ProgramAware()


def run_call(tables: SchedulingTables, program_id: str) -> None:
    """Apply a finished call of 4,000 output tokens."""
    call = build_call(program_id, importance=4)
    send_call(tables, call, 'one', call_id=program_id, at=0)
    apply_event(
        tables, CallFinished(at=1, call_id=program_id, output_tokens=4000)
    )


class OrderTest(TestCase):
    """Guard the order in which engines serve calls."""

    def test_less_served_program_goes_first(self) -> None:
        """Guard against ignoring a program tree's attained service."""
        tables = build_tables(build_server('one'))
        run_call(tables, 'served.child')
        run_call(tables, 'served')
        fresh = order_key(POLICY, tables, build_call('fresh'), 1)
        served = order_key(POLICY, tables, build_call('served'), 1)
        self.assertLess(fresh, served)

    def test_aging_prevents_starvation(self) -> None:
        """Guard against new programs that overtake an old call forever."""
        tables = build_tables(build_server('one'))
        run_call(tables, 'served')
        waiting = order_key(POLICY, tables, build_call('served'), 1)
        late = order_key(POLICY, tables, build_call('fresh'), 10000)
        self.assertLess(waiting, late)

    def test_importance_goes_first(self) -> None:
        """Guard against an order that ignores importance."""
        tables = build_tables(build_server('one'))
        run_call(tables, 'served')
        keys = [
            priority(
                POLICY,
                tables,
                build_call('served', importance=importance),
                1,
            )
            for importance in (10, 1)
        ]
        self.assertLess(*keys)

    def test_sub_agent_inherits_from_blocked_parent(self) -> None:
        """Guard against priority inversion by an unimportant sub-agent."""
        tables = build_tables(build_server('one'))
        run_call(tables, 'served')
        child = build_call('served.child', importance=1)
        parent = build_call('served', importance=4)
        blocked = order_key(POLICY, tables, child, 1)
        self.assertEqual(order_key(POLICY, tables, parent, 1), blocked)
        send_call(tables, parent, 'one', call_id='b', at=1)
        running = order_key(POLICY, tables, child, 1)
        self.assertLess(blocked, running)

    def test_baseline_is_first_come_first_served(self) -> None:
        """Guard against a baseline that uses the program-aware order."""
        tables = build_tables(build_server('one'))
        run_call(tables, 'served')
        call = build_call('served')
        self.assertEqual(7, order_key(StickyFcfs(), tables, call, 7))
