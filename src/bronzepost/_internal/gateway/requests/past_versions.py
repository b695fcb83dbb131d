"""The version of streams that nobody knows, from what was in service before.

A VM that has just started has not watched the list of servers for as long as
streams last. Other VMs may have, and the registry keeps old entries of servers for a
time. Three VMs, the same for all, read these when they are asked, so a loss of all
VMs does not make every VM read them.
"""

import functools
from typing import Final

import msgspec
from gevent.lock import BoundedSemaphore
from gevent.pool import Pool

from bronzepost._internal.gateway.loops import start_task
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import FindStream, StreamFound
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.servers.directory import Directory
from bronzepost._internal.gateway.servers.registry import RegistryFollower
from bronzepost._internal.node.clock import read_clock

# One of them may be lost, and another one may not reach the store.
READERS: Final = 3
# A request waits this long for a read. The platform states that a slow store takes
# 0.25 s to answer, and a read may wait for the end of one that is under way.
READ_WAIT_SECONDS: Final = 0.6
# A peer may wait for its read before it answers, and its answer has a way to go.
ANSWER_TIMEOUT_SECONDS: Final = 0.75
# Bounds the reads of a VM while the registry cannot tell.
READ_INTERVAL_SECONDS: Final = 5.0
_KEY: Final = 'past-versions'


class PastVersions:
    """Find the version of all streams of a service, beyond what this VM saw."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        reports: PeerReports,
        calls: PeerCalls,
        directory: Directory,
        follower: RegistryFollower,
    ) -> None:
        """Ask members of ``fleet``, and read old entries with ``follower``."""
        self._fleet = fleet
        self._reports = reports
        self._calls = calls
        self._directory = directory
        self._follower = follower
        self._lock = BoundedSemaphore()
        self._next_read_at: float = 0

    def find(self, service: str) -> str | None:
        """Return the version of all streams of a service, None if unsure."""
        if self._is_mixed(service) or not self._refresh():
            return None
        version = self._directory.versions.find_only(service)
        if version is None:
            version = self._find_by_readers(service)
        # This VM may have seen another version meanwhile.
        is_seen = version == self._directory.versions.find_seen(service)
        return version if is_seen else None

    def answer(self, sender: str, request: FindStream) -> None:
        """Answer a peer, after a read of old entries if that is needed."""
        start_task(functools.partial(self._answer, sender, request))

    def _is_mixed(self, service: str) -> bool:
        return self._directory.versions.find_seen(service) is None

    def _refresh(self) -> bool:
        """Return whether the list has all servers that came before this call.

        Another VM may have read a new version from it a moment earlier than
        this one, and have begun the stream there.
        """
        asked_at = read_clock()
        start_task(self._follower.refresh_servers).join(
            timeout=READ_WAIT_SECONDS
        )
        return self._follower.servers_read_at >= asked_at

    def _find_by_readers(self, service: str) -> str | None:
        version = None
        readers = self._reports.rank_homes(_KEY)[:READERS]
        if self._fleet.own_name in readers:
            version = self._find_after_read(service)
        if version is None and not self._is_mixed(service):
            version = self._ask(readers, service)
        return version

    def _find_after_read(self, service: str) -> str | None:
        version = self._directory.versions.find_only(service)
        if version is None and not self._is_mixed(service):
            # The read goes on if the request does not wait for its end.
            start_task(self._read).join(timeout=READ_WAIT_SECONDS)
            version = self._directory.versions.find_only(service)
        return version

    def _read(self) -> None:
        with self._lock:
            if read_clock() >= self._next_read_at:
                self._next_read_at = read_clock() + READ_INTERVAL_SECONDS
                self._follower.read_past_versions()

    def _ask(self, readers: tuple[str, ...], service: str) -> str | None:
        request = FindStream(call_id=0, request_id='', service=service)
        names = [name for name in readers if name != self._fleet.own_name]
        make_request = functools.partial(_set_call_id, request)
        answers = Pool(READERS).imap_unordered(
            lambda name: self._calls.ask(
                name, make_request, ANSWER_TIMEOUT_SECONDS
            ),
            names,
        )
        for answer in answers:
            if answer is not None and answer.is_known:
                version: str = answer.version
                return version
        return None

    def _answer(self, sender: str, request: FindStream) -> None:
        version = self._find_after_read(request.service)
        answer = StreamFound(
            call_id=request.call_id,
            is_known=version is not None,
            service=request.service,
            version=version or '',
        )
        self._fleet.send(sender, answer)


def _set_call_id(request: FindStream, call_id: int) -> FindStream:
    return msgspec.structs.replace(request, call_id=call_id)
