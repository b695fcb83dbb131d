"""Tests of the decisions on calls by the owner of a program."""

from typing import Any
from unittest import mock

from testtools import TestCase

from bronzepost._internal.core.ledger import calls, journal, records
from bronzepost._internal.core.ledger import journal_events as events
from tests import builders_ledger as builders
from tests.builders_ledger import Delivery
from tests.builders_records import build_call


class CallTestCase(TestCase):
    """Start with a node that owns the partition."""

    def setUp(self) -> None:
        """Let a node claim the partition."""
        super().setUp()
        self.log = builders.FakeLog()
        self.owner = builders.build_owner(self.log)

    def begin(self, program: str = 'p', **fields: Any) -> calls.Decision:
        """Decide on a call."""
        call = build_call(program, **fields)
        return calls.begin_call(self.owner.journal, call, self.owner.now)

    def proceed(self, program: str = 'p', **fields: Any) -> calls.Proceed:
        """Begin a call and expect it to proceed."""
        decision = self.begin(program, **fields)
        assert isinstance(decision, calls.Proceed), decision
        return decision

    def finish(self, program: str = 'p', *, spent: int) -> None:
        """Append the record of a finished model call."""
        entry = self.owner.journal.view.programs_by_id[program]
        turn = builders.build_turn(
            self.owner, program, spent=entry.spent + spent
        )
        self.owner.submit(turn)
        self.owner.run()

    def outcome(self, begun: calls.Proceed, key: str, **fields: Any) -> Any:
        """Return the outcome of a service call."""
        body = {
            'program': 'p',
            'sequence': begun.sequence,
            'intent_id': begun.intent_id,
            'status': 200,
            'body': '{}',
            'spent': 0,
            'key': key,
        }
        return builders.build_record(
            self.owner, records.Outcome, **(body | fields)
        )

    def start_log_outage(self) -> None:
        """Let the log fail for long enough to count as down."""
        self.log.is_down = True
        self.owner.feed(events.RefreshWanted(at=self.owner.now))
        self.owner.deliver()
        self.owner.now += 2

    def assert_refused(self, code: str, decision: calls.Decision) -> None:
        """Expect a refusal with ``code``."""
        assert isinstance(decision, calls.Refuse), decision
        self.assertEqual(code, decision.code)


class OrderTest(CallTestCase):
    """Guard the order of calls and repeated calls."""

    def test_order_first_call_waits_for_the_start(self) -> None:
        """Guard against a call of a program that may not exist."""
        begun = self.proceed()
        self.assertEqual((1, 1), (begun.sequence, len(begun.wait_for)))
        self.owner.run()
        self.assertTrue(self.owner.is_settled_valid(begun.wait_for[0]))

    def test_order_wrong_sequence_is_refused(self) -> None:
        """Guard against a call that skips one."""
        self.assert_refused('unknown_program', self.begin(sequence=2))
        self.proceed()
        self.finish(spent=4)
        self.assert_refused('wrong_sequence', self.begin(sequence=3))

    def test_order_only_the_owner_begins_calls(self) -> None:
        """Guard against the use of another owner's allowance."""
        self.proceed()
        self.finish(spent=0)
        successor = builders.build_owner(self.log, 'hall-b-1')
        self.owner.refresh()
        decision = calls.begin_call(successor.journal, build_call(), 0)
        self.assertIsInstance(decision, calls.Proceed)
        successor.run()
        self.owner.refresh()
        self.assert_refused('not_owner', self.begin())

    def test_order_finished_call_is_refused_while_the_log_lags(self) -> None:
        """Guard against an answer that depends on how far the log lags."""
        self.proceed(sequence=1)
        self.finish(spent=1)
        self.proceed(sequence=2)
        entry = self.owner.journal.view.programs_by_id['p']
        turn = builders.build_turn(self.owner, 'p', spent=entry.spent + 1)
        assert self.owner.submit(turn).valid
        decision = self.begin(sequence=1)
        assert isinstance(decision, calls.Refuse), decision
        self.assertEqual('call_finished', decision.code)

    def test_order_repeated_call_gets_its_own_answer(self) -> None:
        """Guard against giving a repeated call the answer of another call."""
        self.proceed()
        self.finish(spent=4)
        decision = self.begin(sequence=1)
        self.assertEqual(calls.AnswerStored(sequence=1, offset=2), decision)
        self.proceed()
        self.finish(spent=4)
        refused = self.begin(sequence=1)
        self.assert_refused('call_finished', refused)
        self.assertEqual('ran', getattr(refused, 'run', ''))

    def test_order_answer_is_not_read_before_it_is_durable(self) -> None:
        """Guard against reading an answer at an offset that is not final."""
        self.proceed()
        self.owner.run()
        begun = calls.Proceed(sequence=1)
        self.owner.submit(self.outcome(begun, 'k'))
        refused = self.begin(key='k')
        self.assert_refused('answer_not_durable', refused)
        self.assertEqual('ran', getattr(refused, 'run', ''))
        self.owner.run()
        self.assertEqual(
            calls.AnswerStored(sequence=1, offset=2), self.begin(key='k')
        )

    def test_order_turn_limit_ends_a_runaway_program(self) -> None:
        """Guard against a program that loops without end."""
        self.proceed()
        self.finish(spent=0)
        self.assert_refused('turn_limit', self.begin(turn_limit=1))


