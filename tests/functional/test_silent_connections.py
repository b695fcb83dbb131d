"""Tests of connections that stay open but deliver nothing any more."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import cast

import msgspec
from testtools import TestCase

from bronzepost._internal.node.callers.web import Request
from bronzepost._internal.node.engines.forwarding import Forwarder, OwnerLookup
from standins.http_client import request_json
from tests.builders_telemetry import build_telemetry
from tests.functional.callers import ProgramCaller, retry
from tests.functional.clusters import (
    MODEL,
    find_runner,
    running_cluster,
)
from tests.functional.standin_processes import running_standin

LONG_ANSWER_TOKENS = 60
SILENT_AFTER_TOKENS = 5


def silence_connections(control_address: str, *directions: str) -> None:
    """Silence the connections that a relay has open at present."""
    request_json(
        'PUT', f'{control_address}/connections', {'silent': list(directions)}
    )


def read_offsets(blocks: Iterator[bytes], count: int = 0) -> list[int]:
    """Return the offsets of the next ``count`` events, or of all if 0."""
    offsets: list[int] = []
    for block in blocks:
        if block.startswith(b'id: '):
            offsets.append(int(block.partition(b'\n')[0].removeprefix(b'id: ')))
        if count and len(offsets) == count:
            break
    return offsets


class SilentConnectionTest(TestCase):
    """Guard streamed answers whose connection goes silent."""

    def test_silent_connection_is_resumed(self) -> None:
        """Guard against tokens that are lost, sent twice or generated twice.

        The connections of one stream to its engine go silent, and at the same
        time those of another stream between nodes. The forwarder of the latter
        runs in the test process, with a relay between it and the owner.
        """
        with (
            running_cluster(1, relayed=(MODEL,)) as run,
            ThreadPoolExecutor(1) as pool,
        ):
            owner = run.nodes[0]
            engine = find_runner(run, MODEL)
            direct, forwarded = (
                ProgramCaller(
                    program=program, model=MODEL, max_tokens=LONG_ANSWER_TOKENS
                )
                for program in ('direct', 'forwarded')
            )
            target = owner.plan.forward_address
            with running_standin('relay', '--target', target) as addresses:
                relayed, control = addresses.split()
                owner_lookup = OwnerLookup(
                    find_owner=lambda _: owner.plan.name,
                    find_address=lambda _: relayed,
                    is_live=lambda _: True,
                    find_peer_key=lambda: run.peer_key,
                )
                forwarder = Forwarder(
                    owner_lookup=owner_lookup, telemetry=build_telemetry()
                )
                response = forwarder.forward(
                    owner.plan.name,
                    self.build_request(forwarded),
                    idle_timeout_seconds=60,
                )
                blocks = cast('Iterator[bytes]', response.body)
                offsets = read_offsets(blocks, SILENT_AFTER_TOKENS)
                stream = direct.open_stream(owner.caller_address, 'go')
                stream.read(token_count=SILENT_AFTER_TOKENS)
                silence_connections(control, 'to_client')
                silence_connections(engine.relay_control_address, 'to_client')
                reading = pool.submit(stream.read)
                offsets += read_offsets(blocks)
                self.assertEqual(list(range(LONG_ANSWER_TOKENS + 1)), offsets)
            self.assertTrue(reading.result().is_complete, str(stream.error))
            self.assertEqual(LONG_ANSWER_TOKENS, len(stream.tokens))
            self.assertEqual(
                LONG_ANSWER_TOKENS, stream.usage['completion_tokens']
            )
            runs = run.effects()[engine.process.name]['by_request_id']
            self.assertEqual([1, 1], list(runs.values()))
            reply = {'role': 'assistant', 'content': stream.text}
            direct.messages = [{'role': 'user', 'content': 'go'}, reply]
            answer = retry(
                direct.send_turn, owner.caller_address, 'next', sequence=2
            )
            self.assertEqual(200, answer.status)

    def build_request(self, caller: ProgramCaller) -> Request:
        """Return the request that a node has read from a streaming caller."""
        headers = {
            name.lower(): text for name, text in caller.build_headers(1).items()
        }
        messages = [{'role': 'user', 'content': 'go'}]
        body = {**caller.build_body(messages), 'stream': True}
        return Request(
            method='POST',
            path='/v1/chat/completions',
            query={},
            headers=headers,
            body=msgspec.json.encode(body),
            path_parameters={},
        )
