"""Turns with complete answers survive the loss of all VMs."""

import dataclasses
import functools
from collections.abc import Callable
from typing import Any, cast
from unittest import mock

import gevent
import testtools
from gevent.queue import Empty, Queue

from bronzepost._internal.core.gateway.histories import Turn
from bronzepost._internal.exceptions import RefusedError
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import StoreTurn, TurnStored
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.programs.store_lane import SILENT_SECONDS
from bronzepost._internal.gateway.programs.turn_copies import TurnCopies
from bronzepost._internal.gateway.programs.turn_keeper import TurnKeeper
from bronzepost._internal.gateway.programs.turn_store import TurnStore
from tests.builders_gateway import MemoryStore, make_turn_call

WAIT_SECONDS = 0.05
# Longer than a VM waits before it asks a peer to write a turn, and for that.
STORE_OR_PEER_SECONDS = 0.7
# Longer than any timeout of the tests.
HANG_SECONDS = 10.0
# The end of the last turn's retention, a Unix time.
LAST_END = 2e10
# A program that pauses this long between two turns may return after each of them.
EARLIER = 28.0


@dataclasses.dataclass(kw_only=True)
class Vm:
    """One of several VMs whose turn keepers pass messages to each other.

    It is their fleet, their reports and their calls at once. ``has_store``
    stays true when the store refuses some partitions only.
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
        self, message_type: type, receive: Callable[[str, Any], None]
    ) -> None:
        """Register the receiver of a type of messages."""
        self.receivers[message_type] = receive

    def list_serving_peers(self) -> tuple[str, ...]:
        """Return the names of the other VMs."""
        return tuple(name for name in self.vms_by_name if name != self.name)

    def rank_homes(self, _key: str) -> tuple[str, ...]:
        """Return all VMs in the order of their names."""
        return tuple(sorted(self.vms_by_name))

    def send(self, name: str, message: Any) -> bool:
        """Pass a message to another VM, or queue an answer for it."""
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
        make_request: Callable[[int], Any],
        timeout_seconds: float = WAIT_SECONDS,
    ) -> Any:
        """Pass a request to another VM and return its answer."""
        self.send(name, make_request(1))
        try:
            return self.answers.get(timeout=timeout_seconds)
        except Empty:
            return None


class TurnsCase(testtools.TestCase):
    """Three VMs that keep turns in one store."""

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
        """Return a greenlet that keeps a turn; it is killed after the test."""
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


class TestTurns(TurnsCase):
    """A turn with a complete answer is in the store."""

    def test_turn_is_found_in_the_store(self) -> None:
        self.keepers['a'].keep(self.make_turn(), 'p-1')
        self.assertIn('t', self.store.list_keys('turns'))
        self.keepers['b'] = self.start('b')
        self.assertEqual(('t',), self.find('b'))

    def test_answer_ends_once_the_store_has_its_turn(self) -> None:
        """Copies on other VMs are not enough, since all VMs may be lost."""
        self.store.is_down = True
        keeping = self.keep('c')
        keeping.join(timeout=STORE_OR_PEER_SECONDS)
        self.assertFalse(keeping.ready())
        self.store.is_down = False
        keeping.get(timeout=STORE_OR_PEER_SECONDS)
        self.assertIn('t', self.store.list_keys('turns'))

    def test_next_home_has_a_copy_while_the_first_starts(self) -> None:
        """Without it, turns are read from the store after a home restarts."""
        self.keepers['c'].keep(self.make_turn(), 'p-1')
        self.keepers['a'] = self.start('a')
        self.keepers['c'] = self.start('c')
        self.store.is_down = True
        call = make_turn_call(previous_turn='t')
        with mock.patch.object(TurnCopies, 'fetch_from_peers', return_value=[]):
            self.assertEqual(('t',), self.keepers['c'].find_chain(call))

    def test_peer_writes_the_turn_of_a_vm_that_the_store_refuses(self) -> None:
        """The turn must not wait while the store answers other VMs."""
        refused = self.store.make_view()
        refused.is_down = True
        self.keepers['c'] = self.start('c', store=refused)
        self.keep('c').get(timeout=STORE_OR_PEER_SECONDS)
        self.assertIn('t', self.store.list_keys('turns'))

    def test_turn_is_written_to_its_other_partition(self) -> None:
        """The turn must not wait for a partition that is down alone."""
        self.store.partitions = 2
        for partition in range(2):
            self.store.down_partitions = {partition}
            self.keep('a').get(timeout=WAIT_SECONDS)
            self.keepers = {name: self.start(name) for name in self.keepers}
            self.assertEqual(('t',), self.find('a'))

    def test_turn_is_stored_although_the_answers_of_the_store_are_lost(
        self,
    ) -> None:
        """The turn must not wait for an answer that never arrives."""
        lossy = self.store.make_view()
        lossy.loses_answers = True
        self.keepers['c'] = self.start('c', store=lossy)
        self.keep('c').get(timeout=STORE_OR_PEER_SECONDS)
        self.assertIn('t', self.store.list_keys('turns'))

    def test_turn_whose_answer_broke_off_is_not_continued_from(self) -> None:
        """A home must not have a copy of a turn whose answer did not end."""
        self.store.is_down = True
        keeping = self.keep('c')
        keeping.join(timeout=WAIT_SECONDS)
        keeping.kill()
        self.store.is_down = False
        self.assertRaises(RefusedError, self.find, 'b')

    def test_chain_is_kept_as_long_as_its_last_turn(self) -> None:
        """A chain without its first turns cannot be continued."""
        first = dataclasses.replace(
            self.make_turn(), turn_id='first', ends_at=1
        )
        last = dataclasses.replace(self.make_turn(), ancestors=('first',))
        self.keepers['a'].keep(first, 'p-1')
        self.keepers['a'].keep(last, 'p-1', chain=(first,))
        for name in ('a', 'b', 'c'):
            self.keepers[name].start()
        gevent.sleep(WAIT_SECONDS)
        self.assertEqual(('first', 't'), self.find('b'))

    def test_swept_chain_lasts_until_the_retention_of_its_last_turn(
        self,
    ) -> None:
        """Earlier turns were swept up to 20 s before the last one's end."""
        first = dataclasses.replace(
            self.make_turn(), turn_id='first', ends_at=LAST_END - EARLIER
        )
        self.keepers['a'].keep(first, 'p-1')
        self.keepers['a'].keep(self.make_last_turn(), 'p-1', chain=(first,))
        self.assertEqual(('first', 't'), self.find_when_it_ends())

    def test_chain_is_renewed_before_the_answer_ends(self) -> None:
        """A VM killed after the answer never renewed the chain."""
        first = dataclasses.replace(
            self.make_turn(), turn_id='first', ends_at=LAST_END / 2
        )
        own_store = self.store.make_view()
        self.keepers['a'] = self.start('a', store=own_store)
        self.vms_by_name['a'].has_store = True
        self.keepers['a'].keep(first, 'p-1')
        self.keepers['a'].keep(self.make_last_turn(), 'p-1', chain=(first,))
        # What the VM still does reaches neither the store nor other VMs.
        own_store.is_down = True
        self.vms_by_name['a'].vms_by_name = {}
        self.assertEqual(('first', 't'), self.find_when_it_ends())

    def test_chain_of_a_turn_that_outlasts_it_is_stored_again(self) -> None:
        """A chain that expired while a long turn ran was not renewed."""
        first = dataclasses.replace(
            self.make_turn(), turn_id='first', ends_at=1
        )
        self.keepers['b'].keep(self.make_last_turn(), 'p-1', chain=(first,))
        self.assertEqual(('first', 't'), self.find_when_it_ends())

    def test_older_record_is_not_taken_for_a_renewal(self) -> None:
        """An unanswered renewal counted as stored by the record before it."""
        self.keepers['a'].keep(self.make_turn(), 'p-1')
        self.store.append_delay_seconds = HANG_SECONDS
        renewed = dataclasses.replace(self.make_turn(), ends_at=3e10)
        keeping = gevent.spawn(self.keepers['a'].keep, renewed, 'p-1')
        self.addCleanup(keeping.kill)
        gevent.sleep(SILENT_SECONDS + STORE_OR_PEER_SECONDS)
        self.assertFalse(keeping.ready())

    def make_last_turn(self) -> Turn:
        return dataclasses.replace(
            self.make_turn(), ancestors=('first',), ends_at=LAST_END
        )

    def find_when_it_ends(self) -> tuple[str, ...]:
        """Return the chain of the last turn, as a VM finds it after a sweep.

        All VMs that had copies are gone.
        """
        TurnStore(store=self.store).sweep(0, oldest=LAST_END)
        self.vms_by_name.clear()
        self.keepers['d'] = self.start('d')
        return self.find('d')

    def test_peer_writes_a_turn_while_the_store_hangs(self) -> None:
        """The turn must not wait for an append that gets no answer."""
        hanging = self.store.make_view()
        hanging.append_delay_seconds = HANG_SECONDS
        self.keepers['c'] = self.start('c', store=hanging)
        self.vms_by_name['c'].has_store = True
        self.keep('c').get(timeout=SILENT_SECONDS + WAIT_SECONDS * 4)
        self.assertIn('t', self.store.list_keys('turns'))

    def test_vm_without_peers_retries_the_write_of_a_refused_turn(
        self,
    ) -> None:
        """After a refusal the turn must not depend on peers alone."""
        for name in ('a', 'b'):
            self.vms_by_name.pop(name)
        self.store.is_down = True
        keeping = self.keep('c')
        keeping.join(timeout=WAIT_SECONDS)
        self.store.is_down = False
        keeping.get(timeout=STORE_OR_PEER_SECONDS)
        self.assertIn('t', self.store.list_keys('turns'))

    def test_turn_of_a_caller_that_left_is_not_written(self) -> None:
        """The greenlets that write a turn end with the wait for it."""
        self.store.is_down = True
        keeping = self.keep('c')
        keeping.join(timeout=WAIT_SECONDS)
        keeping.kill()
        self.store.is_down = False
        gevent.sleep(STORE_OR_PEER_SECONDS)
        self.assertNotIn('t', self.store.list_keys('turns'))

    def test_peer_is_asked_to_write_a_refused_turn_at_once(self) -> None:
        """Only a store that does not answer is waited for."""
        refused = self.store.make_view()
        refused.is_down = True
        self.keepers['c'] = self.start('c', store=refused)
        self.keep('c').get(timeout=SILENT_SECONDS / 2)
        self.assertIn('t', self.store.list_keys('turns'))

    def test_turn_answered_in_an_outage_outlives_all_vms(self) -> None:
        """An answer once ended with its turn only on other VMs (inc1)."""
        self.store.is_down = True
        keeping = self.keep('a')
        keeping.join(timeout=STORE_OR_PEER_SECONDS)
        is_answered = keeping.successful()
        keeping.kill()
        for name in ('a', 'b', 'c'):
            self.keepers[name] = self.start(name)
        self.store.is_down = False
        is_kept = 't' in self.store.list_keys('turns')
        self.assertEqual(is_answered, is_kept)


