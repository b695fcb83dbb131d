"""Requests to other gateway processes, and their answers."""

import contextlib
import itertools
import random
from collections.abc import Callable
from typing import Any, Final

from gevent.event import AsyncResult
from gevent.timeout import Timeout

from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import (
    AllowanceReplicated,
    AllowancesFound,
    GatewayMessage,
    PermitDecided,
    Snapshot,
    StreamFound,
    TokensReserved,
    TurnsFound,
    TurnStored,
)
from bronzepost._internal.gateway.peers.quota_messages import QuotaDecided

# A peer in the same region answers in a few milliseconds. After this timeout
# it is taken for paused or stopped, and the next one is asked.
ANSWER_TIMEOUT_SECONDS: Final = 0.15

# Call ids start at a random number of this many bits: a process that restarts
# at the same address receives late answers to requests of the one before it.
_CALL_ID_BITS: Final = 48

_ANSWERS: Final = (
    AllowancesFound,
    AllowanceReplicated,
    PermitDecided,
    QuotaDecided,
    Snapshot,
    StreamFound,
    TokensReserved,
    TurnsFound,
    TurnStored,
)

MakeRequest = Callable[[int], GatewayMessage]


class PeerCalls:
    """Send requests to peers and match the answers to them by call id."""

    def __init__(self, *, fleet: Fleet) -> None:
        """Subscribe to the answers of a fleet's members."""
        self._fleet = fleet
        first = random.SystemRandom().getrandbits(_CALL_ID_BITS)
        self._call_ids = itertools.count(first)
        self._pending_by_call_id: dict[int, AsyncResult] = {}
        for answer_type in _ANSWERS:
            fleet.subscribe(answer_type, self._receive_answer)

    def ask(
        self,
        name: str,
        make_request: MakeRequest,
        timeout_seconds: float = ANSWER_TIMEOUT_SECONDS,
    ) -> Any:
        """Return a member's answer, or None if none arrives in time.

        ``make_request`` gets the call id that the answer has to repeat.
        """
        call_id, pending = self._open()
        with contextlib.ExitStack() as stack:
            stack.callback(self._pending_by_call_id.pop, call_id, None)
            return self._wait(
                name, make_request(call_id), pending, timeout_seconds
            )

    def _open(self) -> tuple[int, AsyncResult]:
        call_id = next(self._call_ids)
        pending = AsyncResult()
        self._pending_by_call_id[call_id] = pending
        return call_id, pending

    def _wait(
        self,
        name: str,
        request: GatewayMessage,
        pending: AsyncResult,
        timeout_seconds: float,
    ) -> Any:
        if not self._fleet.send(name, request):
            return None
        try:
            return pending.get(timeout=timeout_seconds)
        except Timeout:
            return None

    def _receive_answer(self, _sender: str, answer: Any) -> None:
        pending = self._pending_by_call_id.get(answer.call_id)
        if pending is not None:
            pending.set(answer)
