"""The size of the records of finished calls that wait for the log."""

import msgspec

from bronzepost._internal.core.ledger.records import Record, encode_record


class WaitingRecords:
    """Count the bytes that an outage of the log keeps in memory."""

    def __init__(self, *, limit_bytes: int) -> None:
        """Start with nothing waiting."""
        self.size_bytes = 0
        self._limit_bytes = limit_bytes
        self._sizes_by_id: dict[str, int] = {}

    @property
    def is_full(self) -> bool:
        """Return whether no more work may be taken on."""
        return self.size_bytes >= self._limit_bytes

    def add(self, record: Record) -> None:
        """Note that a record waits longer than its call."""
        size = len(msgspec.json.encode(encode_record(record)))
        self._sizes_by_id[record.record_id] = size
        self.size_bytes += size

    def remove(self, record_id: str) -> None:
        """Note that a record waits no more."""
        self.size_bytes -= self._sizes_by_id.pop(record_id, 0)