class TestCrowds(TurnsCase):
    """Turns that wait together, on a VM that the store refuses."""

    def setUp(self) -> None:
        """Count the messages and the calls of a VM that is refused."""
        super().setUp()
        self.refused = self.store.make_view()
        self.refused.is_down = True
        self.keepers['c'] = self.start('c', store=self.refused)
        self.messages: list[tuple[str, Any]] = []
        self.send = self.vms_by_name['c'].send
        self.vms_by_name['c'].send = self.record  # type: ignore[method-assign]

    def record(self, name: str, message: Any) -> bool:
        """Send a message and record it if it asks for writes."""
        if isinstance(message, StoreTurn):
            self.messages.append((name, message))
        return self.send(name, message)

    def keep_crowd(self, count: int) -> list[Any]:
        """Return greenlets that keep so many turns."""
        turns = [
            dataclasses.replace(self.make_turn(), turn_id=f't{number}')
            for number in range(count)
        ]
        keeping = [
            gevent.spawn(self.keepers['c'].keep, turn, 'p-1') for turn in turns
        ]
        self.addCleanup(gevent.killall, keeping)
        return keeping

    def test_crowd_goes_to_a_peer_in_few_messages(self) -> None:
        """Each turn once asked a peer by itself, ten times a second."""
        gevent.joinall(self.keep_crowd(8), timeout=STORE_OR_PEER_SECONDS)
        stored = self.store.list_keys('turns')
        self.assertEqual({f't{number}' for number in range(8)}, stored)
        self.assertTrue(len(self.messages) <= 3)

    def test_peers_that_store_nothing_are_not_asked_again_at_once(
        self,
    ) -> None:
        """Guards against messages of a whole fleet in an outage."""
        self.store.is_down = True
        gevent.joinall(self.keep_crowd(8), timeout=SILENT_SECONDS / 2)
        names = [name for name, _ in self.messages]
        self.assertEqual(sorted(set(names)), sorted(names))

    def test_refused_crowd_makes_few_calls(self) -> None:
        """Each turn once made ten appends a second."""
        self.store.is_down = True
        self.vms_by_name = {'c': self.vms_by_name['c']}
        calls = mock.Mock(wraps=self.refused, partitions=12)
        self.keepers['c'] = self.start('c', store=calls)
        gevent.joinall(self.keep_crowd(20), timeout=SILENT_SECONDS)
        self.assertTrue(calls.append_keyed.call_count <= 24 + 6)
        self.assertEqual(0, calls.find_record.call_count)

    def test_answer_of_an_earlier_build_is_for_the_first_turn(self) -> None:
        """Such a build ignores the other turns of the message."""
        crowd = self.keep_crowd(2)
        for name in ('a', 'b'):
            peer = self.vms_by_name[name]
            peer.receivers[StoreTurn] = functools.partial(
                self.answer_as_earlier_build, peer
            )
        gevent.joinall(crowd, timeout=STORE_OR_PEER_SECONDS)
        self.assertEqual([True, True], [each.successful() for each in crowd])
        contents = {message.content for _, message in self.messages}
        self.assertEqual(2, len(contents))

    def answer_as_earlier_build(
        self, peer: Vm, sender: str, message: StoreTurn
    ) -> None:
        """Confirm the first turn only."""
        peer.send(sender, TurnStored(call_id=message.call_id, is_stored=True))


class TestPeerAnswers(testtools.TestCase):
    """Answers are matched to requests by call id."""

    def test_answer_to_the_previous_process_is_ignored(self) -> None:
        """A restarted process once took such an answer for its own turn."""
        peer = Vm(name='a', vms_by_name={})
        vm = Vm(name='c', vms_by_name={'a': peer})
        previous = PeerCalls(fleet=cast(Fleet, vm))
        previous.ask('a', make_store_turn, WAIT_SECONDS)
        restarted = PeerCalls(fleet=cast(Fleet, vm))
        asking = gevent.spawn(restarted.ask, 'a', make_store_turn, WAIT_SECONDS)
        gevent.sleep(0)
        request = peer.answers.get()
        late = TurnStored(call_id=request.call_id, is_stored=True)
        vm.receivers[TurnStored]('a', late)
        self.assertIsNone(asking.get())


def make_store_turn(call_id: int) -> StoreTurn:
    """Return a request to store a turn without content."""
    return StoreTurn(call_id=call_id, content=b'')
