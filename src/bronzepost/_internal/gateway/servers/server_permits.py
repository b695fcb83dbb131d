"""Permits for requests to backend servers that name a limit.

A limit holds for all VMs together. One VM, the first in rendezvous order for the
server, gives each request to it a turn. It does not know of VMs that it cannot
hear, so it uses only the share of the rate that belongs to those that it hears.
A VM whose owner does not answer uses the share of one VM.
"""

import functools
import math
from typing import Final

import gevent
import msgspec

from bronzepost._internal.core.gateway.request_pace import (
    Pace,
    start_pace,
    take_turn,
)
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.fleet_size import count_vms
from bronzepost._internal.gateway.peers.messages import (
    PermitDecided,
    RequestPermit,
)
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# After the first owner is found silent, the next one is asked. Further ones would
# cost the request more time than a turn of this VM's own share.
MAX_OWNERS_ASKED: Final = 2
# One suspect begins to run in this time, and one that crashes its server has done
# so before the next one.
SUSPECTS_PER_SECOND: Final = 6.0
# Servers have a new id after each start, so old keys are dropped.
MAX_KEYS: Final = 1024
# Waits that are shorter are below the precision of the loop's timers.
_MIN_SLEEP_SECONDS: Final = 0.001


class ServerPermits:
    """Give requests their turns at limited servers, or ask the VM that does."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        reports: PeerReports,
        calls: PeerCalls,
        directory: Directory,
    ) -> None:
        """Keep to the limits of ``directory``, and answer the peers."""
        self._fleet = fleet
        self._reports = reports
        self._calls = calls
        self._limits = directory.limits
        self._paces_by_key: dict[str, Pace] = {}
        self._own_paces_by_key: dict[str, Pace] = {}
        self._blocked_until_by_key: dict[str, float] = {}
        fleet.subscribe(RequestPermit, self._answer)

    def acquire(self, server_id: str, max_wait_seconds: float) -> bool:
        """Wait for a turn at a server; return whether there is one in time.

        Without one, the server is blocked for this VM until it may ask again.
        """
        if math.isinf(self._limits.find_rate(server_id)):
            return True
        request = RequestPermit(
            call_id=0,
            key=server_id,
            max_wait_seconds=max_wait_seconds,
            limit=self._limits.describe(server_id),
        )
        return self._wait_for_turn(request)

    def acquire_suspect(self, service: str, max_wait_seconds: float) -> bool:
        """Wait for a turn of a suspect of a service; return whether there is one.

        One that crashes its server has then begun to run by itself.
        """
        return self._wait_for_turn(
            RequestPermit(
                call_id=0, key=service, max_wait_seconds=max_wait_seconds
            )
        )

    def list_blocked(self) -> frozenset[str]:
        """Return the ids of servers that this VM may not ask for again yet."""
        now = read_clock()
        return frozenset(
            server_id
            for server_id, until in self._blocked_until_by_key.items()
            if until > now
        )

    def find_wait(self, server_id: str) -> float:
        """Return the seconds until this VM may ask for a server again."""
        until = self._blocked_until_by_key.get(server_id, 0)
        return max(until - read_clock(), 0)

    def _wait_for_turn(self, request: RequestPermit) -> bool:
        decision = self._ask_owners(request)
        if not decision.is_granted:
            self._block(request.key, decision.wait_seconds)
            return False
        if decision.wait_seconds > _MIN_SLEEP_SECONDS:
            gevent.sleep(decision.wait_seconds)
        return True

    def _block(self, key: str, seconds: float) -> None:
        now = read_clock()
        self._blocked_until_by_key = {
            other: until
            for other, until in self._blocked_until_by_key.items()
            if until > now
        }
        self._blocked_until_by_key[key] = now + seconds

    def _ask_owners(self, request: RequestPermit) -> PermitDecided:
        for _ in range(MAX_OWNERS_ASKED):
            owner = self._find_owner(request.key)
            if owner == self._fleet.own_name:
                return self._decide(request)
            answer = self._calls.ask(
                owner, functools.partial(_set_call_id, request)
            )
            if answer is not None:
                return answer if answer.is_owner else self._use_share(request)
            self._reports.mark_silent(owner)
            emit(LogEvent.PERMIT_OWNER_SILENT, key=request.key, member=owner)
        return self._use_share(request)

    def _find_owner(self, key: str) -> str:
        return next(iter(self._reports.rank_homes(f'limits-{key}')), '')

    def _answer(self, sender: str, request: RequestPermit) -> None:
        if request.limit is not None:
            self._limits.receive(request.key, request.limit, sender)
        decision = PermitDecided(call_id=request.call_id, is_owner=False)
        if self._find_owner(request.key) == self._fleet.own_name:
            decision = self._decide(request)
        self._fleet.send(sender, decision)

    def _decide(self, request: RequestPermit) -> PermitDecided:
        names = [member.name for member in self._fleet.list_serving()]
        heard = len(names) - len(self._reports.received.list_silent(names))
        share = max(heard, 1) / count_vms(self._fleet)
        return self._take_turn(request, self._paces_by_key, share)

    def _use_share(self, request: RequestPermit) -> PermitDecided:
        share = 1 / count_vms(self._fleet)
        return self._take_turn(request, self._own_paces_by_key, share)

    def _take_turn(
        self,
        request: RequestPermit,
        paces_by_key: dict[str, Pace],
        share: float,
    ) -> PermitDecided:
        now = read_clock()
        rate = SUSPECTS_PER_SECOND
        if request.limit is not None:
            rate = self._limits.find_rate(request.key)
        rate *= share
        known = paces_by_key.get(request.key)
        decision = take_turn(
            known or start_pace(rate=rate, at=now),
            rate=rate,
            at=now,
            max_wait_seconds=request.max_wait_seconds,
        )
        paces_by_key[request.key] = decision.pace
        if len(paces_by_key) > MAX_KEYS:
            paces_by_key.pop(next(iter(paces_by_key)))
        return PermitDecided(
            call_id=request.call_id,
            is_owner=True,
            is_granted=decision.is_granted,
            wait_seconds=decision.wait_seconds,
        )


def _set_call_id(request: RequestPermit, call_id: int) -> RequestPermit:
    return msgspec.structs.replace(request, call_id=call_id)
