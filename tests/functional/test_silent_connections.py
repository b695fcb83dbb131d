"""Tests of connections that go silent while new ones work."""

from collections.abc import Iterator
from typing import cast

import msgspec
from testtools import TestCase

from bronzepost._internal.node.forwarding import Forwarder, Owners
from bronzepost._internal.node.web import Request
from standins.http_client import request_json
from tests.builders_telemetry import build_telemetry
from tests.functional.callers import ProgramCaller, retry
from tests.functional.clusters import (
    MODEL,
    find_runner,
    place_program,
    running_cluster,
)
from tests.functional.standin_processes import running_standin

LONG_ANSWER = 60
CUT_AFTER_TOKENS = 5


def silence(control_address: str, *directions: str) -> None:
    """Silence the connections that a relay has open at this moment."""
    request_json(
        'PUT', f'{control_address}/connections', {'silent': list(directions)}
    )


def read_offsets(blocks: Iterator[bytes], count: int = 0) -> list[int]:
    """Return the offsets of the next events, of all if no count is given."""
    offsets: list[int] = []
    for block in blocks:
        if block.startswith(b'id: '):
            offsets.append(int(block.partition(b'\n')[0].removeprefix(b'id: ')))
        if count and len(offsets) == count:
            break
    return offsets


class SilentConnectionTest(TestCase):
    """Guard answers whose connection goes silent in the middle."""

    def test_silent_connection_to_engine_is_resumed(self) -> None:
        """Guard against tokens that are lost, repeated or run again."""
        with running_cluster(1, relayed=(MODEL,)) as run:
            node = run.nodes[0]
            engine = find_runner(run, MODEL)
            caller = ProgramCaller(
                program='silent', model=MODEL, max_tokens=LONG_ANSWER
            )
            stream = caller.open_stream(node.caller_address, 'go', sequence=1)
            stream.read(tokens=CUT_AFTER_TOKENS)
            silence(engine.relay_control_address, 'to_client')
            stream.read()
            self.assertTrue(stream.is_complete, str(stream.error))
            self.assertEqual(LONG_ANSWER, len(stream.tokens))
            self.assertEqual(LONG_ANSWER, stream.usage['completion_tokens'])
            runs = run.effects()[engine.process.name]['by_request_id']
            self.assertEqual([1], list(runs.values()))
            reply = {'role': 'assistant', 'content': stream.text}
            caller.messages = [{'role': 'user', 'content': 'go'}, reply]
            caller.max_tokens = 4
            answer = retry(caller.ask, node.caller_address, 'next', sequence=2)
            self.assertEqual(200, answer.status)

    def test_silent_connection_between_nodes_is_resumed(self) -> None:
        """Guard against a forwarded stream that stays silent or has gaps.

        The forwarder runs in the test, so that its connections to a node go
        through a relay.
        """
        with running_cluster(1) as run:
            program, owner, _ = place_program(run, 'between')
            caller = ProgramCaller(
                program=program, model=MODEL, max_tokens=LONG_ANSWER
            )
            target = owner.plan.forward_address
            with running_standin('relay', '--target', target) as addresses:
                relayed, control = addresses.split()
                owners = Owners(
                    find_owner=lambda _: owner.plan.name,
                    find_address=lambda _: relayed,
                    is_live=lambda _: True,
                    find_peer_key=lambda: run.peer_key,
                )
                forwarder = Forwarder(
                    owners=owners, telemetry=build_telemetry()
                )
                response = forwarder.forward(
                    owner.plan.name, self.build_request(caller), idle_seconds=60
                )
                self.assertEqual(200, response.status)
                blocks = cast('Iterator[bytes]', response.body)
                offsets = read_offsets(blocks, CUT_AFTER_TOKENS)
                silence(control, 'to_client')
                offsets += read_offsets(blocks)
                self.assertEqual(list(range(LONG_ANSWER + 1)), offsets)
            engine = find_runner(run, MODEL)
            runs = run.effects()[engine.process.name]['by_request_id']
            self.assertEqual([1], list(runs.values()))

    def build_request(self, caller: ProgramCaller) -> Request:
        """Return a caller's streamed call as a node has read it."""
        headers = {
            name.lower(): text for name, text in caller.call_headers(1).items()
        }
        asked = [{'role': 'user', 'content': 'go'}]
        body = {**caller.body(asked), 'stream': True}
        return Request(
            method='POST',
            path='/v1/chat/completions',
            query={},
            headers=headers,
            body=msgspec.json.encode(body),
            path_parts={},
        )
