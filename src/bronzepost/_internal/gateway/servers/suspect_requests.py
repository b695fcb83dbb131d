"""Which requests may crash backend servers, and where they may run."""

from collections.abc import Callable
from typing import Final

from bronzepost._internal.core.gateway import crash_suspects as rules
from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.core.rendezvous import first_members
from bronzepost._internal.gateway.callers.refusals import refuse_deadly
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.message_parts import BrokenRequest
from bronzepost._internal.gateway.requests.pending_call import PendingCall
from bronzepost._internal.gateway.servers.crash_news import CrashExchange
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

# A server whose requests broke off counts as crashed for this long, unless it
# answers. Servers that restart need some seconds, and have another id then.
DOWN_SECONDS: Final = 5.0
# Bytes that arrive later than this after a crash were not sent before it.
MAX_TRANSIT_SECONDS: Final = 0.1
# Suspects run while at most this share of the servers is down, or one of them.
MAX_DOWN_SHARE: Final = 0.25


class SuspectRequests:
    """Decide from the crashes that all VMs have seen."""

    def __init__(self, *, fleet: Fleet, directory: Directory) -> None:
        """Share crashes with ``fleet``, and decide on servers of ``directory``."""
        self._crashes = CrashExchange(fleet=fleet)
        self._records = self._crashes.records
        self._directory = directory
        # Deadly requests that are in the log.
        self._logged: set[str] = set()

    def start(self) -> None:
        """Start to tell other VMs of crashes."""
        self._crashes.start()

    def count(self) -> int:
        """Return the number of deadly requests that came to this VM lately."""
        exact, _ = self._records.tables
        self._logged = {
            request
            for request in self._logged
            if rules.list_crashes(exact, request)
        }
        return len(self._logged)

    def record_break(
        self,
        pending: PendingCall,
        server: BackendServer,
        *,
        is_silent: bool = False,
    ) -> None:
        """Record that a request broke off at a server that may have crashed.

        A server that ``is_silent`` has not answered in the time of the request,
        and may as well be slow.
        """
        is_unlikely = is_silent or pending.events.event_count > 0
        self._crashes.record_break(
            BrokenRequest(
                server=name_incarnation(server),
                fingerprints=pending.fingerprints,
                weight=rules.STARTED_WEIGHT if is_unlikely else 1,
                age_seconds=0,
            )
        )

    def record_run(self, pending: PendingCall) -> None:
        """Record that a request ran to its end."""
        self._crashes.record_run(pending.fingerprints)

    def record_answer(self, server: BackendServer, *, sent_at: float) -> None:
        """Record an answer that arrives now, to a request sent at a time."""
        alive_at = max(sent_at, read_clock() - MAX_TRANSIT_SECONDS)
        self._crashes.record_answer(name_incarnation(server), sent_at=alive_at)

    def check(self, pending: PendingCall) -> None:
        """Refuse a request that crashes servers.

        Raises:
            RefusedError: if it does; it also says whether it has run now.
        """
        if self.is_deadly(pending):
            self._log_verdict(pending)
            raise refuse_deadly(pending)

    def log_suspect(self, pending: PendingCall) -> None:
        """Log what the refusal of a suspect rests on."""
        request, target = pending.fingerprints
        exact, by_target = self._records.tables
        emit(
            LogEvent.REQUEST_SUSPECT,
            request=pending.call.request_id,
            fingerprint=request,
            crashed=rules.list_crashes(exact, request),
            target_crashed=rules.list_crashes(by_target, target),
            down=sorted(self._find_down(pending.service)),
        )

    def is_deadly(self, pending: PendingCall) -> bool:
        """Return whether a request crashes servers, and is refused."""
        return self._has_any(pending, rules.is_deadly, rules.is_deadly_target)

    def is_suspect(self, pending: PendingCall) -> bool:
        """Return whether a request may have crashed a server."""
        return self._has_any(pending, rules.is_suspect, rules.is_suspect)

    def find_isolated(self, service: str) -> BackendServer | None:
        """Return the server at which suspects run, if they may run now.

        It is the same at all VMs that know the same servers and crashes.
        """
        servers = self._directory.list_servers(service)
        down_ids = self._find_down(service)
        if len(down_ids) > max(MAX_DOWN_SHARE * len(servers), 1):
            return None
        up_by_id = {
            server.server_id: server
            for server in servers
            if server.server_id not in down_ids
        }
        chosen = first_members(up_by_id, f'suspects-{service}', 1)
        return up_by_id[chosen[0]] if chosen else None

    def list_avoided(self, service: str) -> frozenset[str]:
        """Return the servers that are down, and the one that runs suspects.

        Other requests avoid them. Empty without a crash in the last seconds.
        """
        if not self._records.has_crashes:
            return frozenset()
        down_ids = self._find_down(service)
        isolated = self.find_isolated(service) if down_ids else None
        servers = len(self._directory.list_servers(service))
        if isolated is None or servers == len(down_ids) + 1:
            return down_ids
        return down_ids | {isolated.server_id}

    def _has_any(
        self,
        pending: PendingCall,
        *judges: Callable[[rules.CrashTable, str], bool],
    ) -> bool:
        """Return whether a request or its target is judged to be true."""
        return self._records.has_crashes and any(
            judge(table, request)
            for judge, table, request in zip(
                judges, self._records.tables, pending.fingerprints, strict=True
            )
        )

    def _find_down(self, service: str) -> frozenset[str]:
        """Return the ids of a service's servers that crashed lately."""
        exact, _ = self._records.tables
        since = read_clock() - DOWN_SECONDS
        names = [
            name
            for name, breaks in exact.breaks_by_server.items()
            if any(
                found.at > since and found.weight > rules.STARTED_WEIGHT
                for found in breaks.values()
            )
        ]
        servers = [
            self._directory.find_serving(service, name.rpartition('/')[0])
            for name in names
        ]
        return frozenset(
            server.server_id
            for name, server in zip(names, servers, strict=True)
            if server is not None and name_incarnation(server) == name
        )

    def _log_verdict(self, pending: PendingCall) -> None:
        request, target = pending.fingerprints
        if request in self._logged:
            return
        self._logged.add(request)
        exact, by_target = self._records.tables
        emit(
            LogEvent.REQUEST_DEADLY,
            request=pending.call.request_id,
            program=pending.call.program_id,
            fingerprint=request,
            target_fingerprint=target,
            crashes=len(rules.list_crashes(exact, request)),
            blame=round(rules.compute_blame(exact, request), 2),
            target_crashes=len(rules.list_crashes(by_target, target)),
            target_blame=round(rules.compute_blame(by_target, target), 2),
        )


def name_incarnation(server: BackendServer) -> str:
    """Return a name of a server that differs for each of its starts."""
    return f'{server.server_id}/{server.born}'
