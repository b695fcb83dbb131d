"""Turns that were answered whole are not lost, even with all VMs."""

import dataclasses
from collections.abc import Callable
from typing import Any, cast
from unittest import mock

import gevent
import testtools
from gevent.queue import Empty, Queue

from bronzepost._internal.core.gateway.histories import Turn
from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.gateway.fleet import Fleet
from bronzepost._internal.gateway.messages import StoreTurn, TurnStored
from bronzepost._internal.gateway.peer_calls import PeerCalls
from bronzepost._internal.gateway.peer_reports import PeerReports
from bronzepost._internal.gateway.turn_copies import TurnCopies
from bronzepost._internal.gateway.turn_keeper import TurnKeeper
from bronzepost._internal.gateway.turn_writer import SECOND_WAY_SECONDS
from tests.builders_gateway import MemoryStore, make_turn_call

WAIT_SECONDS = 0.05
# Longer than a VM waits for the store and for copies on other VMs.
LONGER_THAN_A_COPY_SECONDS = 0.7
# Longer than any wait of the tests.
HANG_SECONDS = 10.0


@dataclasses.dataclass(kw_only=True)
class Vm:
    """One of several VMs whose keepers hand messages to each other.

    ``has_store`` stays true when the store refuses some partitions only.
    """

    name: str
    vms_by_name: dict[str, 'Vm']
    has_store: bool = True
    answers: Queue[Any] = dataclasses.field(default_factory=Queue)
    receivers: dict[type, Callable[[str, Any], None]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def own_name(self) -> str:
        """Return the name of the VM."""
        return self.name

    def subscribe(
        self, kind: type, receive: Callable[[str, Any], None]
    ) -> None:
        """Take the receiver of a kind of message."""
        self.receivers[kind] = receive

    def list_others(self) -> tuple[str, ...]:
        """Return the names of the other VMs."""
        return tuple(name for name in self.vms_by_name if name != self.name)

    def rank_homes(self, _key: str) -> tuple[str, ...]:
        """Return all VMs in the order of their names."""
        return tuple(sorted(self.vms_by_name))

    def send(self, name: str, message: Any) -> bool:
        """Hand a message to another VM, or keep an answer for it."""
        vm = self.vms_by_name[name]
        receive = vm.receivers.get(type(message))
        if receive is None:
            vm.answers.put(message)
        else:
            receive(self.name, message)
        return True

    def lacks_store(self, name: str) -> bool:
        """Return whether the store refuses a VM."""
        return not self.vms_by_name[name].has_store

    def ask(
        self,
        name: str,
        make_message: Callable[[int], Any],
        seconds: float = WAIT_SECONDS,
    ) -> Any:
        """Hand a message to another VM and return its answer."""
        self.send(name, make_message(1))
        try:
            return self.answers.get(timeout=seconds)
        except Empty:
            return None


class TestTurns(testtools.TestCase):
    """A turn that was answered whole is in the store."""

    def setUp(self) -> None:
        """Start three VMs and a store."""
        super().setUp()
        self.store = MemoryStore()
        self.vms_by_name: dict[str, Vm] = {}
        self.keepers = {name: self.start(name) for name in ('a', 'b', 'c')}

    def start(
        self, name: str, *, store: MemoryStore | None = None
    ) -> TurnKeeper:
        vm = Vm(
            name=name, vms_by_name=self.vms_by_name, has_store=store is None
        )
        self.vms_by_name[name] = vm
        return TurnKeeper(
            fleet=cast(Fleet, vm),
            reports=cast(PeerReports, vm),
            calls=cast(PeerCalls, vm),
            store=store or self.store,
        )

    def keep(self, name: str) -> Any:
        """Return the greenlet that keeps a turn; it ends with the test."""
        keeping = gevent.spawn(self.keepers[name].keep, self.make_turn(), 'p-1')
        self.addCleanup(keeping.kill)
        return keeping

    def make_turn(self) -> Turn:
        return Turn(
            turn_id='t', ancestors=(), prompt=b'ask', answer=b'x', ends_at=2e10
        )

    def find(self, name: str) -> tuple[str, ...]:
        call = make_turn_call(previous_turn='t')
        return self.keepers[name].find_chain(call)

    def test_turn_is_found_in_the_store(self) -> None:
        self.keepers['a'].keep(self.make_turn(), 'p-1')
        self.assertIn('t', self.store.list_keys('turns'))
        self.keepers['b'] = self.start('b')
        self.assertEqual(('t',), self.find('b'))

    def test_answer_ends_once_the_store_has_its_turn(self) -> None:
        """An answer ended with copies on other VMs, which may be lost too."""
        self.store.is_down = True
        keeping = self.keep('c')
        keeping.join(timeout=LONGER_THAN_A_COPY_SECONDS)
        self.assertFalse(keeping.ready())
        self.store.is_down = False
        keeping.get(timeout=LONGER_THAN_A_COPY_SECONDS)
        self.assertIn('t', self.store.list_keys('turns'))

    def test_next_home_has_a_copy_while_the_first_starts(self) -> None:
        """Each turn was read from the store after the home had restarted."""
        self.keepers['c'].keep(self.make_turn(), 'p-1')
        self.keepers['a'] = self.start('a')
        self.keepers['c'] = self.start('c')
        self.store.is_down = True
        call = make_turn_call(previous_turn='t')
        with mock.patch.object(TurnCopies, 'ask_all', return_value=[]):
            self.assertEqual(('t',), self.keepers['c'].find_chain(call))

    def test_vm_that_the_store_refuses_has_its_turn_written(self) -> None:
        """A turn waited for the store although it answered other VMs."""
        refused = self.store.make_view()
        refused.is_down = True
        self.keepers['c'] = self.start('c', store=refused)
        self.keep('c').get(timeout=LONGER_THAN_A_COPY_SECONDS)
        self.assertIn('t', self.store.list_keys('turns'))

    def test_turn_goes_to_another_partition(self) -> None:
        """A turn waited for its partition although the others answered."""
        self.store.partitions = 2
        for partition in range(2):
            self.store.down_partitions = {partition}
            self.keep('a').get(timeout=WAIT_SECONDS)
            self.keepers = {name: self.start(name) for name in self.keepers}
            self.assertEqual(('t',), self.find('a'))

    def test_lost_answers_are_covered_by_another_vm(self) -> None:
        """A turn waited for an answer of the store that never came."""
        lossy = self.store.make_view()
        lossy.loses_answers = True
        self.keepers['c'] = self.start('c', store=lossy)
        self.keep('c').get(timeout=LONGER_THAN_A_COPY_SECONDS)
        self.assertIn('t', self.store.list_keys('turns'))

    def test_turn_whose_answer_broke_off_is_not_continued_from(self) -> None:
        """A home had a copy of a turn whose answer never ended."""
        self.store.is_down = True
        keeping = self.keep('c')
        keeping.join(timeout=WAIT_SECONDS)
        keeping.kill()
        self.store.is_down = False
        self.assertRaises(RefusedError, self.find, 'b')

    def test_chain_is_kept_as_long_as_its_last_turn(self) -> None:
        """The first turns of a chain were removed before its last one."""
        first = dataclasses.replace(
            self.make_turn(), turn_id='first', ends_at=1
        )
        last = dataclasses.replace(self.make_turn(), ancestors=('first',))
        for turn in (first, last):
            self.keepers['a'].keep(turn, 'p-1')
        for name in ('a', 'b', 'c'):
            self.keepers[name].start()
        gevent.sleep(WAIT_SECONDS)
        self.assertEqual(('first', 't'), self.find('b'))

    def test_store_that_hangs_is_covered_by_another_vm(self) -> None:
        """A turn waited for an append that got no answer at all."""
        hanging = self.store.make_view()
        hanging.append_delay_seconds = HANG_SECONDS
        self.keepers['c'] = self.start('c', store=hanging)
        self.vms_by_name['c'].has_store = True
        self.keep('c').get(timeout=SECOND_WAY_SECONDS + WAIT_SECONDS * 4)
        self.assertIn('t', self.store.list_keys('turns'))

    def test_only_vm_writes_its_turn_again(self) -> None:
        """A turn that was refused once waited for other VMs alone."""
        for name in ('a', 'b'):
            self.vms_by_name.pop(name)
        self.store.is_down = True
        keeping = self.keep('c')
        keeping.join(timeout=WAIT_SECONDS)
        self.store.is_down = False
        keeping.get(timeout=LONGER_THAN_A_COPY_SECONDS)
        self.assertIn('t', self.store.list_keys('turns'))

    def test_turn_of_a_caller_that_left_is_not_written(self) -> None:
        """Greenlets went on to write turns that nobody waits for."""
        self.store.is_down = True
        keeping = self.keep('c')
        keeping.join(timeout=WAIT_SECONDS)
        keeping.kill()
        self.store.is_down = False
        gevent.sleep(LONGER_THAN_A_COPY_SECONDS)
        self.assertNotIn('t', self.store.list_keys('turns'))

    def test_refused_turn_is_written_elsewhere_at_once(self) -> None:
        """It waited as long as for a store that gives no answer."""
        refused = self.store.make_view()
        refused.is_down = True
        self.keepers['c'] = self.start('c', store=refused)
        self.keep('c').get(timeout=SECOND_WAY_SECONDS / 2)
        self.assertIn('t', self.store.list_keys('turns'))

    def test_turn_answered_in_an_outage_outlives_all_vms(self) -> None:
        """An answer ended while its turn was on other VMs only (inc1)."""
        self.store.is_down = True
        keeping = self.keep('a')
        keeping.join(timeout=LONGER_THAN_A_COPY_SECONDS)
        is_answered = keeping.successful()
        keeping.kill()
        for name in ('a', 'b', 'c'):
            self.keepers[name] = self.start(name)
        self.store.is_down = False
        is_kept = 't' in self.store.list_keys('turns')
        self.assertEqual(is_answered, is_kept)


class TestPeerAnswers(testtools.TestCase):
    """An answer belongs to the question that it names."""

    def test_answer_to_the_process_before_is_not_taken(self) -> None:
        """A process that had just started took it for its own turn's."""
        peer = Vm(name='a', vms_by_name={})
        vm = Vm(name='c', vms_by_name={'a': peer})
        before = PeerCalls(fleet=cast(Fleet, vm))
        before.ask('a', make_store_turn, WAIT_SECONDS)
        started = PeerCalls(fleet=cast(Fleet, vm))
        asking = gevent.spawn(started.ask, 'a', make_store_turn, WAIT_SECONDS)
        gevent.sleep(0)
        question = peer.answers.get()
        late = TurnStored(call_id=question.call_id, is_stored=True)
        vm.receivers[TurnStored]('a', late)
        self.assertIsNone(asking.get())


def make_store_turn(number: int) -> StoreTurn:
    """Return a question with its number."""
    return StoreTurn(call_id=number, content=b'')
