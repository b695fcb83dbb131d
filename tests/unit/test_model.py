"""Tests of the specifications, and of the ledger against them."""

import contextlib
import dataclasses
import itertools
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

import z3
from testtools import TestCase

from bronzepost._internal.core.ledger import (
    apply,
    calls,
    journal_handler,
    records,
)
from bronzepost._internal.core.ledger.rule_base import VALID, Verdict
from bronzepost._internal.core.ledger.state import PartitionState
from tests import builders_faults, builders_records
from tests.model import (
    allowance_returns,
    allowances,
    budgets,
    configuration,
    leases,
    lost_turns,
    quota_shares,
    specification,
    systems,
    trace_replay,
)

DEPTH = 13
MAX_TRACES = 60
MIN_BROKEN = 5


def proceed_without_intent(
    journal: Any, call: Any, sequence: int, wait_for: tuple[str, ...]
) -> calls.Proceed:
    """Admit a call without an intent."""
    return calls.Proceed(sequence=sequence, wait_for=wait_for)


def accept_any_record(
    state: PartitionState, offset: int, record: records.Record
) -> Verdict:
    """Apply a record and report it as valid without checking it."""
    apply.apply_record(state, offset, record)
    return VALID


def withdraw_but_keep_call(
    node: builders_faults.FaultNode, program: str
) -> None:
    """Withdraw a call but keep it, so that it can still be sent."""
    in_flight_call = node.in_flight_calls_by_program.get(program)
    WITHDRAW(node, program)
    if in_flight_call is not None and not in_flight_call.sent:
        node.in_flight_calls_by_program[program] = in_flight_call


def is_intent_of_losing_claim_valid() -> bool:
    """Return whether an intent is valid if its writer's claim lost."""
    winner = builders_records.Writer('hall-a-1')
    loser = builders_records.Writer('hall-b-1')
    verdicts = builders_records.apply_all(
        PartitionState(),
        winner.build_claim(),
        winner.build_start(),
        loser.build_claim(),
        loser.build_intent(),
    )
    return verdicts[-1].valid


WITHDRAW = builders_faults.FaultNode.withdraw


@contextlib.contextmanager
def remove_guard(guard: str) -> Iterator[None]:
    """Remove a guard from the ledger; finality is removed from the node."""
    nothing = mock.Mock(return_value=None)
    patches: dict[str, list[Any]] = {
        specification.INTENT_FIRST: [
            mock.patch.object(calls, '_admit_call', proceed_without_intent)
        ],
        specification.EPOCH: [
            mock.patch.object(apply, '_is_stale', mock.Mock(return_value=False))
        ],
        specification.FINALITY: [
            mock.patch.object(
                builders_faults.FaultNode, 'withdraw', withdraw_but_keep_call
            )
        ],
        specification.READ_BACK: [
            mock.patch.object(
                journal_handler, 'apply_record', accept_any_record
            )
        ],
        specification.TAKEOVER: [
            mock.patch.object(PartitionState, 'find_open_intent', nothing),
            mock.patch.object(PartitionState, 'find_call_by_key', nothing),
        ],
    }
    with contextlib.ExitStack() as stack:
        for patch in patches[guard]:
            stack.enter_context(patch)
        yield


