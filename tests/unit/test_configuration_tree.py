"""Tests of paths, acceptance, inheritance and history."""

import itertools

from testtools import TestCase
from testtools.matchers import Contains

from bronzepost._internal.core import configuration
from bronzepost._internal.core.record_ids import format_record_id
from bronzepost._internal.exceptions import RefusedError
from tests.builders_configuration import PATH, build_change, build_tables

PROGRAM = ('kostiumy', 'pass-assistant', 'p-1.child', 'budget')


class PathTest(TestCase):
    """Paths and values are validated."""

    def test_levels(self) -> None:
        """Guard against a path that sets a value at the wrong level."""
        for text, level in (
            ('kostiumy:budget', 'organisation'),
            ('kostiumy/pass-assistant:budget', 'service'),
            ('kostiumy/pass-assistant/p-1:budget', 'program'),
        ):
            path = configuration.parse_path(text)
            self.assertEqual((text, level), (str(path), path.level))

    def test_malformed_paths_are_refused(self) -> None:
        """Guard against accepted settings that apply to no program."""
        for text in ('', 'budget', ':budget', 'a/b/c/d:budget', 'a b:budget'):
            error = self.assertRaises(
                RefusedError, configuration.parse_path, text
            )
            self.assertEqual(('invalid_path', 400), (error.code, error.status))

    def test_unknown_setting_is_refused_with_a_similar_name(self) -> None:
        """Guard against a refusal without a hint to the right name."""
        error = self.assertRaises(
            RefusedError, configuration.parse_path, 'kostiumy:cache_wieght'
        )
        self.assertThat(error.message, Contains("'cache_weight'"))

    def test_values_are_checked(self) -> None:
        """Guard against values of the wrong type or out of bounds."""
        for name, value in (
            ('budget', -1),
            ('budget', True),
            ('budget', '5'),
            ('cache_weight', 1.01),
            ('cache_weight', float('nan')),
            ('policy', 'random'),
            ('non_idempotent', 1),
        ):
            error = self.assertRaises(
                RefusedError, configuration.check_value, name, value
            )
            self.assertEqual('value', error.parameter)
        configuration.check_value('cache_weight', 1)
        configuration.check_value('budget', None)


class AcceptanceTest(TestCase):
    """All nodes accept and reject the same changes."""

    def test_racing_operators_exactly_one_is_accepted(self) -> None:
        """Guard against two accepted changes, or a rejection not reported."""
        tables = build_tables(
            build_change('r1', value=1), build_change('r2', value=2)
        )
        accepted = configuration.find_result(tables, 'r1')
        rejected = configuration.find_result(tables, 'r2')
        self.assertIsInstance(accepted, configuration.ChangeAccepted)
        self.assertIsInstance(rejected, configuration.ChangeRejected)
        assert rejected is not None
        self.assertEqual((1, 1), (rejected.revision, rejected.value))

    def test_racing_operators_at_the_first_offset(self) -> None:
        """Guard against an accepted change at offset 0, which means none."""
        tables = configuration.create_tables(
            'a', own_peer_address='a:7001', boot=1
        )
        configuration.apply_record(tables, 0, build_change('r1', value=1))
        configuration.apply_record(tables, 1, build_change('r2', value=2))
        configuration.apply_record(tables, 2, build_change('r3', value=3))
        accepted = [
            record_id
            for record_id, result in tables.results_by_record_id.items()
            if isinstance(result, configuration.ChangeAccepted)
        ]
        self.assertEqual(['r2'], accepted)
        self.assertEqual(2, configuration.inherit(tables, *PROGRAM))

    def test_second_copy_keeps_the_first_result(self) -> None:
        """Guard against a rejection reported for an accepted change."""
        change = build_change('r1', value=1)
        other = build_change('r2', value=2, base=1)
        tables = build_tables(change, change, other, change)
        result = configuration.find_result(tables, 'r1')
        self.assertIsInstance(result, configuration.ChangeAccepted)
        self.assertEqual(2, configuration.inherit(tables, *PROGRAM))

    def test_second_copy_after_start_from_a_tree(self) -> None:
        """Guard against a result that depends on which records a node read."""
        tables = build_tables(build_change('r1'))
        late = create_copy(tables)
        for each in (tables, late):
            configuration.apply_record(each, 2, build_change('r1'))
            result = configuration.find_result(each, 'r1')
            self.assertIsInstance(result, configuration.ChangeAccepted)
        self.assertEqual(
            configuration.list_entries(tables),
            configuration.list_entries(late),
        )

    def test_records_out_of_order_are_ignored(self) -> None:
        """Guard against records that are applied out of order."""
        tables = build_tables(build_change('r1', value=1))
        gap = build_change('r2', value=2, base=1)
        configuration.apply_record(tables, 3, gap)
        configuration.apply_record(tables, 1, gap)
        self.assertEqual(2, tables.next_offset)
        self.assertEqual(1, configuration.inherit(tables, *PROGRAM))

    def test_tree_without_an_accepted_change_is_not_loaded(self) -> None:
        """Guard against a peer's tree that lacks an accepted change."""
        tables = build_tables(build_change('r1', value=1))
        stale = configuration.TreeAtOffset(
            next_offset=9, snapshot_next_offset=0, entries=()
        )
        self.assertFalse(configuration.load_tree(tables, stale))
        self.assertEqual(1, configuration.inherit(tables, *PROGRAM))

    def test_tree_that_is_behind_is_not_loaded(self) -> None:
        """Guard against a node whose offset decreases past rejected records."""
        change = build_change('r1', value=1)
        tables = build_tables(change, build_change('r2', value=2))
        behind = configuration.TreeAtOffset(
            next_offset=2,
            snapshot_next_offset=0,
            entries=configuration.list_entries(tables),
        )
        self.assertFalse(configuration.load_tree(tables, behind))
        self.assertEqual(3, tables.next_offset)

    def test_second_copy_after_loading_a_tree_has_no_result(self) -> None:
        """Guard against a wrong rejection if a node skipped the first copy."""
        tables = build_tables()
        tables.is_ready = True
        proposal = configuration.ChangeProposed(
            at=0, path=PATH, value=1, base_revision=0, author='a'
        )
        append = configuration.apply_event(tables, proposal)[0]
        assert isinstance(append, configuration.AppendRecords)
        change = append.records[0]
        assert isinstance(change, configuration.ConfigurationChange)
        other = build_tables(change, build_change('r2', value=2, base=1))
        tree = configuration.TreeAtOffset(
            next_offset=3,
            snapshot_next_offset=0,
            entries=configuration.list_entries(other),
        )
        self.assertTrue(configuration.load_tree(tables, tree))
        self.assertEqual((), configuration.apply_record(tables, 3, change))
        found = configuration.find_result(tables, change.record_id)
        self.assertIsNone(found)

    def test_unreadable_records_are_skipped(self) -> None:
        """Guard against a node that stops at a malformed record."""
        for content in ({'kind': 'note'}, {}, None, [1], {'path': 'a:budget'}):
            record = configuration.record_from_builtins(content)
            self.assertIsInstance(record, configuration.UnreadableRecord)
        tables = build_tables()
        configuration.apply_record(tables, 1, record)
        self.assertEqual(2, tables.next_offset)

    def test_records_are_equal_after_decoding(self) -> None:
        """Guard against records that differ after they were encoded."""
        record = build_change('r1', value=0.5)
        builtins = configuration.record_to_builtins(record)
        self.assertEqual('configuration_change', builtins['kind'])
        self.assertEqual(record, configuration.record_from_builtins(builtins))

    def test_record_ids_differ(self) -> None:
        """Guard against equal ids of different nodes, boots or records."""
        ids = {
            format_record_id(*parts)
            for parts in itertools.product(('a', 'b'), (1, 2), (1, 2))
        }
        self.assertEqual({16}, {len(record_id) for record_id in ids})
        self.assertEqual(8, len(ids))


