"""The limits that backend servers have named to this VM and to its peers."""

import math
from collections.abc import Mapping, Sequence
from typing import Final

from bronzepost._internal.core.gateway import server_limits as rules
from bronzepost._internal.gateway.peers.message_parts import NamedLimit
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# Peers are told of the limits that this VM has heard of itself within this time,
# at least one round of reports. A server with a limit answers few VMs a second, so
# the messages do not grow with the number of VMs.
REPORTED_SECONDS: Final = 2.0


class ServerLimits:
    """The limit of each backend server, from the newest answer of any VM."""

    def __init__(self) -> None:
        """Start without a limit."""
        self._limits_by_id: rules.LimitTable = {}
        self._own_heard_at: dict[str, float] = {}

    def record_answer(self, server_id: str, texts: Sequence[bytes]) -> None:
        """Record an answer of a server, with the values of the limit's header."""
        now = read_clock()
        rate = rules.parse_limit(texts)
        if rate is None and texts:
            # What an unreadable limit means is not known, so the last one stays.
            emit(
                LogEvent.SERVER_LIMIT_UNREADABLE,
                server=server_id,
                limit=b', '.join(texts).decode('latin-1'),
            )
            return
        if rate is None:
            self._record_end(server_id, at=now, source='answer')
        else:
            self._record(server_id, rate=rate, at=now, source='answer')
        if server_id in self._limits_by_id:
            self._own_heard_at[server_id] = now

    def receive(self, server_id: str, named: NamedLimit, sender: str) -> None:
        """Record what a peer has heard of a server."""
        at = read_clock() - named.age_seconds
        if named.is_ended:
            self._record_end(server_id, at=at, source=sender)
        else:
            self._record(server_id, rate=named.rate, at=at, source=sender)

    def list_own(self) -> Mapping[str, NamedLimit]:
        """Return the limits that this VM has heard of itself, by server id."""
        now = read_clock()
        self._limits_by_id = rules.drop_old_limits(self._limits_by_id, at=now)
        self._own_heard_at = {
            server_id: at
            for server_id, at in self._own_heard_at.items()
            if at >= now - REPORTED_SECONDS and server_id in self._limits_by_id
        }
        return {
            server_id: self.describe(server_id)
            for server_id in self._own_heard_at
        }

    def describe(self, server_id: str) -> NamedLimit:
        """Return what this VM knows of a server that has named a limit.

        Raises:
            KeyError: if the server has named none.
        """
        limit = self._limits_by_id[server_id]
        return NamedLimit(
            rate=limit.rate,
            age_seconds=read_clock() - limit.heard_at,
            is_ended=limit.ended_at is not None,
        )

    def find_rate(self, server_id: str) -> float:
        """Return the requests a second that a server takes of all VMs.

        Infinity if it has no limit.
        """
        return rules.find_rate(self._limits_by_id, server_id, at=read_clock())

    def find_known_rate(self, server_id: str) -> float | None:
        """Return the rate of a server that has a limit, None for others."""
        rate = self.find_rate(server_id)
        return None if math.isinf(rate) else rate

    def count(self) -> int:
        """Return the number of servers that have a limit."""
        return sum(
            limit.ended_at is None for limit in self._limits_by_id.values()
        )

    def _record(
        self, server_id: str, *, rate: float, at: float, source: str
    ) -> None:
        known_rate = self._find_named(server_id)
        self._limits_by_id = rules.record_limit(
            self._limits_by_id, server_id, rate=rate, at=at
        )
        if self._find_named(server_id) not in (None, known_rate):
            emit(
                LogEvent.SERVER_LIMITED,
                server=server_id,
                rate=rate,
                source=source,
            )

    def _record_end(self, server_id: str, *, at: float, source: str) -> None:
        known_rate = self._find_named(server_id)
        self._limits_by_id = rules.record_no_limit(
            self._limits_by_id, server_id, at=at
        )
        if known_rate is not None and self._find_named(server_id) is None:
            emit(LogEvent.SERVER_LIMIT_ENDED, server=server_id, source=source)

    def _find_named(self, server_id: str) -> float | None:
        limit = self._limits_by_id.get(server_id)
        if limit is None or limit.ended_at is not None:
            return None
        return limit.rate
