"""Tests of the list of servers that is read from the platform's store."""

from typing import Any, cast

import msgspec
import testtools
from bronzepost_platform.server_list import ServerList
from bronzepost_platform.store import StoreClient

from bronzepost._internal.exceptions import LogServiceError
from bronzepost._internal.gateway.programs.keyed_store import (
    KeyedPartition,
    KeyedRecord,
)
from tests.platform.builders_platform import make_entry, make_odd_entries

Record = tuple[str, bytes]


class ScriptedStore:
    """A partition of servers; records before ``first_offset`` are deleted."""

    def __init__(self) -> None:
        """Start without a record."""
        self.records: list[Record] = []
        self.first_offset = 0
        self.listing_count = 0
        self.is_down = False

    def put(self, key: str, **changes: Any) -> None:
        """Write the entry of a server."""
        body = msgspec.json.encode(make_entry(**changes))
        self.records.append((key, body))

    def read_partition(self, topic: str, partition: int) -> KeyedPartition:
        """Return the newest record of each key."""
        self._check_availability()
        self.listing_count += 1
        newest = {
            key: KeyedRecord(key=key, content=body, offset=offset)
            for offset, (key, body) in enumerate(self.records)
        }
        return KeyedPartition(
            records=tuple(
                record for record in newest.values() if record.content
            ),
            end_offset=len(self.records),
        )

    def read_records(
        self, topic: str, partition: int, *, start: int, wait_seconds: float
    ) -> list[tuple[int, bytes]] | None:
        """Return the records from an offset on, or None if it is deleted."""
        self._check_availability()
        if start < self.first_offset:
            return None
        return [
            (offset, bytes((len(key),)) + key.encode() + body)
            for offset, (key, body) in enumerate(self.records)
            if offset >= start
        ]

    def _check_availability(self) -> None:
        if self.is_down:
            raise LogServiceError('down', step='read')


class TestServerList(testtools.TestCase):
    """The servers in use are those that a new listing would contain."""

    def setUp(self) -> None:
        """List two servers."""
        super().setUp()
        self.store = ScriptedStore()
        self.store.put('i-1')
        self.store.put('i-2')
        self.servers = ServerList(store=cast(StoreClient, self.store))
        self.servers.read()

    def read(self) -> dict[str, bool]:
        """Return by server id whether each server is draining."""
        servers = self.servers.read()
        return {server.server_id: server.is_draining for server in servers}

    def test_changes_are_applied_without_a_listing(self) -> None:
        """Guard against each VM reading the whole list 2.5 times a second."""
        self.store.put('i-1', state='draining')
        self.store.put('i-3')
        self.assertEqual({'i-1': True, 'i-2': False, 'i-3': False}, self.read())
        self.store.records.append(('i-1', b''))
        self.store.put('i-2', seq=5)
        self.assertEqual({'i-2': False, 'i-3': False}, self.read())
        self.assertEqual({'i-2': False, 'i-3': False}, self.read())
        self.assertEqual(1, self.store.listing_count)

    def test_servers_are_listed_again_after_a_deletion(self) -> None:
        """Guard against a missed removal whose record has been deleted."""
        self.store.records.append(('i-1', b''))
        self.store.put('i-3')
        self.store.first_offset = 3
        self.assertEqual({'i-2': False, 'i-3': False}, self.read())
        self.store.put('i-4')
        self.assertEqual(
            {'i-2': False, 'i-3': False, 'i-4': False}, self.read()
        )
        self.assertEqual(2, self.store.listing_count)

    def test_records_of_an_outage_are_applied_after_it(self) -> None:
        """Guard against records of an outage that are not read after it."""
        self.store.is_down = True
        self.store.put('i-1', state='draining')
        self.assertRaises(LogServiceError, self.servers.read)
        self.store.records.append(('i-2', b''))
        self.store.is_down = False
        self.assertEqual({'i-1': True}, self.read())

    def test_version_that_came_and_went_between_two_reads(self) -> None:
        """A stream that it began was taken up at a server of another version."""
        self.servers.pop_versions()
        self.store.put('i-3', version='v2')
        self.store.records.append(('i-3', b''))
        self.assertEqual({'i-1': False, 'i-2': False}, self.read())
        self.assertEqual({'engines': {'v2'}}, self.servers.pop_versions())
        self.read()
        self.assertEqual({}, self.servers.pop_versions())

    def test_entries_that_were_deleted_before_they_were_read(self) -> None:
        """Guard against versions that this VM can never have seen."""
        self.store.put('i-3', version='v2')
        self.store.records.append(('i-3', b''))
        self.store.first_offset = len(self.store.records)
        self.read()
        self.assertIsNone(self.servers.pop_versions())

    def test_odd_entry_does_not_hide_other_changes(self) -> None:
        """No VM saw a server come or go after one very deeply nested entry."""
        for name, body in make_odd_entries().items():
            self.store.records.append(('i-odd', body))
            self.store.put('i-1', state='draining', seq=len(name))
            self.assertEqual(
                (name, {'i-1': True, 'i-2': False}), (name, self.read())
            )

    def test_vm_starts_after_odd_entries(self) -> None:
        """A VM that started after the entry had no servers at all."""
        for name, body in make_odd_entries().items():
            self.store.records.append((f'i-{name}', body))
        started = ServerList(store=cast(StoreClient, self.store))
        self.assertEqual(
            {'i-1', 'i-2'}, {server.server_id for server in started.read()}
        )

    def test_id_that_no_header_can_bear_is_not_used(self) -> None:
        """The id of a server is sent to it in a header of each request."""
        for key in ('i-1\r\nHold: 1', 'i-\u00fc', ''):
            self.store.put(key)
        self.assertEqual({'i-1': False, 'i-2': False}, self.read())

    def test_entry_that_turns_unreadable_is_not_used(self) -> None:
        """Guard against a server that is used by its last readable entry."""
        self.store.records.append(('i-1', b'\xff'))
        self.assertEqual({'i-2': False}, self.read())
