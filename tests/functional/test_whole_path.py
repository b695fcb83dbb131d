"""Tests of callers, three nodes and the stand-ins, all as processes."""

from concurrent.futures import ThreadPoolExecutor
from typing import Any

import openai
from testtools import TestCase

from demo.caller import Caller
from demo.exchange import RefusedCallError, exchange_json
from demo.observations import set_value, wait_until_ready
from standins.deployment import Deployment
from standins.http_client import request_json
from standins.organisations import CONVENTIONS
from standins.text import answer_text

MODEL = 'pass-assistant'
NODES = 3
MAX_TOKENS = 20
SERVICE_PATH = '/v1/services/pass-registry/calls/passes/issue'


# The parameter that the refusal names, the body and the headers.
Case = tuple[str, dict[str, Any], dict[str, str]]


class SingleEndpoint:
    """Endpoints of a caller that knows only one node."""

    def __init__(self, address: str) -> None:
        """Use one node's address for all calls."""
        self.address = address

    def choose(self) -> str:
        """Return the address."""
        return self.address

    def invalidate(self) -> None:
        """Do nothing: there is no other address."""


def build_body(*texts: str) -> dict[str, Any]:
    """Return the body of a chat completion."""
    messages = [{'role': 'user', 'content': text} for text in texts]
    return {'model': MODEL, 'messages': messages, 'max_tokens': MAX_TOKENS}


def build_expected_answer(body: dict[str, Any]) -> str:
    """Return the answer that the stand-in engine gives to a body."""
    return answer_text(MODEL, body['messages'], max_tokens=body['max_tokens'])


