"""Simulated nodes, network and log for tests of the configuration."""

import dataclasses
import random

from bronzepost._internal.core import configuration, membership
from tests.builders_membership import build_entry

TICK_SECONDS = 0.05
MAX_READ_RECORDS = 64
PATH = 'kostiumy/pass-assistant:budget'


def build_member(name: str, *, zone: str = 'hall-a') -> membership.Member:
    """Return an alive member whose addresses follow from the name."""
    tables = membership.create_tables(build_entry(name), at=0)
    own = tables.members_by_name[name]
    return dataclasses.replace(own, availability_zone=zone)


def build_change(
    record_id: str,
    *,
    value: configuration.SettingValue = 1,
    base: int = 0,
    path: str = PATH,
) -> configuration.ConfigurationChange:
    """Return a change as an operator appends it to the log."""
    return configuration.ConfigurationChange(
        record_id=record_id,
        path=path,
        value=value,
        base_revision=base,
        author='operator',
    )


def build_tables(
    *changes: configuration.ConfigurationChange, name: str = 'a'
) -> configuration.ConfigurationTables:
    """Return tables with an empty snapshot at offset 0, then the changes."""
    tables = configuration.create_tables(
        name, own_peer_address=f'{name}:7001', boot=1
    )
    empty = configuration.ConfigurationSnapshot(
        record_id='empty', next_offset=0, entries=()
    )
    configuration.apply_record(tables, 0, empty)
    for offset, record in enumerate(changes, start=1):
        configuration.apply_record(tables, offset, record)
    return tables


@dataclasses.dataclass(kw_only=True)
class FakeLog:
    """The configuration stream, with retention and outages.

    Records stay in the list; those before ``first_offset`` count as deleted.
    """

    records: list[dict[str, object]] = dataclasses.field(default_factory=list)
    first_offset: int = 0
    is_down: bool = False

    def retain(self, count: int) -> None:
        """Delete all but the last ``count`` records."""
        oldest = len(self.records) - count
        self.first_offset = max(self.first_offset, oldest)

    def append(self, *records: configuration.ConfigurationRecord) -> None:
        """Append records in one call."""
        for record in records:
            self.records.append(configuration.record_to_builtins(record))

    def read(self, offset: int, at: float) -> configuration.LogRead:
        """Return at most ``MAX_READ_RECORDS`` records from ``offset`` on."""
        start = max(offset, self.first_offset)
        end = min(start + MAX_READ_RECORDS, len(self.records))
        return configuration.LogRead(
            at=at,
            first_offset=self.first_offset,
            next_offset=len(self.records),
            records=tuple(
                configuration.RecordAtOffset(
                    offset=index,
                    record=configuration.record_from_builtins(
                        self.records[index]
                    ),
                )
                for index in range(start, end)
            ),
        )


@dataclasses.dataclass(kw_only=True)
class Cluster:
    """Nodes with a shared log; messages may be lost and duplicated.

    ``loss`` and ``duplication`` are probabilities for each message. ``pending``
    has the events for the next tick with the names of the nodes that get them,
    and ``proposals`` the node, boot and record id of each append; the id is
    empty for snapshots.
    """

    loss: float = 0
    duplication: float = 0
    at: float = 0
    log: FakeLog = dataclasses.field(default_factory=FakeLog)
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(7)
    )
    settings: configuration.ConfigurationSettings = dataclasses.field(
        default_factory=configuration.ConfigurationSettings
    )
    tables_by_name: dict[str, configuration.ConfigurationTables] = (
        dataclasses.field(default_factory=dict)
    )
    results: list[configuration.ChangeResult] = dataclasses.field(
        default_factory=list
    )
    pending: list[tuple[str, configuration.ConfigurationEvent]] = (
        dataclasses.field(default_factory=list)
    )
    boot_count: int = 0
    proposals: list[tuple[str, int, str]] = dataclasses.field(
        default_factory=list
    )

    def start(self, name: str) -> None:
        """Start a node without state and add it to the members."""
        self.boot_count += 1
        self.tables_by_name[name] = configuration.create_tables(
            name,
            own_peer_address=f'{name}:7001',
            boot=self.boot_count,
            settings=self.settings,
        )
        self._announce_members()

    def stop(self, name: str) -> None:
        """Stop a node and remove it from the members."""
        self.tables_by_name.pop(name)
        self._announce_members()

    def run(self, seconds: float) -> None:
        """Advance the time by ticks, with a membership message of each node."""
        end = self.at + seconds
        while self.at < end:
            self.at += TICK_SECONDS
            pending = self.pending
            self.pending = []
            for target, event in pending:
                self.apply(target, event)
            for name in sorted(self.tables_by_name):
                self.apply(name, configuration.Tick(at=self.at))
            self._send_heartbeats()

    def propose(
        self, name: str, value: configuration.SettingValue, base: int
    ) -> None:
        """Propose a change of ``PATH`` to a node."""
        event = configuration.ChangeProposed(
            at=self.at,
            path=PATH,
            value=value,
            base_revision=base,
            author=name,
        )
        self.apply(name, event)

    def apply(self, name: str, event: configuration.ConfigurationEvent) -> None:
        """Apply an event to a node and carry out the actions."""
        if name not in self.tables_by_name:
            return
        tables = self.tables_by_name[name]
        for action in configuration.apply_event(tables, event):
            if isinstance(action, configuration.Send):
                self._send(action)
            elif isinstance(action, configuration.ReadLog):
                self._read(name, action)
            elif isinstance(action, configuration.AppendRecords):
                self._append(name, action)
            elif not isinstance(action, configuration.OffsetReached):
                self.results.append(action)

    def offsets(self) -> set[int]:
        """Return the offsets that the nodes have reached."""
        return {it.next_offset for it in self.tables_by_name.values()}

    def _append(self, name: str, action: configuration.AppendRecords) -> None:
        if not self.log.is_down:
            self.log.append(*action.records)
            boot = self.tables_by_name[name].boot
            self.proposals.append((name, boot, action.record_id))
            event = configuration.RecordAppended(at=self.at)
            self.pending.append((name, event))

    def _read(self, name: str, action: configuration.ReadLog) -> None:
        if not self.log.is_down:
            event = self.log.read(action.from_offset, self.at)
            self.pending.append((name, event))

    def _send(self, action: configuration.Send) -> None:
        target = action.peer_address.partition(':')[0]
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                event = configuration.MessageReceived(
                    at=self.at, message=action.message
                )
                self.pending.append((target, event))

    def _send_heartbeats(self) -> None:
        for name in sorted(self.tables_by_name):
            target = self.rng.choice(sorted(self.tables_by_name))
            event = configuration.PeerAhead(
                at=self.at,
                peer_address=f'{name}:7001',
                offset=self.tables_by_name[name].next_offset,
            )
            if target != name and self.rng.random() >= self.loss:
                self.pending.append((target, event))

    def _announce_members(self) -> None:
        members = tuple(build_member(name) for name in self.tables_by_name)
        event = configuration.MembersChanged(at=self.at, members=members)
        for name in self.tables_by_name:
            self.apply(name, event)
