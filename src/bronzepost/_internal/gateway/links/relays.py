"""Tunnels to backend servers through other VMs.

A VM that has lost its links asks another one to connect to a server, and then
exchanges messages with the server as on a connection of its own. So everything that
is decided about a request stays at the VM that its caller has chosen: its time,
attempts, tokens, history and limits. The relay passes bytes on, slows down its
sender when the receiver is slow, and breaks one side off when the other one breaks.
"""

import random
from collections.abc import Sequence
from typing import Final

import gevent

from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.core.gateway.relay_choice import (
    Relay,
    choose_relay,
    is_reached_elsewhere,
)
from bronzepost._internal.core.membership import Member
from bronzepost._internal.exceptions import ExchangeError, ProtocolError
from bronzepost._internal.gateway.links.backend_connections import (
    CONNECT_TIMEOUT_SECONDS,
    BackendConnection,
    ConnectionPool,
)
from bronzepost._internal.gateway.links.tunnel_frames import (
    OpenTunnel,
    TunnelAnswer,
    TunnelVerdict,
    receive_frame,
    send_frame,
)
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# A second VM is asked if the first one has no link to the server either.
MAX_RELAYS_ASKED: Final = 2
# The relay connects to the server in this time, and its answer takes a round trip.
ANSWER_TIMEOUT_SECONDS: Final = CONNECT_TIMEOUT_SECONDS + 0.1
# For how long a VM is not asked again that did not answer or refused.
AVOID_SECONDS: Final = 2.0
# The list of possible relays follows from reports, of which there are five a second.
_REFRESH_SECONDS: Final = 0.1
_MAX_REFUSALS: Final = 4096


class Relays:
    """Choose relays by the reports of VMs, and open tunnels through them."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        reports: PeerReports,
        pool: ConnectionPool,
        own_address: str,
        availability_zone: str,
    ) -> None:
        """Use members of ``fleet``, those of the own zone first.

        Tunnels come from the IP of ``own_address``.
        """
        self._fleet = fleet
        self._reports = reports
        self.pool = pool
        self._availability_zone = availability_zone
        self._own_ip = own_address.rpartition(':')[0]
        self._relays: Sequence[Relay] = ()
        self._listed_at: float = 0
        # Until when a VM, or a VM and a server, are not tried again.
        self._avoided_until: dict[tuple[str, str], float] = {}

    def reaches(self, server_id: str) -> bool:
        """Return whether another VM may have a link to a server."""
        return any(
            self._may_relay(relay, server_id) for relay in self._get_relays()
        )

    def is_reached_elsewhere(self, server_id: str) -> bool:
        """Return whether most other VMs have links to a server."""
        return self.reaches(server_id) and is_reached_elsewhere(
            self._get_relays(), server_id
        )

    def is_usable(self, connection: BackendConnection) -> bool:
        """Return whether a tunnel may be used for one more request."""
        return any(
            relay.name == connection.relay for relay in self._get_relays()
        )

    def list_relays(self) -> Sequence[Relay]:
        """Return the VMs that may relay now, by their last reports."""
        own_zone = self._availability_zone
        silent = self._reports.received.list_silent(
            self._fleet.list_serving_peers()
        )
        relays = []
        for member in self._fleet.list_serving():
            report = self._reports.received.find(member.name)
            if report is None or member.name in silent or report.is_cut_off:
                continue
            if report.is_ready and member.forward_address:
                relays.append(
                    Relay(
                        name=member.name,
                        is_near=member.availability_zone == own_zone,
                        tunnels=report.tunnels,
                        unreached_ids=frozenset(report.unreached_ids),
                    )
                )
        return relays

    def open(
        self, server: BackendServer, *, request_id: str
    ) -> BackendConnection:
        """Open a tunnel to a server.

        Raises:
            ExchangeError: if no VM opens one; nothing was sent to the server.
        """
        step = f'relay {request_id}'
        for _ in range(MAX_RELAYS_ASKED):
            usable = [
                relay
                for relay in self._get_relays()
                if self._may_relay(relay, server.server_id)
            ]
            relay = choose_relay(usable, random.SystemRandom())
            if relay is None:
                break
            connection = self._try_relay(relay.name, server, step)
            if connection is not None:
                emit(
                    LogEvent.TUNNEL_OPENED,
                    request=request_id,
                    server=server.server_id,
                    relay=relay.name,
                )
                return connection
        raise ExchangeError(
            'no VM relays to the server',
            step=step,
            peer=server.address,
            was_sent=False,
        )

    def answers(self, name: str, server: BackendServer) -> bool:
        """Return whether a relay runs and has links to servers.

        It need not reach ``server``, which may have crashed.
        """
        try:
            connection, verdict = self._ask(name, server, 'check relay')
        except ExchangeError:
            return False
        connection.close()
        return verdict is not TunnelVerdict.CUT_OFF

    def _try_relay(
        self, name: str, server: BackendServer, step: str
    ) -> BackendConnection | None:
        try:
            connection, verdict = self._ask(name, server, step)
        except ExchangeError as error:
            self._avoid(name, '')
            emit(
                LogEvent.TUNNEL_REFUSED,
                server=server.server_id,
                relay=name,
                error=error,
            )
            return None
        if verdict is TunnelVerdict.OPEN:
            return connection
        connection.close()
        is_about_server = verdict in {
            TunnelVerdict.UNREACHED,
            TunnelVerdict.UNKNOWN_SERVER,
        }
        self._avoid(name, server.server_id if is_about_server else '')
        emit(
            LogEvent.TUNNEL_REFUSED,
            server=server.server_id,
            relay=name,
            reason=verdict.value,
        )
        return None

    def _ask(
        self, name: str, server: BackendServer, step: str
    ) -> tuple[BackendConnection, TunnelVerdict]:
        member = self._find_member(name)
        if member is None:
            raise _build_error('the VM has left', step, name)
        connection = self.pool.open(
            member.forward_address, step=step, source_ip=self._own_ip
        )
        connection.address = server.address
        connection.relay = name
        try:
            with gevent.Timeout(
                ANSWER_TIMEOUT_SECONDS, TimeoutError('no answer')
            ):
                send_frame(
                    connection.sock,
                    OpenTunnel(server_id=server.server_id, born=server.born),
                )
                answer = receive_frame(connection.sock, TunnelAnswer)
        except (OSError, ProtocolError) as error:
            connection.close()
            raise _build_error(str(error), step, name) from error
        except BaseException:
            connection.close()
            raise
        return connection, answer.verdict

    def _find_member(self, name: str) -> Member | None:
        for member in self._fleet.list_serving():
            if member.name == name:
                return member
        return None

    def _get_relays(self) -> Sequence[Relay]:
        now = read_clock()
        if now > self._listed_at + _REFRESH_SECONDS:
            self._relays = self.list_relays()
            self._listed_at = now
        return self._relays

    def _may_relay(self, relay: Relay, server_id: str) -> bool:
        if server_id in relay.unreached_ids:
            return False
        now = read_clock()
        return all(
            self._avoided_until.get((relay.name, about), 0) <= now
            for about in ('', server_id)
        )

    def _avoid(self, name: str, server_id: str) -> None:
        if len(self._avoided_until) >= _MAX_REFUSALS:
            self._avoided_until.clear()
        self._avoided_until[name, server_id] = read_clock() + AVOID_SECONDS


def _build_error(message: str, step: str, name: str) -> ExchangeError:
    return ExchangeError(
        f'no tunnel: {message}', step=step, peer=name, was_sent=False
    )
