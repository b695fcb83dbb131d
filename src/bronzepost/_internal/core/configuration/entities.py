"""The tables of the configuration."""

import dataclasses

from bronzepost._internal.core.membership import Member

from .records import AnyRecord
from .schema import SettingValue

# The base of a change that came from a snapshot.
UNKNOWN_REVISION = -1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationEntry:
    """The accepted change that is in force at a path.

    ``revision`` is its offset on the log. The entry of a removed setting has
    the value ``None`` and stays, since later changes are based on it.
    """

    path: str
    value: SettingValue
    revision: int
    base_revision: int
    author: str
    record_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChangeAccepted:
    """A change is in force at ``revision``."""

    record_id: str
    path: str
    value: SettingValue
    revision: int
    author: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChangeRejected:
    """A change came too late: another was accepted since its base.

    ``revision``, ``value`` and ``author`` are those in force at the path; the
    revision is 0 if nothing was ever accepted there.
    """

    record_id: str
    path: str
    value: SettingValue
    revision: int
    author: str


ChangeResult = ChangeAccepted | ChangeRejected


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationSettings:
    """Times and bounds; times are in seconds."""

    poll_seconds: float = 0.5
    request_seconds: float = 0.5
    fan_out: int = 6
    readers_per_zone: int = 2
    history_per_path: int = 32
    results: int = 4096
    recent_records: int = 1024
    records_per_message: int = 256
    # A snapshot is appended after so many records or so much time, and in any
    # case before half of what the log retains has passed.
    snapshot_records: int = 512
    snapshot_seconds: float = 3600.0
    snapshot_retry_seconds: float = 10.0
    # Readers append in turn, so that most often one snapshot is enough.
    snapshot_stagger_seconds: float = 2.0


@dataclasses.dataclass(kw_only=True, slots=True)
class ConfigurationTables:
    """All state of the configuration of one node.

    ``next_offset`` is the offset of the next record to apply; it never
    decreases. ``scan_offset`` is set while the node looks for a snapshot on
    the log, because records before it were lost to retention.
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
    # Changes of this node whose result is not known yet; true for those that
    # may have been among the records that a loaded tree stands for.
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
