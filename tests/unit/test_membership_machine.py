"""Stateful tests of the membership protocol under random faults."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from bronzepost._internal.core import membership
from tests.builders_membership import Network

NAMES = 'abcde'
SEEDS = ('a', 'b')
RANKS = ('alive', 'suspected', 'leaving', 'dead')

any_name = st.sampled_from(NAMES)


class MembershipMachine(RuleBasedStateMachine):
    """Members are killed, paused, restarted and partitioned."""

    def __init__(self) -> None:
        """Start without members."""
        super().__init__()
        self.network = Network()
        self.leaving: set[str] = set()
        self.highest_by_view: dict[tuple[str, int, str], tuple[int, int]] = {}

    @initialize()
    def start_all(self) -> None:
        """Boot all members."""
        for name in NAMES:
            self.network.start(name, seeds=SEEDS)
        self.network.run(seconds=2)

    @rule(seconds=st.sampled_from((0.1, 0.5, 1.5, 5)))
    def run(self, seconds: float) -> None:
        """Advance the clock."""
        self.network.run(seconds=seconds)

    @rule(
        loss=st.sampled_from((0, 0.1, 0.4)),
        duplication=st.sampled_from((0, 0.3)),
        delay_seconds=st.sampled_from((0.01, 0.2, 0.8)),
    )
    def disturb(
        self, loss: float, duplication: float, delay_seconds: float
    ) -> None:
        """Change loss, duplication and delay of the network."""
        self.network.loss = loss
        self.network.duplication = duplication
        self.network.delay_seconds = delay_seconds

    @rule(name=any_name)
    def pause(self, name: str) -> None:
        """Pause a member; its messages are buffered."""
        self.network.paused.add(name)

    @rule()
    def resume(self) -> None:
        """Resume all paused members."""
        self.network.paused.clear()

    @rule(name=any_name)
    def kill(self, name: str) -> None:
        """Kill a member."""
        self.network.stop(name)
        self.leaving.discard(name)

    @rule(name=any_name)
    def restart(self, name: str) -> None:
        """Boot a member; a running one is killed first."""
        self.network.start(name, seeds=SEEDS)
        self.leaving.discard(name)

    @rule(name=any_name)
    def leave(self, name: str) -> None:
        """Begin a graceful shutdown."""
        if name in self.network.tables_by_name:
            self.network.leave(name)
            self.leaving.add(name)

    @rule(name=any_name, group=st.sampled_from((0, 1)))
    def cut(self, name: str, group: int) -> None:
        """Move a member to one side of a network partition."""
        self.network.partition_by_name[name] = group

    @invariant()
    def entries_never_lose_precedence(self) -> None:
        """An entry only gains precedence: leaving never becomes alive."""
        for viewer, tables in self.network.tables_by_name.items():
            boot = self.network.boot_by_name[viewer]
            for name, member in tables.members_by_name.items():
                key = (viewer, boot, name)
                order = (member.incarnation, RANKS.index(member.state))
                assert order >= self.highest_by_view.get(key, (0, 0))
                self.highest_by_view[key] = order

    @invariant()
    def running_member_is_alive_or_leaving_to_itself(self) -> None:
        """A running member is alive or leaving in its own view."""
        for name in self.network.tables_by_name:
            expected = 'leaving' if name in self.leaving else 'alive'
            assert self.network.state(name, name) == expected

    def teardown(self) -> None:
        """Check that all views are correct once the faults have ended."""
        self.disturb(loss=0, duplication=0, delay_seconds=0.01)
        self.network.partition_by_name.clear()
        self.network.paused.clear()
        for seed in SEEDS:
            if seed not in self.network.tables_by_name:
                self.restart(seed)
        self.network.run(seconds=60)
        for name in NAMES:
            assert self.network.states(name) <= self._expected(name)
        self._check_digests()

    def _expected(self, name: str) -> set[str]:
        if name not in self.network.tables_by_name:
            return {'dead', 'unknown'}
        return {'leaving' if name in self.leaving else 'alive'}

    def _check_digests(self) -> None:
        views = {
            tuple(
                (member.name, member.incarnation)
                for member in membership.live_members(tables)
            )
            for tables in self.network.tables_by_name.values()
        }
        assert len(views) == 1


MembershipMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=25,
    database=None,
)
MembershipMachineTest = MembershipMachine.TestCase
