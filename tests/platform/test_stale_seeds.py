"""VMs whose settings name seeds that are gone, as processes."""

from typing import Final

import gevent
import testtools

from tests.builders_gateway_servers import ScriptedServer
from tests.platform.builders_platform import make_configuration, make_entry
from tests.platform.gateway_vm import Vm
from tests.platform.standin_store import StandinStore
from tests.platform.test_serving import answer_turn

# No VM of these tests runs there.
GONE: Final = (91, 92)
# Seeds count as VMs for 5 s after the start, and the list is read once a second.
SERVED_SECONDS: Final = 10.0
# A turn of 50 tokens fits twice.
BUDGET: Final = 100
TURNS: Final = 2


class StaleSeedTests(testtools.TestCase):
    """Guards against a VM that stays alone and takes itself for the fleet."""

    def setUp(self) -> None:
        """Start the store and an engine."""
        super().setUp()
        self.store = StandinStore()
        self.addCleanup(self.store.close)
        engine = ScriptedServer(script=answer_turn)
        self.addCleanup(engine.close)
        self.store.put(
            'keyed.servers', 'i-1', make_entry(address=engine.address)
        )
        self.store.put('keyed.op', 'config', make_configuration())

    def start_vm(self, number: int, *seeds: int) -> Vm:
        """Start a VM with the numbers of its seeds."""
        vm = Vm(test=self, number=number, store=self.store.address, seeds=seeds)
        vm.wait_until_ready()
        return vm

    def test_vm_with_stale_seeds_finds_the_others(self) -> None:
        """The VM stayed alone for good, and the others did not learn of it."""
        old = [self.start_vm(number, 21, 22) for number in (21, 22)]
        added = self.start_vm(23, *GONE)
        for vm in (*old, added):
            vm.wait_for_vms(3)

    def test_two_vms_with_stale_seeds_find_the_others(self) -> None:
        """Two VMs that had found each other took themselves for all."""
        old = self.start_vm(21, 21, 22)
        added = [self.start_vm(number, 23, 24) for number in (23, 24)]
        for vm in (old, *added):
            vm.wait_for_vms(3)

    def test_changed_seeds_are_used_without_a_signal(self) -> None:
        """The seeds of the start were tried for ever."""
        self.store.refused_topics.add('keyed.members')
        old = self.start_vm(21, 21, 22)
        added = self.start_vm(23, *GONE)
        added.write_seeds(21, 22)
        for vm in (old, added):
            vm.wait_for_vms(2)

    def test_only_vm_grants_the_whole_budget(self) -> None:
        """Guard against a fleet of one that waits for seeds that are gone."""
        vm = self.start_vm(21, *GONE)
        served = 0
        with gevent.Timeout(SERVED_SECONDS):
            while served < TURNS:
                answer = vm.send_turn(
                    f'turn-{served}',
                    'Program-Id: p',
                    f'Token-Budget: {BUDGET}',
                )
                assert answer.head is not None
                served += answer.head.status == 200
