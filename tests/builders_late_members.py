"""VMs that start at once, find each other late, and share a slow store.

Times are virtual and in seconds.
"""

import contextlib
import dataclasses
import itertools
import random
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Final, cast

import gevent
import structlog

from bronzepost._internal.core.gateway.entities import CallRequest
from bronzepost._internal.core.gateway.program_account import ProgramAccount
from bronzepost._internal.core.gateway.store_pace import Priority
from bronzepost._internal.exceptions import (
    RefusedError,
)
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.programs.allowance_writer import (
    TOPIC,
    decode_account,
    encode_account,
)
from bronzepost._internal.gateway.programs.budget_keeper import BudgetKeeper
from bronzepost._internal.gateway.programs.keyed_store import (
    KeyedRecord,
    KeyedStore,
)
from bronzepost._internal.gateway.programs.store_pace import StorePace
from tests.builders_gateway import make_turn_call
from tests.builders_slow_store import Cut, SharedStore, SlowStore
from tests.builders_virtual_time import VirtualLoop, run_in_virtual_time

PROGRAM: Final = 'p-1'
BUDGET: Final = 900
# One turn fits into the budget beside what the turns before have spent.
TURN_TOKENS: Final = 575
# A turn whose previous turn was answered is served within this time after the
# start (a rule of the platform).
SERVED_SECONDS: Final = 12.0
NAMES: Final = ('a', 'b', 'c', 'd', 'e')
# The members find each other within this time.
MEETING_SECONDS: Final = 3.0
_MESSAGE_SECONDS: Final = (0.001, 0.004)
_PAUSE_SECONDS: Final = (0.1, 0.4)
_RUN_SECONDS: Final = 0.3
# Longest time for which a VM is cut off from the store or from its peers.
_LONGEST_CUT_SECONDS: Final = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """The end of a try: the code of a refusal, or an empty string."""

    at: float
    vm: str
    code: str


class LateVm:
    """A VM that knows the members that it has found so far."""

    def __init__(self, *, name: str, fleet: 'LateFleet') -> None:
        """Start with nothing in memory."""
        self.own_name = name
        self.own_boot = f'{name}-2'
        self.world = fleet
        self._receivers: dict[type, Callable[[str, Any], None]] = {}
        parts: dict[str, Any] = {
            'fleet': cast(Fleet, self),
            'reports': cast(PeerReports, self),
        }
        pace = StorePace(**parts)
        store = cast(KeyedStore, SlowStore(store=fleet.store, vm=name))
        self.budgets = BudgetKeeper(
            **parts,
            calls=PeerCalls(fleet=cast(Fleet, self)),
            store=pace.open_store(store, Priority.BUDGET),
        )

    @property
    def age_seconds(self) -> float:
        """Return the uptime of the oldest VM."""
        return self.world.seconds

    @property
    def has_store(self) -> bool:
        """Return whether the store answers this VM, if slowly."""
        return not self.world.store.is_cut_off(self.own_name)

    @property
    def store_available_seconds(self) -> float:
        """Return for how long the store has answered."""
        seconds = self.world.seconds
        cut = self.world.store.cut
        if cut.vm == self.own_name and seconds >= cut.begins_at:
            return max(seconds - cut.ends_at, 0)
        return seconds

    @property
    def voters(self) -> 'LateVm':
        """Return what lists the members that vote."""
        return self

    def list_names(self, key: str) -> tuple[str, ...]:
        """Return the members that vote."""
        return self.rank_homes(key)

    def subscribe(
        self, kind: type, receive: Callable[[str, Any], None]
    ) -> None:
        """Register the receiver of a type of message."""
        self._receivers[kind] = receive

    def send(self, name: str, message: Any) -> bool:
        """Send a message to a member, if it was found."""
        if not self.world.has_met(self.own_name, name):
            return False
        peer = self.world.vms_by_name[name]
        seconds = self.world.chance.uniform(*_MESSAGE_SECONDS)
        seconds += self.world.find_delay(self.own_name, name)
        gevent.spawn_later(seconds, peer.receive, self.own_name, message)
        return True

    def receive(self, sender: str, message: Any) -> None:
        """Receive a message of another VM."""
        _enter_vm(self.own_name)
        self._receivers[type(message)](sender, message)

    def list_serving_peers(self) -> tuple[str, ...]:
        """Return the members that were found."""
        return tuple(
            name for name in self.rank_homes('') if name != self.own_name
        )

    def rank_homes(self, _key: str) -> tuple[str, ...]:
        """Return the members that were found, in the order of the fleet."""
        return tuple(
            name
            for name in self.world.order
            if name == self.own_name or self.world.has_met(self.own_name, name)
        )

    @property
    def boots(self) -> 'LateVm':
        """Return what tells which processes run."""
        return self

    def is_running(self, boot: str) -> bool:
        """Return whether a boot name is one of the processes after the loss."""
        return boot.partition('.')[0] in {
            vm.own_boot for vm in self.world.vms_by_name.values()
        }

    def find_home(self, key: str) -> str:
        """Return the first member that was found."""
        return self.rank_homes(key)[0]

    def sort_by_store_access(self, names: Sequence[str]) -> list[str]:
        """Return the names: the store answers all VMs."""
        return list(names)

    def mark_silent(self, _name: str) -> None:
        """Ignore silent VMs."""

    def run(self) -> None:
        """Do periodic work as the gateway does."""
        _enter_vm(self.own_name)
        gevent.sleep(self.world.chance.uniform(0, 0.5))
        self.budgets.start()


