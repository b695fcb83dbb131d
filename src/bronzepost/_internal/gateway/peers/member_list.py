"""The list of all VMs in the store, through which VMs find each other.

Seeds may all be out of date, and the settings name no other VMs. So each VM writes
its peer address to the store and reads those of the others.
"""

import time
from typing import Final

import msgspec

from bronzepost._internal.exceptions import LogServiceError
from bronzepost._internal.gateway.loops import start_loop
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.programs.keyed_store import (
    KeyedRecord,
    KeyedStore,
)
from bronzepost._internal.node.clock import read_clock
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

TOPIC: Final = 'members'
# All VMs are in one partition, so that one call reads them.
PARTITION: Final = 0
WRITE_SECONDS: Final = 10.0
# An entry that its VM has not written again for so long is that of a VM that is
# gone, as in LostMembers. It covers two writes that failed.
EXPIRY_SECONDS: Final = 30.0
# A list of 410 VMs has 39 KB, which is 1.3 KB/s of the 3 KB/s that a VM may use.
READ_SECONDS: Final = 30.0
# A VM without peers, or one that has started lately, may be alone by mistake.
LONE_READ_SECONDS: Final = 1.0
CHECK_SECONDS: Final = 0.5


class MemberEntry(msgspec.Struct, frozen=True, array_like=True):
    """Where a VM was reached, in Unix seconds of its own clock."""

    peer_address: str
    written_at: float


class MemberList:
    """Write this VM to the store, and read the VMs that the fleet has not met."""

    def __init__(
        self, *, fleet: Fleet, store: KeyedStore, peer_address: str
    ) -> None:
        """Tell ``fleet`` which VMs the ``store`` names."""
        self._fleet = fleet
        self._store = store
        self._peer_address = peer_address
        self._write_at: float = 0
        self._read_at: float = 0
        self._is_leaving = False
        # Only the first of several failures is logged.
        self._is_failing = False

    def start(self) -> None:
        """Start to write and read periodically."""
        start_loop(self.update, CHECK_SECONDS)

    def leave(self) -> None:
        """Remove this VM, which is stopping; its entry expires otherwise."""
        self._is_leaving = True
        self._write_at = 0

    def update(self) -> None:
        """Write the own entry and read the others where that is due.

        The own entry is written first. So of two VMs that start at once one at
        least reads the entry of the other.
        """
        try:
            self._update(read_clock())
        except LogServiceError as error:
            if not self._is_failing:
                emit(LogEvent.MEMBER_LIST_FAILED, error=error)
            self._is_failing = True
        else:
            self._is_failing = False

    def _update(self, now: float) -> None:
        if now >= self._write_at:
            self._write()
            self._write_at = now + WRITE_SECONDS
        if now >= self._read_at:
            self._read()
            self._read_at = now + self._find_pause()

    def _find_pause(self) -> float:
        has_peers = bool(self._fleet.list_serving_peers())
        if has_peers and self._fleet.unmet.has_list:
            return READ_SECONDS
        return LONE_READ_SECONDS

    def _write(self) -> None:
        content = b''
        if not self._is_leaving:
            content = msgspec.msgpack.encode(
                MemberEntry(self._peer_address, time.time())
            )
        record = KeyedRecord(key=self._fleet.own_name, content=content)
        self._store.append_keyed(TOPIC, PARTITION, [record])

    def _read(self) -> None:
        expired_at = time.time() - EXPIRY_SECONDS
        addresses_by_name = {}
        for record in self._store.read_partition(TOPIC, PARTITION).records:
            entry = decode_entry(record)
            if entry is not None and entry.written_at >= expired_at:
                addresses_by_name[record.key] = entry.peer_address
        self._fleet.unmet.put_list(addresses_by_name)


def decode_entry(record: KeyedRecord) -> MemberEntry | None:
    """Return an entry, or None if it cannot be read."""
    try:
        return msgspec.msgpack.decode(record.content, type=MemberEntry)
    except msgspec.DecodeError as error:
        emit(LogEvent.RECORD_UNREADABLE, key=record.key, error=error)
        return None
