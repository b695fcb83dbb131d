"""Entries, settings and state of the configuration of one node."""

import dataclasses

from bronzepost._internal.core.membership import Member

from .records import AnyRecord
from .schema import SettingValue

# The base revision of an entry that was loaded from a snapshot.
UNKNOWN_REVISION = -1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationEntry:
    """The accepted change that is in force at a path, or was before.

    ``revision`` is its offset on the log. The entry of a removed setting has
    the value ``None``; it is kept, since later changes are based on it.
    """

    path: str
    value: SettingValue
    revision: int
    base_revision: int
    author: str
    record_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChangeAccepted:
    """An accepted change; ``revision`` is its offset on the log."""

    record_id: str
    path: str
    value: SettingValue
    revision: int
    author: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChangeRejected:
    """A rejected change: its base is not the current revision of its path.

    ``revision``, ``value`` and ``author`` are those in force at the path; the
    revision is 0 if no change was ever accepted there.
    """

    record_id: str
    path: str
    value: SettingValue
    revision: int
    author: str


ChangeResult = ChangeAccepted | ChangeRejected


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationSettings:
    """Intervals and limits; times are in seconds.

    ``poll_seconds`` is the interval between two polls of the log, and
    ``request_seconds`` the shortest between two requests to peers. ``fan_out``
    is the number of peers to which a node pushes records.
    ``history_per_path``, ``results`` and ``recent_records`` are the maximum
    numbers of entries of a path, results of changes and log records that are
    kept in memory.
    """

    poll_seconds: float = 0.5
    request_seconds: float = 0.5
    fan_out: int = 6
    readers_per_zone: int = 2
    history_per_path: int = 32
    results: int = 4096
    recent_records: int = 1024
    records_per_message: int = 256
    # A snapshot is due after this many records or this many seconds, or when
    # the last one is in the older half of what the log retains.
    snapshot_records: int = 512
    snapshot_seconds: float = 3600.0
    # An append is repeated after this time if the snapshot was not read back.
    snapshot_retry_seconds: float = 10.0
    # Each reader waits this much longer than the one before it, so that
    # usually only the first appends a snapshot.
    snapshot_stagger_seconds: float = 2.0


@dataclasses.dataclass(kw_only=True, slots=True)
class ConfigurationTables:
    """The configuration state of one node.

    ``next_offset`` is the offset of the next record to apply; it never
    decreases. ``first_offset`` is the oldest offset that the log is known to
    retain. ``scan_offset`` is set while the node searches the log for a
    snapshot, because retention has deleted records that it needs.
    ``record_count`` counts the record ids issued since the start.
    ``snapshot_next_offset`` is the ``next_offset`` of the newest snapshot on
    the log. ``snapshot_seen_at`` is the time from which its age is counted,
    None until the next tick. ``snapshot_due_at`` is when this node appends the
    next snapshot, None while it does not have to.
    """

    own_name: str
    own_peer_address: str
    boot: int
    settings: ConfigurationSettings
    entries_by_path: dict[str, ConfigurationEntry] = dataclasses.field(
        default_factory=dict
    )
    history_by_path: dict[str, tuple[ConfigurationEntry, ...]] = (
        dataclasses.field(default_factory=dict)
    )
    results_by_record_id: dict[str, ChangeResult] = dataclasses.field(
        default_factory=dict
    )
    # Changes proposed by this node whose result is not known yet. The value is
    # true if the node may have skipped the record by loading a tree.
    is_uncertain_by_record_id: dict[str, bool] = dataclasses.field(
        default_factory=dict
    )
    recent_by_offset: dict[int, AnyRecord] = dataclasses.field(
        default_factory=dict
    )
    peers_by_name: dict[str, Member] = dataclasses.field(default_factory=dict)
    next_offset: int = 0
    scan_offset: int | None = None
    is_ready: bool = False
    record_count: int = 0
    first_offset: int = 0
    snapshot_next_offset: int = 0
    snapshot_seen_at: float | None = None
    snapshot_due_at: float | None = None
    next_poll_at: float = 0
    next_request_at: float = 0


def create_tables(
    own_name: str,
    *,
    own_peer_address: str,
    boot: int,
    settings: ConfigurationSettings | None = None,
) -> ConfigurationTables:
    """Return the tables of a node that has no configuration yet.

    ``boot`` is the boot time in milliseconds; it makes record ids unique.
    """
    return ConfigurationTables(
        own_name=own_name,
        own_peer_address=own_peer_address,
        boot=boot,
        settings=settings or ConfigurationSettings(),
    )
