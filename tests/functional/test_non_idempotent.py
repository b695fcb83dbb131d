"""Tests that non-idempotent calls run at most once, whatever fails."""

import time
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor

from testtools import TestCase

from standins.deployment import Deployment
from standins.node_process import Node
from tests.functional.callers import Answer, retry, send, wait_until
from tests.functional.clusters import (
    CALL_PATH,
    SERVICE,
    choose_program,
    count_effects,
    count_log_records,
    find_runner,
    list_programs_of_partition,
    read_log,
    running_cluster,
    set_log_faults,
    wait_for_takeover,
)

CALLS = 12
CALL_SPACING_SECONDS = 0.04
SETTLED_STATUSES = frozenset((200, 409))


# A program and the answers to its calls.
ProgramAnswers = tuple[str, list[Answer]]


def book(node: Node, program: str, key: str = '') -> Answer:
    """Send a non-idempotent call; the service counts its effects by key."""
    return send(
        node.caller_address,
        CALL_PATH,
        {'business_key': key or program},
        headers={
            'Bronzepost-Program': program,
            'Bronzepost-Non-Idempotent': 'true',
            'Idempotency-Key': key or program,
        },
    )


def has_intent(run: Deployment, program: str) -> bool:
    """Return whether a program's intent is on the log."""
    return any(
        record['kind'] == 'Intent' and record['program'] == program
        for record in read_log(run, program)
    )


class NonIdempotentTest(TestCase):
    """Guard against effects that occur twice or are reported as not run."""

    def check_effects(
        self, run: Deployment, program_answers: Iterable[ProgramAnswers]
    ) -> None:
        """Compare the answers to callers with the effects at the service."""
        for program, answers in program_answers:
            effects = count_effects(run, program)
            runs = [(answer.status, answer.run) for answer in answers]
            self.assertIn(effects, {0, 1}, f'{program} {runs}')
            if any(status == 200 for status, _ in runs):
                self.assertEqual(1, effects, f'{program} {runs}')
            if all(state == 'not_run' for _, state in runs):
                self.assertEqual(0, effects, f'{program} {runs}')

    def test_lost_append_answer_runs_once(self) -> None:
        """Guard against calls run twice or refused after a lost answer."""
        with running_cluster(1) as run:
            node = run.nodes[0]
            program_answers = []
            for number in range(4):
                program = f'lost-{number}'
                set_log_faults(run, lose_answers=number)
                answers = [retry(book, node, program) for _ in range(2)]
                program_answers.append((program, answers))
                self.assertEqual(
                    [200, 200], [answer.status for answer in answers]
                )
                self.assertEqual(answers[0].body, answers[1].body)
            self.check_effects(run, program_answers)

    def test_frozen_owner_runs_each_call_once(self) -> None:
        """Guard against a paused owner that sends calls after the takeover.

        When the owner is paused, the calls are at different steps between the
        intent and the outcome.
        """
        with running_cluster(3) as run, ThreadPoolExecutor(CALLS) as pool:
            program, owner, other_nodes = choose_program(run, 'frozen')
            programs = list_programs_of_partition(program, CALLS)
            set_log_faults(run, slow_seconds=0.1)
            run.set_faults(find_runner(run, SERVICE).address, slow_seconds=0.1)
            first_calls = []
            for name in programs:
                first_calls.append(pool.submit(book, owner, name))
                time.sleep(CALL_SPACING_SECONDS)
            owner.pause()
            set_log_faults(run, slow_seconds=0)
            self.assertTrue(wait_for_takeover(run, program, owner))
            repeated = [retry(book, other_nodes[0], name) for name in programs]
            owner.resume()
            program_answers = [
                (name, [first_call.result(), answer])
                for name, first_call, answer in zip(
                    programs, first_calls, repeated, strict=True
                )
            ]
            self.check_effects(run, program_answers)
            statuses = {answer.status for answer in repeated}
            self.assertLessEqual(statuses, SETTLED_STATUSES)
            self.assertIn('unknown', {answer.run for answer in repeated})

    def test_frozen_owner_between_intent_and_send(self) -> None:
        """Guard against a durable intent that is sent after the takeover.

        The answer to the append is lost and the log is slow, so the owner is
        paused while it reads its intent back.
        """
        with running_cluster(2) as run, ThreadPoolExecutor(1) as pool:
            program, owner, (successor,) = choose_program(run, 'intent')
            length = count_log_records(run, program)
            set_log_faults(run, slow_seconds=0.5, lose_answers=1)
            first_call = pool.submit(book, owner, program)
            self.assertTrue(
                wait_until(lambda: count_log_records(run, program) > length)
            )
            owner.pause()
            set_log_faults(run, slow_seconds=0)
            self.assertTrue(has_intent(run, program))
            self.assertTrue(wait_for_takeover(run, program, owner))
            second = retry(book, successor, program)
            owner.resume()
            self.assertEqual('unknown', second.run)
            third = book(successor, program)
            self.assertEqual('unknown', third.run)
            self.check_effects(
                run, [(program, [first_call.result(), second, third])]
            )

    def test_killed_owner_after_send_is_unknown(self) -> None:
        """Guard against a second run when no outcome was recorded."""
        with running_cluster(2) as run, ThreadPoolExecutor(1) as pool:
            program, owner, (successor,) = choose_program(run, 'killed')
            run.set_faults(find_runner(run, SERVICE).address, hang=True)
            first_call = pool.submit(book, owner, program)
            self.assertTrue(wait_until(lambda: count_effects(run, program) > 0))
            owner.kill()
            run.set_faults(find_runner(run, SERVICE).address, hang=False)
            repeated = [retry(book, successor, program) for _ in range(3)]
            self.assertEqual({'unknown'}, {answer.run for answer in repeated})
            self.check_effects(
                run, [(program, [first_call.result(), *repeated])]
            )
            self.assertEqual(1, count_effects(run, program))

    def test_log_outage_refusals_have_no_effect(self) -> None:
        """Guard against calls sent without an intent while the log is down."""
        with running_cluster(1) as run:
            node = run.nodes[0]
            self.assertEqual(200, book(node, 'outage', 'before').status)
            set_log_faults(run, outage=True)
            refused = [
                book(node, program, f'{program}-{number}')
                for number in range(3)
                for program in ('outage', 'outage-new')
            ]
            self.assertEqual({'not_run'}, {answer.run for answer in refused})
            self.assertTrue(
                all('retry-after' in answer.headers for answer in refused)
            )
            set_log_faults(run, outage=False)
            answer_after_outage = retry(book, node, 'outage', 'after')
            self.assertEqual(200, answer_after_outage.status)
            keys = [f'outage-{number}' for number in range(3)]
            keys += [f'outage-new-{number}' for number in range(3)]
            self.assertEqual({0}, {count_effects(run, key) for key in keys})
            self.assertEqual(1, count_effects(run, 'after'))

    def test_call_repeated_at_three_nodes_runs_once(self) -> None:
        """Guard against repeats of a keyed call that reach different owners.

        The nodes have just started, and each may believe that it owns the
        partition.
        """
        with (
            running_cluster(3, waits_until_settled=False) as run,
            ThreadPoolExecutor(CALLS) as pool,
        ):
            program_answers = []
            for number in range(3):
                program = f'three-{number}'
                calls = [
                    pool.submit(retry, book, node, program)
                    for node in (*run.nodes, *run.nodes)
                ]
                program_answers.append((
                    program,
                    [call.result() for call in calls],
                ))
            self.check_effects(run, program_answers)
            for _, answers in program_answers:
                self.assertIn(200, {answer.status for answer in answers})
