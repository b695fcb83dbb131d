"""Which nodes read the log, and how records go on from them to all others."""

from collections.abc import Iterable, Iterator

from bronzepost._internal.core.membership import Member
from bronzepost._internal.core.rendezvous import first_members

from .acceptance import list_entries
from .entities import ConfigurationTables
from .events import Send
from .messages import (
    ConfigurationRecords,
    ConfigurationRequest,
    RecordAtOffset,
    TreeAtOffset,
)

_READER_KEY = 'configuration-readers'


def select_readers(
    members: Iterable[Member], readers_per_zone: int
) -> tuple[str, ...]:
    """Return the names of the members that poll the log, ordered by name.

    Each availability zone has its own, so that a zone that is cut off from
    the others but not from the log still gets its configuration.
    """
    names_by_zone: dict[str, list[str]] = {}
    for member in members:
        zone = f'{member.region} {member.availability_zone}'
        names_by_zone.setdefault(zone, []).append(member.name)
    chosen: list[str] = []
    for names in names_by_zone.values():
        chosen.extend(first_members(names, _READER_KEY, readers_per_zone))
    return tuple(sorted(chosen))


def list_readers(tables: ConfigurationTables) -> tuple[str, ...]:
    """Return the readers among the members that the node knows.

    A node that knows no members reads for itself.
    """
    members = tables.peers_by_name.values()
    readers = select_readers(members, tables.settings.readers_per_zone)
    return readers or (tables.own_name,)


def list_children(tables: ConfigurationTables, root: str) -> tuple[Member, ...]:
    """Return the peers that this node passes records on to.

    The members are ordered by name, beginning with the root. The node in
    place ``i`` passes on to the places after ``fan_out * i``.
    """
    names = sorted({*tables.peers_by_name, root, tables.own_name})
    start = names.index(root)
    names = names[start:] + names[:start]
    fan_out = tables.settings.fan_out
    first = names.index(tables.own_name) * fan_out + 1
    children = names[first : first + fan_out]
    peers = tables.peers_by_name
    return tuple(peers[name] for name in children if name in peers)


def push_records(
    tables: ConfigurationTables, from_offset: int, root: str
) -> Iterator[Send]:
    """Pass the records from an offset on to the node's children."""
    children = list_children(tables, root)
    if not children:
        return
    message = answer_request(tables, from_offset, root=root)
    for child in children:
        yield Send(peer_address=child.peer_address, message=message)


def answer_request(
    tables: ConfigurationTables, from_offset: int, *, root: str = ''
) -> ConfigurationRecords:
    """Return the records from an offset on, up to the bound of a message.

    If they are no longer in memory, the whole tree is sent instead.
    """
    is_held = all(
        offset in tables.recent_by_offset
        for offset in _bounded_range(tables, from_offset)
    )
    tree = None
    if not is_held:
        from_offset = tables.next_offset
        tree = TreeAtOffset(
            next_offset=from_offset,
            snapshot_next_offset=tables.snapshot_next_offset,
            entries=list_entries(tables),
        )
    return ConfigurationRecords(
        peer_address=tables.own_peer_address,
        next_offset=tables.next_offset,
        records=_list_records(tables, from_offset),
        tree=tree,
        root=root,
    )


def send_request(tables: ConfigurationTables, peer_address: str) -> Send:
    """Return a request for the records that this node misses."""
    request = ConfigurationRequest(
        peer_address=tables.own_peer_address,
        from_offset=tables.next_offset,
    )
    return Send(peer_address=peer_address, message=request)


def _bounded_range(tables: ConfigurationTables, from_offset: int) -> range:
    end = from_offset + tables.settings.records_per_message
    return range(from_offset, min(end, tables.next_offset))


def _list_records(
    tables: ConfigurationTables, from_offset: int
) -> tuple[RecordAtOffset, ...]:
    return tuple(
        RecordAtOffset(offset=offset, record=tables.recent_by_offset[offset])
        for offset in _bounded_range(tables, from_offset)
    )