class WholePathTest(TestCase):
    """Guard what callers rely on, over real sockets."""

    deployment: Deployment

    @classmethod
    def setUpClass(cls) -> None:
        """Start one deployment for all tests."""
        super().setUpClass()
        cls.deployment = Deployment(
            organisation=CONVENTIONS,
            nodes=NODES,
            scale=0.34,
            options={'engine': ('--step-seconds', '0.005')},
        )
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()
        wait_until_ready(cls.deployment)

    def addresses(self) -> list[str]:
        """Return the addresses of the nodes for callers."""
        return [node.caller_address for node in self.deployment.nodes]

    def build_caller(
        self, program: str, *, node_index: int = 0, budget: int | None = None
    ) -> Caller:
        """Return a caller that sends all calls to one node."""
        return Caller(
            program=program,
            endpoints=SingleEndpoint(self.addresses()[node_index]),
            budget=budget,
        )

    def count_runs(self, program: str) -> int:
        """Return how often a backend server ran a call of a program."""
        return sum(
            runs
            for effects in self.deployment.effects().values()
            for request_id, runs in effects['by_request_id'].items()
            if request_id.startswith(f'{program}:')
        )

    def count_effects(self, key: str) -> int:
        """Return how often calls with a business key ran."""
        return sum(
            effects['by_business_key'].get(key, 0)
            for effects in self.deployment.effects().values()
        )

    def find_program(self, program: str) -> dict[str, Any]:
        """Return the entry of a program in its owner's list."""
        key = {'Authorization': f'Bearer {self.deployment.operator_key}'}
        listed = [
            entry
            for node in self.deployment.nodes
            for entry in request_json(
                'GET', f'{node.operator_address}/v1/programs', headers=key
            )['programs']
            if entry['program'] == program
        ]
        return dict(listed[-1])

    def send_refused(
        self, path: str, body: Any, **headers: str
    ) -> RefusedCallError:
        """Return the refusal of a request that the first node must refuse."""
        header_fields = {
            name.title().replace('_', '-'): text
            for name, text in headers.items()
        }
        refusal: RefusedCallError = self.assertRaises(
            RefusedCallError,
            exchange_json,
            'POST',
            self.addresses()[0],
            path,
            body=body,
            headers=header_fields,
        )
        return refusal

    def check_serving(self, node_index: int) -> None:
        """Check that a node answers a call without a program."""
        body = build_body(f'Are you there, node {node_index}?')
        answer = self.build_caller('', node_index=node_index).chat(body)
        self.assertEqual(build_expected_answer(body), answer.text)

    def test_every_node_serves_a_program(self) -> None:
        """Guard forwarding: at most one of three nodes owns the program."""
        messages: list[dict[str, str]] = []
        for number, address in enumerate(self.addresses()):
            caller = Caller(program='trip-1', endpoints=SingleEndpoint(address))
            caller.sequence = number
            messages.append({'role': 'user', 'content': f'Part {number}'})
            body = build_body() | {'messages': messages}
            answer = caller.stream_chat(body)
            self.assertEqual(build_expected_answer(body), answer.text)
            messages.append({'role': 'assistant', 'content': answer.text})
        self.assertEqual(NODES, self.count_runs('trip-1'))
        self.assertEqual(NODES, self.find_program('trip-1')['calls'])

    def test_broken_stream_is_resumed_at_every_node(self) -> None:
        """Guard against answers that are cut off, repeated or run again."""
        for node_index in range(NODES):
            program = f'broken-{node_index}'
            caller = self.build_caller(program, node_index=node_index)
            body = build_body('Tell me all.')
            answer = caller.stream_chat(body, break_after=3)
            self.assertEqual(build_expected_answer(body), answer.text)
            self.assertEqual(1, self.count_runs(program))

    def test_sub_agent_has_its_own_budget(self) -> None:
        """Guard against a sub-agent that spends its parent's budget."""
        parent = self.build_caller('team', budget=20000)
        parent.chat(build_body('Ask a helper.'))
        child = self.build_caller('team.helper', node_index=1, budget=1000)
        body = build_body('Help.')
        answer = {'role': 'assistant', 'content': child.chat(body).text}
        body['messages'] += [answer, *build_body('Write a book.')['messages']]
        refusal = self.assertRaises(
            RefusedCallError, child.chat, body | {'max_tokens': 1000}
        )
        self.assertEqual(('budget', 'not_run'), (refusal.code, refusal.run))
        self.assertEqual(1, self.count_runs('team.helper'))
        entry = self.find_program('team.helper')
        self.assertEqual(1000, entry['budget'])
        self.assertLessEqual(entry['spent'], 1000)
        self.assertEqual(1000, self.find_program('team')['carved'])

    def test_repeated_call_has_one_effect(self) -> None:
        """Guard against a second run when a caller repeats its call."""
        body = {'business_key': 'issue-1'}
        callers = [
            self.build_caller('issuer', node_index=node_index)
            for node_index in range(NODES)
        ]
        with ThreadPoolExecutor(NODES) as pool:
            answers = list(
                pool.map(
                    lambda caller: caller.call_service(
                        'pass-registry', 'calls/issue', body, key='issue-1'
                    ),
                    callers,
                )
            )
        for answer in answers:
            self.assertEqual(answers[0], answer)
        self.assertEqual(1, self.count_effects('issue-1'))

    def test_openai_client_works_unchanged(self) -> None:
        """Guard the protocol of OpenAI clients."""
        for node_index, address in enumerate(self.addresses()):
            body = build_body(f'Question of an ordinary client {node_index}')
            with openai.OpenAI(
                base_url=f'http://{address}/v1', api_key='unused'
            ) as client:
                complete = client.chat.completions.create(**body)
                chunks = client.chat.completions.create(**body, stream=True)
                parts = [
                    choice.delta.content or ''
                    for chunk in chunks
                    for choice in chunk.choices
                ]
            text = build_expected_answer(body)
            self.assertEqual(text, complete.choices[0].message.content)
            self.assertEqual(text, ''.join(parts))
            self.assertEqual(MAX_TOKENS, complete.usage.completion_tokens)

    def test_bad_request_names_the_field(self) -> None:
        """Guard against bad requests that run or crash the node."""
        good = build_body('Hello')
        chat = '/v1/chat/completions'
        cases: tuple[Case, ...] = (
            ('model', good | {'model': 7}, {}),
            ('messages', good | {'messages': []}, {}),
            ('messages[0].role', good | {'messages': [{'role': 'king'}]}, {}),
            ('max_tokens', good | {'max_tokens': 0}, {}),
            ('stream', good | {'stream': 'yes'}, {}),
            ('Bronzepost-Program', good, {'bronzepost_program': 'a b'}),
            ('Bronzepost-Sequence', good, {'bronzepost_sequence': '-1'}),
            ('Bronzepost-Budget', good, {'bronzepost_budget': 'all'}),
            ('Bronzepost-Deadline', good, {'bronzepost_deadline': 'nan'}),
            ('Bronzepost-Hops', good, {'bronzepost_hops': 'far'}),
        )
        for parameter, body, headers in cases:
            refusal = self.send_refused(chat, body, **headers)
            self.assertEqual(
                (400, parameter, 'not_run'),
                (refusal.status, refusal.parameter, refusal.run),
            )
        self.check_serving(0)

    def test_body_over_the_limit_is_refused(self) -> None:
        """Guard the node's memory against large bodies."""
        body = build_body('x' * 5_000_000)
        refusal = self.send_refused('/v1/chat/completions', body)
        self.assertEqual((413, 'body'), (refusal.status, refusal.parameter))
        self.check_serving(0)

    def test_unknown_path_is_refused(self) -> None:
        """Guard against unknown paths and methods that a handler answers."""
        self.assertEqual(404, self.send_refused('/v1/nothing', {}).status)
        self.assertEqual(405, self.send_refused('/v1/models', {}).status)
        self.check_serving(0)

    def test_path_of_a_service_arrives_unchanged(self) -> None:
        """Guard paths with spaces or non-ASCII letters, forwarded or not."""
        for number in range(NODES):
            caller = self.build_caller('paths', node_index=number)
            caller.sequence = number
            answer = caller.call_service(
                'pass-registry', 'calls/hala%20%C5%BC', {}
            )
            # The stand-in decodes the bytes of the path as Latin-1.
            name = answer['name'].encode('latin-1').decode()
            self.assertEqual('hala ż', name)

    def test_call_over_its_budget_is_not_run(self) -> None:
        """Guard against calls that run but are refused as not run."""
        for node_index in range(NODES):
            caller = self.build_caller(
                f'poor-{node_index}', node_index=node_index, budget=30
            )
            refusal = self.assertRaises(
                RefusedCallError, caller.chat, build_body('Write a book.')
            )
            self.assertEqual(402, refusal.status)
            self.assertEqual(('budget', 'not_run'), (refusal.code, refusal.run))
            self.assertEqual(0, self.count_runs(f'poor-{node_index}'))

    def test_call_with_a_price_over_its_budget_is_not_run(self) -> None:
        """Guard against non-idempotent calls that run over their budget."""
        path = 'kostiumy/pass-registry/buyer:call_price'
        set_value(self.deployment, path, 50)
        caller = self.build_caller('buyer', budget=49)
        refusal = self.assertRaises(
            RefusedCallError,
            caller.call_service,
            'pass-registry',
            'calls/buy',
            {'business_key': 'buy-1'},
            key='buy-1',
        )
        self.assertEqual(('budget', 'not_run'), (refusal.code, refusal.run))
        self.assertEqual(0, self.count_effects('buy-1'))
