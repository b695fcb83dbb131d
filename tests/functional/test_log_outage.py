"""Tests of a deployment while the log service is down."""

import time
from http import HTTPStatus
from typing import Any, ClassVar
from urllib.error import HTTPError

import msgspec
from testtools import TestCase

from bronzepost._internal.core.rendezvous import PARTITION_COUNT
from standins.deployment import Deployment
from standins.http_client import request_json
from standins.node_process import Node
from standins.organisations import CONVENTIONS

RETRY_TIMEOUT_SECONDS = 30
MODEL = 'pass-assistant'


def chat(
    node: Node, program: str, messages: list[dict[str, Any]], sequence: int
) -> tuple[int, Any]:
    """Make a model call and return the status and the JSON answer."""
    headers = {
        'Bronzepost-Program': program,
        'Bronzepost-Sequence': str(sequence),
    }
    body = {'model': MODEL, 'messages': messages, 'max_tokens': 4}
    try:
        answer = request_json(
            'POST',
            f'{node.caller_address}/v1/chat/completions',
            body,
            headers=headers,
        )
    except HTTPError as error:
        return error.code, msgspec.json.decode(error.read())
    return HTTPStatus.OK, answer


def chat_until_answered(
    node: Node, program: str, messages: list[dict[str, Any]], sequence: int
) -> Any:
    """Repeat a call until it is answered; a refusal must not say ``ran``."""
    end = time.monotonic() + RETRY_TIMEOUT_SECONDS
    while True:
        status, answer = chat(node, program, messages, sequence)
        if status == HTTPStatus.OK:
            return answer
        assert answer['error']['run'] != 'ran', answer
        assert time.monotonic() < end, answer
        time.sleep(0.2)


def build_next_messages(
    messages: list[dict[str, Any]], answer: Any
) -> list[Any]:
    """Return the messages of the program's next call."""
    user_message = {'role': 'user', 'content': 'and then?'}
    return [*messages, answer['choices'][0]['message'], user_message]


class LogOutageTest(TestCase):
    """Guard programs against an outage of the log service."""

    deployment: ClassVar[Deployment]

    @classmethod
    def setUpClass(cls) -> None:
        """Start a deployment with three nodes."""
        super().setUpClass()
        cls.deployment = Deployment(
            organisation=CONVENTIONS, nodes=3, scale=0.34
        )
        cls.deployment.start()
        cls.addClassCleanup(cls.deployment.stop)
        cls.wait_for_owners()

    @classmethod
    def wait_for_owners(cls) -> None:
        """Wait until each partition has an owner, since claims need the log."""
        end = time.monotonic() + RETRY_TIMEOUT_SECONDS
        key = cls.deployment.operator_key
        while time.monotonic() < end:
            owned = sum(
                request_json(
                    'GET',
                    f'{node.operator_address}/v1/status',
                    headers={'Authorization': f'Bearer {key}'},
                )['partitions']
                for node in cls.deployment.nodes
            )
            if owned == PARTITION_COUNT:
                return
            time.sleep(0.2)
        raise AssertionError('not every partition has an owner')

    def set_outage(self, *, is_down: bool) -> None:
        """Begin or end an outage of the log."""
        log = self.deployment.addresses_by_kind['log']
        self.deployment.set_faults(log, outage=is_down)

    def wait_until_outage_is_detected(self, node: Node) -> None:
        """Wait until a node treats the log as down.

        Only then does it start new programs without the log.
        """
        end = time.monotonic() + RETRY_TIMEOUT_SECONDS
        probe = 0
        messages = [{'role': 'user', 'content': 'probe'}]
        while time.monotonic() < end:
            probe += 1
            status, _ = chat(node, f'probe-{probe}', messages, 1)
            if status == HTTPStatus.OK:
                return
            time.sleep(0.2)
        raise AssertionError('no program starts during the outage')

    def find_owner(self, program: str) -> Node:
        """Return the owner, which the answer for endpoints names first."""
        answer = request_json(
            'GET',
            f'{self.deployment.nodes[0].caller_address}'
            f'/v1/endpoints?program={program}',
        )
        first = answer['endpoints'][0]['address']
        return next(
            node
            for node in self.deployment.nodes
            if node.caller_address == first
        )

    def test_log_outage_and_killed_owner_lose_no_program(self) -> None:
        """Guard against losing a program that started during an outage.

        Its owner dies before the log has accepted the program's records.
        """
        first = self.deployment.nodes[0]
        messages = [{'role': 'user', 'content': 'hello'}]
        chat_until_answered(first, 'before', messages, 1)
        self.set_outage(is_down=True)
        self.wait_until_outage_is_detected(first)
        answer = chat_until_answered(first, 'during', messages, 1)
        messages = build_next_messages(messages, answer)
        owner = self.find_owner('during')
        owner.kill()
        self.set_outage(is_down=False)
        survivor = next(
            node for node in self.deployment.nodes if node is not owner
        )
        chat_until_answered(survivor, 'during', messages, 2)
