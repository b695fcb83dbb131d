"""VMs of tests that share the quotas of workspaces, in virtual time."""

import contextlib
import dataclasses
import functools
import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final, Self, cast
from unittest import mock

from bronzepost._internal.core.gateway.entities import (
    GatewayConfiguration,
    Workspace,
)
from bronzepost._internal.core.membership import (
    Member,
    MemberChanged,
    MemberState,
)
from bronzepost._internal.gateway.peers.fleet import Fleet
from bronzepost._internal.gateway.peers.messages import LoadReport
from bronzepost._internal.gateway.peers.peer_calls import PeerCalls
from bronzepost._internal.gateway.peers.peer_reports import PeerReports
from bronzepost._internal.gateway.peers.quota_messages import QuotaDecided
from bronzepost._internal.gateway.quotas.quota_owners import find_partition
from bronzepost._internal.gateway.quotas.workspace_quotas import (
    TICK_SECONDS,
    QuotaDecision,
    WorkspaceQuotas,
)
from tests.builders_gateway import make_member
from tests.builders_gateway_servers import LIMITS
from tests.builders_vms import MemoryVm

START: Final = 1000.0
WINDOW_SECONDS: Final = 5.0
# What the membership protocol and the reports of a fleet take.
SILENT_AFTER_SECONDS: Final = 0.8
DEAD_AFTER_SECONDS: Final = 2.0
JOINED_AFTER_SECONDS: Final = 0.5
# By then the VMs of a new fleet use their shares.
SETTLE_SECONDS: Final = 10.0
# The retries of a caller's request.
MAX_TRIES: Final = 2
WATCH_SECONDS: Final = 0.1
_MODULES: Final = (
    'quotas.quota_buckets',
    'quotas.quota_log',
    'quotas.share_holder',
    'quotas.share_lender',
    'quotas.workspace_quotas',
    'peers.lost_members',
    'peers.received_reports',
)
_PACKAGE: Final = 'bronzepost._internal.gateway'


def make_workspace(
    name: str = 'w', *, rate: float = 0, burst: float = 0
) -> Workspace:
    """Return a workspace with a quota."""
    return Workspace(
        name=name, key_digests=(), rate_per_second=rate, burst=burst
    )


class QuotaVm(MemoryVm):
    """A VM with the part of a gateway that keeps to quotas."""

    def __init__(
        self, *, name: str, world: 'QuotaWorld', protocol: int = 1
    ) -> None:
        """Start with the members that the world lets it know."""
        super().__init__(name=name, vms_by_name=cast(Any, {}))
        self._world = world
        self.protocol = protocol
        self.members: set[str] = {name}
        self._serving: tuple[Member, ...] | None = None
        self._peers: tuple[str, ...] = ()
        self.is_frozen = False
        self.is_killed = False
        self.clock_offset = random.Random(name).uniform(0, START)
        self.inbox: list[tuple[str, Any]] = []
        self.quotas = cast(WorkspaceQuotas, None)

    def start(self) -> None:
        """Start to keep to quotas."""
        if self.protocol:
            fleet = cast(Fleet, self)
            self.quotas = WorkspaceQuotas(
                fleet=fleet,
                reports=cast(PeerReports, self),
                calls=cast(PeerCalls, MemoryCalls(self)),
                directory=self.directory,
            )

    @property
    def is_running(self) -> bool:
        """Return whether the VM runs now."""
        return not (self.is_frozen or self.is_killed)

    def read_clock(self) -> float:
        """Return the time of this VM's own clock."""
        return self._world.now + self.clock_offset

    def change_member(self, name: str, state: MemberState) -> None:
        """Add or remove a member."""
        if state is MemberState.ALIVE:
            self.members.add(name)
        else:
            self.members.discard(name)
        self._serving = None
        self.lost_members.record(
            MemberChanged(
                name=name,
                previous=MemberState.SUSPECTED,
                current=state,
                incarnation=1,
            )
        )

    def list_serving(self) -> tuple[Member, ...]:
        """Return the members that this VM knows."""
        if self._serving is None:
            names = sorted(self.members)
            self._serving = tuple(map(make_member, names))
            self._peers = tuple(name for name in names if name != self.own_name)
        return self._serving

    def list_serving_peers(self) -> tuple[str, ...]:
        """Return the other members."""
        self.list_serving()
        return self._peers

    def list_live_peers(self) -> tuple[str, ...]:
        """Return the other members; those that stop are none here."""
        return self.list_serving_peers()

    def send(self, name: str, message: Any) -> bool:
        """Send a message by the world."""
        self.sent.append(type(message))
        return self._world.deliver(self, name, message)

    def receive(self, sender: str, message: Any) -> None:
        """Take a message, in virtual time of this VM."""
        receive = self._receivers.get(message.__class__)
        if receive is not None:
            with self._world.act_as(self):
                receive(sender, message)

    def find(self, name: str) -> LoadReport | None:
        """Return the report of a member."""
        vm = self._world.vms_by_name.get(name)
        protocol = vm.protocol if vm else 0
        return LoadReport(
            in_flight={},
            has_store=True,
            is_ready=True,
            version=1,
            protocol=protocol,
        )

    def is_silent(self, name: str, _cutoff: float) -> bool:
        """Return whether nothing was heard of a member lately."""
        seconds = self._world.find_silence(name, self.own_name)
        return seconds > SILENT_AFTER_SECONDS


