"""The tokens that running requests take in the memory of engines."""

import contextlib
from collections import Counter
from collections.abc import Iterator

from bronzepost._internal.core.gateway.engine_memory import (
    EngineUse,
    count_own_tokens,
    count_tokens,
    is_full,
    is_larger_than_engine,
    update_mean,
)
from bronzepost._internal.core.gateway.entities import (
    BackendServer,
    PromptPart,
)
from bronzepost._internal.gateway.callers.refusals import refuse_large_prompt
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.requests.pending_call import PendingCall
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit


class EngineMemory:
    """Count the tokens of this VM's requests, and estimate those of others."""

    def __init__(self, *, directory: Directory, reports: PeerReports) -> None:
        """Start without requests."""
        self._directory = directory
        self._reports = reports
        self._tokens_by_server: Counter[str] = Counter()
        self._parts_by_server: dict[str, Counter[PromptPart]] = {}
        self._mean_by_service: dict[str, float] = {}

    def check(self, pending: PendingCall) -> None:
        """Refuse a request that is larger than an engine.

        Raises:
            RefusedError: if no engine of the service can run it.
        """
        memory_tokens = self._find_memory(pending)
        if is_larger_than_engine(pending.call, memory_tokens):
            emit(
                LogEvent.ENGINE_TOO_SMALL,
                request=pending.call.request_id,
                service=pending.service,
                tokens=count_tokens(pending.call),
                memory=memory_tokens,
            )
            raise refuse_large_prompt(pending)

    def is_full(self, pending: PendingCall, server: BackendServer) -> bool:
        """Return whether a request might exceed the memory of an engine."""
        memory_tokens = self._find_memory(pending)
        if not memory_tokens:
            return False
        use = self._estimate_use(pending.service, server.server_id)
        return is_full(use, pending.call, memory_tokens)

    def list_full(self, pending: PendingCall) -> frozenset[str]:
        """Return the ids of the engines whose memory a request might exceed."""
        return frozenset(
            server.server_id
            for server in self._directory.list_servers(pending.service)
            if self.is_full(pending, server)
        )

    @contextlib.contextmanager
    def hold(
        self, pending: PendingCall, server: BackendServer
    ) -> Iterator[None]:
        """Count a request as running at an engine."""
        if not self._find_memory(pending):
            yield
            return
        call = pending.call
        known = self._mean_by_service.get(pending.service)
        self._mean_by_service[pending.service] = update_mean(known, call)
        tokens = count_own_tokens(call)
        self._count(server.server_id, tokens, call.shared_part, by=1)
        try:
            yield
        finally:
            self._count(server.server_id, -tokens, call.shared_part, by=-1)

    def _count(
        self, server_id: str, tokens: int, part: PromptPart | None, *, by: int
    ) -> None:
        self._tokens_by_server[server_id] += tokens
        parts = self._parts_by_server.setdefault(server_id, Counter())
        if part is not None:
            parts[part] += by
            if not parts[part]:
                parts.pop(part)
        if not parts and not self._tokens_by_server[server_id]:
            # Servers have new ids after each start.
            self._tokens_by_server.pop(server_id)
            self._parts_by_server.pop(server_id)

    def _find_memory(self, pending: PendingCall) -> int:
        return self._directory.find_engine(pending.service).memory_tokens

    def _estimate_use(self, service: str, server_id: str) -> EngineUse:
        all_requests = self._reports.count_in_flight(server_id)
        own_requests = self._directory.in_flight_by_id[server_id]
        return EngineUse(
            own_tokens=self._tokens_by_server[server_id],
            shared_parts=frozenset(self._parts_by_server.get(server_id, ())),
            other_requests=max(all_requests - own_requests, 0),
            mean_tokens=self._mean_by_service.get(service, 0),
        )
