"""Tests that histories are neither lost nor mixed and calls run in order."""

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

LONG_ANSWER_TOKENS = 40
# In the answers of the stand-in engine.
CHARACTERS_PER_TOKEN = 4


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


def send_turns(
    caller: ProgramCaller, address: str, texts: Sequence[str]
) -> None:
    """Send turns and check that each is answered."""
    answers = [retry(caller.send_turn, address, text) for text in texts]
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

        Two of three programs begin with the same messages. Their owner is
        killed while the third program streams its second turn, and its caller
        repeats that call with the same sequence at another node.
        """
        with running_cluster(3, options=FAST_ENGINE) as run:
            program, owner, other_nodes = choose_program(run, 'history')
            address = owner.caller_address
            caller, other, streamer = map(
                make_caller, (program, *list_programs_of_partition(program, 2))
            )
            send_turns(caller, address, ('one', 'two'))
            send_turns(other, address, ('one', 'other'))
            send_turns(streamer, address, ('one',))
            self.assertEqual(caller.messages[:2], other.messages[:2])
            streamer.max_tokens = LONG_ANSWER_TOKENS
            stream = streamer.open_stream(address, 'two', sequence=2)
            stream.read(token_count=5)
            owner.kill()
            self.assertFalse(stream.read().is_complete)
            address = other_nodes[0].caller_address
            for messages in (other.messages, caller.messages[:2]):
                mixed = make_caller(program)
                mixed.messages = messages
                refused = retry(mixed.send_turn, address, 'mixed')
                self.check_refused(refused, 'history_mismatch')
            answer = retry(streamer.send_turn, address, 'two', sequence=2)
            content = answer.message['content']
            self.assertTrue(content.startswith(stream.text), content)
            self.assertEqual(
                LONG_ANSWER_TOKENS * CHARACTERS_PER_TOKEN, len(content)
            )
            for each in (caller, other, streamer):
                self.assertEqual(
                    200, retry(each.send_turn, address, 'end').status
                )
            self.assertEqual(
                [['one', 'two', 'end'], ['one', 'other', 'end']],
                [read_turns(run, each.program) for each in (caller, other)],
            )
            turns = read_turns(run, streamer.program)
            self.assertEqual(['one', 'two', 'end'], turns)

    def test_resume_at_another_node_delivers_each_token_once(self) -> None:
        """Guard against tokens that are missing or repeated after a resume."""
        with running_cluster(2, options=FAST_ENGINE) as run:
            program, owner, (other_node,) = choose_program(run, 'resume')
            caller = make_caller(program, LONG_ANSWER_TOKENS)
            first = caller.open_stream(owner.caller_address, 'go', sequence=1)
            first.read(token_count=7).close()
            second = caller.resume_stream(
                other_node.caller_address, 1, first.next_offset
            ).read()
            complete = caller.resume_stream(owner.caller_address, 1, 0).read()
            tokens = first.tokens + second.tokens
            self.assertTrue(second.is_complete)
            self.assertEqual(LONG_ANSWER_TOKENS, len(tokens))
            self.assertEqual(complete.tokens, tokens)
            self.assertEqual(
                LONG_ANSWER_TOKENS, second.usage['completion_tokens']
            )
            runs = run.effects()[run.runners[0].process.name]['by_request_id']
            self.assertEqual([1], list(runs.values()))


class ProgramOrderTest(TestCase):
    """Guard the order of a program's calls."""

    def test_order_call_waits_for_stream_at_frozen_owner(self) -> None:
        """Guard against call 2 running while call 1 has no outcome."""
        with (
            running_cluster(2, options=FAST_ENGINE) as run,
            ThreadPoolExecutor(1) as pool,
        ):
            program, owner, (successor,) = choose_program(run, 'order')
            caller = make_caller(program, LONG_ANSWER_TOKENS)
            stream = caller.open_stream(owner.caller_address, 'one', sequence=1)
            stream.read(token_count=5)
            owner.pause()
            self.assertTrue(wait_for_takeover(run, program, owner))
            address = successor.caller_address
            second_call = pool.submit(
                retry, caller.send_turn, address, 'two', sequence=2
            )
            answer = second_call.result()
            self.assertEqual((409, 'not_run'), (answer.status, answer.run))
            owner.resume()
            stream.read()
            self.assertEqual('ran', stream.error['run'])
            answer = retry(caller.send_turn, address, 'one', sequence=1)
            self.assertEqual(200, answer.status)
            self.assertTrue(answer.message['content'].startswith(stream.text))
            answer = retry(caller.send_turn, address, 'two', sequence=2)
            self.assertEqual(200, answer.status)
            valid = [turn for turn in read_turns(run, program) if turn == 'two']
            self.assertEqual(['two'], valid)

    def test_order_call_waits_for_the_previous_call(self) -> None:
        """Guard against calls out of order and wrong call numbers in refusals.

        Call 2 arrives at another node while call 1 streams.
        """
        with (
            running_cluster(2, options=FAST_ENGINE) as run,
            ThreadPoolExecutor(1) as pool,
        ):
            program, owner, (other_node,) = choose_program(run, 'numbers')
            caller = make_caller(program, LONG_ANSWER_TOKENS)
            stream = caller.open_stream(owner.caller_address, 'one', sequence=1)
            stream.read(token_count=5)
            second_call = pool.submit(
                send,
                other_node.caller_address,
                CALL_PATH,
                {},
                headers=caller.build_headers(2),
            )
            self.assertTrue(stream.read().is_complete)
            self.assertEqual(200, second_call.result().status)
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
                answer = caller.send_turn(
                    other_node.caller_address, 'x', sequence=sequence
                )
                self.assertEqual(409, answer.status)
                self.assertEqual('wrong_sequence', answer.code)
                self.assertIn('call 3 of', answer.body['error']['message'])
            answer = caller.send_turn(
                other_node.caller_address, 'two', sequence=3
            )
            self.assertEqual(200, answer.status)