class MemoryCalls:
    """Questions whose answers arrive at once, or not at all."""

    def __init__(self, vm: QuotaVm) -> None:
        """Ask for a VM."""
        self._vm = vm
        self._answers: dict[int, Any] = {}
        self._ids = itertools.count(1)
        vm.subscribe(
            QuotaDecided,
            lambda _sender, answer: self._answers.update({
                answer.call_id: answer
            }),
        )

    def ask(self, name: str, make_request: Callable[[int], Any]) -> Any:
        """Return the answer, None if there is none."""
        call_id = next(self._ids)
        self._vm.send(name, make_request(call_id))
        return self._answers.pop(call_id, None)


@dataclasses.dataclass(order=True)
class _Event:
    at: float
    number: int
    act: Callable[[], None] = dataclasses.field(compare=False)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Program:
    world: 'QuotaWorld'
    number: int
    turns: int
    pause: float
    done: list[int]

    def take_turn(self, tries: int) -> None:
        vm = self.world.rng.choice(self.world.list_running())
        decision = self.world.send(vm, is_first_turn=not self.done[self.number])
        if decision.is_granted:
            self.done[self.number] += 1
            if self.done[self.number] < self.turns:
                turn = functools.partial(self.take_turn, 0)
                self.world.call_later(self.pause, turn)
        elif tries < MAX_TRIES:
            turn = functools.partial(self.take_turn, tries + 1)
            self.world.call_later(decision.retry_after_seconds, turn)


