"""Messages with which nodes send each other records and the settings tree."""

import msgspec

from .records import (
    ConfigurationChange,
    ConfigurationSnapshot,
    SnapshotEntry,
    UnreadableRecord,
)


class RecordAtOffset(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """A record of the configuration stream and its offset on the log."""

    offset: int
    record: ConfigurationChange | ConfigurationSnapshot | UnreadableRecord


class TreeAtOffset(msgspec.Struct, frozen=True, kw_only=True):
    """The whole tree with all records before ``next_offset`` applied.

    ``snapshot_next_offset`` is the ``next_offset`` of the newest snapshot on
    the log.
    """

    next_offset: int
    snapshot_next_offset: int
    entries: tuple[SnapshotEntry, ...]


class ConfigurationRecords(
    msgspec.Struct, frozen=True, kw_only=True, tag='configuration_records'
):
    """Consecutive records, or a tree and the records that follow it.

    ``next_offset`` is the offset of the sender's next record to apply.
    ``root`` is the name of the reader that pushed the records first, the root
    of the dissemination tree. It is empty in the answer to a request, which
    the receiver does not push to its peers.
    """

    peer_address: str
    next_offset: int
    records: tuple[RecordAtOffset, ...] = ()
    tree: TreeAtOffset | None = None
    root: str = ''


class ConfigurationRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag='configuration_request'
):
    """A request for the records from ``from_offset`` on."""

    peer_address: str
    from_offset: int


ConfigurationMessage = ConfigurationRecords | ConfigurationRequest
