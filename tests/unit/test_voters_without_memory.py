"""VMs that have started lately do not decide on the pool of a budget.

Where a test's doc comment is in the past tense, it is the failure that the test
guards against.
"""

import testtools
from testtools.matchers import GreaterThan, LessThan

from bronzepost._internal.gateway.programs.allowance_writer import (
    TOPIC,
    decode_account,
)
from bronzepost._internal.gateway.programs.voter_memory import (
    STORE_RECOVERY_SECONDS,
)
from tests.builders_gateway import MemoryStore
from tests.builders_homes import LOOP_BUDGET, PROGRAM, TOKENS, Network

NAMES = tuple('abcdefghij')
# Most of the ten VMs.
KILLED = tuple('abcdef')


class TestVotersWithoutMemory(testtools.TestCase):
    """Guards against majorities that share only VMs that have forgotten."""

    def setUp(self) -> None:
        """Start ten VMs; a program has used what the store alone grants."""
        super().setUp()
        self.store = MemoryStore()
        self.network = Network(store=self.store, order=NAMES)
        for name in NAMES:
            self.network.add(name)
        self.spent = self.network.spend('a', turns=LOOP_BUDGET // TOKENS // 2)

    def kill(self, *names: str) -> None:
        """Restart VMs with empty memory."""
        for name in names:
            self.network.add(name)

    def return_store(self, *, seconds: float) -> None:
        """Let the store answer for some seconds; VMs flush and read."""
        self.store.is_down = False
        self.network.store_available_seconds = seconds
        for home in self.network.homes_by_name.values():
            home.writer.flush()
        for home in self.network.homes_by_name.values():
            home.memory.restore()

    def list_stored_claims(self) -> dict[str, int]:
        """Return the claims of the program that the store has by VM."""
        records = self.store.read_partition(TOPIC, 0).records
        found = [decode_account(record) for record in records]
        return {
            holder.partition('-')[0]: tokens
            for account in found
            if account is not None and account.program_id == PROGRAM
            for holder, tokens in account.claimed_by_holder.items()
        }

    def assert_within_budget(self) -> None:
        self.assertThat(self.spent, LessThan(LOOP_BUDGET + TOKENS + 1))

    def test_most_vms_restart_in_an_outage(self) -> None:
        """Restarted VMs were a majority that granted the pool once more."""
        self.store.is_down = True
        self.spent += self.network.spend('a')
        self.assertEqual(LOOP_BUDGET, self.spent)
        self.kill(*KILLED)
        self.return_store(seconds=0.5)
        self.spent += self.network.spend('b', is_first=False)
        self.assert_within_budget()

    def test_vms_restart_one_after_the_other(self) -> None:
        """Each home of a rolling restart in an outage granted the pool."""
        self.store.is_down = True
        for name in KILLED:
            self.network.order = (name, *sorted(set(NAMES) - {name}))
            self.spent += self.network.spend(name, is_first=False)
            self.kill(name)
        self.return_store(seconds=0.5)
        self.spent += self.network.spend('b', is_first=False)
        self.assert_within_budget()

    def test_restarted_vms_read_what_was_granted(self) -> None:
        """Restarted VMs voted before the store had the grants of killed ones."""
        self.store.is_down = True
        self.spent += self.network.spend('a')
        self.kill(*KILLED)
        self.return_store(seconds=STORE_RECOVERY_SECONDS)
        self.spent += self.network.spend('b', is_first=False)
        self.assert_within_budget()

    def test_claim_of_a_lost_home_is_written_once(self) -> None:
        """Only memories of other VMs had the claims of a home that was killed."""
        self.store.is_down = True
        self.network.spend('a')
        self.kill('a')
        self.return_store(seconds=0.5)
        self.assertIn('a', self.list_stored_claims())
        appends = self.store.appends
        self.return_store(seconds=0.5)
        self.assertEqual(appends, self.store.appends)

    def test_view_of_a_restarted_home_is_too_small(self) -> None:
        """A home that had found half of the VMs took them for all."""
        self.store.is_down = True
        self.spent += self.network.spend('a')
        self.kill('a')
        self.network.met_by_name['a'] = tuple('aghij')
        self.network.homes_by_name['a'].memory.is_whole = True
        self.assertEqual(0, self.network.spend('a', program_id='p-2'))

    def test_vms_that_remember_grant_the_pool(self) -> None:
        """Guard against a budget that nobody can use after a restart."""
        self.kill(*KILLED)
        self.return_store(seconds=STORE_RECOVERY_SECONDS)
        self.store.is_down = True
        self.assertThat(
            self.network.spend('b', program_id='p-2'), GreaterThan(0)
        )

    def test_most_vms_remember_in_an_outage(self) -> None:
        """Guard against an outage in which one restart stops all programs."""
        self.store.is_down = True
        self.kill('b')
        self.assertThat(self.network.spend('a'), GreaterThan(0))

    def test_failed_claim_of_a_lone_home_leaves_no_copies(self) -> None:
        """The next home was refused, as others had a claim that had failed."""
        self.kill(*NAMES)
        self.store.is_down = True
        self.network.met_by_name['a'] = tuple('abc')
        self.network.spend('a', turns=1, program_id='p-2')
        self.store.is_down = False
        self.assertEqual(LOOP_BUDGET, self.network.spend('d', program_id='p-2'))
