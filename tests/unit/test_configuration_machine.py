"""State machine test of the configuration, with random faults."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bronzepost._internal.core import configuration
from tests.builders_configuration import (
    PATH,
    Cluster,
    build_change,
)

NAMES = ('a', 'b', 'c', 'd')

any_name = st.sampled_from(NAMES)


class Oracle:
    """The tree after each record of the log, with all records applied."""

    def __init__(self) -> None:
        """Start before the first record."""
        self.tables = configuration.create_tables(
            'oracle', own_peer_address='oracle:7001', boot=1
        )
        self.trees: dict[int, tuple[configuration.SnapshotEntry, ...]] = {0: ()}

    def read(self, records: list[dict[str, object]]) -> None:
        """Apply the records that were not applied yet."""
        for content in records[self.tables.next_offset :]:
            configuration.apply_record(
                self.tables,
                self.tables.next_offset,
                configuration.record_from_builtins(content),
            )
            tree = configuration.list_entries(self.tables)
            self.trees[self.tables.next_offset] = tree


# Hypothesis derives the seed from the source of this class, doc comments and
# names included. Any change to them makes it try other cases.
class ConfigurationMachine(RuleBasedStateMachine):
    """Operators, nodes and a log, with losses, outages and retention."""

    def __init__(self) -> None:
        """Start without nodes."""
        super().__init__()
        self.cluster = Cluster(
            settings=configuration.ConfigurationSettings(
                recent_records=6, records_per_message=3, snapshot_records=12
            )
        )
        self.oracle = Oracle()
        self.seen_offset_by_boot: dict[int, int] = {}
        self.count = 0

    @initialize()
    def start_some(self) -> None:
        """Boot two nodes; the others start late."""
        self.cluster.start('a')
        self.cluster.start('b')
        self.cluster.run(seconds=1)

    @rule(seconds=st.sampled_from((0.05, 0.1, 0.5, 2, 15)))
    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.cluster.run(seconds=seconds)

    @rule(
        loss=st.sampled_from((0, 0.3, 0.8)),
        duplication=st.sampled_from((0, 0.5)),
    )
    def disturb(self, loss: float, duplication: float) -> None:
        """Change how the network treats messages."""
        self.cluster.loss = loss
        self.cluster.duplication = duplication

    @rule(name=any_name, value=st.integers(0, 9))
    def propose(self, name: str, value: int) -> None:
        """Ask a node for a change, based on what this node has."""
        # Its base is the revision that the node itself has.
        tables = self.cluster.tables_by_name.get(name)
        if tables and tables.is_ready:
            entry = tables.entries_by_path.get(PATH)
            base = entry.revision if entry else 0
            self.cluster.propose(name, value, base)

    @precondition(lambda machine: not machine.cluster.log.is_down)
    @rule(count=st.integers(1, 3), is_stale=st.booleans())
    def publish(self, count: int, is_stale: bool) -> None:
        """Let operators race for a path on the log itself."""
        # Operators append changes with the same base directly to the log, so at
        # most one is accepted, and none if the base is stale.
        self._read_log()
        entry = self.oracle.tables.entries_by_path.get(PATH)
        base = entry.revision if entry and not is_stale else 0
        for _ in range(count):
            self.count += 1
            change = build_change(
                f'operator-{self.count}', value=self.count, base=base
            )
            self.cluster.log.append(change)

    @precondition(lambda machine: machine.cluster.log.records)
    @rule(choice=st.integers(0, 1000))
    def repeat_append(self, choice: int) -> None:
        """Append a record again, as after a lost answer."""
        records = self.cluster.log.records
        records.append(records[choice % len(records)])

    @precondition(lambda machine: not machine.cluster.log.is_down)
    @rule(count=st.integers(4, 20))
    def retain(self, count: int) -> None:
        """Let retention drop the oldest records.

        Readers poll the log twice a second, so a record is read by some node
        before it is dropped. One that no node has read is lost for good.
        """
        self.cluster.run(seconds=1)
        self.cluster.log.retain(count)

    @rule(is_down=st.booleans())
    def switch_log(self, is_down: bool) -> None:
        """Begin or end an outage of the log."""
        self.cluster.log.is_down = is_down

    @rule(name=any_name)
    def restart(self, name: str) -> None:
        """Boot a node without state, unless no other can go on."""
        # At least one other node must have a tree from which the log continues.
        first_offset = self.cluster.log.first_offset
        others = [
            tables.is_ready and tables.next_offset >= first_offset
            for key, tables in self.cluster.tables_by_name.items()
            if key != name
        ]
        if any(others):
            self.cluster.start(name)

    @invariant()
    def trees_follow_the_log(self) -> None:
        """Every tree is that of the log, and no node goes back."""
        # The tree of a node is the oracle's tree at the node's offset, and the
        # offset never decreases.
        self._read_log()
        for tables in self.cluster.tables_by_name.values():
            tree = configuration.list_entries(tables)
            assert tree == self.oracle.trees[tables.next_offset]
            seen = self.seen_offset_by_boot.get(tables.boot, 0)
            assert tables.next_offset >= seen
            self.seen_offset_by_boot[tables.boot] = tables.next_offset

    @invariant()
    def proposers_learn_the_truth(self) -> None:
        """A result that a proposer learns is that of the log."""
        # A node that has not been restarted since its proposal reports the
        # result that the oracle has, or none.
        for name, boot, record_id in self.cluster.proposals:
            tables = self.cluster.tables_by_name[name]
            found = configuration.find_result(tables, record_id)
            if tables.boot == boot and found:
                expected = configuration.find_result(
                    self.oracle.tables, record_id
                )
                assert isinstance(found, type(expected))

    def teardown(self) -> None:
        """All nodes reach the end of the log once the faults are over."""
        self.disturb(loss=0, duplication=0)
        self.cluster.log.is_down = False
        self.cluster.run(seconds=30)
        self.trees_follow_the_log()
        assert self.cluster.offsets() == {len(self.cluster.log.records)}
        ready = [it.is_ready for it in self.cluster.tables_by_name.values()]
        assert all(ready)

    def _read_log(self) -> None:
        self.oracle.read(self.cluster.log.records)


ConfigurationMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
    database=None,
)
ConfigurationMachineTest = ConfigurationMachine.TestCase