class CallModelTest(TestCase):
    """Guard the protocol of non-idempotent calls."""

    def test_frozen_owner_calls_are_safe_for_any_number_of_steps(
        self,
    ) -> None:
        """Guard against a double send and a send after `not_run`."""
        system = specification.build_calls()
        self.assertEqual([], systems.find_unproved(system))

    def test_frozen_owner_calls_can_be_run(self) -> None:
        """Guard against a specification in which nothing is ever sent."""
        system = dataclasses.replace(
            specification.build_calls(replayable=True),
            safety=lambda now: {'nothing is sent': now['log0'] < 3},
        )
        trace = systems.find_counterexample(system, DEPTH)
        self.assertEqual('close 0', trace[-1].name)

    def check_guard(self, guard: str) -> None:
        """Check that protocol and ledger are unsafe without a guard.

        Other rules of the ledger refuse some counterexamples of the protocol,
        so several are replayed.
        """
        system = specification.build_calls(without=guard, replayable=True)
        traces = systems.find_counterexamples(system, DEPTH)
        broken = 0
        for trace in itertools.islice(traces, MAX_TRACES):
            self.assertEqual(
                [], trace_replay.TraceReplay(trace).run(), str(trace)
            )
            with remove_guard(guard):
                broken += bool(trace_replay.TraceReplay(trace).run())
            if broken >= MIN_BROKEN:
                return
        self.fail(f'{broken} traces break the ledger without {guard}')

    def test_lost_append_answer_needs_the_intent_first(self) -> None:
        """Guard against a call that is sent without an intent."""
        self.check_guard(specification.INTENT_FIRST)

    def test_frozen_owner_needs_the_epoch_of_records(self) -> None:
        """Guard against intents of an owner that was replaced."""
        self.check_guard(specification.EPOCH)

    def test_lost_append_answer_needs_the_read_back(self) -> None:
        """Guard against treating a stored intent as valid."""
        self.check_guard(specification.READ_BACK)

    def test_order_needs_the_finality_of_withdrawals(self) -> None:
        """Guard against a withdrawn call that is sent."""
        self.check_guard(specification.FINALITY)

    def test_frozen_owner_needs_successors_that_heed_intents(self) -> None:
        """Guard against a successor that repeats an announced call."""
        self.check_guard(specification.TAKEOVER)

    def test_order_needs_the_writer_of_records(self) -> None:
        """Guard against a node whose claim lost to one of the same epoch.

        The journal begins no call before its claim is valid, so the ledger is
        given the records that such a node would have written.
        """
        system = specification.build_calls(without=specification.WRITER)
        trace = systems.find_counterexample(system, DEPTH)
        self.assertNotEqual([], trace)
        self.assertFalse(is_intent_of_losing_claim_valid())
        with mock.patch.object(records, 'writer_of', return_value=''):
            self.assertTrue(is_intent_of_losing_claim_valid())


class ConfigurationModelTest(TestCase):
    """Guard the acceptance of configuration changes."""

    def test_racing_operators_one_change_a_revision(self) -> None:
        """Guard against two accepted changes and against wrong answers."""
        system = configuration.build_configuration()
        self.assertEqual([], systems.find_unproved(system))

    def test_racing_operators_need_every_guard(self) -> None:
        """Guard against a specification that holds without its guards."""
        for guard in configuration.GUARDS:
            system = configuration.build_configuration(without=guard)
            trace = systems.find_counterexample(system, DEPTH)
            self.assertNotEqual([], trace, guard)


class LeaseModelTest(TestCase):
    """Guard the orders of placement holders."""

    def test_placement_engines_that_check_or_ignore_fencing(self) -> None:
        """Guard against an order of an earlier holder that takes effect."""
        for checks in (True, False):
            system = leases.build_leases(checks_fencing=checks)
            self.assertEqual([], systems.find_unproved(system))

    def test_placement_needs_every_guard(self) -> None:
        """Guard against a specification that holds without its guards."""
        for guard in (
            leases.FENCING_CHECK,
            leases.HALF_LEASE,
            leases.BOUNDED_DELAY,
        ):
            system = leases.build_leases(
                checks_fencing=guard == leases.FENCING_CHECK, without=guard
            )
            trace = systems.find_counterexample(system, DEPTH)
            self.assertNotEqual([], trace, guard)


class BudgetModelTest(TestCase):
    """Guard the budget of a program over all owners and sub-agents."""

    def test_budget_is_kept_for_any_number_of_owners(self) -> None:
        """Guard against rules that let a program exceed its budget."""
        system = budgets.build_budgets()
        self.assertEqual([], systems.find_unproved(system))

    def test_budget_needs_every_guard(self) -> None:
        """Guard against a specification that holds without its guards."""
        for guard in budgets.GUARDS:
            system = budgets.build_budgets(without=guard)
            trace = systems.find_counterexample(system, DEPTH)
            self.assertNotEqual([], trace, guard)


