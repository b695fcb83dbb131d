"""Tests of budgets, engine memory and answers when processes fail."""

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
CALLS = 6
# Long enough for a call to be at its engine, and shorter than its answer.
CRASH_AFTER_SECONDS = 0.15
RETRIES = 40
SWEEP_WAIT_SECONDS = 15


def end(address: str, program: str) -> Answer:
    """End a program."""
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


class Meter:
    """Callers of one program tree, with the most that engines can count."""

    def __init__(self, program: str) -> None:
        """Start with the root program and a budget for it."""
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

    def ask(self, caller: ProgramCaller, address: str, text: str) -> None:
        """Send a call until its result is known; repeats have one key."""
        key = {'Idempotency-Key': f'{caller.program}-{text}'}
        for _ in range(RETRIES):
            answer = retry(caller.ask, address, text, more=key)
            if answer.run != 'unknown':
                break
            time.sleep(0.1)
        self.answers.append(answer)

    def count_tokens(self, run: Deployment) -> int:
        """Return the tokens of all runs, also of those without an answer.

        Answers depend on the messages only, so each run of a call counts as
        many tokens as the one that was answered.
        """
        total_by_call = {
            name_call(answer.body['id']): answer.body['usage']['total_tokens']
            for answer in self.answers
            if answer.status == 200 and answer.body['usage']
        }
        most = max(total_by_call.values())
        engine = find_runner(run, MODEL).process.name
        runs = run.effects()[engine]['by_request_id']
        return sum(
            total_by_call.get(name_call(request_id), most) * count
            for request_id, count in runs.items()
        )


def name_call(request_id: str) -> str:
    """Return program and sequence, without the epoch and the attempt."""
    return request_id.rsplit(':', 2)[0]


class BudgetTest(TestCase):
    """Guard budgets against crashes, repeats and sub-agents."""

    def test_budget_holds_over_crash_and_sub_agents(self) -> None:
        """Guard against units that two owners spend, or that repeats hide.

        The owner is killed with calls in progress between the reservation and
        the record of the turn, and every call is made at two nodes.
        """
        with running_cluster(3) as run, ThreadPoolExecutor(4) as pool:
            program, owner, others = choose_program(run, 'budget')
            meter = Meter(program)
            for number in range(3):
                for node in (owner, others[0]):
                    meter.ask(meter.root, node.caller_address, f't{number}')
            for child in meter.children:
                meter.ask(child, others[1].caller_address, 'c0')
            callers = (meter.root, *meter.children)
            waiting = [
                pool.submit(
                    meter.ask, caller, others[0].caller_address, 'crash'
                )
                for caller in callers
            ]
            time.sleep(CRASH_AFTER_SECONDS)
            owner.kill()
            for future in waiting:
                future.result()
            for number in range(CALLS):
                for caller, node in zip(callers, (*others, *others)):
                    meter.ask(caller, node.caller_address, f'later{number}')
            self.assertIn(402, {got.status for got in meter.answers})
            entries = [find_program(run, caller.program) for caller in callers]
            spent = sum(entry['spent'] for entry in entries)
            tokens = meter.count_tokens(run)
            self.assertLessEqual(spent, BUDGET)
            self.assertGreaterEqual(spent, tokens)
            forfeited = sum(entry['forfeited'] for entry in entries)
            self.assertGreater(forfeited, 0)


