"""Tests of budgets, engine memory and refusals when processes fail."""

import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from testtools import TestCase

from standins.deployment import Deployment
from tests.functional.callers import (
    Answer,
    ProgramCaller,
    retry,
    send,
    wait_until,
)
from tests.functional.clusters import (
    FAST_ENGINE,
    MODEL,
    choose_program,
    find_runner,
    list_programs_of_partition,
    list_sessions,
    read_log,
    read_operator_api,
    running_cluster,
    set_log_faults,
)

BUDGET = 2600
CHILD_BUDGET = 400
CALLS_AFTER_CRASH = 6
# Long enough for a call to reach its engine, and shorter than its answer.
CRASH_AFTER_SECONDS = 0.15
MAX_RETRIES = 40
SWEEP_TIMEOUT_SECONDS = 15


def end_program(address: str, program: str) -> Answer:
    """End a program; the answer may be a refusal."""
    return send(address, f'/v1/programs/{program}/end', {})


def find_program(run: Deployment, program: str) -> dict[str, Any]:
    """Return the entry of a program in its owner's list."""
    return next(
        entry
        for node in run.nodes
        if node.process.is_running
        for entry in read_operator_api(run, node, '/v1/programs')['programs']
        if entry['program'] == program
    )


class ProgramTree:
    """Callers of a program and its sub-agents, with the answers they got."""

    def __init__(self, program: str) -> None:
        """Create callers with budgets for the root and two sub-agents."""
        self.answers: list[Answer] = []
        self.root = ProgramCaller(
            program=program,
            model=MODEL,
            headers={'Bronzepost-Budget': str(BUDGET)},
        )
        self.children = [
            ProgramCaller(
                program=f'{program}.child{number}',
                model=MODEL,
                headers={'Bronzepost-Budget': str(CHILD_BUDGET)},
            )
            for number in range(2)
        ]

    def send_turn(self, caller: ProgramCaller, address: str, text: str) -> None:
        """Repeat a call with one key until its result is known."""
        key = {'Idempotency-Key': f'{caller.program}-{text}'}
        for _ in range(MAX_RETRIES):
            answer = retry(caller.send_turn, address, text, extra_headers=key)
            if answer.run != 'unknown':
                break
            time.sleep(0.1)
        self.answers.append(answer)

    def count_tokens(self, run: Deployment) -> int:
        """Return the tokens of all runs, including those without an answer.

        Answers depend only on the messages, so all runs of a call have as many
        tokens as the answered one. A call without an answer counts as the
        largest call that was answered.
        """
        total_by_call = {
            find_call_id(answer.body['id']): answer.body['usage'][
                'total_tokens'
            ]
            for answer in self.answers
            if answer.status == 200 and answer.body['usage']
        }
        max_total = max(total_by_call.values())
        engine = find_runner(run, MODEL).process.name
        runs = run.effects()[engine]['by_request_id']
        return sum(
            total_by_call.get(find_call_id(request_id), max_total) * count
            for request_id, count in runs.items()
        )


def find_call_id(request_id: str) -> str:
    """Return program and sequence, without the epoch and the attempt."""
    return request_id.rsplit(':', 2)[0]


class BudgetTest(TestCase):
    """Guard budgets against crashes, repeats and sub-agents."""

    def test_budget_holds_over_crash_and_sub_agents(self) -> None:
        """Guard against units spent by two owners or not counted for repeats.

        The owner is killed while calls are between the reservation and the
        record of the turn, and calls are repeated at a second node.
        """
        with running_cluster(3) as run, ThreadPoolExecutor(4) as pool:
            program, owner, other_nodes = choose_program(run, 'budget')
            tree = ProgramTree(program)
            for number in range(3):
                for node in (owner, other_nodes[0]):
                    tree.send_turn(tree.root, node.caller_address, f't{number}')
            for child in tree.children:
                tree.send_turn(child, other_nodes[1].caller_address, 'c0')
            callers = (tree.root, *tree.children)
            calls_during_crash = [
                pool.submit(
                    tree.send_turn,
                    caller,
                    other_nodes[0].caller_address,
                    'crash',
                )
                for caller in callers
            ]
            time.sleep(CRASH_AFTER_SECONDS)
            owner.kill()
            for call in calls_during_crash:
                call.result()
            for number in range(CALLS_AFTER_CRASH):
                for caller, node in zip(callers, (*other_nodes, *other_nodes)):
                    tree.send_turn(
                        caller, node.caller_address, f'later{number}'
                    )
            self.assertIn(402, {answer.status for answer in tree.answers})
            entries = [find_program(run, caller.program) for caller in callers]
            spent = sum(entry['spent'] for entry in entries)
            tokens = tree.count_tokens(run)
            self.assertLessEqual(spent, BUDGET)
            self.assertGreaterEqual(spent, tokens)
            forfeited = sum(entry['forfeited'] for entry in entries)
            self.assertGreater(forfeited, 0)


