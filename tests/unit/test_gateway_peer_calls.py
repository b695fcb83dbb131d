"""Tests of requests to other gateway processes."""

from typing import Any, cast

import gevent
import testtools

from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import (
    AllowancesFound,
    FindAllowances,
    ReserveTokens,
    TokensReserved,
)
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls

TIMEOUT_SECONDS = 0.05


class ScriptedFleet:
    """A fleet that records requests, and whose answers the test delivers."""

    def __init__(self) -> None:
        """Start without requests."""
        self.call_ids: list[int] = []
        self.receivers: dict[type, Any] = {}

    def subscribe(self, message_type: type, receive: Any) -> None:
        """Record the function that receives answers of a type."""
        self.receivers[message_type] = receive

    def send(self, _name: str, message: Any) -> bool:
        """Record the call id of a request."""
        self.call_ids.append(message.call_id)
        return True

    def answer(self, answer: Any) -> None:
        """Deliver an answer from ``vm-1``."""
        self.receivers[type(answer)]('vm-1', answer)


def make_request(call_id: int) -> ReserveTokens:
    """Return a request for the tokens of a turn."""
    return ReserveTokens(
        call_id=call_id,
        program_id='p-1',
        request_id='q-1',
        reservation_id='q-1/0',
        budget=1000,
        tokens=100,
        lines=(),
        may_be_provisional=False,
        is_first=True,
    )


class TestPeerCalls(testtools.TestCase):
    """An answer belongs to one request of one process."""

    def test_answer_to_the_previous_process_is_ignored(self) -> None:
        """A restarted process once took a late answer for a home's verdict."""
        previous, fleet = ScriptedFleet(), ScriptedFleet()
        PeerCalls(fleet=cast(Fleet, previous)).ask(
            'vm-1',
            lambda call_id: FindAllowances(call_id=call_id, program_id='p-1'),
            TIMEOUT_SECONDS,
        )
        calls = PeerCalls(fleet=cast(Fleet, fleet))
        asking = gevent.spawn(calls.ask, 'vm-1', make_request, TIMEOUT_SECONDS)
        gevent.sleep(0)
        late_id = previous.call_ids[0]
        fleet.answer(AllowancesFound(call_id=late_id, tokens_by_holder={}))
        gevent.sleep(0)
        own = TokensReserved(call_id=fleet.call_ids[0], verdict='reserved')
        fleet.answer(own)
        self.assertEqual(own, asking.get())