class InheritanceTest(TestCase):
    """The nearest level with a valid value is in force."""

    def test_nearest_level_is_in_force(self) -> None:
        """Guard against a wider level that overrides a nearer one."""
        tables = build_tables(
            build_change('r1', value=1, path='kostiumy:budget'),
            build_change('r2', value=2),
            build_change(
                'r3', value=3, path='kostiumy/pass-assistant/p-1:budget'
            ),
        )
        self.assertEqual(3, configuration.inherit(tables, *PROGRAM))
        found = configuration.inherit(
            tables, 'kostiumy', 'pass-registry', 'p-1', 'budget'
        )
        self.assertEqual(1, found)

    def test_removed_setting_inherits_again(self) -> None:
        """Guard against a removed value that stays in force."""
        tables = build_tables(
            build_change('r1', value=7, path='kostiumy:budget'),
            build_change('r2', value=2),
            build_change('r3', value=None, base=2),
        )
        self.assertEqual(7, configuration.inherit(tables, *PROGRAM))
        self.assertEqual(3, tables.entries_by_path[PATH].revision)

    def test_invalid_value_is_ignored_and_explained(self) -> None:
        """Guard against an invalid value that was appended without a check."""
        tables = build_tables(
            build_change('r1', value=7, path='kostiumy:budget'),
            build_change('r2', value='much'),
        )
        explanation = configuration.explain(tables, *PROGRAM)
        self.assertEqual(
            (7, 'organisation', 'kostiumy:budget', 1),
            (
                explanation.value,
                explanation.level,
                explanation.path,
                explanation.revision,
            ),
        )
        values = [(it.level, it.value) for it in explanation.levels]
        self.assertEqual(
            [
                ('program', None),
                ('service', 'much'),
                ('organisation', 7),
                ('default', 1_000_000),
            ],
            values,
        )
        self.assertThat(explanation.levels[1].problem, Contains('whole'))


class HistoryTest(TestCase):
    """Earlier values are reported only where they are known."""

    def test_diff_between_revisions(self) -> None:
        """Guard against values of the wrong revisions."""
        tables = build_tables(
            build_change('r1', value=1),
            build_change('r2', value=2, base=1),
            build_change('r3', value=9, path='kostiumy:budget'),
        )
        changes = configuration.history(tables, PATH)
        self.assertEqual([2, 1], [entry.revision for entry in changes])
        found = configuration.diff(tables, 1, 2)
        expected = configuration.Difference(path=PATH, before=1, after=2)
        self.assertEqual((expected,), found)
        self.assertEqual(2, len(configuration.diff(tables, 0, 3)))

    def test_values_that_are_not_retained_are_refused(self) -> None:
        """Guard against a guessed value where the right one is not known."""
        tables = build_tables(
            build_change('r1', value=1), build_change('r2', value=2, base=1)
        )
        late = create_copy(tables)
        error = self.assertRaises(RefusedError, configuration.diff, late, 1, 2)
        self.assertEqual('revision_not_retained', error.code)
        error = self.assertRaises(RefusedError, configuration.diff, late, 2, 9)
        self.assertEqual('unknown_revision', error.code)


def create_copy(
    tables: configuration.ConfigurationTables,
) -> configuration.ConfigurationTables:
    """Return tables of a node that loaded the tree of another node."""
    late = configuration.create_tables(
        'late', own_peer_address='late:7001', boot=1
    )
    tree = configuration.TreeAtOffset(
        next_offset=tables.next_offset,
        snapshot_next_offset=0,
        entries=configuration.list_entries(tables),
    )
    configuration.load_tree(late, tree)
    return late
