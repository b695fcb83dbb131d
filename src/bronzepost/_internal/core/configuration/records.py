"""The records of the configuration stream on the log."""

from typing import Annotated, Any

import msgspec

from .paths import PATH_PATTERN
from .schema import SettingValue


class SnapshotEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One path of a snapshot, with the accepted change that set it."""

    path: str
    value: SettingValue
    revision: int
    author: str = ''
    record_id: str = ''


class ConfigurationRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag_field='kind'
):
    """What every record of the stream has."""

    record_id: Annotated[str, msgspec.Meta(min_length=1)]
    node: str = ''
    epoch: int = 0


class ConfigurationChange(
    ConfigurationRecord, frozen=True, kw_only=True, tag='configuration_change'
):
    """A change of one path that someone proposes.

    ``base_revision`` is the offset of the path's last accepted change that
    the author has seen, 0 for none. A value of ``None`` removes the setting,
    so that the next level holds again.
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
    """The whole tree as of ``next_offset``.

    Changes with offsets from ``next_offset`` on are not in it, even if they
    come before the snapshot on the log: they were appended while it was
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
    """A record of another kind or form; it only takes up its offset."""

    reason: str


AnyRecord = ConfigurationChange | ConfigurationSnapshot | UnreadableRecord


def record_to_builtins(record: ConfigurationRecord) -> dict[str, Any]:
    """Return the JSON object that is appended to the log."""
    builtins: dict[str, Any] = msgspec.to_builtins(record)
    return builtins


def record_from_builtins(content: object) -> AnyRecord:
    """Return the record in a JSON object that was read from the log.

    Operators publish to the log too, so any content can be there. What
    cannot be read becomes an ``UnreadableRecord`` on every node alike.
    """
    try:
        return msgspec.convert(
            content, ConfigurationChange | ConfigurationSnapshot
        )
    except msgspec.ValidationError as error:
        return UnreadableRecord(reason=str(error))