class QuotaWorld:
    """VMs that admit requests; ``sent_at_by_workspace`` has the times.

    The clocks of the VMs are apart by up to a quarter of an hour.
    """

    def __init__(self, *, vms: int, protocols: Iterable[int] = ()) -> None:
        """Start a fleet whose VMs know each other."""
        self.now = START
        self.vms_by_name: dict[str, QuotaVm] = {}
        self.workspaces: dict[str, Workspace] = {}
        self.sent_at_by_workspace: defaultdict[str, list[float]] = defaultdict(
            list
        )
        self.asked: Counter[str] = Counter()
        self.version = 1
        self._events: list[_Event] = []
        self._numbers = itertools.count()
        self._cut_at: dict[tuple[str, str], float] = {}
        self._down_at: dict[str, float] = {}
        self._current: QuotaVm | None = None
        self._waited: float = 0
        self.rng = random.Random(vms)
        padded = itertools.chain(protocols, itertools.repeat(1))
        # The seconds by which messages of a sender to a receiver are late.
        self.delays: dict[tuple[str, str], float] = {}
        # The largest sum of the usable shares of a workspace ``w``.
        self.peak_capacity: float = 0
        self._protocols = tuple(itertools.islice(padded, vms))

    @contextlib.contextmanager
    def run_clock(self) -> Iterator[Self]:
        """Use the virtual clock, and start the VMs."""
        with contextlib.ExitStack() as stack:
            for module in _MODULES:
                target = f'{_PACKAGE}.{module}.read_clock'
                stack.enter_context(mock.patch(target, self._read_clock))
            target = f'{_PACKAGE}.quotas.workspace_quotas.gevent.sleep'
            stack.enter_context(mock.patch(target, self._sleep))
            for number, protocol in enumerate(self._protocols):
                self.start_vm(f'vm-{number:03}', protocol=protocol, join=0)
            self._watch()
            yield self

    @contextlib.contextmanager
    def act_as(self, vm: QuotaVm) -> Iterator[None]:
        """Let a VM's clock be read."""
        before = self._current
        self._current = vm
        try:
            yield
        finally:
            self._current = before

    def start_vm(
        self,
        name: str,
        *,
        protocol: int = 1,
        join: float = JOINED_AFTER_SECONDS,
        seeds_after: float = 0,
    ) -> QuotaVm:
        """Start a process, which the others know after ``join`` seconds.

        It knows the others after ``seeds_after`` seconds.
        """
        vm = QuotaVm(name=name, world=self, protocol=protocol)
        self.vms_by_name[name] = vm
        self._down_at.pop(name, None)
        self._configure(vm)
        with self.act_as(vm):
            vm.start()
        self.call_later(join, lambda: self._announce(vm))
        self.call_later(seeds_after, lambda: self._teach(vm))
        if protocol:
            self._tick(vm, first=self.rng.uniform(0, TICK_SECONDS))
        return vm

    def kill(self, vm: QuotaVm) -> None:
        """End a process."""
        vm.is_killed = True
        self._down_at[vm.own_name] = self.now
        self.call_later(DEAD_AFTER_SECONDS, lambda: self._bury(vm))

    def freeze(self, vm: QuotaVm) -> None:
        """Stop a process; messages to it wait."""
        vm.is_frozen = True
        self._down_at[vm.own_name] = self.now
        self.call_later(DEAD_AFTER_SECONDS, lambda: self._bury(vm))

    def stop(self, vm: QuotaVm) -> None:
        """Let a process stop by plan; the others hear of it by gossip."""
        with self.act_as(vm):
            vm.quotas.leave()
        self.call_later(JOINED_AFTER_SECONDS, lambda: self._leave(vm))

    def _leave(self, vm: QuotaVm) -> None:
        for other in self.list_running():
            if other is not vm and vm.own_name in other.members:
                with self.act_as(other):
                    other.change_member(vm.own_name, MemberState.LEAVING)

    def wake(self, vm: QuotaVm, *, stood_still: float = 0) -> None:
        """Let a process go on; its clock may have stood still for a time."""
        vm.is_frozen = False
        vm.clock_offset -= stood_still
        self._down_at.pop(vm.own_name, None)
        inbox = vm.inbox
        vm.inbox = []
        for sender, message in inbox:
            vm.receive(sender, message)
        self.call_later(JOINED_AFTER_SECONDS, lambda: self._announce(vm))

    def cut(
        self,
        senders: Iterable[QuotaVm],
        receivers: Iterable[QuotaVm],
        *,
        is_one_way: bool = False,
    ) -> None:
        """Lose all messages between two groups, or those of one direction."""
        for one, other in itertools.product(senders, receivers):
            self._cut_at[one.own_name, other.own_name] = self.now
            if not is_one_way:
                self._cut_at[other.own_name, one.own_name] = self.now
        if not is_one_way:
            self.call_later(DEAD_AFTER_SECONDS, self._bury_cut)

    def heal(self) -> None:
        """Let all messages arrive again."""
        self._cut_at = {}
        for vm in self.list_running():
            announce = functools.partial(self._announce, vm)
            self.call_later(JOINED_AFTER_SECONDS, announce)

    def put_workspaces(self, *workspaces: Workspace) -> None:
        """Let a configuration with workspaces be in force at all VMs."""
        self.version += 1
        self.workspaces = {each.name: each for each in workspaces}
        for vm in self.vms_by_name.values():
            self._configure(vm)

    def list_running(self) -> list[QuotaVm]:
        """Return the VMs that serve callers, with quotas."""
        return [
            vm
            for vm in self.vms_by_name.values()
            if vm.is_running and vm.protocol
        ]

    def send(
        self, vm: QuotaVm, workspace: str = 'w', **options: Any
    ) -> QuotaDecision:
        """Let a VM send a request of a workspace if it is admitted."""
        self.asked[workspace] += 1
        self._waited = 0
        with self.act_as(vm):
            decision = vm.quotas.admit(self.workspaces[workspace], **options)
        if decision.is_granted:
            self.sent_at_by_workspace[workspace].append(self.now + self._waited)
        return decision

    def load(
        self,
        workspace: str = 'w',
        *,
        rate: float,
        seconds: float,
        vms: Iterable[QuotaVm] | None = None,
        **options: Any,
    ) -> None:
        """Send requests at random times from now on, from VMs that run."""
        at = self.now + self.rng.expovariate(rate)
        while at < self.now + seconds:
            self.call_later(
                at - self.now,
                functools.partial(self._send_any, workspace, vms, options),
            )
            at += self.rng.expovariate(rate)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._events and self._events[0].at <= end:
            event = heapq.heappop(self._events)
            self.now = event.at
            event.act()
        self.now = end

    def call_later(self, seconds: float, act: Callable[[], None]) -> None:
        """Do something after a time."""
        event = _Event(
            at=self.now + seconds, number=next(self._numbers), act=act
        )
        heapq.heappush(self._events, event)

    def run_programs(
        self, *, rate: float, seconds: float, turns: int, pause: float
    ) -> list[int]:
        """Start programs of ``w``; return the turns that each has had so far.

        A refused turn comes again twice, when it was told to.
        """
        done: list[int] = []
        at = self.rng.expovariate(rate)
        while at < seconds:
            program = _Program(
                world=self,
                number=len(done),
                turns=turns,
                pause=pause,
                done=done,
            )
            done.append(0)
            self.call_later(at, functools.partial(program.take_turn, 0))
            at += self.rng.expovariate(rate)
        return done

    def deliver(self, sender: QuotaVm, name: str, message: Any) -> bool:
        """Deliver a message, unless it is lost or its receiver is frozen."""
        receiver = self.vms_by_name.get(name)
        if receiver is None or receiver.is_killed:
            return False
        link = (sender.own_name, name)
        if link in self._cut_at:
            return True
        if self.delays.get(link):
            late = functools.partial(
                self._deliver_late, receiver, sender.own_name, message
            )
            self.call_later(self.delays[link], late)
            return True
        if receiver.is_frozen:
            receiver.inbox.append((sender.own_name, message))
        else:
            receiver.receive(sender.own_name, message)
        return True

    def _deliver_late(
        self, receiver: QuotaVm, sender: str, message: Any
    ) -> None:
        if receiver.is_running:
            receiver.receive(sender, message)

    def find_silence(self, name: str, receiver: str) -> float:
        """Return for how long nothing of a VM has reached another."""
        since = min(
            self._cut_at.get((name, receiver), self.now),
            self._down_at.get(name, self.now),
        )
        return self.now - since

    def count_most(self, workspace: str = 'w', *, after: float = 0) -> int:
        """Return the most requests in a window that begins after a time."""
        times = sorted(
            at for at in self.sent_at_by_workspace[workspace] if at >= after
        )
        most, first = 0, 0
        for number, at in enumerate(times):
            while at - times[first] >= WINDOW_SECONDS:
                first += 1
            most = max(most, number - first + 1)
        return most

    def find_used(self, workspace: str, *, after: float) -> float:
        """Return the share of a limit that was used since a time."""
        sent = sum(at >= after for at in self.sent_at_by_workspace[workspace])
        rate = self.workspaces[workspace].rate_per_second
        return sent / (rate * (self.now - after))

    def sum_capacity(self, workspace: str = 'w') -> float:
        """Return the part of a quota that all VMs may use together."""
        total: float = 0
        for vm in self.vms_by_name.values():
            if vm.is_running and vm.protocol:
                with self.act_as(vm):
                    total += find_capacity(vm, workspace)
        return total

    def find_owner(self, workspace: str = 'w') -> QuotaVm:
        """Return the VM that holds the most of a workspace's quota."""
        return max(
            self.list_running(),
            key=lambda vm: self._read_capacity(vm, workspace),
        )

    def _read_capacity(self, vm: QuotaVm, workspace: str) -> float:
        with self.act_as(vm):
            return find_capacity(vm, workspace)

    def _watch(self) -> None:
        self.peak_capacity = max(self.peak_capacity, self.sum_capacity())
        self.call_later(WATCH_SECONDS, self._watch)

    def _send_any(
        self,
        workspace: str,
        vms: Iterable[QuotaVm] | None,
        options: dict[str, Any],
    ) -> None:
        able = [vm for vm in vms or self.list_running() if vm.is_running]
        if able:
            self.send(self.rng.choice(able), workspace, **options)

    def _tick(self, vm: QuotaVm, *, first: float = TICK_SECONDS) -> None:
        def act() -> None:
            if self.vms_by_name.get(vm.own_name) is not vm or vm.is_killed:
                return
            if not vm.is_frozen:
                with self.act_as(vm):
                    vm.quotas.update()
            self._tick(vm)

        self.call_later(first, act)

    def _announce(self, vm: QuotaVm) -> None:
        """Let a VM and those that it reaches know each other."""
        for other in self.vms_by_name.values():
            if vm.is_running and other.is_running:
                self._introduce(vm, other)
                self._introduce(other, vm)

    def _teach(self, vm: QuotaVm) -> None:
        for other in self.vms_by_name.values():
            if other.is_running:
                self._introduce(vm, other)

    def _introduce(self, vm: QuotaVm, other: QuotaVm) -> None:
        if (other.own_name, vm.own_name) in self._cut_at:
            return
        with self.act_as(vm):
            vm.change_member(other.own_name, MemberState.ALIVE)

    def _bury(self, lost: QuotaVm) -> None:
        if lost.is_running or lost is not self.vms_by_name[lost.own_name]:
            return
        for vm in self.vms_by_name.values():
            if vm.is_running and lost.own_name in vm.members:
                with self.act_as(vm):
                    vm.change_member(lost.own_name, MemberState.DEAD)

    def _bury_cut(self) -> None:
        for name, receiver in self._cut_at:
            vm = self.vms_by_name[receiver]
            if vm.is_running and name in vm.members:
                with self.act_as(vm):
                    vm.change_member(name, MemberState.DEAD)

    def _configure(self, vm: QuotaVm) -> None:
        configuration = GatewayConfiguration(
            version=self.version,
            routes=(),
            services_by_name={},
            limits=LIMITS,
            workspaces=tuple(self.workspaces.values()),
        )
        vm.directory.put_configuration(configuration)

    def _read_clock(self) -> float:
        return self._current.read_clock() if self._current else self.now

    def _sleep(self, seconds: float) -> None:
        self._waited += seconds


def find_capacity(vm: QuotaVm, workspace: str) -> float:
    """Return the part of a quota that a VM holds now, by its own clock."""
    buckets = vm.quotas._buckets  # noqa: SLF001
    return buckets.find_held(find_partition(workspace)).capacity


def find_bound(workspace: Workspace) -> float:
    """Return the requests that a window of a workspace may have."""
    return workspace.rate_per_second * WINDOW_SECONDS + workspace.burst
