"""Tests of old entries of servers, which tell what was in service before."""

from typing import cast

import msgspec
import testtools
from bronzepost_platform.server_history import (
    MAX_RECORDS,
    HistorySpan,
    find_past_versions,
)
from bronzepost_platform.server_list import ServerList
from bronzepost_platform.store import StoreClient

from tests.platform.test_server_list import ScriptedStore

SPAN = HistorySpan(seconds=20, interval_seconds=1)


class TestServerHistory(testtools.TestCase):
    """What is not known for the whole span is unknown."""

    def setUp(self) -> None:
        """Start with an empty log."""
        super().setUp()
        self.store = ScriptedStore()

    def read(self, span: HistorySpan = SPAN) -> set[str] | None:
        servers = ServerList(store=cast(StoreClient, self.store))
        servers.read()
        found = servers.read_past_versions(span)
        return None if found is None else set(found['engines'])

    def write(self, count: int, *keys: str, start: int = 0) -> None:
        """Let servers of the first version write ``count`` times each."""
        for seq in range(start, start + count):
            for key in keys:
                self.store.put(key, seq=seq)

    def remove(self, key: str) -> None:
        self.store.records.append((key, b''))

    def test_log_since_its_first_record(self) -> None:
        self.write(1, 'i-1')
        self.assertEqual({'v1'}, self.read())

    def test_version_that_has_left(self) -> None:
        """Guard against forgetting servers that are not listed any more."""
        self.store.put('i-2', version='v2', seq=0)
        self.write(2, 'i-1')
        self.remove('i-2')
        self.assertEqual({'v1', 'v2'}, self.read())

    def test_deleted_records(self) -> None:
        """Guard against a version whose entries the store has deleted."""
        self.write(3, 'i-1')
        self.store.first_offset = 1
        self.assertIsNone(self.read())

    def test_long_log_is_read_for_the_span_only(self) -> None:
        """Guard against versions that left long ago, and large reads."""
        self.store.put('i-3', version='v2', seq=0)
        self.remove('i-3')
        self.write(200, 'i-1', 'i-2')
        self.store.first_offset = 100
        self.assertEqual({'v1'}, self.read())

    def test_records_that_do_not_go_back_far_enough(self) -> None:
        """Guard against many entries that were written in a short time."""
        self.store.put('i-1', seq=0)
        self.write(1, 'i-2')
        for number in range(300):
            self.store.put(f'i-new-{number}', seq=0)
            self.remove(f'i-new-{number}')
        self.store.first_offset = 1
        self.assertIsNone(self.read())

    def test_removed_server_whose_entry_is_not_there(self) -> None:
        """Guard against the unknown version of a server that left."""
        self.write(100, 'i-3')
        self.write(50, 'i-1', 'i-2')
        self.remove('i-3')
        self.write(50, 'i-1', 'i-2', start=50)
        self.store.first_offset = 100
        self.assertIsNone(self.read())

    def test_one_server_that_counts_wrong(self) -> None:
        """Guard against an entry that another writer has changed."""
        for seq in (0, 1, SPAN.writes):
            self.store.put('i-1', seq=seq)
            self.store.put('i-2', seq=min(seq, 1))
        found = self.find()
        self.assertIsNone(found)
        self.store.put('i-2', seq=SPAN.writes)
        self.assertEqual({'v1'}, self.find())

    def find(self) -> set[str] | None:
        """Return the versions in all records, as if older ones were deleted."""
        contents = self.store.read_records('', 0, start=0, wait_seconds=0)
        assert contents is not None
        found = find_past_versions(
            [content for _, content in contents], SPAN, is_whole=False
        )
        return None if found is None else set(found['engines'])

    def test_interval_that_is_not_stated(self) -> None:
        span = HistorySpan(seconds=20, interval_seconds=0)
        self.write(200, 'i-1', 'i-2')
        self.assertEqual({'v1'}, self.read(span))
        self.store.first_offset = 1
        self.assertIsNone(self.read(span))

    def test_number_of_records_is_bounded(self) -> None:
        """Guard against reads of many megabytes by every VM."""
        starts = SPAN.list_starts(MAX_RECORDS * 3, 10)
        self.assertEqual([MAX_RECORDS * 3 - 550], starts)
        self.assertEqual([], SPAN.list_starts(MAX_RECORDS * 3, 200))

    def test_entry_without_a_number(self) -> None:
        """Guard against an exception for what another writer left."""
        self.store.put('i-1', seq='many')
        self.store.records.append(('i-2', msgspec.json.encode({'seq': 1})))
        self.assertEqual({'v1'}, self.read())
