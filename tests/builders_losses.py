"""A simulation of several VMs that lose power together, and their store."""

import contextlib
import dataclasses
import itertools
from collections.abc import Callable, Sequence
from typing import Any, Final, cast

import gevent

from bronzepost._internal.core.gateway.entities import CallRequest
from bronzepost._internal.core.gateway.store_pace import Priority
from bronzepost._internal.exceptions import (
    AmbiguousAppendError,
    LogRefusedError,
    RefusedError,
)
from bronzepost._internal.gateway.callers.event_stream import EventSplitter
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.programs.budget_keeper import BudgetKeeper
from bronzepost._internal.gateway.programs.keyed_store import (
    KeyedPartition,
    KeyedRecord,
    KeyedStore,
)
from bronzepost._internal.gateway.programs.program_state import (
    OpenTurn,
    ProgramState,
)
from bronzepost._internal.gateway.programs.store_pace import StorePace
from bronzepost._internal.gateway.programs.turn_keeper import TurnKeeper
from bronzepost._internal.gateway.programs.voter_memory import (
    restore_memories,
)
from tests.builders_gateway import MemoryStore, make_route, make_turn_call

NAMES: Final = ('a', 'b', 'c')
PARTITIONS: Final = 2
# Times are about a tenth of the real ones, where a turn has a deadline of 3 s.
TURN_TIMEOUT_SECONDS: Final = 0.4
# Timeout of a call to the store; 1.5 s in the platform's client.
CALL_TIMEOUT_SECONDS: Final = 0.15
# Timeouts of the gateway by module and name, scaled in the same way.
TIMEOUTS: Final = (
    ('store_lane', 'SILENT_SECONDS', 0.06),
    ('turn_writer', 'STORE_CHECK_SECONDS', 0.03),
    ('turn_copies', 'PEER_READ_TIMEOUT_SECONDS', 0.05),
    ('turn_writer', 'RETRY_SECONDS', 0.01),
    ('turn_writer', 'PEER_PAUSE_SECONDS', 0.05),
    ('turn_writer', '_ANSWER_MARGIN_SECONDS', 0.005),
    ('store_lane', 'RETURN_SPREAD_SECONDS', 0.01),
    ('store_pace', 'FIRST_PAUSE_SECONDS', 0.01),
    ('store_pace', 'LONGEST_PAUSE_SECONDS', 0.05),
    ('store_queue', 'RETURN_CHECK_SECONDS', 0.005),
    ('store_queue', 'MIN_TIMER_SECONDS', 0.002),
    ('turn_writer', 'PEER_WRITE_TIMEOUT_SECONDS', 0.05),
    ('budget_keeper', 'RESERVE_TIMEOUT_SECONDS', 0.1),
    ('budget_keeper', 'DECISION_SECONDS', 0.08),
    ('grants', 'GRANT_TIMEOUT_SECONDS', 0.05),
)
TURN_TOKENS: Final = 100

# Outcomes of turns; the others are the codes of refusals. A turn is broken off
# at its deadline.
WHOLE: Final = 'whole'
BROKEN_OFF: Final = 'broken off'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreFailure:
    """How the store fails.

    All calls are refused if it ``is_down``, otherwise the calls of
    ``refused_vms`` and those to ``partitions_down``, each a topic and a number.
    Calls take ``call_delay_seconds``. ``unanswered_vms`` get no answer to their
    appends, which take effect ``append_delay_seconds`` later. If
    ``is_compacted``, only the newest record of each key survives a loss of all
    VMs.
    """

    is_down: bool = False
    refused_vms: frozenset[str] = frozenset()
    partitions_down: frozenset[tuple[str, int]] = frozenset()
    call_delay_seconds: float = 0
    unanswered_vms: frozenset[str] = frozenset()
    append_delay_seconds: float = 0
    is_compacted: bool = False


NO_FAILURE: Final = StoreFailure()


class CompactableStore(MemoryStore):
    """The store of all VMs, whose older records can be dropped."""

    def compact(self) -> None:
        """Drop all but the newest record of each key; end offsets stay."""
        dropped = KeyedRecord(key='', content=b'')
        for topic_partition, stored in self._records.items():
            newest = {rec.key: number for number, rec in enumerate(stored)}
            self._records[topic_partition] = [
                record if newest[record.key] == number else dropped
                for number, record in enumerate(stored)
            ]