class LateFleet:
    """VMs that started at once after a loss of all, with a slow store."""

    def __init__(self, *, seed: int, clock: VirtualLoop) -> None:
        """Draw the times at which the members find each other."""
        self.chance = random.Random(seed)
        self.events: list[dict[str, Any]] = []
        self.used_tokens = 0
        self.peer_cut = Cut()
        self._clock = clock
        self._numbers = itertools.count()
        self._started_at = clock.now
        self.store = SharedStore(
            chance=self.chance,
            read_seconds=lambda: self.seconds,
            note_append=self._note_append,
        )
        self.order = tuple(self.chance.sample(NAMES, len(NAMES)))
        self._met_at_by_pair = {
            frozenset((one, other)): self.chance.uniform(0, MEETING_SECONDS)
            for one in NAMES
            for other in NAMES
        }
        self.vms_by_name = {
            name: LateVm(name=name, fleet=self) for name in NAMES
        }
        for vm in self.vms_by_name.values():
            gevent.spawn(vm.run)

    @property
    def seconds(self) -> float:
        """Return the time since the start."""
        return self._clock.now - self._started_at

    def has_met(self, one: str, other: str) -> bool:
        """Return whether two members have found each other."""
        return self.seconds >= self._met_at_by_pair[frozenset((one, other))]

    def cut_off_some(self) -> None:
        """Cut one VM off from the store, and another from its peers for a time.

        Messages of the second VM arrive when it goes on, as those of a VM that
        was paused.
        """
        self.store.cut = self._draw_cut()
        self.peer_cut = self._draw_cut()

    def find_delay(self, one: str, other: str) -> float:
        """Return for how long a message between two VMs is held."""
        cut = self.peer_cut
        is_held = cut.vm in {one, other} and cut.includes(cut.vm, self.seconds)
        return cut.ends_at - self.seconds if is_held else 0

    def run_turn(
        self, *, until: float, tokens: int = TURN_TOKENS, **changes: Any
    ) -> list[Answer]:
        """Ask for a turn at one VM after another; return the answers.

        The turn generates all its ``tokens``.
        """
        answers: list[Answer] = []
        while self.seconds < until and not (answers and not answers[-1].code):
            if answers:
                gevent.sleep(self.chance.uniform(*_PAUSE_SECONDS))
            call = make_turn_call(**{
                'request_id': f't-{next(self._numbers)}',
                'program_id': PROGRAM,
                'budget_tokens': BUDGET,
                'max_output_tokens': tokens,
                **changes,
            })
            name = self.chance.choice(NAMES)
            code = gevent.spawn(self._try_turn, name, call).get()
            answers.append(Answer(at=self.seconds, vm=name, code=code))
        return answers

    def _try_turn(self, name: str, call: CallRequest) -> str:
        _enter_vm(name)
        budgets = self.vms_by_name[name].budgets
        try:
            reservation = budgets.reserve(call, needs_store=True)
            gevent.sleep(_RUN_SECONDS)
            reservation = budgets.begin(reservation, call)
        except RefusedError as error:
            return error.code
        self.used_tokens += call.max_output_tokens
        budgets.settle(reservation, call.max_output_tokens, '')
        return ''

    def _note_append(self, records: Sequence[KeyedRecord]) -> None:
        for account in filter(None, map(decode_account, records)):
            holders = account.granted_by_holder
            self.events.append({
                'at': round(self.seconds, 3),
                'vm': _find_vm(),
                'event': 'stored',
                'allowances': {
                    name: account.find_allowance(name) for name in holders
                },
            })

    def _draw_cut(self) -> Cut:
        begins_at = self.chance.uniform(0, SERVED_SECONDS / 2)
        seconds = self.chance.uniform(0, _LONGEST_CUT_SECONDS)
        return Cut(
            vm=self.chance.choice(NAMES),
            begins_at=begins_at,
            ends_at=begins_at + seconds,
        )

    def note(self, _logger: Any, _method: str, fields: Any) -> Any:
        """Keep an event of the log with its time and VM."""
        self.events.append({
            'at': round(self.seconds, 3),
            'vm': _find_vm(),
            **fields,
        })
        raise structlog.DropEvent


@contextlib.contextmanager
def start_late_fleet(*, seed: int, spent: int | None) -> Iterator[LateFleet]:
    """Start VMs after a loss of all, in virtual time.

    Before the loss a turn of the program had spent some tokens and returned the
    rest; without ``spent`` the program is new.
    """
    with run_in_virtual_time() as clock:
        before = structlog.get_config()
        # The pauses of the store's callers are drawn by the module itself.
        drawn = random.getstate()
        random.seed(seed)
        fleet = LateFleet(seed=seed, clock=clock)
        if spent is not None:
            fleet.store.append((TOPIC, 0, [_make_record(spent)]), None)
        structlog.configure(processors=[fleet.note])
        try:
            yield fleet
        finally:
            structlog.configure(**before)
            random.setstate(drawn)


def _enter_vm(name: str) -> None:
    """Count this greenlet, and those that it starts, as those of a VM."""
    gevent.getcurrent().spawn_tree_locals = {'vm': name}


def _find_vm() -> str:
    found = getattr(gevent.getcurrent(), 'spawn_tree_locals', None) or {}
    return str(found.get('vm', ''))


def _make_record(spent: int) -> KeyedRecord:
    return encode_account(
        ProgramAccount(
            program_id=PROGRAM,
            budget=BUDGET,
            granted_by_holder={'a-1': TURN_TOKENS},
            returned_by_holder={'a-1': TURN_TOKENS - spent},
            spent_by_holder={'a-1': spent},
            pool_tokens=TURN_TOKENS,
        )
    )
