"""Tests of dissemination and retention of the configuration."""

from testtools import TestCase

from bronzepost._internal.core import configuration
from bronzepost._internal.exceptions import RefusedError
from tests.builders_configuration import (
    PATH,
    Cluster,
    build_change,
    build_member,
    build_tables,
)


def build_cluster(size: int) -> Cluster:
    """Return a cluster of nodes that have started on an empty log."""
    cluster = Cluster()
    for index in range(size):
        cluster.start(f'n{index:03}')
    cluster.run(seconds=2)
    return cluster


class DisseminationTest(TestCase):
    """Records reach all nodes soon."""

    def test_two_readers_in_each_zone(self) -> None:
        """Guard against more nodes polling the log than necessary."""
        members = [
            build_member(f'{zone}-{index}', zone=zone)
            for zone in ('hall-a', 'hall-b')
            for index in range(5)
        ]
        readers = configuration.select_readers(members, 2)
        zones = [reader[:6] for reader in readers]
        self.assertEqual(['hall-a', 'hall-a', 'hall-b', 'hall-b'], zones)

    def test_each_member_is_child_of_one_other(self) -> None:
        """Guard against members that the tree leaves out or visits twice."""
        names = [f'n{index:03}' for index in range(410)]
        members = tuple(build_member(name) for name in names)
        seen: list[str] = []
        for name in names:
            tables = build_tables(name=name)
            event = configuration.MembersChanged(at=0, members=members)
            configuration.apply_event(tables, event)
            children = configuration.list_children(tables, 'n200')
            self.assertLessEqual(len(children), 6)
            seen.extend(child.name for child in children)
        self.assertEqual(sorted(set(names) - {'n200'}), sorted(seen))

    def test_accepted_change_reaches_all_nodes_within_a_second(self) -> None:
        """Guard against slow dissemination to 12 nodes."""
        cluster = build_cluster(12)
        cluster.propose('n003', 5, 0)
        cluster.run(seconds=1)
        self.assertEqual({2}, cluster.offsets())
        self.assertEqual(12, len(cluster.results))
        kinds = {type(item) for item in cluster.results}
        self.assertEqual({configuration.ChangeAccepted}, kinds)

    def test_nodes_request_records_after_lost_pushes(self) -> None:
        """Guard against a node that stays behind when pushes are lost."""
        cluster = build_cluster(12)
        cluster.loss = 0.5
        cluster.propose('n003', 5, 0)
        cluster.run(seconds=3)
        self.assertEqual({2}, cluster.offsets())

    def test_log_outage_new_node_gets_tree_from_peer(self) -> None:
        """Guard against a node that cannot start while the log is down."""
        cluster = build_cluster(3)
        cluster.propose('n001', 5, 0)
        cluster.run(seconds=1)
        cluster.log.is_down = True
        cluster.start('late')
        self.assertFalse(cluster.tables_by_name['late'].is_ready)
        cluster.run(seconds=2)
        late = cluster.tables_by_name['late']
        self.assertTrue(late.is_ready)
        self.assertEqual(5, late.entries_by_path[PATH].value)

    def test_log_outage_without_configuration_no_node_is_ready(self) -> None:
        """Guard against an empty tree that is used as the current one."""
        cluster = Cluster()
        cluster.log.append(build_change('r0'), build_change('r1'))
        cluster.log.is_down = True
        cluster.start('a')
        cluster.start('b')
        cluster.run(seconds=5)
        ready = [it.is_ready for it in cluster.tables_by_name.values()]
        self.assertEqual([False, False], ready)
        tables = cluster.tables_by_name['a']
        proposal = configuration.ChangeProposed(
            at=0, path=PATH, value=1, base_revision=0, author='a'
        )
        error = self.assertRaises(
            RefusedError, configuration.apply_event, tables, proposal
        )
        self.assertEqual(503, error.status)

    def test_base_that_does_not_exist_is_refused(self) -> None:
        """Guard against a change whose base revision is in the future."""
        tables = build_cluster(1).tables_by_name['n000']
        proposal = configuration.ChangeProposed(
            at=0, path=PATH, value=1, base_revision=7, author='a'
        )
        error = self.assertRaises(
            RefusedError, configuration.apply_event, tables, proposal
        )
        self.assertEqual('base_revision', error.parameter)


class RetentionTest(TestCase):
    """The configuration survives the log's deletion of old records."""

    def test_retention_node_starts_from_snapshot_record(self) -> None:
        """Guard against lost settings if all nodes restart after deletions."""
        cluster = build_cluster(3)
        for _ in range(4):
            cluster.log.retain(6)
            self._change_value(cluster)
            cluster.run(seconds=8)
        self.assertGreater(cluster.log.first_offset, 0)
        value = cluster.tables_by_name['n000'].entries_by_path[PATH].value
        for name in tuple(cluster.tables_by_name):
            cluster.stop(name)
        cluster.log.append(build_change('late'))
        cluster.start('new')
        cluster.run(seconds=2)
        tables = cluster.tables_by_name['new']
        self.assertTrue(tables.is_ready)
        self.assertEqual(value, tables.entries_by_path[PATH].value)

    def test_retention_change_during_snapshot_is_kept(self) -> None:
        """Guard against a lost change that was appended before a snapshot.

        The snapshot was taken before the change and appended after it.
        """
        cluster = Cluster()
        older = build_tables(build_change('r1', value=1))
        snapshot = configuration.ConfigurationSnapshot(
            record_id='s',
            next_offset=older.next_offset,
            entries=configuration.list_entries(older),
        )
        rejected = build_change('other', path='x:budget', base=99)
        change = build_change('r2', value=2, base=1)
        cluster.log.append(rejected, build_change('r1'), change, snapshot)
        cluster.log.first_offset = 2
        cluster.start('new')
        cluster.run(seconds=2)
        tables = cluster.tables_by_name['new']
        self.assertEqual(2, tables.entries_by_path[PATH].value)
        self.assertEqual(len(cluster.log.records), tables.next_offset)

    def test_retention_old_snapshot_is_not_used(self) -> None:
        """Guard against a tree with missing records between it and the log."""
        cluster = Cluster()
        old = configuration.ConfigurationSnapshot(
            record_id='s', next_offset=1, entries=()
        )
        change = build_change('r1', path='x:budget')
        cluster.log.append(change, change, change, old)
        cluster.log.first_offset = 2
        cluster.start('new')
        cluster.run(seconds=2)
        tables = cluster.tables_by_name['new']
        self.assertFalse(tables.is_ready)
        self.assertEqual(0, tables.next_offset)

    def test_retention_few_snapshots_are_appended(self) -> None:
        """Guard against each reader appending a snapshot of its own."""
        cluster = Cluster(
            settings=configuration.ConfigurationSettings(snapshot_seconds=60)
        )
        for name in 'abcdef':
            cluster.start(name)
        cluster.run(seconds=2)
        cluster.propose('a', 5, 0)
        cluster.run(seconds=50)
        count = len(cluster.log.records)
        cluster.run(seconds=60)
        self.assertEqual(1, len(cluster.log.records) - count)

    def _change_value(self, cluster: Cluster) -> None:
        for index in range(4):
            entry = cluster.tables_by_name['n000'].entries_by_path.get(PATH)
            base = entry.revision if entry else 0
            cluster.propose('n000', index, base)
            cluster.run(seconds=1)