class EngineMemoryTest(TestCase):
    """Guard engine memory against programs that have ended."""

    def test_sweep_releases_sessions_after_lost_orders(self) -> None:
        """Guard against sessions kept because release requests were lost.

        For one program, the answer to the request is lost. For the others, the
        engine is down, and their owner is killed after they have ended.
        """
        with running_cluster(2, options=FAST_ENGINE) as run:
            program, owner, (other_node,) = choose_program(run, 'memory')
            engine = find_runner(run, MODEL).address
            live, *programs = [program, *list_programs_of_partition(program, 3)]
            callers = [
                ProgramCaller(program=name, model=MODEL)
                for name in (live, *programs)
            ]
            for caller in callers:
                answer = retry(caller.send_turn, owner.caller_address, 'hello')
                self.assertEqual(200, answer.status)
            self.assertLessEqual({live, *programs}, list_sessions(run))
            run.set_faults(engine, lose_answers=1)
            ended = end_program(owner.caller_address, programs[0])
            self.assertEqual(200, ended.status)
            run.set_faults(engine, outage=True)
            for name in programs[1:]:
                self.assertEqual(
                    200, end_program(owner.caller_address, name).status
                )
            owner.kill()
            run.set_faults(engine, outage=False)
            self.assertTrue(
                wait_until(
                    lambda: list_sessions(run) == {live}, SWEEP_TIMEOUT_SECONDS
                ),
                str(list_sessions(run)),
            )
            refused = retry(
                callers[1].send_turn, other_node.caller_address, 'more'
            )
            self.assertEqual('program_ended', refused.code)


class NotRunTest(TestCase):
    """Guard the run state that refusals report."""

    def count_runs(self, run: Deployment) -> int:
        """Return how many requests the backend servers have run in total."""
        return sum(
            sum(effects['by_request_id'].values())
            for effects in run.effects().values()
        )

    def count_turns(self, run: Deployment, program: str) -> int:
        """Return how many finished model calls the log holds."""
        kinds = [record['kind'] for record in read_log(run, program)]
        return kinds.count('TurnCompleted')

    def test_not_run_refusals_have_no_effect(self) -> None:
        """Guard against calls that ran but were refused as not run."""
        with running_cluster(2, options=FAST_ENGINE) as run:
            program, owner, (other_node,) = choose_program(run, 'refused')
            address = other_node.caller_address
            caller = ProgramCaller(program=program, model=MODEL)
            self.assertEqual(
                200,
                retry(caller.send_turn, address, 'hello', sequence=1).status,
            )
            runs = self.count_runs(run)
            low_budget_caller = ProgramCaller(
                program=list_programs_of_partition(program, 1)[0],
                model=MODEL,
                headers={'Bronzepost-Budget': '1'},
            )
            caller_without_history = ProgramCaller(program=program, model=MODEL)
            unknown_model_caller = ProgramCaller(
                program=program, model='no-such-model'
            )
            unknown_model_caller.messages = caller.messages
            refused = {
                'wrong_sequence': caller.send_turn(address, 'x', sequence=9),
                'history_mismatch': caller_without_history.send_turn(
                    address, 'x'
                ),
                'budget': low_budget_caller.send_turn(address, 'x'),
                'bad_request': caller.send_turn(
                    address, 'x', extra_headers={'Bronzepost-Budget': 'much'}
                ),
                'model_not_found': unknown_model_caller.send_turn(
                    address, 'x', sequence=2
                ),
            }
            set_log_faults(run, outage=True)
            refused['log_unavailable'] = send(
                address,
                '/v1/services/booking-app/calls/book',
                {},
                headers=caller.build_headers(0)
                | {'Bronzepost-Non-Idempotent': 'true'},
            )
            set_log_faults(run, outage=False)
            for code, answer in refused.items():
                self.assertEqual((code, 'not_run'), (answer.code, answer.run))
            self.assertEqual(runs, self.count_runs(run))
            answer = retry(caller.send_turn, address, 'x', sequence=2)
            self.assertEqual(200, answer.status)
            self.assertEqual(runs + 1, self.count_runs(run))
            self.assertEqual(200, end_program(address, program).status)
            refusal = caller.send_turn(address, 'y')
            self.assertEqual('program_ended', refusal.code)
            repeated = caller.send_turn(address, 'hello', sequence=1)
            self.assertEqual('call_finished', repeated.code)
            self.assertEqual('ran', repeated.run)
            self.assertEqual('false', repeated.headers['x-should-retry'])
            self.assertEqual(runs + 1, self.count_runs(run))
            # Right after the outage, the last record may be on a mirror only.
            wait_until(lambda: self.count_turns(run, program) >= 2)
            self.assertEqual(2, self.count_turns(run, program))