class AllowanceModelTest(TestCase):
    """Guard grants for single turns, the pool, and losses of all VMs."""

    def check_guard(self, guard: str, **options: Any) -> None:
        """Check that a system is unsafe without a guard.

        Only runs with a budget of one turn of two tokens are searched, which is
        faster.
        """
        system = allowances.build_allowances(without=guard, **options)
        smallest = dataclasses.replace(
            system,
            initial=lambda now: z3.And(
                system.initial(now), now['budget'] == 2, now['turn'] == 2
            ),
        )
        trace = systems.find_counterexample(smallest, DEPTH)
        self.assertNotEqual([], trace, guard)

    def check_reached(self, claim: Callable[[systems.Values], Any]) -> None:
        """Check that a claim on programs of a turn or more can be refuted."""
        system = dataclasses.replace(
            allowances.build_allowances(),
            safety=lambda now: {
                'less': z3.Or(now['budget'] < now['turn'], claim(now))
            },
        )
        self.assertNotEqual([], systems.find_counterexample(system, DEPTH))

    def test_one_turn_beyond_the_budget_over_any_number_of_losses(
        self,
    ) -> None:
        """Guard against rules that hand out more than budget and one turn."""
        system = allowances.build_allowances()
        self.assertEqual([], systems.find_unproved(system))

    def test_allowances_need_every_guard(self) -> None:
        """Guard against a specification that holds without its guards."""
        for guard in allowances.GUARDS:
            self.check_guard(guard)

    def test_all_tokens_can_be_handed_out(self) -> None:
        """Guard against a specification in which the bounds are not reached."""
        self.check_reached(
            lambda now: z3.Or(now['was_assumed'], now['real'] < now['budget'])
        )
        self.check_reached(
            lambda now: now['real'] < now['budget'] + now['turn']
        )

    def test_trusted_record_is_safe_if_vms_are_lost_all_at_once(self) -> None:
        """Guard against a second pool after a loss that the record shows."""
        system = allowances.build_allowances(trusts_record=True)
        self.assertEqual([], systems.find_unproved(system))

    def test_trusted_record_needs_every_guard(self) -> None:
        """Guard against a loss that the home after the next does not know."""
        for guard in allowances.TRUST_GUARDS:
            self.check_guard(guard, trusts_record=True)

    def test_fixed_part_of_a_turn_can_be_forgiven_once(self) -> None:
        """Guard against forgiven tokens that add up with the pool."""
        fixed = allowances.FORGIVES_FIXED
        system = allowances.build_allowances(forgives=fixed)
        self.assertEqual([], systems.find_unproved(system))
        self.check_guard(allowances.FORGIVES_ONCE, forgives=fixed)

    def test_tokens_cannot_be_forgiven_by_what_homes_know(self) -> None:
        """Guard against a pool that is claimed while another home grants."""
        system = allowances.build_allowances(forgives=allowances.FORGIVES_KNOWN)
        self.assertNotEqual([], systems.find_counterexample(system, DEPTH))


class AllowanceReturnModelTest(TestCase):
    """Guard the returns of tokens that turns did not use."""

    def test_unused_tokens_are_free_after_each_turn(self) -> None:
        """Guard against tokens that nobody can use while the store answers."""
        system = allowance_returns.build_returns()
        self.assertEqual([], systems.find_unproved(system))

    def test_returns_need_every_guard(self) -> None:
        """Guard against a specification that holds without its guards."""
        for guard in allowance_returns.GUARDS:
            system = allowance_returns.build_returns(without=guard)
            trace = systems.find_counterexample(system, DEPTH)
            self.assertNotEqual([], trace, guard)


class LostTurnModelTest(TestCase):
    """Guard the tokens of turns that are lost with their VMs."""

    def test_lost_turns_neither_exceed_nor_end_a_budget(self) -> None:
        """Guard against turns that are counted twice, and not at all."""
        system = lost_turns.build_lost_turns()
        self.assertEqual([], systems.find_unproved(system))

    def test_lost_turns_need_every_guard(self) -> None:
        """Guard against a specification that holds without its guards."""
        for guard in lost_turns.GUARDS:
            system = lost_turns.build_lost_turns(without=guard)
            trace = systems.find_counterexample(system, DEPTH)
            self.assertNotEqual([], trace, guard)


class QuotaShareModelTest(TestCase):
    """Guard the shares of quotas, their loans and their takeover."""

    def test_share_has_one_user_at_any_time(self) -> None:
        """Guard against loans that outlast their lender's patience."""
        system = quota_shares.build_quota_shares()
        self.assertEqual([], systems.find_unproved(system))

    def test_share_needs_every_guard(self) -> None:
        """Guard against a specification that holds without its guards."""
        for guard in quota_shares.GUARDS:
            system = quota_shares.build_quota_shares(without=guard)
            trace = systems.find_counterexample(system, DEPTH)
            self.assertNotEqual([], trace, guard)
