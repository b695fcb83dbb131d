"""The records of the configuration stream on the log."""

from typing import Annotated, Any

import msgspec

from .paths import PATH_PATTERN
from .schema import SettingValue


class SnapshotEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One path of a snapshot, with the accepted change in force there."""

    path: str
    value: SettingValue
    revision: int
    author: str = ''
    record_id: str = ''


class ConfigurationRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag_field='kind'
):
    """The fields of every record; ``record_id`` is the same in all copies."""

    record_id: Annotated[str, msgspec.Meta(min_length=1)]
    node: str = ''
    epoch: int = 0


class ConfigurationChange(
    ConfigurationRecord, frozen=True, kw_only=True, tag='configuration_change'
):
    """A proposed change of one path.

    ``base_revision`` is the offset of the path's last accepted change that
    the author has seen, 0 for none. A value of ``None`` removes the setting,
    so that it is inherited from the next level again.
    """

    path: Annotated[str, msgspec.Meta(pattern=PATH_PATTERN)]
    value: SettingValue
    base_revision: int
    author: str


class ConfigurationSnapshot(
    ConfigurationRecord,
    frozen=True,
    kw_only=True,
    tag='configuration_snapshot',
):
    """The whole tree with all records before ``next_offset`` applied.

    It lacks changes at offsets from ``next_offset`` on. Some of them may
    precede the snapshot on the log, since they were appended while it was
    written.
    """

    next_offset: int
    entries: tuple[SnapshotEntry, ...]


class UnreadableRecord(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='unreadable',
):
    """A record that cannot be decoded; it changes nothing in the tree."""

    reason: str


AnyRecord = ConfigurationChange | ConfigurationSnapshot | UnreadableRecord


def record_to_builtins(record: ConfigurationRecord) -> dict[str, Any]:
    """Return the JSON object that is appended to the log."""
    builtins: dict[str, Any] = msgspec.to_builtins(record)
    return builtins


def record_from_builtins(content: object) -> AnyRecord:
    """Return the record in a JSON object that was read from the log.

    Operators append to the log too, so it can contain anything. Content that
    cannot be decoded becomes an ``UnreadableRecord``.
    """
    try:
        return msgspec.convert(
            content, ConfigurationChange | ConfigurationSnapshot
        )
    except msgspec.ValidationError as error:
        return UnreadableRecord(reason=str(error))