class IntentTest(CallTestCase):
    """Guard non-idempotent calls."""

    def announce(self, **fields: Any) -> calls.Proceed:
        """Begin a non-idempotent call."""
        return self.proceed(non_idempotent=True, key='k', **fields)

    def test_lost_append_answer_of_an_intent_is_unknown(self) -> None:
        """Guard against a second send while the intent is pending."""
        begun = self.announce()
        self.owner.tick()
        self.owner.deliver(Delivery.DELAYED)
        self.assertEqual(
            calls.AnswerUnknown(sequence=1, intent_id=begun.intent_id),
            self.begin(non_idempotent=True, key='k'),
        )

    def test_frozen_owner_successor_answers_unknown(self) -> None:
        """Guard against a successor that repeats a call."""
        begun = self.announce()
        self.owner.run()
        successor = builders.build_owner(self.log, 'hall-b-1')
        repeated = build_call(key='k', non_idempotent=True)
        self.assertEqual(
            calls.AnswerUnknown(sequence=1, intent_id=begun.intent_id),
            calls.begin_call(successor.journal, repeated, successor.now),
        )

    def test_order_key_of_a_finished_call_runs_once(self) -> None:
        """Guard against a second run under a key of a withdrawn call."""
        withdrawn = self.announce()
        self.owner.run()
        self.owner.submit(
            builders.build_record(
                self.owner,
                records.IntentWithdrawn,
                program='p',
                sequence=1,
                intent_id=withdrawn.intent_id,
            )
        )
        begun = self.announce()
        self.owner.submit(self.outcome(begun, 'k'))
        self.finish(spent=0)
        decision = self.begin(non_idempotent=True, key='k')
        self.assertIsInstance(decision, calls.AnswerStored)

    def test_log_outage_refuses_a_non_idempotent_call(self) -> None:
        """Guard against sending a call whose intent cannot be appended."""
        self.proceed()
        self.finish(spent=0)
        self.start_log_outage()
        self.assert_refused(
            'log_unavailable', self.begin(non_idempotent=True, key='k')
        )


class BudgetTest(CallTestCase):
    """Guard what a call may spend."""

    def test_budget_worst_case_is_reserved(self) -> None:
        """Guard against a call that could exceed the budget."""
        self.assert_refused('budget', self.begin(worst_case=101))
        self.proceed(worst_case=60)
        self.finish(spent=50)
        self.assert_refused('budget', self.begin(worst_case=51))
        self.proceed(worst_case=50)

    def test_budget_call_waits_for_a_grant_that_is_not_durable(self) -> None:
        """Guard against spending from a grant that may not reach the log."""
        self.proceed()
        self.finish(spent=10)
        program = self.owner.journal.view.programs_by_id['p']
        record_id = calls.grant_allowance(self.owner.journal, program, 30)
        self.assertIn(record_id, self.proceed(worst_case=30).wait_for)

    def test_budget_full_queue_refuses_the_call(self) -> None:
        """Guard against sending a call whose grant was not submitted."""
        self.proceed()
        self.finish(spent=10)
        with mock.patch.object(journal, 'MAX_PENDING_RECORDS', 0):
            self.assert_refused('grant_refused', self.begin(worst_case=60))

    def test_log_outage_permits_calls_within_the_allowance(self) -> None:
        """Guard against stopping programs with an allowance in an outage."""
        self.proceed()
        self.finish(spent=5)
        self.start_log_outage()
        self.assertEqual((), self.proceed(worst_case=15).wait_for)
        self.assert_refused('log_unavailable', self.begin(worst_case=16))
        self.assert_refused('log_unavailable', self.begin('q'))
