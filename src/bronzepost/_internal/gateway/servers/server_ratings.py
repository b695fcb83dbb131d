"""How backend servers have answered this VM: failures, latency, lengths."""

from collections.abc import Iterable
from typing import Final

from bronzepost._internal.core.gateway import answer_lengths, server_health
from bronzepost._internal.core.gateway.entities import BackendServer
from bronzepost._internal.core.gateway.server_latency import (
    LatencyTable,
    compute_latency_ratios,
    record_latency,
    remove_server,
)
from bronzepost._internal.node.clock import read_clock

# Weight of a new sample in the mean time of a request.
EXCHANGE_SMOOTHING_FACTOR: Final = 0.05


class ServerRatings:
    """Rate backend servers by their answers."""

    def __init__(self) -> None:
        """Start without an answer."""
        self._health: server_health.HealthTable = {}
        self._latencies = LatencyTable(seconds_by_server={})
        self._answer_lengths: answer_lengths.AnswerLengthTable = {}
        self._exchange_seconds_by_service: dict[str, float] = {}

    def list_avoided(self) -> frozenset[str]:
        """Return the ids of servers to avoid because of recent failures."""
        return server_health.list_avoided(self._health, at=read_clock())

    def compute_latency_ratios(
        self, servers: Iterable[BackendServer]
    ) -> dict[str, float]:
        """Return the seconds per event of servers, divided by their mean.

        Servers without a recorded latency are left out.
        """
        return compute_latency_ratios(
            self._latencies, [server.server_id for server in servers]
        )

    def report_latency(
        self, server_id: str, *, seconds_per_event: float, running: float
    ) -> None:
        """Record the seconds per event of a server, measured in one stream.

        ``running`` is the number of requests in flight at the server.
        """
        self._latencies = record_latency(
            self._latencies,
            server_id=server_id,
            seconds_per_event=seconds_per_event,
            running=running,
        )

    def find_answer_tokens(self, service: str) -> float:
        """Return the mean length of the answers of a service in tokens."""
        return answer_lengths.find_answer_tokens(self._answer_lengths, service)

    def report_answer(self, service: str, tokens: int) -> None:
        """Record the tokens of a complete answer of a service."""
        self._answer_lengths = answer_lengths.record_answer(
            self._answer_lengths, service, tokens=tokens
        )

    def find_exchange_seconds(self, service: str) -> float:
        """Return the mean time of a request at a server of a service."""
        return self._exchange_seconds_by_service.get(service, 0)

    def report_exchange(self, service: str, seconds: float) -> None:
        """Record the time of a complete request at a server of a service."""
        known = self._exchange_seconds_by_service.get(service, seconds)
        self._exchange_seconds_by_service[service] = known + (
            EXCHANGE_SMOOTHING_FACTOR * (seconds - known)
        )

    def report_failure(self, server_id: str) -> None:
        """Record a failure; other servers are preferred for some time."""
        self._health = server_health.record_failure(
            self._health, server_id, at=read_clock()
        )

    def report_success(self, server_id: str) -> None:
        """Record an answer of a server that is not a server error."""
        self._health = server_health.record_success(
            self._health, server_id, at=read_clock()
        )

    def forget(self, server_id: str) -> None:
        """Discard what is known of a server that has left."""
        self._health = {
            known_id: health
            for known_id, health in self._health.items()
            if known_id != server_id
        }
        self._latencies = remove_server(self._latencies, server_id)
