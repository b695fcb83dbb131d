"""Tests of the soak's checks for lost requests and halted programs."""

import math
from http import HTTPStatus
from typing import Any

import testtools

from bronzepost._internal.exceptions import ProtocolError
from tests.soak.connection_ends import ConnectionEnd, Disturbances, find_end
from tests.soak.lost_requests import (
    GO_ON_SECONDS,
    MAX_REFUSALS,
    find_halted_programs,
    find_lost_requests,
)
from tests.soak.observations import Attempt, Observations, Run

TURN_TOKENS = 100
PROGRAM = 'p-1'
LOST_AT = 100.0
# Later than programs have to go on after the loss.
LATE = LOST_AT + GO_ON_SECONDS + 1
TRY_SECONDS = 0.5
SENT_AT = 50.0


def make_cut_attempt(**changes: Any) -> Attempt:
    """Return a request whose connection was reset soon after it was sent."""
    fields = {
        'request_id': 'q-1',
        'kind': 'look',
        'sent_at': SENT_AT,
        'written_at': SENT_AT + 0.01,
        'ended_at': SENT_AT + 0.1,
        'end': ConnectionEnd.RESET,
        **changes,
    }
    return Attempt(**fields)


def make_run(request_id: str) -> Run:
    """Return a run of a request."""
    return Run(
        request_id=request_id, server_id='s-1', body=b'', answer=b'', at=SENT_AT
    )


def make_turn(number: int, sent_at: float, **changes: Any) -> Attempt:
    """Return a turn that was refused."""
    fields = {
        'request_id': f'q-{number}',
        'kind': 'turn',
        'program_id': PROGRAM,
        'status': HTTPStatus.SERVICE_UNAVAILABLE,
        'is_complete': True,
        'sent_at': sent_at,
        'written_at': sent_at,
        'ended_at': sent_at + 0.01,
        'end': ConnectionEnd.WHOLE,
        **changes,
    }
    return Attempt(**fields)


