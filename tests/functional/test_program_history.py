"""Tests that histories are neither lost nor mixed, and calls stay in order."""

from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor

from testtools import TestCase

from standins.deployment import Deployment
from tests.functional.callers import (
    Answer,
    ProgramCaller,
    retry,
    send,
)
from tests.functional.clusters import (
    CALL_PATH,
    FAST_ENGINE,
    MODEL,
    choose_program,
    list_programs_of_partition,
    read_log,
    running_cluster,
    wait_for_takeover,
)

LONG_ANSWER = 40
# Characters of a token of the stand-in's answers.
TOKEN_LENGTH = 4


def read_turns(run: Deployment, program: str) -> list[str]:
    """Return the acknowledged user messages of a program, from the log."""
    return [
        message['content']
        for record in read_log(run, program)
        if record['kind'] == 'TurnCompleted' and record['program'] == program
        for message in record['messages']
        if message['role'] == 'user'
    ]


def make_caller(program: str, max_tokens: int = 8) -> ProgramCaller:
    """Return a caller of the deployment's model."""
    return ProgramCaller(program=program, model=MODEL, max_tokens=max_tokens)


def ask_all(caller: ProgramCaller, address: str, texts: Sequence[str]) -> None:
    """Make turns and check that each is answered."""
    answers = [retry(caller.ask, address, text) for text in texts]
    if any(answer.status != 200 for answer in answers):
        raise AssertionError(answers)


class ProgramHistoryTest(TestCase):
    """Guard the history of programs whose owner fails."""

    def check_refused(self, answer: Answer, code: str) -> None:
        """Check that a call was refused and did not run."""
        self.assertEqual((409, code), (answer.status, answer.code))
        self.assertEqual('not_run', answer.run)

    def test_killed_owner_loses_no_turn(self) -> None:
        """Guard against turns that are lost, mixed or counted twice.

        The owner of three programs is killed, two of which begin with the
        same messages, while the third streams its second turn. The caller of
        that one repeats the call with the same sequence at another node.
        """
        with running_cluster(3, options=FAST_ENGINE) as run:
            program, owner, others = choose_program(run, 'history')
            address = owner.caller_address
            caller, other, streamer = map(
                make_caller, (program, *list_programs_of_partition(program, 2))
            )
            ask_all(caller, address, ('one', 'two'))
            ask_all(other, address, ('one', 'other'))
            ask_all(streamer, address, ('one',))
            self.assertEqual(caller.messages[:2], other.messages[:2])
            streamer.max_tokens = LONG_ANSWER
            stream = streamer.open_stream(address, 'two', sequence=2)
            stream.read(tokens=5)
            owner.kill()
            self.assertFalse(stream.read().is_complete)
            address = others[0].caller_address
            for messages in (other.messages, caller.messages[:2]):
                mixed = make_caller(program)
                mixed.messages = messages
                refused = retry(mixed.ask, address, 'mixed')
                self.check_refused(refused, 'history_mismatch')
            answer = retry(streamer.ask, address, 'two', sequence=2)
            content = answer.message['content']
            self.assertTrue(content.startswith(stream.text), content)
            self.assertEqual(LONG_ANSWER * TOKEN_LENGTH, len(content))
            for late in (caller, other, streamer):
                self.assertEqual(200, retry(late.ask, address, 'end').status)
            self.assertEqual(
                [['one', 'two', 'end'], ['one', 'other', 'end']],
                [read_turns(run, asked.program) for asked in (caller, other)],
            )
            turns = read_turns(run, streamer.program)
            self.assertEqual(['one', 'two', 'end'], turns)

    def test_resume_at_another_node_gives_each_token_once(self) -> None:
        """Guard against tokens that are missing or repeated after a resume."""
        with running_cluster(2, options=FAST_ENGINE) as run:
            program, owner, (other,) = choose_program(run, 'resume')
            caller = make_caller(program, LONG_ANSWER)
            first = caller.open_stream(owner.caller_address, 'go', sequence=1)
            first.read(tokens=7).cut()
            second = caller.resume_stream(
                other.caller_address, 1, first.next_offset
            ).read()
            whole = caller.resume_stream(owner.caller_address, 1, 0).read()
            tokens = first.tokens + second.tokens
            self.assertTrue(second.is_complete)
            self.assertEqual(LONG_ANSWER, len(tokens))
            self.assertEqual(whole.tokens, tokens)
            self.assertEqual(LONG_ANSWER, second.usage['completion_tokens'])
            ran = run.effects()[run.runners[0].process.name]['by_request_id']
            self.assertEqual([1], list(ran.values()))


class ProgramOrderTest(TestCase):
    """Guard the order of a program's calls."""

    def test_order_call_waits_for_stream_at_frozen_owner(self) -> None:
        """Guard against call 2 that runs while call 1 has no outcome."""
        with (
            running_cluster(2, options=FAST_ENGINE) as run,
            ThreadPoolExecutor(1) as pool,
        ):
            program, owner, (successor,) = choose_program(run, 'order')
            caller = make_caller(program, LONG_ANSWER)
            stream = caller.open_stream(owner.caller_address, 'one', sequence=1)
            stream.read(tokens=5)
            owner.pause()
            self.assertTrue(wait_for_takeover(run, program, owner))
            address = successor.caller_address
            early = pool.submit(retry, caller.ask, address, 'two', sequence=2)
            answer = early.result()
            self.assertEqual((409, 'not_run'), (answer.status, answer.run))
            owner.resume()
            stream.read()
            self.assertEqual('ran', stream.error['run'])
            answer = retry(caller.ask, address, 'one', sequence=1)
            self.assertEqual(200, answer.status)
            self.assertTrue(answer.message['content'].startswith(stream.text))
            answer = retry(caller.ask, address, 'two', sequence=2)
            self.assertEqual(200, answer.status)
            valid = [turn for turn in read_turns(run, program) if turn == 'two']
            self.assertEqual(['two'], valid)

    def test_order_call_waits_for_the_one_before(self) -> None:
        """Guard against calls that run out of order, and a wrong number told.

        Call 2 arrives at another node while call 1 streams.
        """
        with (
            running_cluster(2, options=FAST_ENGINE) as run,
            ThreadPoolExecutor(1) as pool,
        ):
            program, owner, (other,) = choose_program(run, 'numbers')
            caller = make_caller(program, LONG_ANSWER)
            stream = caller.open_stream(owner.caller_address, 'one', sequence=1)
            stream.read(tokens=5)
            early = pool.submit(
                send,
                other.caller_address,
                CALL_PATH,
                {},
                headers=caller.call_headers(2),
            )
            self.assertTrue(stream.read().is_complete)
            self.assertEqual(200, early.result().status)
            self.assertEqual(
                [('TurnCompleted', 1), ('Outcome', 2)],
                [
                    (record['kind'], record['sequence'])
                    for record in read_log(run, program)
                    if record['kind'] in {'TurnCompleted', 'Outcome'}
                ],
            )
            reply = {'role': 'assistant', 'content': stream.text}
            caller.messages = [{'role': 'user', 'content': 'one'}, reply]
            for sequence in (5, 4):
                answer = caller.ask(
                    other.caller_address, 'x', sequence=sequence
                )
                self.assertEqual(409, answer.status)
                self.assertEqual('wrong_sequence', answer.code)
                self.assertIn('call 3 of', answer.body['error']['message'])
            answer = caller.ask(other.caller_address, 'two', sequence=3)
            self.assertEqual(200, answer.status)
