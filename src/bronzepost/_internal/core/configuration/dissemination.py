"""Which nodes read the log, and how records spread from them to all nodes.

Each reader that reads new records is the root of a tree of all members. A node
pushes the records to its children in the tree of that reader.
"""

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

_READER_SELECTION_KEY = 'configuration-readers'


def select_readers(
    members: Iterable[Member], readers_per_zone: int
) -> tuple[str, ...]:
    """Return the names of the members that poll the log, sorted.

    Each availability zone has its own readers, so that a zone that is cut off
    from the others but not from the log still gets its configuration.
    """
    names_by_zone: dict[str, list[str]] = {}
    for member in members:
        zone = f'{member.region} {member.availability_zone}'
        names_by_zone.setdefault(zone, []).append(member.name)
    readers: list[str] = []
    for names in names_by_zone.values():
        readers.extend(
            first_members(names, _READER_SELECTION_KEY, readers_per_zone)
        )
    return tuple(sorted(readers))


def list_readers(tables: ConfigurationTables) -> tuple[str, ...]:
    """Return the names of the readers among the members that the node knows.

    A node that knows no members is its own reader.
    """
    members = tables.peers_by_name.values()
    readers = select_readers(members, tables.settings.readers_per_zone)
    return readers or (tables.own_name,)


def list_children(tables: ConfigurationTables, root: str) -> tuple[Member, ...]:
    """Return the peers to which this node pushes records.

    The tree lists the members by name, rotated so that ``root`` comes first.
    The children of the node at index ``i`` are the ``fan_out`` nodes from
    index ``fan_out * i + 1`` on.
    """
    names = sorted({*tables.peers_by_name, root, tables.own_name})
    start = names.index(root)
    names = names[start:] + names[:start]
    fan_out = tables.settings.fan_out
    first = names.index(tables.own_name) * fan_out + 1
    children = names[first : first + fan_out]
    peers = tables.peers_by_name
    return tuple(peers[name] for name in children if name in peers)


def push_to_children(
    tables: ConfigurationTables, from_offset: int, root: str
) -> Iterator[Send]:
    """Push the records from ``from_offset`` on to the node's children."""
    children = list_children(tables, root)
    if not children:
        return
    message = answer_request(tables, from_offset, root=root)
    for child in children:
        yield Send(peer_address=child.peer_address, message=message)


def answer_request(
    tables: ConfigurationTables, from_offset: int, *, root: str = ''
) -> ConfigurationRecords:
    """Return the records from an offset on, as many as a message may contain.

    If they are no longer in memory, the message contains the whole settings
    tree instead. ``root`` is empty in the answer to a request.
    """
    has_records = all(
        offset in tables.recent_by_offset
        for offset in _message_offsets(tables, from_offset)
    )
    tree = None
    if not has_records:
        from_offset = tables.next_offset
        tree = TreeAtOffset(
            next_offset=from_offset,
            snapshot_next_offset=tables.snapshot_next_offset,
            entries=list_entries(tables),
        )
    return ConfigurationRecords(
        peer_address=tables.own_peer_address,
        next_offset=tables.next_offset,
        records=_select_records(tables, from_offset),
        tree=tree,
        root=root,
    )


def build_request(tables: ConfigurationTables, peer_address: str) -> Send:
    """Return a request for the records that this node has not applied yet."""
    request = ConfigurationRequest(
        peer_address=tables.own_peer_address,
        from_offset=tables.next_offset,
    )
    return Send(peer_address=peer_address, message=request)


def _message_offsets(tables: ConfigurationTables, from_offset: int) -> range:
    end = from_offset + tables.settings.records_per_message
    return range(from_offset, min(end, tables.next_offset))


def _select_records(
    tables: ConfigurationTables, from_offset: int
) -> tuple[RecordAtOffset, ...]:
    return tuple(
        RecordAtOffset(offset=offset, record=tables.recent_by_offset[offset])
        for offset in _message_offsets(tables, from_offset)
    )