@dataclasses.dataclass(kw_only=True)
class StoreClient:
    """The store as one VM sees it, with the current failure."""

    vm: 'Vm'

    @property
    def partitions(self) -> int:
        """Return the number of partitions of a topic."""
        return PARTITIONS

    def read_partition(self, topic: str, partition: int) -> KeyedPartition:
        """Return the newest record of each key."""
        self._call(topic, partition)
        return self.vm.world.store.read_partition(topic, partition)

    def find_record(
        self, topic: str, partition: int, key: str
    ) -> KeyedRecord | None:
        """Return the newest record of a key."""
        self._call(topic, partition)
        return self.vm.world.store.find_record(topic, partition, key)

    def append_keyed(
        self,
        topic: str,
        partition: int,
        records: Sequence[KeyedRecord],
        *,
        expected_end: int | None = None,
    ) -> int:
        """Append records; the answer may get lost."""
        self._call(topic, partition)
        world = self.vm.world
        failure = world.failure
        if self.vm.name not in failure.unanswered_vms:
            return world.store.append_keyed(
                topic, partition, records, expected_end=expected_end
            )
        gevent.spawn_later(
            failure.append_delay_seconds,
            _append_without_answer,
            world.store,
            (topic, partition, records),
            expected_end,
        )
        gevent.sleep(CALL_TIMEOUT_SECONDS)
        raise AmbiguousAppendError('no answer', step='append')

    def _call(self, topic: str, partition: int) -> None:
        failure = self.vm.world.failure
        is_refused = failure.is_down or self.vm.name in failure.refused_vms
        if is_refused or (topic, partition) in failure.partitions_down:
            raise LogRefusedError(
                'down', step='call', peer='', retry_after_seconds=1
            )
        gevent.sleep(failure.call_delay_seconds)
        self.vm.stop_if_lost()


def _append_without_answer(
    store: CompactableStore,
    append: tuple[str, int, Any],
    expected_end: int | None,
) -> None:
    topic, partition, records = append
    stored = store.read_partition(topic, partition)
    if expected_end in {None, stored.end_offset}:
        store.append_keyed(topic, partition, records)