class EngineMemoryTest(TestCase):
    """Guard engine memory against programs that have ended."""

    def test_sweep_releases_after_lost_orders(self) -> None:
        """Guard against sessions held when release orders are lost.

        The answer to the release is lost for one program and the engine is
        out for another; the owner of a third is killed after its end.
        """
        with running_cluster(2, options=FAST_ENGINE) as run:
            program, owner, (other,) = choose_program(run, 'memory')
            engine = find_runner(run, MODEL).address
            live, *programs = [program, *list_programs_of_partition(program, 3)]
            callers = [
                ProgramCaller(program=name, model=MODEL)
                for name in (live, *programs)
            ]
            for caller in callers:
                answer = retry(caller.ask, owner.caller_address, 'hello')
                self.assertEqual(200, answer.status)
            self.assertLessEqual({live, *programs}, list_sessions(run))
            run.set_faults(engine, lose_answers=1)
            ended = end(owner.caller_address, programs[0])
            self.assertEqual(200, ended.status)
            run.set_faults(engine, outage=True)
            for name in programs[1:]:
                self.assertEqual(200, end(owner.caller_address, name).status)
            owner.kill()
            run.set_faults(engine, outage=False)
            self.assertTrue(
                wait_until(
                    lambda: list_sessions(run) == {live}, SWEEP_WAIT_SECONDS
                ),
                str(list_sessions(run)),
            )
            refused = retry(callers[1].ask, other.caller_address, 'more')
            self.assertEqual('program_ended', refused.code)


class NotRunTest(TestCase):
    """Guard what a refusal says about the run."""

    def count_runs(self, run: Deployment) -> int:
        """Return how many requests all runners have run."""
        return sum(
            sum(effects['by_request_id'].values())
            for effects in run.effects().values()
        )

    def count_turns(self, run: Deployment, program: str) -> int:
        """Return how many finished model calls the log holds."""
        kinds = [record['kind'] for record in read_log(run, program)]
        return kinds.count('TurnCompleted')

    def test_not_run_refusals_have_no_effect(self) -> None:
        """Guard against refused calls that ran all the same."""
        with running_cluster(2, options=FAST_ENGINE) as run:
            program, owner, (other,) = choose_program(run, 'refused')
            address = other.caller_address
            caller = ProgramCaller(program=program, model=MODEL)
            self.assertEqual(
                200, retry(caller.ask, address, 'hello', sequence=1).status
            )
            runs = self.count_runs(run)
            poor = ProgramCaller(
                program=list_programs_of_partition(program, 1)[0],
                model=MODEL,
                headers={'Bronzepost-Budget': '1'},
            )
            stranger = ProgramCaller(program=program, model=MODEL)
            nowhere = ProgramCaller(program=program, model='no-such-model')
            nowhere.messages = caller.messages
            refused = {
                'wrong_sequence': caller.ask(address, 'x', sequence=9),
                'history_mismatch': stranger.ask(address, 'x'),
                'budget': poor.ask(address, 'x'),
                'bad_request': caller.ask(
                    address, 'x', more={'Bronzepost-Budget': 'much'}
                ),
                'model_not_found': nowhere.ask(address, 'x', sequence=2),
            }
            set_log_faults(run, outage=True)
            refused['log_unavailable'] = send(
                address,
                '/v1/services/booking-app/calls/book',
                {},
                headers=caller.call_headers(0)
                | {'Bronzepost-Non-Idempotent': 'true'},
            )
            set_log_faults(run, outage=False)
            for code, answer in refused.items():
                self.assertEqual((code, 'not_run'), (answer.code, answer.run))
            self.assertEqual(runs, self.count_runs(run))
            answer = retry(caller.ask, address, 'x', sequence=2)
            self.assertEqual(200, answer.status)
            self.assertEqual(runs + 1, self.count_runs(run))
            self.assertEqual(200, end(address, program).status)
            late = caller.ask(address, 'y')
            self.assertEqual('program_ended', late.code)
            repeated = caller.ask(address, 'hello', sequence=1)
            self.assertEqual('call_finished', repeated.code)
            self.assertEqual('ran', repeated.run)
            self.assertEqual('false', repeated.headers['x-should-retry'])
            self.assertEqual(runs + 1, self.count_runs(run))
            # Right after the outage a mirror may stand in for the log.
            wait_until(lambda: self.count_turns(run, program) >= 2)
            self.assertEqual(2, self.count_turns(run, program))