class TestLostRequests(testtools.TestCase):
    """Tests of the check that requests end with a whole answer."""

    def setUp(self) -> None:
        """Start without observations."""
        super().setUp()
        self.observations = Observations()

    def find(self, attempt: Attempt, *, is_run: bool = True) -> int:
        """Return how many requests the check finds after this one."""
        self.observations.record_attempt(attempt)
        if is_run:
            self.observations.record_run(make_run(attempt.request_id))
        return len(list(find_lost_requests(self.observations)))

    def test_request_that_ran_and_was_cut_is_found(self) -> None:
        """Guard against requests that a server got and nobody answered."""
        ends = set(ConnectionEnd) - {
            ConnectionEnd.WHOLE,
            ConnectionEnd.UNFINISHED,
        }
        for number, end in enumerate(sorted(ends)):
            attempt = make_cut_attempt(request_id=f'q-{number}', end=end)
            self.assertEqual(number + 1, self.find(attempt), end)

    def test_request_that_was_open_for_long_is_found(self) -> None:
        """Guard against requests that a VM read and did not answer."""
        attempt = make_cut_attempt(ended_at=SENT_AT + 0.25)
        self.assertEqual(1, self.find(attempt, is_run=False))

    def test_time_in_which_the_soak_stands_still_does_not_count(self) -> None:
        """Guard against reports of closes that the soak itself saw late."""
        attempt = make_cut_attempt(ended_at=SENT_AT + 0.5)
        self.observations.stalls.append((SENT_AT - 1, SENT_AT + 0.32))
        self.assertEqual(0, self.find(attempt, is_run=False))
        self.observations.stalls.clear()
        self.observations.stalls.append((SENT_AT - 1, SENT_AT + 0.28))
        self.assertEqual(1, self.find(attempt, is_run=False))

    def test_request_that_reached_no_process_is_no_loss(self) -> None:
        """Guard against reports of VMs that are not running."""
        attempt = make_cut_attempt(
            ended_at=SENT_AT + 0.5, end=ConnectionEnd.REFUSED
        )
        self.assertEqual(0, self.find(attempt, is_run=False))

    def test_answer_that_breaks_off_is_found(self) -> None:
        """Guard against answers that begin with a success and then end."""
        attempt = make_cut_attempt(
            status=HTTPStatus.OK, body=b'a', end=ConnectionEnd.CLOSED
        )
        self.assertEqual(1, self.find(attempt))

    def test_whole_and_unfinished_requests_are_no_loss(self) -> None:
        """Guard against reports of requests that nothing happened to."""
        for number, end in enumerate((
            ConnectionEnd.WHOLE,
            ConnectionEnd.UNFINISHED,
        )):
            attempt = make_cut_attempt(request_id=f'q-{number}', end=end)
            self.assertEqual(0, self.find(attempt))

    def test_request_that_crosses_the_close_is_no_loss(self) -> None:
        """Guard against reports of requests that no process has read."""
        self.assertEqual(0, self.find(make_cut_attempt(), is_run=False))
        unsent = make_cut_attempt(
            request_id='q-2', written_at=0, ended_at=SENT_AT + 1
        )
        self.assertEqual(0, self.find(unsent, is_run=False))

    def test_request_at_its_timeout_is_no_loss(self) -> None:
        """Guard against reports of requests whose time had passed."""
        plain = make_cut_attempt(ended_at=SENT_AT + 2)
        self.assertEqual(0, self.find(plain))
        stream = make_cut_attempt(
            request_id='q-2', kind='stream', ended_at=SENT_AT + 2
        )
        self.assertEqual(1, self.find(stream))

    def test_answer_that_the_server_broke_off_is_no_loss(self) -> None:
        """Guard against reports of what a server did by itself."""
        self.observations.broken_off_ids.add('q-1')
        self.assertEqual(0, self.find(make_cut_attempt()))

    def test_requests_beside_unplanned_faults_are_no_loss(self) -> None:
        """Guard against reports of what an unplanned fault has cut."""
        for start, end, found in (
            (SENT_AT - 9, SENT_AT - 3.1, 1),
            (SENT_AT - 9, SENT_AT - 2.9, 0),
            (SENT_AT + 0.05, SENT_AT + 9, 0),
            (SENT_AT + 0.2, SENT_AT + 9, 1),
        ):
            self.observations.disturbances = Disturbances()
            self.observations.disturbances.add(start=start, end=end)
            self.assertEqual(found, self.find(make_cut_attempt()), str(start))

    def test_fault_that_goes_on_has_no_calm_time(self) -> None:
        """Guard against reports beside a fault that has not ended."""
        disturbances = Disturbances()
        with disturbances.note():
            self.assertFalse(disturbances.is_calm(0, math.inf))


