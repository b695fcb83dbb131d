"""The homes of one partition on several VMs, without sockets or clocks."""

import dataclasses
import functools
import itertools
from collections.abc import Callable
from typing import Any, cast

from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import (
    FindAllowances,
    HandOver,
    ReplicateAllowance,
    ReserveTokens,
    SettleTokens,
)
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.programs.home import RESERVED, Home
from tests.builders_gateway import MemoryStore, make_reservation

PROGRAM = 'p-1'
TOKENS = 100
BUDGET = 300
# Several turns fit into each half.
LOOP_BUDGET = 800
# Several turns of this size fit into the provisional limit.
SMALL_TOKENS = 30
# A repeated request reserves once, so each request has an id of its own.
REQUEST_NUMBERS = itertools.count(1)
# Distinguishes the processes of a VM.
STARTS = itertools.count(1)


@dataclasses.dataclass(kw_only=True)
class Network:
    """The homes of one partition on several VMs, and the order of the VMs.

    ``lost`` are VMs that were lost lately, or are beyond a cut. A VM in
    ``met_by_name`` has found those members only. The store has answered for
    ``store_available_seconds``. VMs that are ``paused`` count as dead.
    """

    store: MemoryStore
    order: tuple[str, ...]
    lost: tuple[str, ...] = ()
    homes_by_name: dict[str, Home] = dataclasses.field(default_factory=dict)
    met_by_name: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    paused: set[str] = dataclasses.field(default_factory=set)
    age_seconds: float = 60
    store_available_seconds: float = 0

    def add(self, name: str) -> Home:
        """Start a VM, or restart it with empty memory."""
        vm = Vm(name=name, network=self)
        home = Home(
            number=0,
            store=self.store,
            fleet=cast(Fleet, vm),
            reports=cast(PeerReports, vm),
            calls=cast(PeerCalls, vm),
        )
        # The network has run for a minute, so only restarted VMs do not remember.
        home.memory.is_whole = name not in self.homes_by_name
        self.homes_by_name[name] = home
        return home

    def spend(self, name: str, *, turns: int = 20, **changes: Any) -> int:
        """Request turns of a home; return the tokens of those that ran."""
        home = self.homes_by_name[name]
        spent = 0
        for _ in range(turns):
            number = f'q-{next(REQUEST_NUMBERS)}'
            verdict = home.reserve(
                make_request(number, budget=LOOP_BUDGET, **changes)
            )
            if verdict == RESERVED:
                home.settle(make_settlement(number, TOKENS))
                spent += TOKENS
        return spent


@dataclasses.dataclass(kw_only=True)
class Vm:
    """What a home knows of its own VM and of its peers."""

    name: str
    network: Network
    start: int = dataclasses.field(
        default_factory=functools.partial(next, STARTS)
    )

    @property
    def own_name(self) -> str:
        """Return the name of the VM."""
        return self.name

    @property
    def own_boot(self) -> str:
        """Return a boot name that differs for each start of the VM."""
        return f'{self.name}-{self.start}'

    @property
    def age_seconds(self) -> float:
        """Return the uptime of the oldest VM that the test has set."""
        return self.network.age_seconds

    @property
    def has_store(self) -> bool:
        """Return whether the store is up."""
        return not self.network.store.is_down

    @property
    def store_available_seconds(self) -> float:
        """Return the time that the test has set, as if it had just returned."""
        return self.network.store_available_seconds

    def rank_homes(self, _key: str) -> tuple[str, ...]:
        """Return the order of homes that the test has set."""
        return self.network.order

    @property
    def voters(self) -> 'Vm':
        """Return what lists the members that vote."""
        return self

    def list_names(self, key: str) -> tuple[str, ...]:
        """Return the members that vote, those lost lately among them."""
        found = (*self.rank_homes(key), *self.network.lost)
        met = self.network.met_by_name.get(self.name, found)
        return tuple(name for name in found if name in met)

    def list_serving_peers(self) -> tuple[str, ...]:
        """Return the names of the other VMs."""
        met = self.network.met_by_name.get(self.name, self.network.order)
        return tuple(
            name
            for name in self.network.order
            if name != self.name and name in met
        )

    def find_home(self, _key: str) -> str:
        """Return the first of the VMs in the order that the test has set."""
        return next(iter(self.network.order), '')

    def sort_by_store_access(self, names: tuple[str, ...]) -> list[str]:
        """Return the same order: an outage affects all VMs."""
        return list(names)

    @property
    def boots(self) -> 'Vm':
        """Return what tells which processes run."""
        return self

    def is_running(self, boot: str) -> bool:
        """Return whether a process of a boot name is the latest of its VM."""
        running = {
            home.accounts.holder.partition('.')[0]
            for name, home in self.network.homes_by_name.items()
            if name not in self.network.paused
        }
        return boot.partition('.')[0] in running

    def send(self, name: str, message: Any) -> bool:
        """Deliver a hand-over to another VM."""
        assert isinstance(message, HandOver)
        self.network.homes_by_name[name].accept_hand_over(self.name, message)
        return True

    def ask(self, name: str, make_message: Callable[[int], Any]) -> Any:
        """Return the answer of another VM about allowances, or None."""
        message = make_message(1)
        home = self.network.homes_by_name.get(name)
        if home is None:
            return None
        if isinstance(message, FindAllowances):
            return home.list_allowances(message)
        assert isinstance(message, ReplicateAllowance)
        return home.hold_copy(message)


def make_request(request_id: str, **changes: Any) -> ReserveTokens:
    """Return a request for the tokens of a turn."""
    return make_reservation(**{
        'program_id': PROGRAM,
        'request_id': request_id,
        'reservation_id': request_id,
        'budget': BUDGET,
        'tokens': TOKENS,
        **changes,
    })


def make_settlement(reservation_id: str, tokens: int) -> SettleTokens:
    """Return the settlement of a turn that generated ``tokens``."""
    return SettleTokens(
        program_id=PROGRAM,
        reservation_id=reservation_id,
        tokens=tokens,
        line='',
        server_id='',
    )