class Vm:
    """The parts of the gateway that keep program state, on one VM."""

    def __init__(self, *, name: str, world: 'World') -> None:
        """Start with nothing in memory."""
        self.name = name
        self.world = world
        self.own_name = name
        self.own_boot = f'{name}-{next(world.boots)}'
        self.is_lost = False
        self._receivers: dict[type, Callable[[str, Any], None]] = {}
        parts: dict[str, Any] = {
            'fleet': cast(Fleet, self),
            'reports': cast(PeerReports, self),
            'calls': PeerCalls(fleet=cast(Fleet, self)),
        }
        store = cast(KeyedStore, StoreClient(vm=self))
        pace = StorePace(
            fleet=cast(Fleet, self), reports=cast(PeerReports, self)
        )
        self.turns = TurnKeeper(**parts, store=store, pace=pace)
        self.budgets = BudgetKeeper(
            **parts, store=pace.open_store(store, Priority.BUDGET)
        )
        self.programs = ProgramState(budgets=self.budgets, turns=self.turns)

    @property
    def age_seconds(self) -> float:
        """Return the uptime of the oldest VM."""
        return self.world.age_seconds

    @property
    def has_store(self) -> bool:
        """Return whether the store answers this VM."""
        failure = self.world.failure
        return not (failure.is_down or self.name in failure.refused_vms)

    @property
    def store_available_seconds(self) -> float:
        """Return the seconds for which the store has answered this VM."""
        return self.world.store_available_seconds if self.has_store else 0

    def stop_if_lost(self) -> None:
        """End the running greenlet if the VM has lost power."""
        if self.is_lost:
            raise gevent.GreenletExit

    def subscribe(
        self, kind: type, receive: Callable[[str, Any], None]
    ) -> None:
        """Register the receiver of a type of message."""
        self._receivers[kind] = receive

    def send(self, name: str, message: Any) -> bool:
        """Deliver a message to another VM."""
        self.stop_if_lost()
        self.world.vms_by_name[name].receive(self.name, message)
        return True

    def receive(self, sender: str, message: Any) -> None:
        """Receive a message of another VM."""
        self._receivers[type(message)](sender, message)

    def list_serving_peers(self) -> tuple[str, ...]:
        """Return the names of the other VMs."""
        return tuple(name for name in self.world.order if name != self.name)

    def rank_homes(self, _key: str) -> tuple[str, ...]:
        """Return the order of homes that the test has set."""
        return self.world.order

    @property
    def voters(self) -> 'Vm':
        """Return what lists the members that vote."""
        return self

    def list_names(self, key: str) -> tuple[str, ...]:
        """Return all VMs, of which none was lost alone."""
        return self.rank_homes(key)

    @property
    def boots(self) -> 'Vm':
        """Return what tells which processes run."""
        return self

    def is_running(self, boot: str) -> bool:
        """Return whether a process of a boot name is the latest of its VM."""
        return boot in {vm.own_boot for vm in self.world.vms_by_name.values()}

    def find_home(self, _key: str) -> str:
        """Return the first VM in the order that the store answers."""
        return self.sort_by_store_access(self.world.order)[0]

    def sort_by_store_access(self, names: Sequence[str]) -> list[str]:
        """Return the VMs, with those that the store refuses last."""
        return sorted(names, key=self.lacks_store)

    def lacks_store(self, name: str) -> bool:
        """Return whether the store refuses a VM."""
        return not self.world.vms_by_name[name].has_store

    def mark_silent(self, _name: str) -> None:
        """Ignore silent VMs; the test sets the order."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ending:
    """The outcome of a turn for its caller, and the prompt that ran, if any."""

    outcome: str
    prompt: bytes = b''


class World:
    """Three VMs and their store, which run the turns of a test."""

    def __init__(self) -> None:
        """Start with VMs that have run for a minute, and the store up."""
        self.store = CompactableStore(partitions=PARTITIONS)
        self.failure = NO_FAILURE
        self.order: tuple[str, ...] = NAMES
        self.age_seconds: float = 60
        self.store_available_seconds: float = 60
        self.boots = itertools.count(1)
        self.vms_by_name = {name: Vm(name=name, world=self) for name in NAMES}
        for vm in self.vms_by_name.values():
            for home in vm.budgets._homes:
                home.memory.is_whole = True

    def lose_all_vms(self, *, failure: StoreFailure = NO_FAILURE) -> None:
        """Restart all VMs with empty memory, under a failure of the store."""
        for vm in self.vms_by_name.values():
            vm.is_lost = True
        if self.failure.is_compacted:
            self.store.compact()
        self.vms_by_name = {name: Vm(name=name, world=self) for name in NAMES}
        self.failure = failure
        self.age_seconds = 1
        self.store_available_seconds = 0.5

    def run_turn(
        self, name: str, call: CallRequest, **route_changes: Any
    ) -> Ending:
        """Run a turn on a VM as the forwarder does, within its deadline."""
        for vm in self.vms_by_name.values():
            restore_memories([home.memory for home in vm.budgets._homes])
        programs = self.vms_by_name[name].programs
        route = make_route(**{'keeps_history': True, **route_changes})
        prompts: list[bytes] = []
        try:
            with gevent.Timeout(TURN_TIMEOUT_SECONDS):
                turn = programs.open_turn(call, route, prompt_of(call))
                prompts.append(turn.prompt)
                turn = programs.begin_turn(turn)
                return self._save(programs, turn, route)
        except gevent.Timeout:
            return Ending(outcome=BROKEN_OFF, prompt=b''.join(prompts))
        except RefusedError as error:
            return Ending(outcome=error.code)

    def _save(
        self, programs: ProgramState, turn: OpenTurn, route: Any
    ) -> Ending:
        events = EventSplitter()
        events.feed(b'data: %b\n\n' % answer_of(turn.call).strip())
        with contextlib.ExitStack() as stack:
            stack.callback(
                programs.close_turn, turn, turn.call.max_output_tokens, ''
            )
            programs.save_turn(turn, route, prompt_of(turn.call), events)
        return Ending(outcome=WHOLE, prompt=turn.prompt)


def make_call(turn_id: str, **changes: Any) -> CallRequest:
    """Return the call of a turn with an id and ``TURN_TOKENS``."""
    return make_turn_call(**{
        'request_id': turn_id,
        'max_output_tokens': TURN_TOKENS,
        **changes,
    })


def prompt_of(call: CallRequest) -> bytes:
    """Return the caller's part of the prompt of a turn."""
    return f'ask {call.request_id};'.encode()


def answer_of(call: CallRequest) -> bytes:
    """Return the answer of the engine to a turn."""
    return f'answer {call.request_id}\n'.encode()


def build_full_prompt(*turn_ids: str) -> bytes:
    """Return the full prompt of the last of consecutive turns."""
    calls = [make_call(turn_id) for turn_id in turn_ids]
    history = b''.join(prompt_of(call) + answer_of(call) for call in calls[:-1])
    return history + prompt_of(calls[-1])
