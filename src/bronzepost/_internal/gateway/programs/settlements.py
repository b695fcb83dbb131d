"""Reports to homes of what turns have generated."""

import functools
from collections.abc import Callable
from typing import Final

import gevent
import msgspec

from bronzepost._internal.gateway.loops import start_task
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import (
    SettleTokens,
    TokensReserved,
)
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.programs.home import Home
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# The answer of a home that confirms a settlement.
SETTLED: Final = 'settled'
# A settlement is repeated while its VM may be cut off from the home: the longest cut
# of the platform is 12 s.
SETTLEMENT_PAUSES_SECONDS: Final = (0.2, 0.5, 1.0, 2.0, 4.0, 8.0)


class Settlements:
    """Send settlements of this VM's turns, and receive those of others."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        calls: PeerCalls,
        find_home: Callable[[str], Home],
    ) -> None:
        """Receive messages; ``find_home`` returns the home of a program here."""
        self._fleet = fleet
        self._calls = calls
        self._find_home = find_home
        fleet.subscribe(SettleTokens, self._receive)

    def send(self, home: str, message: SettleTokens) -> None:
        """Settle a turn at its home, this VM or another one."""
        if home == self._fleet.own_name:
            self._receive(home, message)
        else:
            start_task(functools.partial(self._repeat, home, message))

    def _repeat(self, home: str, message: SettleTokens) -> None:
        """Repeat a settlement until a home confirms it.

        A message that waits for a connection is dropped when that is replaced,
        and the tokens would stay reserved.
        """
        for pause in SETTLEMENT_PAUSES_SECONDS:
            if self._ask(home, message):
                return
            gevent.sleep(pause)
            homes = self._find_home(message.program_id).rank()
            home = next(iter(homes), home)
            if home == self._fleet.own_name:
                self._receive(home, message)
                return
        emit(
            LogEvent.TURN_NOT_SETTLED,
            program=message.program_id,
            reservation=message.reservation_id,
            tokens=message.tokens,
            peer=home,
        )

    def _ask(self, home: str, message: SettleTokens) -> bool:
        answer = self._calls.ask(
            home,
            lambda number: msgspec.structs.replace(message, call_id=number),
        )
        return answer is not None

    def _receive(self, sender: str, message: SettleTokens) -> None:
        home = self._find_home(message.program_id)
        if not home.settle(message):
            self._forward(home, sender, message)
        if message.call_id:
            answer = TokensReserved(call_id=message.call_id, verdict=SETTLED)
            self._fleet.send(sender, answer)

    def _forward(self, home: Home, sender: str, message: SettleTokens) -> None:
        """Pass a settlement on, as the accounts were handed over.

        It is not passed to the VM that it came from.
        """
        homes = home.rank()[:1]
        if homes and homes[0] not in {sender, self._fleet.own_name}:
            forwarded = msgspec.structs.replace(message, call_id=0)
            self._fleet.send(homes[0], forwarded)