class TestHaltedPrograms(testtools.TestCase):
    """Tests of the check that programs go on after a loss of all VMs."""

    def setUp(self) -> None:
        """Start with a program that had one whole turn before a loss."""
        super().setUp()
        self.observations = Observations(
            turn_tokens=TURN_TOKENS, losses=[LOST_AT]
        )
        self.observations.budgets_by_program[PROGRAM] = 3 * TURN_TOKENS
        first = make_turn(0, SENT_AT, status=HTTPStatus.OK, body=b'\n\n')
        self.observations.record_attempt(first)
        self.observations.record_run(make_run(first.request_id))

    def refuse(
        self, *, since: float = LATE, count: int = MAX_REFUSALS, **changes: Any
    ) -> None:
        """Record refusals in a row."""
        known = len(self.observations.attempts_by_id)
        for number in range(count):
            self.observations.record_attempt(
                make_turn(
                    known + number, since + number * TRY_SECONDS, **changes
                )
            )

    def find(self) -> int:
        """Return how many programs the check finds."""
        return len(list(find_halted_programs(self.observations)))

    def test_program_that_is_refused_is_found(self) -> None:
        """Guard against programs that never go on after a loss of all VMs."""
        self.refuse()
        self.assertEqual(1, self.find())

    def test_program_is_found_after_all_vms_stopped(self) -> None:
        """Guard against programs that do not go on after planned stops."""
        self.observations.losses.clear()
        self.refuse()
        self.assertEqual(0, self.find())
        self.observations.absences.append(LOST_AT)
        self.assertEqual(1, self.find())

    def test_four_refusals_are_allowed(self) -> None:
        """Guard against a check that is stricter than the rule."""
        self.refuse(count=MAX_REFUSALS - 1)
        self.assertEqual(0, self.find())

    def test_turn_that_reaches_a_server_ends_the_row(self) -> None:
        """Guard against refusals that are counted across a turn that ran."""
        self.refuse(count=MAX_REFUSALS - 1)
        reached = make_turn(70, LATE + 5, status=HTTPStatus.OK)
        self.observations.record_attempt(reached)
        self.observations.record_run(make_run(reached.request_id))
        self.refuse(since=LATE + 6, count=MAX_REFUSALS - 1)
        self.assertEqual(0, self.find())

    def test_refusals_soon_after_the_loss_are_allowed(self) -> None:
        """Guard against reports within the time to go on."""
        self.refuse(since=LATE - 4, count=MAX_REFUSALS)
        self.assertEqual(0, self.find())

    def test_time_begins_at_the_return_of_the_store(self) -> None:
        """Guard against reports of an outage that lasts longer than the loss."""
        self.observations.disturbances.add(
            start=LOST_AT - 1, end=LATE - 5, is_store=True
        )
        self.refuse()
        self.assertEqual(0, self.find())
        self.refuse(since=LATE + 4)
        self.assertEqual(1, self.find())

    def test_refusals_beside_other_faults_are_not_counted(self) -> None:
        """Guard against reports of faults that have nothing to do with a loss."""
        self.observations.disturbances.add(start=LATE + 1, end=LATE + 2)
        self.refuse()
        self.assertEqual(0, self.find())

    def test_program_without_a_loss_is_not_counted(self) -> None:
        """Guard against reports of programs that began after the loss."""
        self.observations.losses = [SENT_AT - 1]
        self.refuse()
        self.assertEqual(0, self.find())

    def test_program_without_budget_is_not_counted(self) -> None:
        """Guard against reports of programs whose budget may be spent."""
        self.observations.budgets_by_program[PROGRAM] = TURN_TOKENS
        self.refuse()
        self.assertEqual(0, self.find())

    def test_broken_turns_count_at_their_most(self) -> None:
        """Guard against a budget that takes a broken turn for a short one."""
        self.refuse()
        for number, found in ((90, 1), (91, 0)):
            broken = make_turn(number, LOST_AT - 1, end=ConnectionEnd.RESET)
            self.observations.record_attempt(broken)
            self.assertEqual(found, self.find())

    def test_turns_that_reached_no_process_count_nothing(self) -> None:
        """Guard against a check that refusals and lost connections silence."""
        for number in range(90, 95):
            lost = make_turn(
                number, LOST_AT, status=0, end=ConnectionEnd.REFUSED
            )
            self.observations.record_attempt(lost)
        self.refuse()
        self.assertEqual(1, self.find())

    def test_refusals_of_all_programs_are_not_counted(self) -> None:
        """Guard against reports of times in which no server is listed."""
        self.refuse()
        other = make_turn(80, LATE + 1, program_id='p-2')
        self.observations.budgets_by_program['p-2'] = TURN_TOKENS
        self.observations.record_attempt(other)
        self.assertEqual(0, self.find())
        self.observations.record_run(make_run(other.request_id))
        self.assertEqual(1, self.find())


class TestConnectionEnds(testtools.TestCase):
    """Tests of what is recorded of a connection."""

    def test_errors_are_told_apart(self) -> None:
        """Guard against ends of connections that no report tells apart."""
        for error, is_opened, end in (
            (ConnectionRefusedError(), False, ConnectionEnd.REFUSED),
            (TimeoutError(), False, ConnectionEnd.NOT_OPENED),
            (TimeoutError(), True, ConnectionEnd.TIMED_OUT),
            (ConnectionResetError(), True, ConnectionEnd.RESET),
            (BrokenPipeError(), True, ConnectionEnd.RESET),
            (
                ProtocolError('a', step='read answer'),
                True,
                ConnectionEnd.UNREADABLE,
            ),
        ):
            self.assertEqual(end, find_end(error, is_opened=is_opened))

    def test_end_of_a_fault_is_kept(self) -> None:
        """Guard against faults whose span grows after their end."""
        disturbances = Disturbances()
        with disturbances.note(is_store=True):
            # The fault goes on.
            self.assertEqual(math.inf, disturbances.find_store_return(1e12))
        self.assertTrue(disturbances.find_store_return(1e12) < math.inf)
