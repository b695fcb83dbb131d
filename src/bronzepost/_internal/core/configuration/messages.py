"""The messages by which nodes hand each other the configuration."""

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
    """A record of the configuration stream and where it stands."""

    offset: int
    record: ConfigurationChange | ConfigurationSnapshot | UnreadableRecord


class TreeAtOffset(msgspec.Struct, frozen=True, kw_only=True):
    """The whole tree before the record at ``next_offset``.

    ``snapshot_next_offset`` is that of the last snapshot on the log.
    """

    next_offset: int
    snapshot_next_offset: int
    entries: tuple[SnapshotEntry, ...]


class ConfigurationRecords(
    msgspec.Struct, frozen=True, kw_only=True, tag='configuration_records'
):
    """Consecutive records, or a tree and the records that follow it.

    ``next_offset`` is how far the sender is. ``root`` names the reader whose
    tree of peers the records go down; it is empty in an answer to a request,
    which is not passed on.
    """

    peer_address: str
    next_offset: int
    records: tuple[RecordAtOffset, ...] = ()
    tree: TreeAtOffset | None = None
    root: str = ''


class ConfigurationRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag='configuration_request'
):
    """Ask for the records from ``from_offset`` on."""

    peer_address: str
    from_offset: int


ConfigurationMessage = ConfigurationRecords | ConfigurationRequest
