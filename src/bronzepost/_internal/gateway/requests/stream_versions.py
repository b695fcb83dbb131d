"""The software version at which each stream began, known to several VMs.

A caller whose stream breaks off takes it up at any VM. The stream may go on only
at a server of the version that began it, which the first VM sends to others before
the caller gets the first event. It does not while the service has a single version:
each VM sees that in its list of servers, and no messages are needed.
"""

import dataclasses
import functools
from typing import Final

import msgspec
from gevent.pool import Pool

from bronzepost._internal.core.gateway.seen_versions import STREAM_SECONDS
from bronzepost._internal.gateway.loops import start_loop
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import (
    FindStream,
    ReplicateStream,
    StreamFound,
)
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import (
    PeerReports,
    partition_of_key,
)
from bronzepost._internal.gateway.requests.past_versions import PastVersions
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.gateway.servers.registry import RegistryFollower
from bronzepost._internal.node.clock import read_clock

# A stream stays known if its VM and two others are lost together.
COPIES_PER_STREAM: Final = 3
# Peers that are asked for a stream, those with copies first.
MAX_PEERS_ASKED: Final = 24
# Rankings of peers are cached by partition.
_PARTITIONS: Final = 16
_REFRESH_SECONDS: Final = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KnownStream:
    """Where a stream began; forgotten at ``expires_at``, in monotonic seconds."""

    service: str
    version: str
    expires_at: float = 0


class StreamVersions:
    """Record the versions of streams, and find those of streams of other VMs."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        reports: PeerReports,
        calls: PeerCalls,
        directory: Directory,
        follower: RegistryFollower,
    ) -> None:
        """Send copies to members of ``fleet``, and answer their requests."""
        self._fleet = fleet
        self._reports = reports
        self._calls = calls
        self._directory = directory
        self._past = PastVersions(
            fleet=fleet,
            reports=reports,
            calls=calls,
            directory=directory,
            follower=follower,
        )
        self._streams_by_request: dict[str, KnownStream] = {}
        # Streams of this VM that began while their service had one version.
        self._unsent: set[str] = set()
        fleet.subscribe(ReplicateStream, self._receive_copy)
        fleet.subscribe(FindStream, self._answer)

    def start(self) -> None:
        """Start to send copies of streams that need them, and to forget old ones."""
        start_loop(self.refresh, _REFRESH_SECONDS)

    def begin(
        self,
        request_id: str,
        *,
        service: str,
        version: str,
        remaining_seconds: float,
    ) -> None:
        """Record a stream before its caller gets an event.

        ``request_id`` is that of the request which brought the first event. The
        stream ends within ``remaining_seconds``.
        """
        self._streams_by_request[request_id] = KnownStream(
            service=service,
            version=version,
            expires_at=read_clock() + remaining_seconds + STREAM_SECONDS,
        )
        self._unsent.add(request_id)
        if self._directory.versions.find_only(service) is None:
            self._send_copies(request_id)

    def find(self, request_id: str, service: str) -> KnownStream | None:
        """Return where a stream began, None if that is not certain.

        Callers that do not name the request which began their stream pass an
        empty ``request_id``. Such a stream goes on only if the service had one
        version for as long as streams last. All servers that are listed now
        may have another version than those that left a moment ago.
        """
        known = self._streams_by_request.get(request_id)
        if known is None and request_id:
            known = self._ask_peers(request_id)
        return known or _create_stream(service, self._past.find(service))

    def count(self) -> int:
        """Return the number of streams that this VM knows."""
        return len(self._streams_by_request)

    def refresh(self) -> None:
        """Send copies of streams that need them now, and forget old streams."""
        now = read_clock()
        self._streams_by_request = {
            request_id: stream
            for request_id, stream in self._streams_by_request.items()
            if stream.expires_at > now
        }
        self._unsent.intersection_update(self._streams_by_request)
        for request_id in tuple(self._unsent):
            service = self._streams_by_request[request_id].service
            if self._directory.versions.find_only(service) is None:
                self._send_copies(request_id)

    def _ask_peers(self, request_id: str) -> KnownStream | None:
        request = FindStream(call_id=0, request_id=request_id)
        names = self._rank_peers(request_id)[:MAX_PEERS_ASKED]
        answers = Pool(MAX_PEERS_ASKED).imap_unordered(
            lambda name: self._calls.ask(
                name, functools.partial(_set_call_id, request)
            ),
            names,
        )
        for answer in answers:
            if answer is not None and answer.is_known:
                return KnownStream(
                    service=answer.service, version=answer.version
                )
        return None

    def _rank_peers(self, request_id: str) -> list[str]:
        partition = partition_of_key(request_id, _PARTITIONS)
        ranked = self._reports.rank_homes(f'streams-{partition}')
        return [name for name in ranked if name != self._fleet.own_name]

    def _send_copies(self, request_id: str) -> None:
        self._unsent.discard(request_id)
        stream = self._streams_by_request[request_id]
        copy = ReplicateStream(
            request_id=request_id,
            service=stream.service,
            version=stream.version,
            expires_seconds=stream.expires_at - read_clock(),
        )
        for name in self._rank_peers(request_id)[:COPIES_PER_STREAM]:
            self._fleet.send(name, copy)

    def _receive_copy(self, _sender: str, copy: ReplicateStream) -> None:
        self._streams_by_request[copy.request_id] = KnownStream(
            service=copy.service,
            version=copy.version,
            expires_at=read_clock() + copy.expires_seconds,
        )

    def _answer(self, sender: str, request: FindStream) -> None:
        if request.service and not request.request_id:
            self._past.answer(sender, request)
            return
        known = self._streams_by_request.get(request.request_id)
        answer = StreamFound(call_id=request.call_id, is_known=False)
        if known is not None:
            answer = StreamFound(
                call_id=request.call_id,
                is_known=True,
                service=known.service,
                version=known.version,
            )
        self._fleet.send(sender, answer)


def _create_stream(service: str, version: str | None) -> KnownStream | None:
    if version is None:
        return None
    return KnownStream(service=service, version=version)


def _set_call_id(request: FindStream, call_id: int) -> FindStream:
    return msgspec.structs.replace(request, call_id=call_id)
