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
SETTLED_ANSWERS = frozenset((200, 409))


Told = tuple[str, list[Answer]]


def book(node: Node, program: str, key: str = '') -> Answer:
    """Send a non-idempotent call; its key names its effect."""
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
    """Guard against effects that occur twice, or that are denied."""

    def check_effects(self, run: Deployment, answers: Iterable[Told]) -> None:
        """Compare what callers were told with what the service did."""
        for program, told in answers:
            effects = count_effects(run, program)
            runs = [(answer.status, answer.run) for answer in told]
            self.assertIn(effects, {0, 1}, f'{program} {runs}')
            if any(status == 200 for status, _ in runs):
                self.assertEqual(1, effects, f'{program} {runs}')
            if all(state == 'not_run' for _, state in runs):
                self.assertEqual(0, effects, f'{program} {runs}')

    def test_lost_append_answer_runs_once(self) -> None:
        """Guard against a call sent twice, or denied, after a lost answer."""
        with running_cluster(1) as run:
            node = run.nodes[0]
            answers = []
            for number in range(4):
                program = f'lost-{number}'
                set_log_faults(run, lose_answers=number)
                told = [retry(book, node, program) for _ in range(2)]
                answers.append((program, told))
                self.assertEqual([200, 200], [got.status for got in told])
                self.assertEqual(told[0].body, told[1].body)
            self.check_effects(run, answers)

    def test_frozen_owner_runs_each_call_once(self) -> None:
        """Guard against a paused owner that sends after the takeover.

        The calls are at different steps between the intent and the outcome
        when the owner stops.
        """
        with running_cluster(3) as run, ThreadPoolExecutor(CALLS) as pool:
            program, owner, others = choose_program(run, 'frozen')
            programs = list_programs_of_partition(program, CALLS)
            set_log_faults(run, slow_seconds=0.1)
            run.set_faults(find_runner(run, SERVICE).address, slow_seconds=0.1)
            first = []
            for name in programs:
                first.append(pool.submit(book, owner, name))
                time.sleep(CALL_SPACING_SECONDS)
            owner.pause()
            set_log_faults(run, slow_seconds=0)
            self.assertTrue(wait_for_takeover(run, program, owner))
            second = [retry(book, others[0], name) for name in programs]
            owner.resume()
            answers = [
                (name, [early.result(), late])
                for name, early, late in zip(
                    programs, first, second, strict=True
                )
            ]
            self.check_effects(run, answers)
            statuses = {late.status for late in second}
            self.assertLessEqual(statuses, SETTLED_ANSWERS)
            self.assertIn('unknown', {late.run for late in second})

    def test_frozen_owner_between_intent_and_send(self) -> None:
        """Guard against a send after the takeover, with a durable intent.

        The answer to the append is lost and the log is slow, so that the
        owner stops while it reads its intent back.
        """
        with running_cluster(2) as run, ThreadPoolExecutor(1) as pool:
            program, owner, (successor,) = choose_program(run, 'intent')
            length = count_log_records(run, program)
            set_log_faults(run, slow_seconds=0.5, lose_answers=1)
            early = pool.submit(book, owner, program)
            self.assertTrue(
                wait_until(lambda: count_log_records(run, program) > length)
            )
            owner.pause()
            set_log_faults(run, slow_seconds=0)
            self.assertTrue(has_intent(run, program))
            self.assertTrue(wait_for_takeover(run, program, owner))
            late = retry(book, successor, program)
            owner.resume()
            self.assertEqual('unknown', late.run)
            again = book(successor, program)
            self.assertEqual('unknown', again.run)
            self.check_effects(run, [(program, [early.result(), late, again])])

    def test_killed_owner_after_send_is_unknown(self) -> None:
        """Guard against a second run when no outcome was recorded."""
        with running_cluster(2) as run, ThreadPoolExecutor(1) as pool:
            program, owner, (successor,) = choose_program(run, 'killed')
            run.set_faults(find_runner(run, SERVICE).address, hang=True)
            early = pool.submit(book, owner, program)
            self.assertTrue(wait_until(lambda: count_effects(run, program) > 0))
            owner.kill()
            run.set_faults(find_runner(run, SERVICE).address, hang=False)
            late = [retry(book, successor, program) for _ in range(3)]
            self.assertEqual({'unknown'}, {got.run for got in late})
            self.check_effects(run, [(program, [early.result(), *late])])
            self.assertEqual(1, count_effects(run, program))

    def test_log_outage_refuses_with_no_effect(self) -> None:
        """Guard against calls sent without an intent while the log is down."""
        with running_cluster(1) as run:
            node = run.nodes[0]
            self.assertEqual(200, book(node, 'outage', 'before').status)
            set_log_faults(run, outage=True)
            told = [
                book(node, program, f'{program}-{number}')
                for number in range(3)
                for program in ('outage', 'outage-new')
            ]
            self.assertEqual({'not_run'}, {got.run for got in told})
            self.assertTrue(all('retry-after' in got.headers for got in told))
            set_log_faults(run, outage=False)
            last = retry(book, node, 'outage', 'after')
            self.assertEqual(200, last.status)
            keys = [f'outage-{number}' for number in range(3)]
            keys += [f'outage-new-{number}' for number in range(3)]
            self.assertEqual({0}, {count_effects(run, key) for key in keys})
            self.assertEqual(1, count_effects(run, 'after'))

    def test_retries_at_three_nodes_run_once(self) -> None:
        """Guard against repeats of a keyed call that meet different owners.

        The nodes have just started, and each may believe that it owns the
        partition.
        """
        with (
            running_cluster(3, waits_until_settled=False) as run,
            ThreadPoolExecutor(CALLS) as pool,
        ):
            answers = []
            for number in range(3):
                program = f'three-{number}'
                waiting = [
                    pool.submit(retry, book, node, program)
                    for node in (*run.nodes, *run.nodes)
                ]
                answers.append((program, [got.result() for got in waiting]))
            self.check_effects(run, answers)
            for _, told in answers:
                self.assertIn(200, {got.status for got in told})
