"""Count the records of answered calls that are not on the log yet."""

import msgspec

from bronzepost._internal.core.ledger.records import Record, encode_record


class WaitingRecords:
    """Counts bytes of records kept in memory during an outage of the log."""

    def __init__(self, *, limit_bytes: int) -> None:
        """Start with no record."""
        self.size_bytes = 0
        self._limit_bytes = limit_bytes
        self._sizes_by_id: dict[str, int] = {}

    @property
    def is_full(self) -> bool:
        """Return whether new calls must be refused."""
        return self.size_bytes >= self._limit_bytes

    def add(self, record: Record) -> None:
        """Count a record that is not on the log when its call is answered."""
        size = len(msgspec.json.encode(encode_record(record)))
        self._sizes_by_id[record.record_id] = size
        self.size_bytes += size

    def remove(self, record_id: str) -> None:
        """Stop counting a record once the journal has settled it."""
        self.size_bytes -= self._sizes_by_id.pop(record_id, 0)
