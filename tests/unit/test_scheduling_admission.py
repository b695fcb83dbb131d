"""Tests of admission."""

from testtools import TestCase

from bronzepost._internal.core.scheduling.actions import (
    Admitted,
    RefusalReason,
    Refused,
)
from bronzepost._internal.core.scheduling.admission import admit
from bronzepost._internal.core.scheduling.apply import apply_event
from bronzepost._internal.core.scheduling.events import (
    ProgramEnded,
    ProgramRefused,
)
from bronzepost._internal.core.scheduling.policies import ProgramAware
from bronzepost._internal.core.scheduling.tables import SchedulingTables
from tests.builders_scheduling import (
    build_call,
    build_server,
    build_tables,
    send_call,
)


def build_full_tables() -> SchedulingTables:
    """Return tables of one server whose memory one program fills."""
    tables = build_tables(build_server('one', cache_capacity=10000))
    send_call(
        tables,
        build_call('old', prompt_tokens=30000),
        'one',
        call_id='a',
        at=0,
    )
    return tables


class AdmissionTest(TestCase):
    """Guard the precedence of programs in progress over new ones."""

    def test_program_in_progress_precedes_new_one(self) -> None:
        """Guard against a new program that displaces one in progress."""
        tables = build_full_tables()
        policy = ProgramAware()
        new = admit(policy, tables, build_call('new'), 1)
        self.assertIsInstance(new, Refused)
        for in_progress in ('old', 'old.child'):
            decision = admit(policy, tables, build_call(in_progress), 1)
            self.assertIsInstance(decision, Admitted)

    def test_refusal_has_reason_and_retry_time(self) -> None:
        """Guard against a refusal that a program cannot act on."""
        decision = admit(
            ProgramAware(), build_full_tables(), build_call('new'), 1
        )
        assert isinstance(decision, Refused)
        self.assertIs(RefusalReason.NO_SLOT, decision.reason)
        self.assertGreater(decision.retry_after_seconds, 0)

    def test_no_server_is_refused(self) -> None:
        """Guard against a call that waits for a service without servers."""
        decision = admit(ProgramAware(), build_tables(), build_call(), 1)
        assert isinstance(decision, Refused)
        self.assertIs(RefusalReason.NO_BACKEND_SERVER, decision.reason)

    def test_end_of_program_makes_room(self) -> None:
        """Guard against memory that stays counted after a program's end."""
        tables = build_full_tables()
        apply_event(tables, ProgramEnded(at=1, program_id='old'))
        decision = admit(ProgramAware(), tables, build_call('new'), 1)
        self.assertIsInstance(decision, Admitted)

    def test_long_prompt_is_admitted_to_an_idle_service(self) -> None:
        """Guard against a prompt so long that it is refused forever."""
        tables = build_tables(build_server('one', cache_capacity=2000))
        decision = admit(
            ProgramAware(), tables, build_call('new', prompt_tokens=1900), 1
        )
        self.assertIsInstance(decision, Admitted)

    def test_earlier_refusal_is_admitted_first(self) -> None:
        """Guard against new programs that overtake programs refused before."""
        tables = build_tables(build_server('one', cache_capacity=6000))
        send_call(tables, build_call('old'), 'one', call_id='a', at=0)
        for name in ('first', 'second'):
            refused = ProgramRefused(
                at=0,
                program_id=name,
                service='pool',
                retry_after_seconds=5,
                prompt_tokens=1000,
            )
            apply_event(tables, refused)
        names = ('newcomer', 'second', 'first')
        admitted = [
            isinstance(
                admit(ProgramAware(), tables, build_call(name), 4), Admitted
            )
            for name in names
        ]
        self.assertEqual([False, False, True], admitted)
